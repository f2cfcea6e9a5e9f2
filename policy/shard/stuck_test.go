package shard

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/execution"
	"github.com/tarragonreach/tarragonreach/api/job"
)

// An unhealthy executor answers a stop with 503, and has done nothing.
func TestRefusedStopIsRetriedUntilAccepted(t *testing.T) {
	h := newHarnessWithRefusedStop(t)
	again := 0
	for range 100 {
		h.respondToPoll("i-1", h.listRuns("i-1", nil)) // it is still there
		for _, o := range h.storeAndCommand() {
			assert.Equal(t, o.Kind, CommandStop)
			again++
			h.shard.HandleCommandResult(o, Answered, execution.Reply{ClockMs: 1000}, h.now)
		}
	}
	assert.Assert(t, again > 0, "the run goes on, and nobody stops it")
}

// A start has no answer and may be carried out seconds later; the stop that is to keep it
// from that is answered 503. Its task must not start elsewhere meanwhile.
func TestTaskWithRefusedStopStartsNowhereElse(t *testing.T) {
	h := newHarness(t, newExecutorNamed("i-1"), newExecutorNamed("i-2"))
	h.submit("00000000000000aa", oneTask)
	var first cluster.ExecutorID
	for begin := h.now; h.now.Sub(begin) < 5*time.Second; h.now = h.now.Add(50 * time.Millisecond) {
		for _, o := range h.storeAndCommand() {
			switch {
			case first == "":
				first = o.Executor.ID
				h.shard.HandleCommandResult(o, Ambiguous, execution.Reply{}, h.now)
			case o.Executor.ID == first:
				h.shard.HandleCommandResult(o, Answered, execution.Reply{Refusal: execution.RefusedOther}, h.now)
			default:
				t.Fatalf("%s run %d starts on %s while run 1 may begin on %s", o.Start.Task, o.Start.Run, o.Executor.ID, first)
			}
		}
		h.pollAll()
	}
}

// Jobs that can't be done fail on every executor in a row. They are no reason to keep a
// job that can be done waiting beyond the bound.
func TestHopelessJobsDoNotKeepOthersWaiting(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newLivenessWorld(t)
		w.step(faultFreePeriod + startBound)
		for range 16 {
			w.submitSingleTask(true)
		}
		w.step(time.Second)
		w.submitSingleTask(false)
		task := job.TaskID{StepID: job.StepID{Job: testID(w.submitted - 1)}}
		for begin := w.now; !w.isRunning(task); w.step(20 * time.Millisecond) {
			if waits := w.now.Sub(begin); waits > startBound {
				t.Fatalf("LOST: %s has waited for %s, all executors empty: %s", task, waits, w.describe(task.Job))
			}
		}
	})
}

// The same in the world's schedules.
func TestNoTaskWaitsBesideHopelessJobs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { runSchedule(newLivenessWorld(t), false) })
}

// submitOne has a job of one task accepted.
func (w *world) submitSingleTask(alwaysFails bool) {
	id := testID(w.submitted)
	w.submitted++
	r := Record{
		ID: id, Accepted: w.now,
		Definition: job.Definition{Payload: "p", Steps: []job.Step{{Count: 1, Need: job.Resources{MilliCPU: 1000, MemoryMB: 100}, Estimate: 500 * time.Millisecond}}},
		Queue:      QueuePolicy{Name: "q", MaxAttempts: 2, Stretch: 2, TargetDuration: time.Second},
	}
	w.liveness.alwaysFails[id] = alwaysFails
	w.jobs[id] = &storedJob{
		record: r, state: job.Queued,
		ackedDone: map[job.TaskID]bool{}, ackedFailures: map[job.TaskID]int{}, everDone: map[job.TaskID]bool{},
	}
	w.owner.shard.AddJob(r, nil, w.now)
}

// The policy of a queue allows only executors that a first question does not name.
func TestStepStartsOnExecutorsBeyondTheFirstAdviceRequest(t *testing.T) {
	var list []cluster.Executor
	for i := range maxAdviceExecutors + 10 {
		list = append(list, newExecutorNamed(fmt.Sprintf("i-%02d", i)))
	}
	h := newHarness(t, list...)
	h.shard.AddJob(Record{
		ID: "00000000000000aa", Accepted: h.now, Definition: job.Definition{Steps: []job.Step{oneTask}},
		Queue: QueuePolicy{Name: "q", MaxAttempts: 2, Stretch: 2, TargetDuration: time.Second, Advice: &cluster.Advice{Validity: 2 * time.Second}},
	}, nil, h.now)
	allowed := list[len(list)-1].ID
	started := false
	for asked := h.now; h.now.Sub(asked) < time.Minute && !started; h.now = h.now.Add(20 * time.Millisecond) {
		h.pollAll()
		for _, q := range h.shard.AdviceRequests(h.now) {
			good := map[cluster.ExecutorID]string{}
			for _, id := range q.Executors {
				if id == allowed {
					good[id] = "ticket"
				}
			}
			h.shard.HandleAdvice(q, good, 2*time.Second, h.now, h.now)
		}
		started = len(h.storeAndCommand()) > 0
	}
	assert.Assert(t, started, "no executor that may run the step was ever asked about")
}

