package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	seed         = 20261203
	executors    = 10
	slotsEach    = 8
	allSlots     = executors * slotsEach
	entryCount   = 4
	settleTime   = 5 * time.Second
	checkTime    = 100 * time.Millisecond
	checkTimeout = 2 * time.Second
)

// load returns a workload that takes the share of all slots.
func load(class string, priority int, share float64, runTime, timeout time.Duration, repeatable bool) workload {
	return workload{class, priority, share * allSlots / runTime.Seconds(), runTime, timeout, repeatable}
}

// submitter returns the policy's entry instances before all executors in one
// availability zone, or the naive baseline, as a function that takes calls.
func submitter(d *driver, policy bool) func(*call) {
	d.addExecutors(executors, slotsEach, "z1")
	if !policy {
		return (&naive{executors: d.executors}).submit
	}
	var entries []*fakeEntry
	for i := range entryCount {
		entries = append(entries, d.addEntry("z1", i))
	}
	d.share(entries, func(*fakeEntry) []*fakeExecutor { return d.executors })
	next := 0
	return func(c *call) {
		next++
		entries[next%len(entries)].submit(c)
	}
}

type overload struct {
	checks, batches, all *phase
}

func runOverload(policy bool) overload {
	d := newDriver(seed)
	submit := submitter(d, policy)
	end := 60 * time.Second
	result := overload{d.stats.phase("check", 0, end), d.stats.phase("batch", 0, end), d.stats.phase("", settleTime, end)}
	d.offer(load("check", 10, 1.2, checkTime, checkTimeout, true), end, submit)
	d.offer(load("batch", 1, 0.8, time.Second, 20*time.Second, true), end, submit)
	d.run(end + 20*time.Second)
	return result
}

func TestOverloadKeepsGoodput(t *testing.T) {
	t.Parallel()
	r := runOverload(true)
	assert.Assert(t, r.all.utilization(allSlots) >= 0.95, "goodput %.3f", r.all.utilization(allSlots))
	assert.Equal(t, r.checks.timedOut, 0, "Checks answered late")
	assert.Equal(t, r.checks.refusedLate, 0, "Checks refused after half of their timeout")
}

func BenchmarkRequestPathOverload(b *testing.B) {
	comparePolicy(b, func(b *testing.B, policy bool) {
		r := runOverload(policy)
		b.ReportMetric(100*r.all.utilization(allSlots), "goodput-%")
		b.ReportMetric(100*share(r.checks.timedOut, r.checks.offered), "checks-late-%")
		b.ReportMetric(100*share(r.checks.refused, r.checks.offered), "checks-refused-%")
		b.ReportMetric(100*share(r.checks.refusedLate, r.checks.offered), "checks-refused-late-%")
		b.ReportMetric(100*share(r.batches.answered, r.batches.offered), "batches-answered-%")
	})
}

// comparePolicy runs the measurement for the policy and for the baseline.
func comparePolicy(b *testing.B, measure func(*testing.B, bool)) {
	for name, policy := range map[string]bool{"policy": true, "naive": false} {
		b.Run(name, func(b *testing.B) {
			for range b.N {
				measure(b, policy)
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

type brokenOne struct {
	detected, healed         *phase
	sendsBroken, sendsHealed float64 // the executor's part of all sends, relative to an equal part
	failures                 float64
	repeated                 float64 // non-repeatable requests that were sent again after they may have run
}

func runBrokenOne(policy bool) brokenOne {
	d := newDriver(seed)
	submit := submitter(d, policy)
	const breaks, detection, heals, end = 10 * time.Second, 11 * time.Second, 40 * time.Second, 80 * time.Second
	var r brokenOne
	r.detected = d.stats.phase("", detection, heals)
	orders := d.stats.phase("order", detection, heals)
	r.healed = d.stats.phase("", heals+30*time.Second, end)
	d.offer(load("check", 10, 0.3, checkTime, checkTimeout, true), end, submit)
	d.offer(load("order", 5, 0.3, checkTime, checkTimeout, false), end, submit)
	bad := d.executors[3]
	d.after(breaks, func() { bad.broken = true })
	d.after(heals, func() { bad.broken = false })
	before := 0
	d.after(detection, func() { before = bad.sends })
	d.after(heals, func() { r.sendsBroken = share(bad.sends-before, r.detected.sends) })
	d.after(heals+30*time.Second, func() { before = bad.sends })
	d.run(end)
	r.sendsHealed = share(bad.sends-before, r.healed.sends) * executors
	r.failures = share(r.detected.failed, r.detected.offered)
	r.repeated = share(orders.sends-orders.offered+orders.refused, orders.offered)
	return r
}

func TestFastFailingExecutorAttractsNoLoad(t *testing.T) {
	t.Parallel()
	r := runBrokenOne(true)
	assert.Assert(t, r.failures < 0.005, "failed %.4f", r.failures)
	assert.Assert(t, r.sendsBroken < 0.01, "its part of the load %.4f", r.sendsBroken)
	assert.Equal(t, r.repeated, 0.0, "non-repeatable requests sent again")
	assert.Assert(t, r.sendsHealed > 0.5, "its part of an equal share 30 s after healing %.2f", r.sendsHealed)
}

func BenchmarkRequestPathFastFailing(b *testing.B) {
	comparePolicy(b, func(b *testing.B, policy bool) {
		r := runBrokenOne(policy)
		b.ReportMetric(100*r.failures, "failed-%")
		b.ReportMetric(100*r.sendsBroken, "load-while-broken-%")
		b.ReportMetric(100*r.repeated, "orders-sent-again-%")
		b.ReportMetric(100*r.sendsHealed, "of-equal-share-30s-after-healing-%")
	})
}

type allDown struct {
	sendsEach float64
	goodput   float64
	refusedAt *phase
}

func runAllDown(policy bool) allDown {
	d := newDriver(seed)
	submit := submitter(d, policy)
	const down, back, end = 10 * time.Second, 20 * time.Second, 40 * time.Second
	whileDown := d.stats.phase("", down, back)
	after := d.stats.phase("", back+settleTime, end)
	d.offer(load("check", 10, 1.2, checkTime, checkTimeout, true), end, submit)
	setDown := func(is bool) func() {
		return func() {
			for _, x := range d.executors {
				x.down = is
			}
		}
	}
	d.after(down, setDown(true))
	d.after(back, setDown(false))
	d.run(end)
	return allDown{share(whileDown.sends, whileDown.offered), after.utilization(allSlots), whileDown}
}

func TestAllDownNeitherMultipliesNorLingers(t *testing.T) {
	t.Parallel()
	r := runAllDown(true)
	assert.Assert(t, r.sendsEach <= 1.1, "%.3f sends for each request", r.sendsEach)
	assert.Assert(t, r.goodput >= 0.95, "goodput from 5 s after the return %.3f", r.goodput)
}

func BenchmarkRequestPathAllDown(b *testing.B) {
	comparePolicy(b, func(b *testing.B, policy bool) {
		r := runAllDown(policy)
		b.ReportMetric(r.sendsEach, "sends/request-while-down")
		b.ReportMetric(100*r.goodput, "goodput-from-5s-after-%")
	})
}
