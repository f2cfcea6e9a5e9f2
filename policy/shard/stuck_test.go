package shard

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/execution"
	"github.com/tarragonreach/tarragonreach/api/job"
)

// An unhealthy executor refuses a stop with status 503 and does not execute it: the stop
// must be sent until it is accepted.
func TestRefusedStopIsRetriedUntilAccepted(t *testing.T) {
	t.Parallel()
	h := newHarnessWithRefusedStop(t)
	resent := 0
	for range 100 {
		h.respondToPoll("i-1", h.listRuns("i-1", nil)) // the run is still listed
		for _, cmd := range h.storeAndCommand() {
			assert.Equal(t, cmd.Kind, CommandStop)
			resent++
			h.shard.HandleCommandResult(cmd, Responded, execution.Reply{ClockMs: 1000}, h.now)
		}
	}
	assert.Assert(t, resent > 0, "the run goes on, and no further stop is sent")
}

// A start has no response and may be executed seconds later, and the stop that should
// prevent this is refused with status 503. The task must not start elsewhere in that time.
func TestTaskWithRefusedStopStartsNowhereElse(t *testing.T) {
	t.Parallel()
	h := newHarness(t, newExecutorNamed("i-1"), newExecutorNamed("i-2"))
	h.submit("00000000000000aa", oneTask)
	var first cluster.ExecutorID
	for begin := h.now; h.now.Sub(begin) < 5*time.Second; h.now = h.now.Add(50 * time.Millisecond) {
		for _, cmd := range h.storeAndCommand() {
			switch {
			case first == "":
				first = cmd.Executor.ID
				h.shard.HandleCommandResult(cmd, Ambiguous, execution.Reply{}, h.now)
			case cmd.Executor.ID == first:
				h.shard.HandleCommandResult(cmd, Responded, execution.Reply{Refusal: execution.RefusedOther}, h.now)
			default:
				t.Fatalf("%s run %d starts on %s while run 1 may start on %s", cmd.Start.Task, cmd.Start.Run, cmd.Executor.ID, first)
			}
		}
		h.pollAll()
	}
}

// Jobs that fail on every executor make all executors suspect. A job that can complete must
// nevertheless start within startBound.
func TestAlwaysFailingJobsDoNotDelayOthers(t *testing.T) {
	t.Parallel()
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
				t.Fatalf("LOST: %s has waited for %s while all executors were idle: %s", task, waits, w.describe(task.Job))
			}
		}
	})
}

// Three of four executors fail every run, and the queue is never empty. Each of them may use
// up attempts only until it is suspect, and then with one trial run per pause.
func TestBrokenExecutorsUseUpFewAttempts(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		w := newLivenessWorld(t)
		w.step(faultFreePeriod)
		broken := len(w.executors) - 1
		for i, e := range w.owner.shard.sortedExecutors() {
			w.executors[e.ID].faults.failing = i < broken
		}
		const period = 20 * time.Second
		for begin := w.now; w.now.Sub(begin) < period; w.step(100 * time.Millisecond) {
			w.submitSingleTask(false)
		}
		atOnce := 4 // runs that fit on one executor
		bound := broken * (suspectFailures + atOnce + int(period/minTrialPause))
		failures := 0
		for _, j := range w.jobs {
			for _, n := range j.ackedFailures {
				failures += n
			}
		}
		if failures > bound {
			t.Fatalf("%d runs failed on %d broken executors, expected at most %d", failures, broken, bound)
		}
	})
}

// Random schedules, as in TestTasksStartWithinBoundOnceFaultsEnd, with jobs that always fail.
func TestNoTaskWaitsBesideAlwaysFailingJobs(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) { runSchedule(newLivenessWorld(t), false) })
}

// submitSingleTask accepts a job of one task.
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
		ackedDone: map[job.TaskID]bool{}, ackedAt: map[job.TaskID]time.Time{}, ackedFailures: map[job.TaskID]int{}, everDone: map[job.TaskID]bool{},
	}
	w.owner.shard.AddJob(r, nil, w.now)
}

// The advice service permits only an executor that the first request does not name: a later
// request must name it.
func TestStepStartsOnExecutorsBeyondTheFirstAdviceRequest(t *testing.T) {
	t.Parallel()
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
	for begin := h.now; h.now.Sub(begin) < time.Minute && !started; h.now = h.now.Add(20 * time.Millisecond) {
		h.pollAll()
		for _, request := range h.adviceRequests() {
			tickets := map[cluster.ExecutorID]string{}
			for _, id := range request.Executors {
				if id == allowed {
					tickets[id] = "ticket"
				}
			}
			h.respondToAdvice(request, tickets, 2*time.Second)
		}
		started = len(h.storeAndCommand()) > 0
	}
	assert.Assert(t, started, "no advice request named the executor that may run the step")
}

