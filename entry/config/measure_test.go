package config

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/platform/memory"
)

// Target bounds of the rollout time, without and with faults, and of the store calls.
const (
	healthyBound = time.Second
	faultBound   = 9 * time.Second
	// readsBound and writesBound are a tenth of the store's rates, in calls per second.
	readsBound  = memory.ReadsPerSecond / 10
	writesBound = memory.WritesPerSecond / 10
)

// rolloutCase is a scenario with the bound of its rollout times.
type rolloutCase struct {
	name  string
	bound time.Duration
	scenario
}

func rolloutCases() []rolloutCase {
	base := scenario{zones: 4, perZone: 2, changes: 40, interval: 2 * time.Second}
	with := func(change func(*scenario)) scenario {
		s := base
		change(&s)
		return s
	}
	setFaults := func(f memory.Faults) func(*simulation) { return func(sim *simulation) { sim.store.SetFaults(f) } }
	return []rolloutCase{
		{"healthy", healthyBound, base},
		{"store-slow-1s", faultBound, with(func(s *scenario) { s.beforeChanges = setFaults(memory.Faults{Latency: time.Second}) })},
		{"watch-events-lost", faultBound, with(func(s *scenario) {
			s.beforeChanges = setFaults(memory.Faults{Latency: storeLatency, LostWatchEvents: true})
		})},
		{"watches-hung-no-mesh", faultBound, with(func(s *scenario) {
			s.noMesh = true
			s.beforeChanges = setFaults(memory.Faults{Latency: storeLatency, HungWatches: true})
		})},
		{"zone-cut-off", faultBound, with(func(s *scenario) {
			s.beforeChanges = func(sim *simulation) { sim.setZoneCut(zoneName(3), true) }
			s.afterChanges = func(sim *simulation) { sim.setZoneCut(zoneName(3), false) }
		})},
		{"store-unavailable-after-acceptance", faultBound, with(func(s *scenario) {
			// No watch delivers the event, so only the accepting instance has the revision.
			s.beforeChanges = setFaults(memory.Faults{Latency: storeLatency, LostWatchEvents: true})
			s.onEffect = setFaults(memory.Faults{Latency: storeLatency, Down: true})
			s.onAccepted = func(sim *simulation) {
				time.Sleep(5 * time.Second)
				sim.store.SetFaults(memory.Faults{Latency: storeLatency, LostWatchEvents: true})
			}
		})},
	}
}

