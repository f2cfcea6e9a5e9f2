package config

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/platform/memory"
)

// Bounds of the target.
const (
	healthyRollOut = time.Second
	anyRollOut     = 9 * time.Second
	// readsBound and writesBound are a tenth of the store's rates.
	readsBound  = memory.ReadsPerSecond / 10
	writesBound = memory.WritesPerSecond / 10
)

// rollOutCase is a scenario with its bound.
type rollOutCase struct {
	name  string
	bound time.Duration
	scenario
}

func rollOutCases() []rollOutCase {
	base := scenario{zones: 4, perZone: 2, changes: 40, every: 2 * time.Second}
	with := func(change func(*scenario)) scenario {
		s := base
		change(&s)
		return s
	}
	faults := func(f memory.Faults) func(*bench) { return func(b *bench) { b.store.SetFaults(f) } }
	return []rollOutCase{
		{"healthy", healthyRollOut, base},
		{"store-slow-1s", anyRollOut, with(func(s *scenario) { s.before = faults(memory.Faults{Latency: time.Second}) })},
		{"watches-silent", anyRollOut, with(func(s *scenario) {
			s.before = faults(memory.Faults{Latency: toStore, LostWatchEvents: true})
		})},
		{"watches-silent-no-mesh", anyRollOut, with(func(s *scenario) {
			s.alone = true
			s.before = faults(memory.Faults{Latency: toStore, HungWatches: true})
		})},
		{"zone-cut-off", anyRollOut, with(func(s *scenario) {
			s.before = func(b *bench) { b.cutOff(zoneName(3), true) }
			s.after = func(b *bench) { b.cutOff(zoneName(3), false) }
		})},
		{"store-out-after-acceptance", anyRollOut, with(func(s *scenario) {
			// No watch sees the event, so only the one that accepted knows it.
			s.before = faults(memory.Faults{Latency: toStore, LostWatchEvents: true})
			s.effect = faults(memory.Faults{Latency: toStore, Down: true})
			s.accepted = func(b *bench) {
				time.Sleep(5 * time.Second)
				b.store.SetFaults(memory.Faults{Latency: toStore, LostWatchEvents: true})
			}
		})},
	}
}

// rollOuts returns how long each accepted revision took, sorted; a revision that
// is not in force everywhere counts as an hour.
func (b *bench) rollOuts() []time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	least := b.members[0].follower.Current().Revision
	for _, m := range b.members {
		least = min(least, m.follower.Current().Revision)
	}
	var out []time.Duration
	for revision, since := range b.since {
		if revision > least {
			out = append(out, time.Hour)
			continue
		}
		out = append(out, max(0, b.inForce[revision].Sub(since)))
	}
	slices.Sort(out)
	return out
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[int(q*float64(len(sorted)-1))]
}

func TestRollOutKeepsItsBounds(t *testing.T) {
	for _, c := range rollOutCases() {
		t.Run(c.name, func(t *testing.T) {
			measure(t, c.scenario, func(b *bench) {
				times := b.rollOuts()
				assert.Equal(t, len(times), c.changes, "accepted changes")
				assert.Assert(t, times[len(times)-1] <= c.bound, "slowest roll-out %s, bound %s", times[len(times)-1], c.bound)
			})
		})
	}
}

// BenchmarkConfigurationRollOut reports the time from acceptance until in force on
// all of 8 entry instances in 4 availability zones, in virtual time. The baseline
// has no mesh and lets every instance watch.
func BenchmarkConfigurationRollOut(b *testing.B) {
	for _, c := range rollOutCases() {
		b.Run(c.name, func(b *testing.B) { reportRollOut(b, c.scenario) })
		if c.alone {
			continue
		}
		naive := c.scenario
		naive.alone = true
		b.Run(c.name+"-baseline", func(b *testing.B) { reportRollOut(b, naive) })
	}
}

