package shard

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/execution"
	"github.com/tarragonreach/tarragonreach/api/job"
)

const preparedJob job.ID = "00000000000000aa"

// preparedHarness has a job of two steps of two tasks. The first two run, and the others have
// prepared starts. The store has not responded since.
type preparedHarness struct {
	*harness
	stored   *Progress // with the last durable write of the job
	open     *Batch
	sequence int64
}

// newPreparedHarness begins the outage with a batch of another job open.
func newPreparedHarness(t *testing.T, limits Limits) *preparedHarness {
	t.Helper()
	h := &preparedHarness{harness: &harness{t: t, shard: New(limits, 7), now: time.Unix(1000, 0), revision: 7}}
	h.shard.SetTenants(nil)
	h.shard.SetExecutors([]cluster.Executor{newExecutorNamed("i-1"), newExecutorNamed("i-2")}, h.now)
	h.pollAll()
	h.shard.ConfirmTerm(h.now)
	first := oneTask
	first.Count = 2
	second := first
	second.After = []int{0}
	h.submit(preparedJob, first, second)
	batch := h.shard.Batch(h.now, 29)
	assert.Equal(t, len(batch.starts), 2)
	h.stored = batch.Jobs[0].Progress
	h.shard.Committed()
	h.settle()
	return h
}

// settle lets all due commands succeed.
func (h *preparedHarness) settle() (starts []Command) {
	for range 10 {
		for _, cmd := range h.shard.Commands(h.now) {
			starts = append(starts, cmd)
			h.shard.HandleCommandResult(cmd, Responded, execution.Reply{ClockMs: 1000 + h.now.Sub(time.Unix(1000, 0)).Milliseconds()}, h.now)
		}
	}
	return starts
}

// silence opens a batch that the store does not respond to.
func (h *preparedHarness) silence() {
	h.submit("00000000000000ff", job.Step{Count: 1, Need: job.Resources{MilliCPU: 100}, LongRunning: true})
	h.open = h.shard.Batch(h.now, 29)
	assert.Assert(h.t, h.open != nil)
}

// end ends the runs of a step on all executors, after at least the given time.
func (h *preparedHarness) end(step int, reason execution.EndReason, after time.Duration) {
	h.now = h.now.Add(after)
	for _, e := range h.shard.sortedExecutors() {
		response := execution.PollResponse{Reply: execution.Reply{ClockMs: 1000 + h.now.Sub(time.Unix(1000, 0)).Milliseconds()}}
		for _, r := range e.sortedRuns() {
			if r.task.id.Job != preparedJob || r.task.id.Step != step {
				response.Running = append(response.Running, execution.Running{RunRef: r.ref(), Percent: 100})
				continue
			}
			h.sequence++
			response.Ended = append(response.Ended, execution.Ended{RunRef: r.ref(), Sequence: h.sequence, Reason: reason})
		}
		if len(response.Ended) > 0 {
			h.respondToPoll(string(e.ID), response)
		}
	}
}

// successor returns a harness of a later owner, which reads the stored progress.
func (h *preparedHarness) successor(progress *Progress) *preparedHarness {
	next := &preparedHarness{harness: &harness{t: h.t, shard: New(testLimits, 50), now: h.now, revision: 50}}
	next.shard.SetTenants(nil)
	next.shard.SetExecutors([]cluster.Executor{newExecutorNamed("i-1"), newExecutorNamed("i-2")}, h.now)
	next.shard.AddJob(h.shard.jobs[preparedJob].Record, clone(progress), h.now)
	return next
}

func prepared(p *Progress) (list []TaskProgress) {
	for _, tp := range p.Tasks {
		if tp.Prepared {
			list = append(list, tp)
		}
	}
	return list
}

// Guards against writes that change where no tenants are configured.
func TestNothingIsPreparedWithoutTenants(t *testing.T) {
	t.Parallel()
	h := newHarness(t, newExecutorNamed("i-1"))
	second := oneTask
	second.After = []int{0}
	h.submit(preparedJob, oneTask, second)
	batch := h.shard.Batch(h.now, 29)
	assert.Equal(t, len(batch.Jobs[0].Progress.Tasks), 1)
}