// The only executor with a ticket is removed, and another one is added that the request could
// not name: advice must be requested again before the ticket expires.
func TestAdviceIsRequestedAgainOnceItsExecutorsAreRemoved(t *testing.T) {
	t.Parallel()
	h := newHarness(t, newExecutorNamed("i-1"))
	validity := time.Minute
	h.shard.AddJob(Record{
		ID: "00000000000000aa", Accepted: h.now, Definition: job.Definition{Steps: []job.Step{oneTask}},
		Queue: QueuePolicy{Name: "q", MaxAttempts: 2, Stretch: 2, TargetDuration: time.Second, Advice: &cluster.Advice{Validity: validity}},
	}, nil, h.now)
	h.pollAll()
	requests := h.adviceRequests()
	assert.Equal(t, len(requests), 1)
	h.respondToAdvice(requests[0], map[cluster.ExecutorID]string{"i-1": "ticket"}, validity)
	h.shard.SetExecutors([]cluster.Executor{newExecutorNamed("i-2")}, h.now)
	started := false
	for begin := h.now; h.now.Sub(begin) < startBound && !started; h.now = h.now.Add(20 * time.Millisecond) {
		h.pollAll()
		for _, request := range h.adviceRequests() {
			h.respondToAdvice(request, map[cluster.ExecutorID]string{"i-2": "ticket"}, validity)
		}
		started = len(h.storeAndCommand()) > 0
	}
	assert.Assert(t, started, "no advice is requested for i-2 before the ticket for i-1 expires")
}

// An executor is lost after a new owner has polled it. That poll fences off earlier owners,
// so that none of their leases lasts longer than one renewed at that time would: the task
// must start again once such a lease would have expired.
func TestTaskOfExecutorLostAfterATakeoverRestartsInTime(t *testing.T) {
	t.Parallel()
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

// An executor is lost, and each owner is replaced before the leases that it assumes there
// have expired: the task must start again in time after the last takeover nevertheless, and
// not before the last lease that the first owner's predecessor may have renewed has expired.
func TestTaskOfLostExecutorRestartsDespiteOwnerChanges(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		first := time.Unix(1000, 0)
		began := map[int64]time.Time{}
		var stored Unreached
		var restarted time.Time
		unobserved := 0 // owners that did not observe the first term
		now := first
		for token := int64(1); restarted.IsZero(); token++ {
			if token > 1 && rapid.IntRange(0, 3).Draw(rt, "new process") == 0 {
				clear(began) // the owner is a new process, which has observed no earlier term
			}
			if _, observed := began[1]; token > 1 && !observed {
				unobserved++
			}
			began[token] = now
			h := newOwnerOfLostRun(t, stored, began, token, now)
			term := time.Duration(rapid.IntRange(20, 300).Draw(rt, "term in ticks of 50 ms")) * 50 * time.Millisecond
			restarted = h.waitForRestart("i-1", term)
			now, stored = h.now, h.shard.unreached.stored
		}
		expired := first.Add(maxLeaseTime(testLimits.MaxRunLease))
		if restarted.Before(expired) {
			rt.Fatalf("started again %s after the first takeover, before the leases there have expired", restarted.Sub(first))
		}
		// A new owner first has to find out that the executor does not respond. One that did
		// not observe the first term doesn't know the time from the last write to its takeover.
		slack := pollRetry + 2*replanInterval + time.Duration(unobserved)*(unreachedRefresh+replanInterval)
		if restarted.After(expired.Add(slack)) {
			rt.Fatalf("started again %s after the first takeover, with %d owners that did not observe it", restarted.Sub(first), unobserved)
		}
	})
}

