package fleetplan

import (
	"math"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/policy/shard"
)

const (
	// idleBefore is how long no jobs arrive before the traffic starts.
	idleBefore = 13 * time.Second
	// feedPeakInterval is the interval between the peaks of the services a, b, c and d.
	feedPeakInterval = 6600 * time.Millisecond
	// feedPeakLength is the length of a peak: the next one starts before its end.
	feedPeakLength = 7500 * time.Millisecond
	// beforeFourthPeak is the time until which the peak of d, the fourth, must not be
	// prepared for.
	beforeFourthPeak = 3*feedPeakInterval - 3*time.Second
)

// demandFeed feeds arriving jobs to a planner. rate is in machines, by service and time
// since the traffic started; jobWork, the work of one job, and arrived, the work so far,
// are in core-milliseconds.
type demandFeed struct {
	*simFleet
	rate    func(service cluster.Service, since time.Duration) float64
	jobWork map[cluster.Service]float64
	arrived map[cluster.Service]float64
	// outage reports whether loads can be neither published nor read; nil means never.
	outage func(since time.Duration) bool
}

func newDemandFeed(t testingT, rate func(cluster.Service, time.Duration) float64) *demandFeed {
	return &demandFeed{
		simFleet: newSimFleet(t, map[cluster.Service]int{"a": 8, "b": 8, "c": 8, "d": 8}, 40),
		rate:     rate,
		jobWork:  map[cluster.Service]float64{"a": replayJobWork, "b": replayJobWork, "c": replayJobWork, "d": replayJobWork},
		arrived:  map[cluster.Service]float64{},
	}
}

// run feeds the planner until a time, and calls afterPlan after each plan.
func (feed *demandFeed) run(until time.Duration, afterPlan func(since time.Duration)) {
	for since := -idleBefore; since < until; since += replayTick {
		published := feed.outage == nil || !feed.outage(since)
		switch {
		case published:
			feed.loadsOutageSince = time.Time{}
		case feed.loadsOutageSince.IsZero():
			feed.loadsOutageSince = feed.now
		}
		for _, service := range replayServices {
			if since >= 0 {
				feed.arrived[service] += 16000 * feed.rate(service, since) * replayTick.Seconds()
			}
			if !published {
				continue
			}
			l := feed.loads[service]
			l.ArrivedJobs = int64(feed.arrived[service] / feed.jobWork[service])
			l.ArrivedWork = l.ArrivedJobs * int64(feed.jobWork[service])
			feed.loads[service] = l
		}
		feed.step(accept)
		afterPlan(since)
	}
}

// inTimeNeed returns how many machines the last plan counted for jobs of a service that
// can be in time.
func (feed *demandFeed) inTimeNeed(service cluster.Service) int {
	for _, n := range feed.planner.lastNeeds {
		if n.service == service {
			return n.inTime
		}
	}
	return 0
}

func (feed *demandFeed) servicesWithPeaks() []cluster.Service {
	var list []cluster.Service
	for _, start := range feed.planner.peaks.starts {
		list = append(list, start.Service)
	}
	return list
}

// sequentialPeaks returns the rate of a service whose peak follows those of the services
// before it.
func sequentialPeaks(service cluster.Service, since time.Duration) float64 {
	at := since - time.Duration(service[0]-'a')*feedPeakInterval
	if at < 0 || at > feedPeakLength {
		return 0
	}
	return replayPeakMachines * math.Sin(math.Pi*at.Seconds()/feedPeakLength.Seconds())
}

// A peak dips near its end, after the next service's peak has started, and rises again:
// this is the same peak, and the peak interval must not change. A service whose predicted
// peak is seconds away, and whose demand is almost zero, must get no machines early.
func TestDipDuringTheNextPeakIsNoNewPeak(t *testing.T) {
	feed := newDemandFeed(t, func(service cluster.Service, since time.Duration) float64 {
		if service == "a" && since >= 6500*time.Millisecond && since < 9*time.Second {
			if since < 7900*time.Millisecond {
				return 0
			}
			return 20
		}
		return sequentialPeaks(service, since)
	})
	maxNeed := 0
	feed.run(3*feedPeakInterval, func(since time.Duration) {
		if since < beforeFourthPeak {
			maxNeed = max(maxNeed, feed.inTimeNeed("d"))
		}
	})
	assert.DeepEqual(t, feed.servicesWithPeaks(), []cluster.Service{"a", "b", "c"})
	assert.Equal(t, maxNeed, minPoolMachines)
	assert.Assert(t, feed.planner.peaks.lastRates["a"] > 0.7*replayPeakMachines*16000, "%.0f", feed.planner.peaks.lastRates["a"])
}

