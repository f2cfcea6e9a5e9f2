package fleetplan

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/cluster"
)

const (
	// quietBefore is for how long nothing is sent before the traffic starts.
	quietBefore = 13 * time.Second
	// falseTurnGap is the distance between the peaks of the services a, b, c and d.
	falseTurnGap = 6600 * time.Millisecond
	// falseTurnLength is for how long a peak lasts: the next one begins before its end.
	falseTurnLength = 7500 * time.Millisecond
	// beforeFourth is when the peak of d, the fourth, is not yet to be prepared for.
	beforeFourth = 3*falseTurnGap - 3*time.Second
)

// arrivals feeds jobs to a planner: rates in machines, by service and time since the
// traffic started, and the work of one job in core-milliseconds.
type arrivals struct {
	*yard
	rate func(service cluster.Service, since time.Duration) float64
	size map[cluster.Service]float64
	work map[cluster.Service]float64
}

func newArrivals(t fataler, rate func(cluster.Service, time.Duration) float64) *arrivals {
	return &arrivals{
		yard: newYard(t, map[cluster.Service]int{"a": 8, "b": 8, "c": 8, "d": 8}, 40),
		rate: rate,
		size: map[cluster.Service]float64{"a": replayJobWork, "b": replayJobWork, "c": replayJobWork, "d": replayJobWork},
		work: map[cluster.Service]float64{},
	}
}

// run feeds the planner until a time, and calls look after each plan.
func (a *arrivals) run(until time.Duration, look func(since time.Duration)) {
	for since := -quietBefore; since < until; since += replayTick {
		for _, service := range replayServices {
			if since >= 0 {
				a.work[service] += 16000 * a.rate(service, since) * replayTick.Seconds()
			}
			l := a.loads[service]
			l.ArrivedJobs = int64(a.work[service] / a.size[service])
			l.ArrivedWork = l.ArrivedJobs * int64(a.size[service])
			a.loads[service] = l
		}
		a.step(agree)
		look(since)
	}
}

// wanted is how many machines the last plan counted as in time for a service.
func (a *arrivals) wanted(service cluster.Service) int {
	for _, n := range a.planner.lastNeeds {
		if n.service == service {
			return n.inTime
		}
	}
	return 0
}

func (a *arrivals) turnsSeen() []cluster.Service {
	var list []cluster.Service
	for _, turn := range a.planner.turns.history {
		list = append(list, turn.Service)
	}
	return list
}

// inTurn is the rate of a service whose peaks follow those of the services before it.
func inTurn(service cluster.Service, since time.Duration) float64 {
	at := since - time.Duration(service[0]-'a')*falseTurnGap
	if at < 0 || at > falseTurnLength {
		return 0
	}
	return replayHeight * math.Sin(math.Pi*at.Seconds()/falseTurnLength.Seconds())
}

// A peak dips at its end while the next service's one has begun, and rises once more: that
// is the same turn, whose rhythm stays. A service whose turn is seconds away, and that is
// sent nearly nothing, gets no machines before it is time.
func TestDipWhileTheNextPeakRunsIsNoTurn(t *testing.T) {
	a := newArrivals(t, func(service cluster.Service, since time.Duration) float64 {
		if service == "a" && since >= 6500*time.Millisecond && since < 9*time.Second {
			if since < 7900*time.Millisecond {
				return 0
			}
			return 20
		}
		return inTurn(service, since)
	})
	most := 0
	a.run(3*falseTurnGap, func(since time.Duration) {
		if since < beforeFourth {
			most = max(most, a.wanted("d"))
		}
	})
	assert.DeepEqual(t, a.turnsSeen(), []cluster.Service{"a", "b", "c"})
	assert.Equal(t, most, leastMachines)
	assert.Assert(t, a.planner.turns.peaks["a"] > 0.7*replayHeight*16000, "%.0f", a.planner.turns.peaks["a"])
}

// A few large jobs of one service come while the first peak of all, of another service,
// runs: 3 jobs a second are no turn beside it, whether it is noticed before or after them.
func TestFewJobsBesideTheFirstPeakAreNoTurn(t *testing.T) {
	for _, begin := range []time.Duration{0, 2 * time.Second, 4 * time.Second} {
		a := newArrivals(t, func(service cluster.Service, since time.Duration) float64 {
			if service == "d" && since >= begin && since < begin+2500*time.Millisecond {
				return 3.75
			}
			return inTurn(service, since)
		})
		a.size["d"] = 20_000
		most := 0
		a.run(3*falseTurnGap, func(since time.Duration) {
			if since >= begin+4*time.Second && since < beforeFourth {
				most = max(most, a.wanted("d"))
			}
		})
		assert.DeepEqual(t, a.turnsSeen(), []cluster.Service{"a", "b", "c"})
		assert.Equal(t, most, leastMachines, "from %s", begin)
	}
}

// The duty changes its holder while the first peak rises: its successor, which has measured
// nothing yet, keeps the turn.
func TestSuccessorKeepsTheTurnOfARisingPeak(t *testing.T) {
	a := newArrivals(t, inTurn)
	a.run(2*time.Second, func(time.Duration) {})
	seen := a.planner.turns.history
	assert.Equal(t, len(seen), 1)
	successor := New(yardLimits)
	successor.RestoreDemandHistory(a.planner.DemandHistory())
	a.planner = successor
	for range 3 {
		a.step(agree)
		assert.DeepEqual(t, a.planner.turns.history, seen)
	}
}