// Three owners follow each other within the longest lease.
func TestTaskOfLostExecutorRestartsAfterThreeTakeovers(t *testing.T) {
	t.Parallel()
	const takeovers = 3
	takeoverInterval := 4 * time.Second
	began := map[int64]time.Time{}
	var stored Unreached
	now := time.Unix(1000, 0)
	for token := int64(1); token < takeovers; token++ {
		began[token] = now
		h := newOwnerOfLostRun(t, stored, began, token, now)
		assert.Assert(t, h.waitForRestart("i-1", takeoverInterval).IsZero())
		now, stored = h.now, h.shard.unreached.stored
	}
	h := newOwnerOfLostRun(t, stored, began, takeovers, now)
	restarted := h.waitForRestart("i-1", 2*testLimits.MaxRunLease)
	assert.Assert(t, !restarted.IsZero())
	took := restarted.Sub(now)
	assert.Assert(t, took < faultFreePeriod+startBound, "started again %s after the last takeover", took)
}

// waitForRestart advances time by at most d until a command is sent, and returns when that
// was. Polls of the lost executor fail.
func (h *harness) waitForRestart(lost cluster.ExecutorID, d time.Duration) time.Time {
	for end := h.now.Add(d); h.now.Before(end); h.now = h.now.Add(50 * time.Millisecond) {
		if len(h.storeAndCommandWithout(lost)) > 0 {
			return h.now
		}
	}
	return time.Time{}
}

// An unreachable executor responds again: leases there may be renewed only once a write
// without the executor is durable, since a successor would count on its being unreached.
func TestLeaseOfReachedExecutorIsRenewedAfterThatIsStored(t *testing.T) {
	t.Parallel()
	now := time.Unix(1000, 0)
	stored := Unreached{"i-1": {Term: 1}}
	h := newOwnerOfLostRun(t, stored, map[int64]time.Time{1: now}, 2, now)
	running := execution.PollResponse{Reply: execution.Reply{ClockMs: 1000}, Running: []execution.Running{{
		RunRef: execution.RunRef{Task: job.TaskID{StepID: job.StepID{Job: "00000000000000aa"}}, Run: 1}, Percent: 50,
	}}}
	for range 3 {
		h.respondToPoll("i-1", running)
	}
	for _, poll := range h.shard.Polls(h.now.Add(pollPause)) {
		assert.Equal(t, poll.Request.UntilMs, int64(0), "renewed before the write")
		h.shard.HandlePollResult(poll, Responded, running, h.now)
	}
	batch := h.shard.Batch(h.now, 29)
	assert.Assert(t, batch != nil)
	assert.Equal(t, len(batch.Unreached), 0)
	h.shard.Committed()
	renewed := false
	for _, poll := range h.shard.Polls(h.now.Add(2 * pollPause)) {
		renewed = renewed || poll.Request.UntilMs > 0
	}
	assert.Assert(t, renewed)
}

// newOwnerOfLostRun returns an owner that inherits a run on i-1, which is not listed.
func newOwnerOfLostRun(t *testing.T, stored Unreached, began map[int64]time.Time, token int64, now time.Time) *harness {
	h := &harness{t: t, shard: New(testLimits, token), now: now}
	h.shard.RestoreUnreached(stored, func(token int64) (time.Time, bool) {
		at, known := began[token]
		return at, known
	})
	h.shard.SetExecutors([]cluster.Executor{newExecutorNamed("i-2")}, now)
	h.shard.AddJob(Record{
		ID: "00000000000000aa", Accepted: now, Definition: job.Definition{Steps: []job.Step{oneTask}},
		Queue: QueuePolicy{Name: "q", MaxAttempts: 2, Stretch: 2, TargetDuration: time.Second},
	}, &Progress{Tasks: []TaskProgress{{Run: 1, Executor: "i-1", Address: "i-1:80"}}}, now)
	return h
}

// storeAndCommandWithout fails polls of the lost executor as not sent, responds to the
// others, and returns the commands of the next batch.
func (h *harness) storeAndCommandWithout(lost cluster.ExecutorID) []Command {
	h.shard.Tick(h.now)
	for _, poll := range h.shard.Polls(h.now) {
		if poll.Executor.ID == lost {
			h.shard.HandlePollResult(poll, NotSent, execution.PollResponse{}, h.now)
			continue
		}
		h.shard.HandlePollResult(poll, Responded, execution.PollResponse{Reply: execution.Reply{ClockMs: 1000}}, h.now)
	}
	return h.storeAndCommand()
}

