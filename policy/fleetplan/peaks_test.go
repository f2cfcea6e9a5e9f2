package fleetplan

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/cluster"
)

// Services have their peaks in rotation; once the order is known, the next peak is
// expected in time.
func TestSequencePredictsTheNextPeak(t *testing.T) {
	peaks := newPeakSequence()
	start := time.Unix(1000, 0)
	for i, service := range []cluster.Service{"a", "b", "c", "a", "b"} {
		peaks.services[service] = true
		peaks.recordStart(service, start.Add(time.Duration(i)*4*time.Second))
	}
	next := start.Add(5 * 4 * time.Second)
	lead := 2 * time.Second
	due := func(service cluster.Service, at time.Time) bool {
		_, isDue := peaks.dueWithin(service, at, lead)
		return isDue
	}
	assert.Assert(t, !due("c", next.Add(-3*time.Second)))
	assert.Assert(t, due("c", next.Add(-time.Second)))
	assert.Assert(t, !due("c", next.Add(overdueLimit)))
	assert.Assert(t, !due("a", next.Add(-time.Second)))
}

// Six jobs within 600 ms are a peak; two large ones are not.
func TestPeaksAreDistinguishedFromChance(t *testing.T) {
	demandAfter := func(jobs, work int64) *demand {
		d := &demand{}
		now := time.Unix(1000, 0)
		d.addSample(sample{at: now})
		now = now.Add(5 * time.Second)
		d.addSample(sample{at: now})
		for i := range jobs {
			now = now.Add(100 * time.Millisecond)
			d.addSample(sample{at: now, work: (i + 1) * work, jobs: i + 1})
		}
		return d
	}
	assert.Assert(t, demandAfter(6, 7000).inPeak)
	assert.Assert(t, !demandAfter(2, 60000).inPeak)
}

// After the first rotation, the service that had the first peak is next.
func TestSequencePredictsTheSecondRotation(t *testing.T) {
	peaks := newPeakSequence()
	start := time.Unix(1000, 0)
	for i, service := range []cluster.Service{"a", "b", "c"} {
		peaks.services[service] = true
		peaks.recordStart(service, start.Add(time.Duration(i)*4*time.Second))
	}
	at, predicted := peaks.predict("a")
	assert.Assert(t, predicted)
	assert.Equal(t, at, start.Add(12*time.Second))
	_, predicted = peaks.predict("b")
	assert.Assert(t, !predicted)
}

// A service gets a new owner, whose counters start from zero, during its peak or just as a
// peak starts: with the mean known, the peak is detected within half a second.
func TestPeakIsDetectedAcrossAChangeOfOwner(t *testing.T) {
	for _, inPeak := range []bool{true, false} {
		d := &demand{meanRate: 2000, inPeak: inPeak, peakSince: time.Unix(999, 0)}
		now := time.Unix(1000, 0)
		detected := false
		for i := range int64(6) {
			d.addSample(sample{at: now, work: i * 2000, jobs: i * 2}) // 20,000 thousandths of a core
			detected = detected || d.inPeak
			assert.Assert(t, !inPeak || d.inPeak)
			now = now.Add(100 * time.Millisecond)
		}
		assert.Assert(t, detected)
	}
}

// One peak is detected seconds late, after an outage: the interval that the others give
// must not change.
func TestPeakDetectedLateDoesNotShiftTheInterval(t *testing.T) {
	peaks := newPeakSequence()
	start := time.Unix(1000, 0)
	for i, delay := range []time.Duration{300, -200, 6500, 100} {
		service := cluster.Service(rune('a' + i))
		peaks.services[service] = true
		peaks.recordStart(service, start.Add(time.Duration(i)*10*time.Second+delay*time.Millisecond))
	}
	at, predicted := peaks.predict("a")
	assert.Assert(t, predicted)
	assert.Assert(t, at.Sub(start.Add(40*time.Second)).Abs() <= time.Second, "%s", at.Sub(start))
}

