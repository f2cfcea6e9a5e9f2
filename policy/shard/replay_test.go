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

// The replayed demand: a peak of one and a half times the capacity, more than twice as long as
// the objective, and a low rate after it.
const (
	replayTick     = 20 * time.Millisecond
	replaySlots    = 40 // 10 executors of 4 cores, tasks of one core
	replayTaskTime = time.Second
	peakRate       = 60.0 // jobs of one task, per second
	peakDuration   = 8 * time.Second
	rateAfterPeak  = 10.0
	replayDuration = 24 * time.Second
	// replayObjective is the objective of a one-second task under the queue policy of
	// harness.submit: Stretch 2 and a TargetDuration of one second.
	replayObjective = 3 * time.Second
)

// peakArrivals draws the arrival times of the jobs.
func peakArrivals(seed uint64) []time.Duration {
	random := rand.New(rand.NewPCG(seed, seed))
	var list []time.Duration
	for at := time.Duration(0); at < replayDuration; {
		rate := peakRate
		if at > peakDuration {
			rate = rateAfterPeak
		}
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		list = append(list, at)
	}
	return list
}

// outcomes counts the jobs that completed within their objective, late but still of use, and
// too late or never.
type outcomes struct{ inTime, late, tooLate int }

func (c *outcomes) add(took time.Duration) {
	switch {
	case took <= replayObjective:
		c.inTime++
	case took <= tooLateFactor*replayObjective:
		c.late++
	default:
		c.tooLate++
	}
}

// playFIFO plays the arrivals through a first-in, first-out queue.
func playFIFO(arrivals []time.Duration) outcomes {
	freeAt := make([]time.Duration, replaySlots)
	var c outcomes
	for _, at := range arrivals {
		earliest := 0
		for i := range freeAt {
			if freeAt[i] < freeAt[earliest] {
				earliest = i
			}
		}
		freeAt[earliest] = max(freeAt[earliest], at) + replayTaskTime
		c.add(freeAt[earliest] - at)
	}
	return c
}

// replayedRun is a running task of the replay.
type replayedRun struct {
	ref execution.RunRef
	end time.Time
}

// playShard plays the arrivals through a shard, which learns of completions by polls.
func playShard(t *testing.T, arrivals []time.Duration) outcomes {
	var executors []cluster.Executor
	for i := range replaySlots / 4 {
		executors = append(executors, newExecutorNamed(fmt.Sprintf("i-%02d", i)))
	}
	h := newHarness(t, executors...)
	begin := h.now
	running := map[cluster.ExecutorID][]replayedRun{}
	sequence := map[cluster.ExecutorID]int64{}
	accepted := map[job.ID]time.Time{}
	var result outcomes
	for h.now.Sub(begin) < replayDuration+20*time.Second {
		for len(arrivals) > 0 && begin.Add(arrivals[0]).Before(h.now) {
			id := job.ID(fmt.Sprintf("%016x", len(accepted)+1))
			accepted[id] = h.now
			h.submit(id, oneTask)
			arrivals = arrivals[1:]
		}
		for _, cmd := range h.storeAndCommand() {
			assert.Equal(t, cmd.Kind, CommandStart)
			running[cmd.Executor.ID] = append(running[cmd.Executor.ID], replayedRun{cmd.Start.RunRef, h.now.Add(replayTaskTime)})
			h.shard.HandleCommandResult(cmd, Responded, execution.Reply{ClockMs: 1000}, h.now)
		}
		for _, poll := range h.shard.Polls(h.now) {
			id := poll.Executor.ID
			response := execution.PollResponse{Reply: execution.Reply{ClockMs: 1000}}
			var stillRunning []replayedRun
			for _, r := range running[id] {
				if h.now.Before(r.end) {
					stillRunning = append(stillRunning, r)
					response.Running = append(response.Running, execution.Running{RunRef: r.ref, Percent: 100})
					continue
				}
				sequence[id]++
				response.Ended = append(response.Ended, execution.Ended{RunRef: r.ref, Sequence: sequence[id], Reason: execution.EndedDone})
				result.add(h.now.Sub(accepted[r.ref.Task.Job]))
			}
			running[id] = stillRunning
			h.shard.HandlePollResult(poll, Responded, response, h.now)
		}
		h.now = h.now.Add(replayTick)
	}
	result.tooLate += len(accepted) - result.inTime - result.late - result.tooLate
	return result
}

// During a peak beyond the capacity, a FIFO queue makes nearly all jobs late once it is as
// long as the objective. The shard's start order keeps new jobs in time, and completes most
// of the others while they are still of use.
func TestStartOrderKeepsJobsInTimeThroughAPeak(t *testing.T) {
	for seed := range uint64(3) {
		arrivals := peakArrivals(seed + 1)
		fifo := playFIFO(arrivals)
		shard := playShard(t, arrivals)
		t.Logf("seed %d: FIFO %+v, shard %+v", seed+1, fifo, shard)
		assert.Assert(t, 10*shard.inTime >= 11*fifo.inTime)
		assert.Assert(t, 100*shard.tooLate <= len(arrivals))
	}
}
