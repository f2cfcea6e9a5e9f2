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
	settlingTime = 5 * time.Second
	checkRunTime = 100 * time.Millisecond
	checkTimeout = 2 * time.Second
)

// load returns a workload that uses the share of all slots on average.
func load(class string, priority int, share float64, runTime, timeout time.Duration, repeatable bool) workload {
	return workload{class, priority, share * allSlots / runTime.Seconds(), runTime, timeout, repeatable}
}

// submitter adds executors in one availability zone and returns the function that submits
// calls to them, through entry instances that use the policy or by the naive baseline.
func submitter(d *driver, policy bool) func(*call) {
	d.addExecutors(executors, slotsEach, "z1")
	if !policy {
		return (&naive{executors: d.executors}).submit
	}
	var entries []*fakeEntry
	for i := range entryCount {
		entries = append(entries, d.addEntry("z1", i))
	}
	d.shareSlots(entries, func(*fakeEntry) []*fakeExecutor { return d.executors })
	next := 0
	return func(c *call) {
		next++
		entries[next%len(entries)].submit(c)
	}
}

type overloadResult struct {
	checks, batches, all *phase
}

func runOverload(policy bool) overloadResult {
	d := newDriver(seed)
	submit := submitter(d, policy)
	end := 60 * time.Second
	result := overloadResult{d.stats.phase("check", 0, end), d.stats.phase("batch", 0, end), d.stats.phase("", settlingTime, end)}
	d.offer(load("check", 10, 1.2, checkRunTime, checkTimeout, true), end, submit)
	d.offer(load("batch", 1, 0.8, time.Second, 20*time.Second, true), end, submit)
	d.run(end + 20*time.Second)
	return result
}

func TestOverloadKeepsGoodput(t *testing.T) {
	t.Parallel()
	r := runOverload(true)
	assert.Assert(t, r.all.utilization(allSlots) >= 0.95, "goodput %.3f", r.all.utilization(allSlots))
	assert.Equal(t, r.checks.timedOut, 0, "checks that timed out")
	assert.Equal(t, r.checks.refusedLate, 0, "checks refused after half of their timeout")
}

func BenchmarkRequestPathOverload(b *testing.B) {
	comparePolicy(b, func(b *testing.B, policy bool) {
		r := runOverload(policy)
		b.ReportMetric(100*r.all.utilization(allSlots), "goodput-%")
		b.ReportMetric(100*share(r.checks.timedOut, r.checks.offered), "checks-late-%")
		b.ReportMetric(100*share(r.checks.refused, r.checks.offered), "checks-refused-%")
		b.ReportMetric(100*share(r.checks.refusedLate, r.checks.offered), "checks-refused-late-%")
		b.ReportMetric(100*share(r.batches.succeeded, r.batches.offered), "batches-answered-%")
	})
}

// comparePolicy runs the measurement for the policy and for the naive baseline.
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

type brokenExecutorResult struct {
	detected, recovered                  *phase
	shareWhileBroken, shareAfterRecovery float64 // share of sends to the broken executor; after recovery, relative to an equal share
	failures                             float64 // share of requests that failed, from when the fault must be detected until recovery
	resent                               float64 // share of non-repeatable requests that were sent again although they may have run
}

func runBrokenExecutor(policy bool) brokenExecutorResult {
	d := newDriver(seed)
	submit := submitter(d, policy)
	const brokenAt, detectedBy, recoveredAt, end = 10 * time.Second, 11 * time.Second, 40 * time.Second, 80 * time.Second
	var r brokenExecutorResult
	r.detected = d.stats.phase("", detectedBy, recoveredAt)
	orders := d.stats.phase("order", detectedBy, recoveredAt)
	r.recovered = d.stats.phase("", recoveredAt+30*time.Second, end)
	d.offer(load("check", 10, 0.3, checkRunTime, checkTimeout, true), end, submit)
	d.offer(load("order", 5, 0.3, checkRunTime, checkTimeout, false), end, submit)
	broken := d.executors[3]
	d.after(brokenAt, func() { broken.broken = true })
	d.after(recoveredAt, func() { broken.broken = false })
	sendsBefore := 0
	d.after(detectedBy, func() { sendsBefore = broken.sends })
	d.after(recoveredAt, func() { r.shareWhileBroken = share(broken.sends-sendsBefore, r.detected.sends) })
	d.after(recoveredAt+30*time.Second, func() { sendsBefore = broken.sends })
	d.run(end)
	r.shareAfterRecovery = share(broken.sends-sendsBefore, r.recovered.sends) * executors
	r.failures = share(r.detected.failed, r.detected.offered)
	r.resent = share(orders.sends-orders.offered+orders.refused, orders.offered)
	return r
}

func TestFastFailingExecutorAttractsNoLoad(t *testing.T) {
	t.Parallel()
	r := runBrokenExecutor(true)
	assert.Assert(t, r.failures < 0.005, "share of failed requests %.4f", r.failures)
	assert.Assert(t, r.shareWhileBroken < 0.01, "the broken executor's share of the load %.4f", r.shareWhileBroken)
	assert.Equal(t, r.resent, 0.0, "non-repeatable requests sent again")
	assert.Assert(t, r.shareAfterRecovery > 0.5, "load 30 s after recovery, relative to an equal share, %.2f", r.shareAfterRecovery)
}

func BenchmarkRequestPathFastFailing(b *testing.B) {
	comparePolicy(b, func(b *testing.B, policy bool) {
		r := runBrokenExecutor(policy)
		b.ReportMetric(100*r.failures, "failed-%")
		b.ReportMetric(100*r.shareWhileBroken, "load-while-broken-%")
		b.ReportMetric(100*r.resent, "orders-sent-again-%")
		b.ReportMetric(100*r.shareAfterRecovery, "of-equal-share-30s-after-healing-%")
	})
}

type allDownResult struct {
	sendsPerRequest float64
	goodput         float64
	whileDown       *phase
}

func runAllDown(policy bool) allDownResult {
	d := newDriver(seed)
	submit := submitter(d, policy)
	const downAt, recoveredAt, end = 10 * time.Second, 20 * time.Second, 40 * time.Second
	whileDown := d.stats.phase("", downAt, recoveredAt)
	afterRecovery := d.stats.phase("", recoveredAt+settlingTime, end)
	d.offer(load("check", 10, 1.2, checkRunTime, checkTimeout, true), end, submit)
	setDown := func(down bool) func() {
		return func() {
			for _, x := range d.executors {
				x.down = down
			}
		}
	}
	d.after(downAt, setDown(true))
	d.after(recoveredAt, setDown(false))
	d.run(end)
	return allDownResult{share(whileDown.sends, whileDown.offered), afterRecovery.utilization(allSlots), whileDown}
}

func TestTotalOutageNeitherMultipliesRequestsNorPersists(t *testing.T) {
	t.Parallel()
	r := runAllDown(true)
	assert.Assert(t, r.sendsPerRequest <= 1.1, "%.3f sends per request", r.sendsPerRequest)
	assert.Assert(t, r.goodput >= 0.95, "goodput from 5 s after recovery %.3f", r.goodput)
}

func BenchmarkRequestPathAllDown(b *testing.B) {
	comparePolicy(b, func(b *testing.B, policy bool) {
		r := runAllDown(policy)
		b.ReportMetric(r.sendsPerRequest, "sends/request-while-down")
		b.ReportMetric(100*r.goodput, "goodput-from-5s-after-%")
	})
}