// All executors that the advice service permits are suspect: a request must name them, since
// no other executor may run the step.
func TestAdvisedStepStartsOnSuspectExecutors(t *testing.T) {
	t.Parallel()
	for name, executors := range map[string][]cluster.Executor{
		"all executors are suspect":       {newExecutorNamed("i-1")},
		"another executor is not suspect": {newExecutorNamed("i-1"), newExecutorNamed("i-2")},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, executors...)
			h.makeSuspect("i-1")
			longRunning := oneTask
			longRunning.LongRunning = true
			h.shard.AddJob(Record{
				ID: "00000000000000aa", Accepted: h.now, Definition: job.Definition{Steps: []job.Step{longRunning}},
				Queue: QueuePolicy{Name: "q", MaxAttempts: 2, Advice: &cluster.Advice{Validity: time.Second}},
			}, nil, h.now)
			started := false
			for begin := h.now; h.now.Sub(begin) < longRunningBound && !started; h.now = h.now.Add(20 * time.Millisecond) {
				h.pollAll()
				for _, request := range h.adviceRequests() {
					tickets := map[cluster.ExecutorID]string{}
					if slices.Contains(request.Executors, "i-1") {
						tickets["i-1"] = "ticket"
					}
					h.respondToAdvice(request, tickets, time.Second)
				}
				started = len(h.storeAndCommand()) > 0
			}
			assert.Assert(t, started, "no advice is requested for the suspect executor")
		})
	}
}

// makeSuspect lets runs of several jobs fail on an executor.
func (h *harness) makeSuspect(id cluster.ExecutorID) {
	for i := range suspectFailures {
		h.shard.executors[id].health.recordFailure(testID(i), h.now)
	}
}

// All executors are suspect after jobs that fail everywhere, and no short job is left that
// could clear the suspicion: tasks of any kind must start nevertheless.
func TestTasksStartWhileAllExecutorsAreSuspect(t *testing.T) {
	t.Parallel()
	longRunning, gang, spread := oneTask, oneTask, oneTask
	longRunning.LongRunning, longRunning.Count = true, 3
	gang.Gang, gang.Count = true, 3
	spread.LongRunning, spread.Count, spread.MaxPerServer = true, 2, 1
	for name, step := range map[string]job.Step{"long-running": longRunning, "long-running, spread": spread, "gang": gang} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, newExecutorNamed("i-1"), newExecutorNamed("i-2"))
			h.makeSuspect("i-1")
			h.makeSuspect("i-2")
			h.submit("00000000000000aa", step)
			assert.Equal(t, len(h.startsWithin(longRunningBound)), step.Count)
		})
	}
}

// Each executor has overdue runs of two jobs whose estimates are far too low. A long-running
// task fits beside them: it must start, since these runs may last long.
func TestLongRunningTaskStartsBesideOverdueRuns(t *testing.T) {
	t.Parallel()
	h := newHarness(t, newExecutorNamed("i-1"))
	underestimated := oneTask
	underestimated.Estimate = 100 * time.Millisecond
	h.submit("00000000000000aa", underestimated)
	h.submit("00000000000000ab", underestimated)
	assert.Equal(t, len(h.startsWithin(2*minOverdue)), 2)
	longRunning := oneTask
	longRunning.LongRunning = true
	h.submit("00000000000000ac", longRunning)
	assert.Equal(t, len(h.startsWithin(longRunningBound)), 1)
}

// An owner is slowed for long: it gets no processor time for a little over maxTickGap,
// several times a second. A long-running task of an executor that is lost meanwhile must
// start elsewhere: its lease there has expired.
func TestLongRunningTaskOfLostExecutorRestartsWhileTheOwnerIsSlowed(t *testing.T) {
	t.Parallel()
	for name, delivery := range map[string]Delivery{"polls time out": Ambiguous, "polls are refused": NotSent} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, newExecutorNamed("i-1"))
			longRunning := oneTask
			longRunning.LongRunning = true
			h.submit("00000000000000aa", longRunning)
			assert.Equal(t, len(h.startsWithin(time.Second)), 1)
			h.shard.SetExecutors([]cluster.Executor{newExecutorNamed("i-1"), newExecutorNamed("i-2")}, h.now)
			lost := h.now
			restarted := false
			var open []Poll
			for h.now.Sub(lost) < longRunningBound && !restarted {
				h.now = h.now.Add(maxTickGap + 20*time.Millisecond)
				for range 2 { // events that are handled without a gap
					h.shard.Tick(h.now)
					open = h.failPollsOf("i-1", open, delivery)
					restarted = restarted || len(h.commandsOf(CommandStart)) > 0
					h.now = h.now.Add(50 * time.Millisecond)
				}
			}
			assert.Assert(t, restarted, "not restarted after %s", h.now.Sub(lost))
		})
	}
}