// A few large jobs of one service arrive during the very first peak, of another service:
// 3 jobs per second are not significant beside it, whether it is detected before or after
// them.
func TestFewJobsDuringTheFirstPeakAreNoPeak(t *testing.T) {
	for _, burstStart := range []time.Duration{0, 2 * time.Second, 4 * time.Second} {
		feed := newDemandFeed(t, func(service cluster.Service, since time.Duration) float64 {
			if service == "d" && since >= burstStart && since < burstStart+2500*time.Millisecond {
				return 3.75
			}
			return sequentialPeaks(service, since)
		})
		feed.jobWork["d"] = 20_000
		maxNeed := 0
		feed.run(3*feedPeakInterval, func(since time.Duration) {
			if since >= burstStart+4*time.Second && since < beforeFourthPeak {
				maxNeed = max(maxNeed, feed.inTimeNeed("d"))
			}
		})
		assert.DeepEqual(t, feed.servicesWithPeaks(), []cluster.Service{"a", "b", "c"})
		assert.Equal(t, maxNeed, minPoolMachines, "from %s", burstStart)
	}
}

// The duty changes its holder while the first peak rises: the successor, which has no
// measurements yet, must keep the recorded start.
func TestSuccessorKeepsTheStartOfARisingPeak(t *testing.T) {
	feed := newDemandFeed(t, sequentialPeaks)
	feed.run(2*time.Second, func(time.Duration) {})
	seen := feed.planner.peaks.starts
	assert.Equal(t, len(seen), 1)
	successor := New(testLimits)
	successor.RestoreDemandHistory(feed.planner.DemandHistory())
	feed.planner = successor
	for range 3 {
		feed.step(accept)
		assert.DeepEqual(t, feed.planner.peaks.starts, seen)
	}
}

// outagesAt returns whether the store is unavailable, for 4.5 s from each of the times on.
func outagesAt(starts ...time.Duration) func(since time.Duration) bool {
	return func(since time.Duration) bool {
		return slices.ContainsFunc(starts, func(from time.Duration) bool {
			return since >= from && since < from+4500*time.Millisecond
		})
	}
}

// The planner sees no arrivals during an outage and then all at once: no peak starts or ends
// with that.
func TestSteadyDemandHasNoPeaksAcrossOutages(t *testing.T) {
	feed := newDemandFeed(t, func(cluster.Service, time.Duration) float64 { return 6 })
	feed.outage = outagesAt(20*time.Second, 27*time.Second, 36*time.Second)
	before := 0
	feed.run(50*time.Second, func(since time.Duration) {
		if since < 20*time.Second {
			before = feed.planner.peakChanges
		}
	})
	assert.Equal(t, feed.planner.peakChanges, before, "%v", feed.planner.peaks.starts)
}

// Peaks beside outages are learned as high as they are, and not as starting together.
func TestPeaksAreLearnedAcrossOutages(t *testing.T) {
	feed := newDemandFeed(t, sequentialPeaks)
	feed.outage = outagesAt(2*time.Second, 10*time.Second, 17*time.Second)
	feed.run(30*time.Second, func(time.Duration) {})
	for service, rate := range feed.planner.peaks.lastRates {
		assert.Assert(t, rate < 1.3*replayPeakMachines*16000, "%s: %.0f machines", service, rate/16000)
	}
	for i, start := range feed.planner.peaks.starts {
		for _, other := range feed.planner.peaks.starts[:i] {
			assert.Assert(t, !start.At.Equal(other.At), "peaks of %s and %s start together", start.Service, other.Service)
		}
	}
}

// An owner reports that it could not publish its arrivals for a while, though the planner
// could read.
func TestArrivalsAfterAnOwnersGapAreNoPeak(t *testing.T) {
	for _, reported := range []bool{true, false} {
		d := &demand{}
		p := New(testLimits)
		p.demand["a"] = d
		load := shard.Load{Executors: map[cluster.ExecutorID]shard.ExecutorLoad{}}
		now := time.Unix(1000, 0)
		plan := func(jobs int64) {
			load.ArrivedJobs += jobs
			load.ArrivedWork += 16_000 * jobs
			p.observe(newView(Snapshot{Now: now, LoadsReadAt: now, Loads: map[cluster.Service]shard.Load{"a": load}}))
			now = now.Add(100 * time.Millisecond)
		}
		for range 100 {
			plan(1)
		}
		for range 30 {
			plan(0) // the owner's write takes 3 s
		}
		if reported {
			load.ObservationGaps++
		}
		plan(30)
		for range 30 {
			plan(1)
		}
		assert.Equal(t, d.peakMaxRate == 0, reported)
	}
}