// Guards against a prepared start that is sent while the store responds, or before the blockers
// have ended, or under another number or executor than is stored.
func TestPreparedStartIsSentAsStored(t *testing.T) {
	t.Parallel()
	h := newPreparedHarness(t, testLimits)
	assert.NilError(t, h.stored.Check())
	assert.Equal(t, len(prepared(h.stored)), 2)
	h.silence()
	h.now = h.now.Add(storeSilentAfter)
	assert.Equal(t, len(h.settle()), 0, "the blockers still run")
	h.end(0, execution.EndedDone, time.Second)
	starts := h.settle()
	assert.Equal(t, len(starts), 2)
	for i, tp := range prepared(h.stored) {
		assert.Equal(t, starts[i].Start.Task.Index, tp.Index)
		assert.Equal(t, starts[i].Start.Run, tp.Run)
		assert.Equal(t, starts[i].Executor.ID, tp.Executor)
	}
	notes, counts := h.shard.TakePreparedNotes()
	assert.Equal(t, len(notes), 2)
	assert.Equal(t, counts, PreparedCounts{Prepared: 2, Used: 2})
	h.shard.Committed()
	next := h.shard.Batch(h.now, 29)
	assert.Equal(t, len(prepared(next.Jobs[0].Progress)), 0)
}

// Guards against starts beside the store's while it responds, and against one number on two executors:
// a task that is placed elsewhere gets the next one.
func TestPreparedStartIsSupersededByAStoredOne(t *testing.T) {
	t.Parallel()
	h := newPreparedHarness(t, testLimits)
	h.end(0, execution.EndedDone, time.Second)
	assert.Equal(t, len(h.settle()), 0)
	h.shard.SetCordons(cordons(map[cluster.ExecutorID]Evacuation{prepared(h.stored)[0].Executor: EvacuateGracefully}), h.now)
	batch := h.shard.Batch(h.now, 29)
	assert.Equal(t, len(batch.starts), 2)
	assert.Equal(t, batch.starts[0].number, 2)
	_, counts := h.shard.TakePreparedNotes()
	assert.Equal(t, counts, PreparedCounts{Prepared: 2, Superseded: 2})
}

// The batch that is open when the store falls silent has already decided the starts of a step. Those
// that are as written ahead need not wait for it, and are sent once.
func TestDecidedStartsThatWereWrittenAheadDoNotWait(t *testing.T) {
	t.Parallel()
	h := newPreparedHarness(t, testLimits)
	h.end(0, execution.EndedDone, time.Second)
	batch := h.shard.Batch(h.now, 29)
	assert.Equal(t, len(batch.starts), 2)
	assert.Equal(t, len(h.settle()), 0)
	h.now = h.now.Add(storeSilentAfter)
	starts := h.settle()
	assert.Equal(t, len(starts), 2)
	for i, tp := range prepared(h.stored) {
		assert.Equal(t, starts[i].Start.Run, tp.Run)
		assert.Equal(t, starts[i].Executor.ID, tp.Executor)
	}
	h.shard.Committed()
	assert.Equal(t, len(batch.Starts()), 0)
	h.now = h.now.Add(resendInterval)
	assert.Equal(t, len(h.settle()), 0)
	_, counts := h.shard.TakePreparedNotes()
	assert.Equal(t, counts, PreparedCounts{Prepared: 2, Used: 2})
}

// Guards against two runs of a task: of a prepared start that the open batch replaces, neither the
// former nor the new one may be sent, since it is not known which of them a successor will read.
func TestPreparedStartOfAnOpenBatchIsNotUsed(t *testing.T) {
	t.Parallel()
	h := newPreparedHarness(t, testLimits)
	former := h.shard.jobs[preparedJob].occurrences[0].steps[1].tasks[0].prepared.executor.ID
	h.shard.SetCordons(cordons(map[cluster.ExecutorID]Evacuation{former: EvacuateGracefully}), h.now)
	h.shard.jobs[preparedJob].markChanged()
	h.silence()
	h.shard.SetCordons(cordons(nil), h.now)
	h.end(0, execution.EndedDone, time.Second)
	assert.Equal(t, len(h.settle()), 0)
	h.shard.Committed()
	assert.Equal(t, len(h.shard.Batch(h.now, 29).starts), 2)
}