// failPollsOf sends the due polls. Those of the lost executor fail as soon as the call times
// out or is refused; it returns those that are still open.
func (h *harness) failPollsOf(lost cluster.ExecutorID, open []Poll, delivery Delivery) []Poll {
	timeout := testCallTimeout
	if delivery == NotSent {
		timeout = 0
	}
	for _, poll := range h.shard.Polls(h.now) {
		if poll.Executor.ID == lost {
			open = append(open, poll)
			continue
		}
		h.shard.HandlePollResult(poll, Responded, h.listRuns(string(poll.Executor.ID), nil), h.now)
	}
	return slices.DeleteFunc(open, func(poll Poll) bool {
		if h.now.Sub(poll.SentAt) < poll.Request.Wait+timeout {
			return false
		}
		h.shard.HandlePollResult(poll, delivery, execution.PollResponse{}, h.now)
		return true
	})
}

// Executors respond to polls, but refuse each start or fail each run, and go on doing so. A
// long-running task prefers them by the constraints of its step: it must start on another
// executor nevertheless.
func TestLongRunningTaskLeavesExecutorsThatFail(t *testing.T) {
	t.Parallel()
	near, far := executorOnRack("i-1", "r1-1"), executorOnRack("i-2", "r1-2")
	affinity, sameRack, longRunning := oneTask, oneTask, oneTask
	affinity.Affinity = "r1-1"
	sameRack.SameRack, sameRack.Count, sameRack.MaxPerServer = true, 2, 1
	for name, c := range map[string]struct {
		step      job.Step
		executors []cluster.Executor
		broken    []cluster.ExecutorID
		suspect   cluster.ExecutorID
	}{
		"near its data":            {affinity, []cluster.Executor{near, far}, []cluster.ExecutorID{"i-1"}, ""},
		"on the rack of its step":  {sameRack, []cluster.Executor{executorOnRack("i-0", "r1-1"), near, far}, []cluster.ExecutorID{"i-1"}, ""},
		"two of three":             {longRunning, []cluster.Executor{near, executorOnRack("i-12", "r1-1"), far}, []cluster.ExecutorID{"i-1", "i-12"}, ""},
		"the others are suspect":   {longRunning, []cluster.Executor{near, far}, []cluster.ExecutorID{"i-1"}, "i-2"},
		"the only executor, again": {longRunning, []cluster.Executor{near}, nil, ""},
	} {
		c.step.LongRunning = true
		for failure, result := range map[string]func(h *harness, cmd Command){
			"refused starts": (*harness).refuseStart, "failed runs": (*harness).failRun,
		} {
			t.Run(name+", "+failure, func(t *testing.T) {
				h := newHarness(t, c.executors...)
				if c.suspect != "" {
					h.makeSuspect(c.suspect)
				}
				h.submit("00000000000000aa", c.step)
				for end := h.now.Add(longRunningBound); h.now.Before(end); h.now = h.now.Add(50 * time.Millisecond) {
					h.pollListingRuns()
					for _, cmd := range h.storeAndCommand() {
						if slices.Contains(c.broken, cmd.Executor.ID) {
							result(h, cmd)
							continue
						}
						h.shard.HandleCommandResult(cmd, Responded, execution.Reply{ClockMs: 1000}, h.now)
					}
				}
				step := anyJob(h.shard).occurrences[0].steps[0]
				assert.Equal(t, step.runs, c.step.Count)
			})
		}
	}
}

func (h *harness) refuseStart(cmd Command) {
	h.shard.HandleCommandResult(cmd, Responded, execution.Reply{Refusal: execution.RefusedOther}, h.now)
}

// failRun lets a run start, and fail before the next poll.
func (h *harness) failRun(cmd Command) {
	h.shard.HandleCommandResult(cmd, Responded, execution.Reply{ClockMs: 1000}, h.now)
	e := h.shard.executors[cmd.Executor.ID]
	h.shard.applyCompletion(e, execution.Ended{RunRef: cmd.Start.RunRef, Sequence: e.appliedSequence + 1, Reason: execution.EndedFailed}, h.now)
}

// pollListingRuns responds to all due polls with lists of the runs.
func (h *harness) pollListingRuns() {
	h.shard.Tick(h.now)
	for _, poll := range h.shard.Polls(h.now) {
		h.shard.HandlePollResult(poll, Responded, h.listRuns(string(poll.Executor.ID), nil), h.now)
	}
}