// The duty changes its holder while a service's first peak rises: the rate reached so far
// must not count as its peak rate.
func TestRisingPeakIsHandedOverUnfinished(t *testing.T) {
	p := New(testLimits)
	now := time.Unix(1000, 0)
	p.peaks.services["a"], p.peaks.services["b"] = true, true
	p.demandOf("b")
	p.peaks.recordPeakRate("b", 600_000)
	*p.demandOf("a") = demand{meanRate: 9_000, inPeak: true, significant: true, peakSince: now, peakSustainedRate: 110_000}
	successor := New(testLimits)
	successor.RestoreDemandHistory(p.DemandHistory())
	assert.Equal(t, successor.peaks.expectedPeakRate("a"), 600_000.0)
	assert.Equal(t, successor.demandOf("a").peakSustainedRate, 110_000.0)
}

// A demand history stored by a holder with a different clock, or with impossible times,
// must not distort the needs.
func TestDemandHistoryOutOfOrderIsHarmless(t *testing.T) {
	at := time.Unix(1000, 0)
	for _, interval := range []time.Duration{0, -10 * time.Second, time.Nanosecond} {
		f := newSimFleet(t, map[cluster.Service]int{"a": 4, "b": 4}, 8)
		f.planner.RestoreDemandHistory(DemandHistory{
			PeakStarts: []PeakStart{{"a", at}, {"b", at.Add(interval)}, {"a", at.Add(2 * interval)}},
			Services:   map[cluster.Service]DemandProfile{"a": {MeanRate: 1000, LastPeakRate: 64_000, PeakSince: f.now}, "b": {MeanRate: 1000, LastPeakRate: 64_000}},
		})
		assert.Assert(t, f.planner.peaks.riseTime() >= minRiseTime)
		for range 50 {
			f.step(accept)
			for _, n := range f.planner.lastNeeds {
				assert.Assert(t, n.inTime >= 0 && n.inTime <= 16, "%+v", n)
			}
		}
	}
}

// The very first peak is extrapolated until a machine requested now becomes usable, by a
// factor of at most maxGrowth; later ones are expected to reach the last peak rate.
func TestFirstPeakIsExtrapolated(t *testing.T) {
	peakSince := time.Unix(1000, 0)
	d := demand{inPeak: true, peakSince: peakSince, rate: 1000}
	lead := 2400 * time.Millisecond
	at := func(since time.Duration, peakRate float64) float64 {
		return d.expectedRate(peakSince.Add(since), peakRate, minRiseTime, lead)
	}
	assert.Equal(t, at(100*time.Millisecond, 0), maxGrowth*1000)
	assert.Equal(t, at(2*time.Second, 0), 2200.0)
	assert.Equal(t, at(lead, 0), 1000.0)
	assert.Equal(t, at(time.Second, 1500), 1500.0)
	d.inPeak = false
	assert.Equal(t, at(time.Second, 0), 0.0)
}

// A few small jobs arrive together by chance in a service whose demand is a small share of
// the others': they are not recorded as a peak, and give no peak rate for the next one.
func TestSmallPeaksAreNotSignificant(t *testing.T) {
	f := newSimFleet(t, map[cluster.Service]int{"a": 8, "b": 8}, 8)
	p := f.planner
	p.peaks.recordPeakRate("a", 20*16000)
	arrive := func(service cluster.Service, jobs, work int64) {
		for range jobs {
			load := f.loads[service]
			load.ArrivedJobs++
			load.ArrivedWork += work
			f.loads[service] = load
			f.step(accept)
		}
	}
	for range 50 {
		f.step(accept)
	}
	arrive("b", 8, 2000)
	assert.Assert(t, p.demandOf("b").inPeak)
	for range 100 {
		f.step(accept)
	}
	assert.Equal(t, len(p.peaks.starts), 0)
	assert.Equal(t, p.peaks.lastRates["b"], 0.0)
	arrive("b", 16, 200_000)
	assert.Equal(t, len(p.peaks.starts), 1)
}