// Guards against a run that outlives the time after which a successor takes it for lost.
func TestLeaseOfAPreparedStartEndsWithTheConfirmation(t *testing.T) {
	t.Parallel()
	for _, limits := range []Limits{{RunLease: 5 * time.Second, MaxRunLease: 6 * time.Second}, testLimits} {
		for _, early := range []time.Duration{0, 2 * time.Second} {
			h := newPreparedHarness(t, limits)
			confirmed := h.now
			h.silence()
			h.end(0, execution.EndedDone, limits.MaxRunLease-early-maxLeaseTime(withMargin(oneTask.Estimate)))
			starts := h.settle()
			if early == 0 {
				assert.Equal(t, len(starts), 0, "too little is left for the task")
				continue
			}
			assert.Equal(t, len(starts), 2)
			lease := time.Duration(starts[0].Start.UntilMs-h.shard.executors[starts[0].Executor.ID].clock(h.now)) * time.Millisecond
			assert.Assert(t, lease >= withMargin(oneTask.Estimate))
			assert.Assert(t, !h.now.Add(maxLeaseTime(lease)).After(confirmed.Add(limits.MaxRunLease)))
		}
	}
}

// Guards against starts without room, on executors that get no work, on those that the stored or
// the open list of unreached executors contains, and of cancelled jobs.
func TestPreparedStartNeedsAUsableExecutor(t *testing.T) {
	t.Parallel()
	for name, spoil := range map[string]func(h *preparedHarness){
		"full": func(h *preparedHarness) {
			for _, e := range h.shard.executors {
				e.Capacity = job.Resources{MilliCPU: 500, MemoryMB: 4000}
			}
		},
		"suspect": func(h *preparedHarness) {
			for _, e := range h.shard.executors {
				e.health.isSuspect = true
			}
		},
		"listed as unreached": func(h *preparedHarness) {
			h.shard.unreached.stored = Unreached{"i-1": {}, "i-2": {}}
		},
		"unreached in the open batch": func(h *preparedHarness) {
			h.open.Unreached = Unreached{"i-1": {}, "i-2": {}}
		},
		"cancelled": func(h *preparedHarness) { h.shard.Cancel(preparedJob) },
		"started again": func(h *preparedHarness) {
			var list []cluster.Executor
			for _, e := range h.shard.sortedExecutors() {
				e.Born = 4
				again := e.Executor
				again.Born = 5
				list = append(list, again)
			}
			h.shard.SetExecutors(list, h.now)
		},
		"no confirmation": func(h *preparedHarness) { h.shard.ConfirmTerm(time.Time{}) },
	} {
		t.Run(name, func(t *testing.T) {
			h := newPreparedHarness(t, testLimits)
			h.silence()
			h.end(0, execution.EndedDone, time.Second)
			spoil(h)
			h.settle()
			_, counts := h.shard.TakePreparedNotes()
			assert.Equal(t, counts.Used, 0)
		})
	}
}

// Guards against a further attempt by the same prepared start after a failure in the outage.
func TestFailedPreparedRunWaitsForTheStore(t *testing.T) {
	t.Parallel()
	h := newPreparedHarness(t, testLimits)
	h.silence()
	h.end(0, execution.EndedDone, time.Second)
	assert.Equal(t, len(h.settle()), 2)
	h.end(1, execution.EndedFailed, 100*time.Millisecond)
	h.now = h.now.Add(time.Second)
	assert.Equal(t, len(h.settle()), 0)
	h.shard.Committed()
	batch := h.shard.Batch(h.now, 29)
	assert.Equal(t, len(batch.starts), 2)
	assert.Equal(t, batch.starts[0].number, 2)
	assert.Equal(t, batch.starts[0].task.failures, 1)
}