// rolloutTimes returns the sorted rollout times of the accepted revisions; a revision
// that is not in force everywhere counts as an hour.
func (sim *simulation) rolloutTimes() []time.Duration {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	minRevision := sim.members[0].follower.Current().Revision
	for _, m := range sim.members {
		minRevision = min(minRevision, m.follower.Current().Revision)
	}
	var out []time.Duration
	for revision, reachableAt := range sim.reachableAt {
		if revision > minRevision {
			out = append(out, time.Hour)
			continue
		}
		out = append(out, max(0, sim.inForceAt[revision].Sub(reachableAt)))
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

func TestRolloutStaysWithinBounds(t *testing.T) {
	for _, c := range rolloutCases() {
		t.Run(c.name, func(t *testing.T) {
			measure(t, c.scenario, func(sim *simulation) {
				times := sim.rolloutTimes()
				assert.Equal(t, len(times), c.changes, "accepted changes")
				assert.Assert(t, times[len(times)-1] <= c.bound, "slowest rollout %s, bound %s", times[len(times)-1], c.bound)
			})
		})
	}
}

// BenchmarkConfigurationRollout reports the virtual time from acceptance until a
// revision is in force on all of 8 entry instances in 4 availability zones. In the
// baseline there is no mesh and every instance watches.
func BenchmarkConfigurationRollout(b *testing.B) {
	for _, c := range rolloutCases() {
		b.Run(c.name, func(b *testing.B) { reportRollout(b, c.scenario) })
		if c.noMesh {
			continue
		}
		baseline := c.scenario
		baseline.noMesh = true
		b.Run(c.name+"-baseline", func(b *testing.B) { reportRollout(b, baseline) })
	}
}

func reportRollout(b *testing.B, s scenario) {
	var sim *simulation
	for range b.N {
		runVirtual(b, s, func(done *simulation) { sim = done })
	}
	times := sim.rolloutTimes()
	milliseconds := func(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
	b.ReportMetric(milliseconds(quantile(times, 0.5)), "p50-ms")
	b.ReportMetric(milliseconds(quantile(times, 0.99)), "p99-ms")
	b.ReportMetric(milliseconds(quantile(times, 1)), "max-ms")
	b.ReportMetric(milliseconds(quantile(sim.acceptTimes, 0.5)), "accept-ms")
	b.ReportMetric(0, "ns/op")
}

// runVirtual runs a scenario in virtual time. It starts a test, because synctest needs
// a *testing.T.
func runVirtual(b *testing.B, s scenario, inspect func(*simulation)) {
	run := []testing.InternalTest{{Name: b.Name(), F: func(t *testing.T) { measure(t, s, inspect) }}}
	matchAll := func(string, string) (bool, error) { return true, nil }
	if !testing.RunTests(matchAll, run) {
		b.Fatal("the scenario failed")
	}
}

// storeRates are the rates of store calls per second.
type storeRates struct{ reads, writes float64 }

// measureRates runs the instances for ten minutes at the target's rate of changes. Each
// second that a watch waits counts as a read.
func measureRates(s scenario, run func(scenario, func(*simulation))) storeRates {
	var before memory.Calls
	var out storeRates
	const window = 10 * time.Minute
	s.beforeChanges = func(sim *simulation) { before = sim.store.Calls() }
	s.changes, s.interval = 22, 27*time.Second // 3,100 a day
	run(s, func(sim *simulation) {
		calls := sim.store.Calls()
		seconds := (window + time.Minute).Seconds()
		reads := float64(calls.Reads-before.Reads) + calls.WaitSeconds - before.WaitSeconds
		out = storeRates{reads / seconds, float64(calls.Writes-before.Writes) / seconds}
	})
	return out
}

// fleetSizes returns fleets from the present size to the target's 13 availability zones.
func fleetSizes() []scenario {
	return []scenario{{zones: 4, perZone: 2}, {zones: 4, perZone: 4}, {zones: 8, perZone: 4}, {zones: 13, perZone: 5}}
}

func largestFleet() scenario { return fleetSizes()[len(fleetSizes())-1] }

func TestStoreCallRatesStayWithinBounds(t *testing.T) {
	rates := measureRates(largestFleet(), func(s scenario, inspect func(*simulation)) { measure(t, s, inspect) })
	assert.Assert(t, rates.reads <= readsBound, "%.1f reads per second, bound %d", rates.reads, readsBound)
	assert.Assert(t, rates.writes <= writesBound, "%.1f writes per second, bound %d", rates.writes, writesBound)
}

// BenchmarkConfigurationStoreCalls reports the store calls per second of all entry
// instances. In the baseline there is no mesh and every instance watches.
func BenchmarkConfigurationStoreCalls(b *testing.B) {
	for _, s := range fleetSizes() {
		name := fmt.Sprintf("nodes=%d", s.zones*s.perZone)
		baseline := s
		baseline.noMesh = true
		b.Run(name, func(b *testing.B) { reportRates(b, s) })
		b.Run(name+"-baseline", func(b *testing.B) { reportRates(b, baseline) })
	}
}

func reportRates(b *testing.B, s scenario) {
	var rates storeRates
	for range b.N {
		rates = measureRates(s, func(s scenario, inspect func(*simulation)) { runVirtual(b, s, inspect) })
	}
	b.ReportMetric(rates.reads, "reads/s")
	b.ReportMetric(rates.writes, "writes/s")
	b.ReportMetric(0, "ns/op")
}

// outage is the load on the store during and after an outage.
type outage struct {
	attempts float64 // calls per second during the outage
	peak     float64 // calls in the busiest second after the outage
	// recovery is the time from the end of the outage until all instances have read the
	// log.
	recovery time.Duration
}

// measureOutage makes the store unavailable for the length and measures the calls
// during and after the outage.
func measureOutage(s scenario, length time.Duration, run func(scenario, func(*simulation))) outage {
	var out outage
	s.afterChanges = func(sim *simulation) {
		sim.store.SetFaults(memory.Faults{Down: true})
		before := sim.attempts.Load()
		time.Sleep(length)
		out.attempts = float64(sim.attempts.Load()-before) / length.Seconds()
		sim.store.SetFaults(memory.Faults{Latency: storeLatency})
		out.peak, out.recovery = sim.measureRecovery()
	}
	run(s, func(*simulation) {})
	return out
}

// measureRecovery returns the calls in the busiest of the first 60 s after an outage and
// the time until each instance has read the store again, at a resolution of 1 s.
func (sim *simulation) measureRecovery() (peak float64, recovery time.Duration) {
	available := time.Now()
	last := sim.attempts.Load()
	for range 60 {
		if !sim.allVerified(available) {
			recovery = time.Since(available) + time.Second
		}
		time.Sleep(time.Second)
		now := sim.attempts.Load()
		peak = max(peak, float64(now-last))
		last = now
	}
	return peak, recovery
}

func (sim *simulation) allVerified(since time.Time) bool {
	for _, m := range sim.members {
		if m.follower.Status(time.Now()).Verified.Before(since) {
			return false
		}
	}
	return true
}

func TestStoreRecoveryCausesNoCallBurst(t *testing.T) {
	out := measureOutage(largestFleet(), 3*time.Minute, func(s scenario, inspect func(*simulation)) { measure(t, s, inspect) })
	assert.Assert(t, out.attempts <= readsBound, "%.1f attempts per second, bound %d", out.attempts, readsBound)
	assert.Assert(t, out.peak <= readsBound, "%.0f calls in one second, bound %d", out.peak, readsBound)
}

// BenchmarkConfigurationOutage reports the rate of calls to a store that is unavailable
// for an hour, the calls in the busiest second afterwards and the time to recovery.
func BenchmarkConfigurationOutage(b *testing.B) {
	for _, s := range fleetSizes() {
		name := fmt.Sprintf("nodes=%d", s.zones*s.perZone)
		baseline := s
		baseline.noMesh = true
		b.Run(name, func(b *testing.B) { reportOutage(b, s) })
		b.Run(name+"-baseline", func(b *testing.B) { reportOutage(b, baseline) })
	}
}

func reportOutage(b *testing.B, s scenario) {
	var out outage
	for range b.N {
		out = measureOutage(s, time.Hour, func(s scenario, inspect func(*simulation)) { runVirtual(b, s, inspect) })
	}
	b.ReportMetric(out.attempts, "attempts/s")
	b.ReportMetric(out.peak, "peak-calls/s")
	b.ReportMetric(out.recovery.Seconds(), "level-s")
	b.ReportMetric(0, "ns/op")
}
