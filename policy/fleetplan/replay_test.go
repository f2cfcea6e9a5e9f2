package fleetplan

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/policy/shard"
)

// The replay simulates services that have their peaks in rotation. Each peak rises and
// falls smoothly and needs more machines than the service's own pool has. Work is modelled
// as a continuous quantity; it is in time if it starts within replayMaxWait of its arrival.
const (
	replayTick         = 100 * time.Millisecond
	replayPeakLength   = 10 * time.Second
	replayPeakMachines = 34.0 // machines needed at the maximum of a peak
	replayBaseMachines = 0.3  // machines that a service needs between its peaks
	replayMaxWait      = 500 * time.Millisecond
	replayJobWork      = 5 * 1000.0              // core-milliseconds
	replayTaskTime     = 1300 * time.Millisecond // how long a task occupies its machine
)

var replayServices = []cluster.Service{"a", "b", "c", "d"}

// rateAt returns the demand in machines of the n-th service at a time since the start.
func rateAt(n int, since time.Duration) float64 {
	period := replayPeakLength * time.Duration(len(replayServices))
	at := (since - time.Duration(n)*replayPeakLength) % period
	if at < 0 {
		at += period
	}
	if at > replayPeakLength {
		return replayBaseMachines
	}
	sine := math.Sin(math.Pi * at.Seconds() / replayPeakLength.Seconds())
	return replayBaseMachines + (replayPeakMachines-replayBaseMachines)*sine*sine
}

// workItem is the work that arrived in one tick.
type workItem struct {
	at   time.Time
	work float64 // machine-seconds
}

// replay feeds the demand to a simulated fleet.
type replay struct {
	*simFleet
	startedAt time.Time
	queues    map[cluster.Service][]workItem
	arrived   map[cluster.Service]float64      // core-milliseconds
	busyUntil map[cluster.ExecutorID]time.Time // until when tasks run
	total     float64                          // work that arrived, machine-seconds
	inTime    float64                          // part of total done in time
	perPeak   []float64                        // share of the work in time, by peak
	fixed     bool                             // machines stay in their pools
}

func newReplay(t testingT, sizes map[cluster.Service]int, spare int) *replay {
	f := newSimFleet(t, sizes, spare)
	return &replay{simFleet: f, startedAt: f.now, queues: map[cluster.Service][]workItem{}, arrived: map[cluster.Service]float64{}, busyUntil: map[cluster.ExecutorID]time.Time{}}
}

// serve lets the machines of a pool work for a tick, on the oldest work first and on late
// work last. It returns the machine-seconds that remain: those that can still be in time,
// and late ones that arrived at most three times replayMaxWait ago.
func (r *replay) serve(service cluster.Service) (inTime, late float64) {
	capacity, waiting := 0.0, 0.0
	for _, item := range r.queues[service] {
		waiting += item.work
	}
	for _, id := range r.ids {
		m := r.machines[id]
		if m.Pool == service && m.State == cluster.MachineUp && m.Executor != "" && r.cordons[m.Executor].ID == "" && capacity < waiting {
			capacity += replayTick.Seconds()
			r.busyUntil[m.Executor] = r.now.Add(replayTaskTime)
		}
	}
	var remaining []workItem
	for _, onTime := range []bool{true, false} {
		for _, item := range r.queues[service] {
			if r.now.Sub(item.at) <= replayMaxWait != onTime {
				continue
			}
			done := min(capacity, item.work)
			capacity -= done
			if onTime {
				r.inTime += done
			}
			if item.work -= done; item.work > 0 {
				remaining = append(remaining, item)
			}
		}
	}
	r.queues[service] = remaining
	for _, item := range remaining {
		if r.now.Sub(item.at) <= replayMaxWait {
			inTime += item.work
		} else if r.now.Sub(item.at) <= 3*replayMaxWait {
			late += item.work
		}
	}
	return inTime, late
}

func (r *replay) tick() {
	for n, service := range replayServices {
		work := rateAt(n, r.now.Sub(r.startedAt)) * replayTick.Seconds()
		r.queues[service] = append(r.queues[service], workItem{r.now, work})
		r.arrived[service] += work * 16000
		r.total += work
		inTime, late := r.serve(service)
		l := r.loads[service]
		l.InTimeCPU, l.LateCPU = int64(16000*inTime), int64(16000*late)
		l.ArrivedWork = int64(r.arrived[service])
		l.ArrivedJobs = int64(1000 * r.arrived[service] / replayJobWork / 1000)
		r.markBusy(l)
		r.loads[service] = l
	}
	if r.fixed {
		r.refreshLoads()
		r.now = r.now.Add(replayTick)
		return
	}
	r.step(accept)
}

// markBusy marks the executors in the load on which tasks run.
func (r *replay) markBusy(l shard.Load) {
	for id, x := range l.Executors {
		x.Runs = 0
		if r.now.Before(r.busyUntil[id]) {
			x.Runs = 1
		}
		l.Executors[id] = x
	}
}

// run simulates a number of peaks and records the share of work in time of each;
// beforePeak is called before each.
func (r *replay) run(peaks int, beforePeak func(peak int)) {
	for peak := range peaks {
		beforePeak(peak)
		total, inTime := r.total, r.inTime
		for range int(replayPeakLength / replayTick) {
			r.tick()
		}
		r.perPeak = append(r.perPeak, (r.inTime-inTime)/(r.total-total))
	}
}

func newReplayFleet(t testingT) *replay {
	return newReplay(t, map[cluster.Service]int{"a": 8, "b": 9, "c": 11, "d": 12}, 8)
}

func meanOf(list []float64) float64 {
	sum := 0.0
	for _, x := range list {
		sum += x
	}
	return sum / float64(len(list))
}

// Once every service has had a peak, the peaks are known and their work is in time.
func TestKnownPeaksAreServedInTime(t *testing.T) {
	r := newReplayFleet(t)
	r.run(8, func(int) {})
	t.Logf("share in time by peak: %.2f", r.perPeak)
	assert.Assert(t, meanOf(r.perPeak[4:]) >= 0.95)
}

// The holder of the duty is replaced before each peak after the first rotation. A successor
// that restores the demand history serves the peaks as well as a single planner does.
func TestSuccessorRestoresThePeaks(t *testing.T) {
	shareInTime := func(restore bool) float64 {
		r := newReplayFleet(t)
		r.run(10, func(peak int) {
			if peak < 4 {
				return
			}
			successor := New(testLimits)
			if restore {
				successor.RestoreDemandHistory(r.planner.DemandHistory())
			}
			r.planner = successor
		})
		t.Logf("history restored %t, share in time by peak: %.2f", restore, r.perPeak)
		return meanOf(r.perPeak[4:])
	}
	with, without := shareInTime(true), shareInTime(false)
	assert.Assert(t, with >= 0.95, "%.3f", with)
	assert.Assert(t, with > without, "%.3f, %.3f", with, without)
}

// The baseline serves the work first come, first served, in pools of fixed size.
func TestMovesServeMoreThanFixedPools(t *testing.T) {
	fixed := newReplayFleet(t)
	fixed.fixed = true
	moved := newReplayFleet(t)
	for _, r := range []*replay{fixed, moved} {
		r.run(8, func(int) {})
	}
	t.Logf("fixed pools %.2f, moves %.2f", fixed.perPeak, moved.perPeak)
	assert.Assert(t, meanOf(moved.perPeak) > 1.5*meanOf(fixed.perPeak))
}