// Guards against a cancellation that waits for prepared starts which were never sent.
func TestCancelledJobDoesNotWaitForPreparedStarts(t *testing.T) {
	t.Parallel()
	h := newPreparedHarness(t, testLimits)
	h.shard.Cancel(preparedJob)
	h.end(0, execution.EndedStopped, time.Second)
	assert.Equal(t, h.shard.jobs[preparedJob].state, job.Cancelled)
}

// A successor finds that a prepared start was never sent: the blocked task does not start before its
// blockers are done, and then under a new number. Its executor's end is no evidence against it.
func TestSuccessorDiscardsAnUnsentPreparedStart(t *testing.T) {
	t.Parallel()
	h := newPreparedHarness(t, testLimits)
	next := h.successor(h.stored)
	assert.Equal(t, len(prepared(next.shard.progressOf(preparedJob))), 2)
	for _, r := range next.shard.executors[prepared(h.stored)[0].Executor].sortedRuns() {
		assert.Equal(t, r.mayHaveStarted(), r.task.id.Step == 0)
	}
	next.pollFirst(func(r *run) bool { return r.task.id.Step == 0 })
	for _, n := range next.shard.TakeGiveUpNotes() {
		assert.Equal(t, n.Reason, GivenUpPrepared)
	}
	assert.Equal(t, len(next.storeAndCommand()), 0)
	next.end(0, execution.EndedDone, time.Second)
	starts := next.storeAndCommand()
	assert.Equal(t, len(starts), 2)
	assert.Assert(t, starts[0].Start.Run > prepared(h.stored)[0].Run)
}

func (s *Shard) progressOf(id job.ID) *Progress {
	p := s.jobs[id].progress()
	return &p
}

// A prepared start was sent, its owner is lost, and the run is done before the successor knows that the
// blockers are. Their ends are listed again, or lost with their executor, so that they run again.
func TestTaskMayBeDoneBeforeItsBlockersAreKnownToBe(t *testing.T) {
	t.Parallel()
	for _, lost := range []bool{false, true} {
		h := newPreparedHarness(t, testLimits)
		next := h.successor(h.stored)
		next.pollFirst(func(*run) bool { return true })
		next.end(1, execution.EndedDone, 100*time.Millisecond)
		j := next.shard.jobs[preparedJob]
		assert.Equal(t, j.occurrences[0].steps[1].tasksLeft, 0)
		assert.Equal(t, j.state, job.Running)
		if lost {
			for _, e := range next.shard.sortedExecutors() {
				for _, r := range e.sortedRuns() {
					next.shard.discard(r, GivenUpEnded)
				}
			}
			again := next.storeAndCommand()
			assert.Equal(t, len(again), 2)
			for _, cmd := range again {
				assert.Equal(t, cmd.Start.Task.Step, 0)
				next.shard.HandleCommandResult(cmd, Responded, execution.Reply{ClockMs: 1000}, next.now)
			}
		}
		next.end(0, execution.EndedDone, time.Second)
		assert.Equal(t, j.state, job.Completed)
	}
}

// pollFirst responds to the first polls with the inherited runs that are listed.
func (h *preparedHarness) pollFirst(listed func(r *run) bool) {
	for _, poll := range h.shard.Polls(h.now) {
		response := execution.PollResponse{Reply: execution.Reply{ClockMs: 1000}}
		for _, r := range h.shard.executors[poll.Executor.ID].sortedRuns() {
			if listed(r) {
				response.Running = append(response.Running, execution.Running{RunRef: r.ref(), Percent: 100})
			}
		}
		h.shard.HandlePollResult(poll, Responded, response, h.now)
	}
}

// Guards against executors that get no start in an outage for lack of a higher fencing token: once an
// acknowledgement is answered it is not repeated, and does not count.
func TestAnsweredAcknowledgementNeedsNoHigherToken(t *testing.T) {
	t.Parallel()
	h := newRestartedHarness(t)
	h.shard.SetTenants(nil)
	h.first.end(execution.EndedDone)
	assert.Equal(t, h.answer(h.first), int64(1))
	assert.Equal(t, h.executor().ackToken, int64(0))
	assert.Equal(t, h.answer(h.first), int64(0))
	h.executor().token = h.shard.latestToken
	assert.Assert(t, h.shard.hasStartToken(h.executor()))
}