// The only executor that the advice service named is gone; the next one was not there to
// be asked about.
func TestAdviceIsRequestedAgainOnceItsExecutorsAreRemoved(t *testing.T) {
	h := newHarness(t, newExecutorNamed("i-1"))
	validity := time.Minute
	h.shard.AddJob(Record{
		ID: "00000000000000aa", Accepted: h.now, Definition: job.Definition{Steps: []job.Step{oneTask}},
		Queue: QueuePolicy{Name: "q", MaxAttempts: 2, Stretch: 2, TargetDuration: time.Second, Advice: &cluster.Advice{Validity: validity}},
	}, nil, h.now)
	h.pollAll()
	requests := h.shard.AdviceRequests(h.now)
	assert.Equal(t, len(requests), 1)
	h.shard.HandleAdvice(requests[0], map[cluster.ExecutorID]string{"i-1": "ticket"}, validity, h.now, h.now)
	h.shard.SetExecutors([]cluster.Executor{newExecutorNamed("i-2")}, h.now)
	started := false
	for begin := h.now; h.now.Sub(begin) < startBound && !started; h.now = h.now.Add(20 * time.Millisecond) {
		h.pollAll()
		for _, q := range h.shard.AdviceRequests(h.now) {
			h.shard.HandleAdvice(q, map[cluster.ExecutorID]string{"i-2": "ticket"}, validity, h.now, h.now)
		}
		started = len(h.storeAndCommand()) > 0
	}
	assert.Assert(t, started, "nobody asks about i-2 before the tickets for i-1 end")
}

// An executor dies after a new owner has seen it, so that no earlier owner's lease can
// last longer than one that began then: its task starts again after that lease.
func TestTaskOfExecutorLostSoonAfterATakeoverStartsAgainInTime(t *testing.T) {
	h := newHarness(t, newExecutorNamed("i-1"), newExecutorNamed("i-2"))
	h.shard.AddJob(Record{
		ID: "00000000000000aa", Accepted: h.now, Definition: job.Definition{Steps: []job.Step{oneTask}},
		Queue: QueuePolicy{Name: "q", MaxAttempts: 2, Stretch: 2, TargetDuration: time.Second},
	}, &Progress{Tasks: []TaskProgress{{Run: 1, Executor: "i-1", Address: "i-1:80"}}}, h.now)
	running := execution.PollResponse{Reply: execution.Reply{ClockMs: 1000}, Running: []execution.Running{{
		RunRef: execution.RunRef{Task: job.TaskID{StepID: job.StepID{Job: "00000000000000aa"}}, Run: 1}, Percent: 50,
	}}}
	h.respondToPoll("i-1", running)
	h.shard.SetExecutors([]cluster.Executor{newExecutorNamed("i-2")}, h.now)
	lost := h.now
	for h.now.Sub(lost) < 2*testLimits.MaxRunLease && len(h.storeAndCommandWithout("i-1")) == 0 {
		h.now = h.now.Add(50 * time.Millisecond)
	}
	took := h.now.Sub(lost)
	assert.Assert(t, took < faultFreePeriod+startBound, "started again after %s", took)
}

// An executor is gone, and owners follow each other more quickly than the lease that each
// of them assumes to be left there.
func TestTaskOfLostExecutorStartsAgainThoughOwnersChange(t *testing.T) {
	const takeovers = 3
	every := 8 * time.Second
	var h *harness
	now := time.Unix(1000, 0)
	for range takeovers {
		h = &harness{t: t, shard: New(testLimits, now.Unix()), now: now}
		h.shard.SetExecutors([]cluster.Executor{newExecutorNamed("i-2")}, now)
		h.shard.AddJob(Record{
			ID: "00000000000000aa", Accepted: now, Definition: job.Definition{Steps: []job.Step{oneTask}},
			Queue: QueuePolicy{Name: "q", MaxAttempts: 2, Stretch: 2, TargetDuration: time.Second},
		}, &Progress{Tasks: []TaskProgress{{Run: 1, Executor: "i-1", Address: "i-1:80"}}}, now)
		now = now.Add(every)
	}
	last := h.now
	for h.now.Sub(last) < 2*testLimits.MaxRunLease && len(h.storeAndCommandWithout("i-1")) == 0 {
		h.now = h.now.Add(50 * time.Millisecond)
	}
	took := h.now.Sub(last)
	assert.Assert(t, took < faultFreePeriod+startBound, "started again %s after the last takeover, %s after the first", took, took+(takeovers-1)*every)
}

// roundWithout lets looks at one executor be refused a connection, answers the others, and
// returns the orders.
func (h *harness) storeAndCommandWithout(lost cluster.ExecutorID) []Command {
	h.shard.Tick(h.now)
	for _, poll := range h.shard.Polls(h.now) {
		if poll.Executor.ID == lost {
			h.shard.HandlePollResult(poll, NotSent, execution.PollResponse{}, h.now)
			continue
		}
		h.shard.HandlePollResult(poll, Answered, execution.PollResponse{Reply: execution.Reply{ClockMs: 1000}}, h.now)
	}
	return h.storeAndCommand()
}
