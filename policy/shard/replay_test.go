package shard

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/execution"
	"github.com/tarragonreach/tarragonreach/api/job"
)

// The replay: a service's peak asks for half as much again as its executors hold, for
// as long as several objectives, and then for little.
const (
	peakTick      = 20 * time.Millisecond
	peakSlots     = 40 // 10 executors of 4 cores, tasks of one
	peakTask      = time.Second
	peakRate      = 60.0 // jobs of one task a second
	peakLength    = 8 * time.Second
	peakAfterRate = 10.0
	peakDay       = 24 * time.Second
	// peakObjective is what submit's terms make of a task of a second: Stretch 2 and a
	// TargetDuration of a second.
	peakObjective = 3 * time.Second
)

// peakArrivals draws the times of arrival.
func peakArrivals(seed uint64) []time.Duration {
	random := rand.New(rand.NewPCG(seed, seed))
	var list []time.Duration
	for at := time.Duration(0); at < peakDay; {
		rate := peakRate
		if at > peakLength {
			rate = peakAfterRate
		}
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		list = append(list, at)
	}
	return list
}

// tally counts what became of the jobs.
type tally struct{ inTime, late, lost int }

func (c *tally) add(took time.Duration) {
	switch {
	case took <= peakObjective:
		c.inTime++
	case took <= tooLateFactor*peakObjective:
		c.late++
	default:
		c.lost++
	}
}

// firstComeFirstServed plays the arrivals through a queue.
func firstComeFirstServed(arrivals []time.Duration) tally {
	free := make([]time.Duration, peakSlots)
	var c tally
	for _, at := range arrivals {
		first := 0
		for i := range free {
			if free[i] < free[first] {
				first = i
			}
		}
		free[first] = max(free[first], at) + peakTask
		c.add(free[first] - at)
	}
	return c
}

// peakRun is a task at work in the replay.
type peakRun struct {
	ref execution.RunRef
	end time.Time
}

// playShard plays the arrivals through a shard, which sees ends by its looks.
func playShard(t *testing.T, arrivals []time.Duration) tally {
	var executors []cluster.Executor
	for i := range peakSlots / 4 {
		executors = append(executors, executorOf(fmt.Sprintf("i-%02d", i)))
	}
	b := newBench(t, executors...)
	begin := b.now
	running := map[cluster.ExecutorID][]peakRun{}
	sequence := map[cluster.ExecutorID]int64{}
	accepted := map[job.ID]time.Time{}
	var c tally
	for b.now.Sub(begin) < peakDay+20*time.Second {
		for len(arrivals) > 0 && begin.Add(arrivals[0]).Before(b.now) {
			id := job.ID(fmt.Sprintf("%016x", len(accepted)+1))
			accepted[id] = b.now
			b.submit(id, oneTask)
			arrivals = arrivals[1:]
		}
		for _, o := range b.round() {
			assert.Equal(t, o.Kind, CommandStart)
			running[o.Executor.ID] = append(running[o.Executor.ID], peakRun{o.Start.RunRef, b.now.Add(peakTask)})
			b.s.HandleCommandResult(o, Answered, execution.Reply{ClockMs: 1000}, b.now)
		}
		for _, look := range b.s.Polls(b.now) {
			id := look.Executor.ID
			view := execution.PollResponse{Reply: execution.Reply{ClockMs: 1000}}
			var left []peakRun
			for _, r := range running[id] {
				if b.now.Before(r.end) {
					left = append(left, r)
					view.Running = append(view.Running, execution.Running{RunRef: r.ref, Percent: 100})
					continue
				}
				sequence[id]++
				view.Ended = append(view.Ended, execution.Ended{RunRef: r.ref, Sequence: sequence[id], Reason: execution.EndedDone})
				c.add(b.now.Sub(accepted[r.ref.Task.Job]))
			}
			running[id] = left
			b.s.HandlePollResult(look, Answered, view, b.now)
		}
		b.now = b.now.Add(peakTick)
	}
	c.lost += len(accepted) - c.inTime - c.late - c.lost
	return c
}

// Under a peak beyond the room, first come, first served makes nearly all jobs late
// once the queue is as long as the objective. The shard's order keeps new ones in time,
// and serves most of the others while they are of use.
func TestOrderKeepsJobsInTimeThroughAPeak(t *testing.T) {
	for seed := range uint64(3) {
		arrivals := peakArrivals(seed + 1)
		naive := firstComeFirstServed(arrivals)
		ours := playShard(t, arrivals)
		t.Logf("seed %d: first come %+v, shard %+v", seed+1, naive, ours)
		assert.Assert(t, 10*ours.inTime >= 11*naive.inTime)
		assert.Assert(t, 100*ours.lost <= len(arrivals))
	}
}