func reportRollOut(b *testing.B, s scenario) {
	var end *bench
	for range b.N {
		virtual(b, s, func(done *bench) { end = done })
	}
	times := end.rollOuts()
	milliseconds := func(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
	b.ReportMetric(milliseconds(quantile(times, 0.5)), "p50-ms")
	b.ReportMetric(milliseconds(quantile(times, 0.99)), "p99-ms")
	b.ReportMetric(milliseconds(quantile(times, 1)), "max-ms")
	b.ReportMetric(milliseconds(quantile(end.took, 0.5)), "accept-ms")
	b.ReportMetric(0, "ns/op")
}

// virtual runs a scenario in virtual time, which needs a test.
func virtual(b *testing.B, s scenario, then func(*bench)) {
	run := []testing.InternalTest{{Name: b.Name(), F: func(t *testing.T) { measure(t, s, then) }}}
	all := func(string, string) (bool, error) { return true, nil }
	if !testing.RunTests(all, run) {
		b.Fatal("the scenario failed")
	}
}

// storeRates is the use of the store in calls a second.
type storeRates struct{ reads, writes float64 }

// steadyRates runs instances for ten minutes at the target's rate of changes. A
// second of a waiting watch counts as a read.
func steadyRates(s scenario, run func(scenario, func(*bench))) storeRates {
	var before memory.Calls
	var out storeRates
	const window = 10 * time.Minute
	s.before = func(b *bench) { before = b.store.Calls() }
	s.changes, s.every = 22, 27*time.Second // 3,100 a day
	run(s, func(b *bench) {
		calls := b.store.Calls()
		seconds := (window + time.Minute).Seconds()
		reads := float64(calls.Reads-before.Reads) + calls.WaitSeconds - before.WaitSeconds
		out = storeRates{reads / seconds, float64(calls.Writes-before.Writes) / seconds}
	})
	return out
}

// sizes are fleets from today's to the target's 13 availability zones.
func sizes() []scenario {
	return []scenario{{zones: 4, perZone: 2}, {zones: 4, perZone: 4}, {zones: 8, perZone: 4}, {zones: 13, perZone: 5}}
}

func largest() scenario { return sizes()[len(sizes())-1] }

func TestStoreCallsKeepTheirBound(t *testing.T) {
	rates := steadyRates(largest(), func(s scenario, then func(*bench)) { measure(t, s, then) })
	assert.Assert(t, rates.reads <= readsBound, "%.1f reads a second, bound %d", rates.reads, readsBound)
	assert.Assert(t, rates.writes <= writesBound, "%.1f writes a second, bound %d", rates.writes, writesBound)
}

// BenchmarkConfigurationStoreCalls reports the store calls a second of all entry
// instances, beside the baseline in which all watch.
func BenchmarkConfigurationStoreCalls(b *testing.B) {
	for _, s := range sizes() {
		name := fmt.Sprintf("nodes=%d", s.zones*s.perZone)
		naive := s
		naive.alone = true
		b.Run(name, func(b *testing.B) { reportRates(b, s) })
		b.Run(name+"-baseline", func(b *testing.B) { reportRates(b, naive) })
	}
}

func reportRates(b *testing.B, s scenario) {
	var rates storeRates
	for range b.N {
		rates = steadyRates(s, func(s scenario, then func(*bench)) { virtual(b, s, then) })
	}
	b.ReportMetric(rates.reads, "reads/s")
	b.ReportMetric(rates.writes, "writes/s")
	b.ReportMetric(0, "ns/op")
}

// outage is what the store sees of an hour's outage.
type outage struct {
	attempts float64 // calls a second while it is out
	peak     float64 // calls in the busiest second after its return
	// level is the time from the return until all instances have read the log.
	level time.Duration
}

// storeOut takes the store away for a time and watches its return.
func storeOut(s scenario, length time.Duration, run func(scenario, func(*bench))) outage {
	var out outage
	s.after = func(b *bench) {
		b.store.SetFaults(memory.Faults{Down: true})
		before := b.attempts.Load()
		time.Sleep(length)
		out.attempts = float64(b.attempts.Load()-before) / length.Seconds()
		b.store.SetFaults(memory.Faults{Latency: toStore})
		out.peak, out.level = b.watchReturn()
	}
	run(s, func(*bench) {})
	return out
}

// watchReturn returns the calls in the busiest of the first 60 s and the time
// until each instance has read the store again, to the second.
func (b *bench) watchReturn() (peak float64, level time.Duration) {
	back := time.Now()
	last := b.attempts.Load()
	for range 60 {
		if !b.allVerified(back) {
			level = time.Since(back) + time.Second
		}
		time.Sleep(time.Second)
		now := b.attempts.Load()
		peak = max(peak, float64(now-last))
		last = now
	}
	return peak, level
}

func (b *bench) allVerified(since time.Time) bool {
	for _, m := range b.members {
		if m.follower.Status(time.Now()).Verified.Before(since) {
			return false
		}
	}
	return true
}

func TestTheStoresReturnBringsNoBurst(t *testing.T) {
	out := storeOut(largest(), 3*time.Minute, func(s scenario, then func(*bench)) { measure(t, s, then) })
	assert.Assert(t, out.attempts <= readsBound, "%.1f attempts a second, bound %d", out.attempts, readsBound)
	assert.Assert(t, out.peak <= readsBound, "%.0f calls in one second, bound %d", out.peak, readsBound)
}

// BenchmarkConfigurationOutage reports the calls to a store that is out for an
// hour, and the busiest second after its return.
func BenchmarkConfigurationOutage(b *testing.B) {
	for _, s := range sizes() {
		name := fmt.Sprintf("nodes=%d", s.zones*s.perZone)
		naive := s
		naive.alone = true
		b.Run(name, func(b *testing.B) { reportOutage(b, s) })
		b.Run(name+"-baseline", func(b *testing.B) { reportOutage(b, naive) })
	}
}

func reportOutage(b *testing.B, s scenario) {
	var out outage
	for range b.N {
		out = storeOut(s, time.Hour, func(s scenario, then func(*bench)) { virtual(b, s, then) })
	}
	b.ReportMetric(out.attempts, "attempts/s")
	b.ReportMetric(out.peak, "peak-calls/s")
	b.ReportMetric(out.level.Seconds(), "level-s")
	b.ReportMetric(0, "ns/op")
}
