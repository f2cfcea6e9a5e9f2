package shard

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/execution"
	"github.com/tarragonreach/tarragonreach/api/job"
)

// commandsOf returns the commands of one kind that are due now.
func (h *harness) commandsOf(kind CommandKind) []Command {
	var list []Command
	for _, cmd := range h.storeAndCommand() {
		if cmd.Kind == kind {
			list = append(list, cmd)
		}
	}
	return list
}

// newHarnessWithRefusedStop returns a harness in which the long-running task of a cancelled
// job runs on i-1, and i-1 has refused to stop it.
func newHarnessWithRefusedStop(t *testing.T) *harness {
	t.Helper()
	h := newHarness(t, newExecutorNamed("i-1"))
	longRunning := oneTask
	longRunning.LongRunning = true
	h.submit("00000000000000aa", longRunning)
	assert.Equal(t, len(h.startAll()), 1)
	h.shard.Cancel("00000000000000aa")
	cmds := h.storeAndCommand()
	assert.Equal(t, len(cmds), 1)
	assert.Equal(t, cmds[0].Kind, CommandStop)
	h.shard.HandleCommandResult(cmds[0], Responded, execution.Reply{Refusal: execution.RefusedOther}, h.now)
	return h
}

// An executor that refuses a stop has not executed it: the stop is sent again.
func TestRefusedStopIsSentAgain(t *testing.T) {
	t.Parallel()
	h := newHarnessWithRefusedStop(t)
	h.now = h.now.Add(2 * resendInterval)
	assert.Equal(t, len(h.commandsOf(CommandStop)), 1)
}

// A start without a response may still arrive after a refused stop: the run must be kept,
// even though a poll does not list it.
func TestRefusedStopKeepsTheRun(t *testing.T) {
	t.Parallel()
	h := newHarness(t, newExecutorNamed("i-1"))
	h.submit("00000000000000aa", oneTask)
	for range maxStartSends {
		starts := h.commandsOf(CommandStart)
		assert.Equal(t, len(starts), 1)
		h.shard.HandleCommandResult(starts[0], Ambiguous, execution.Reply{}, h.now)
		h.now = h.now.Add(resendInterval)
	}
	stops := h.commandsOf(CommandStop)
	assert.Equal(t, len(stops), 1)
	h.shard.HandleCommandResult(stops[0], Responded, execution.Reply{Refusal: execution.RefusedOther}, h.now)
	h.respondToPoll("i-1", execution.PollResponse{Reply: execution.Reply{ClockMs: 1000}})
	assert.Equal(t, len(h.shard.executors["i-1"].runs), 1)
}

// A caller may list a dependency twice: the step starts when that dependency is done.
func TestStepWithDuplicateDependencyStarts(t *testing.T) {
	t.Parallel()
	h := newHarness(t, newExecutorNamed("i-1"))
	second := oneTask
	second.After = []int{0, 0}
	h.submit("00000000000000aa", oneTask, second)
	assert.Equal(t, len(h.startAll()), 1)
	response := h.listRuns("i-1", nil)
	response.Ended = []execution.Ended{{RunRef: response.Running[0].RunRef, Sequence: 1, Reason: execution.EndedDone}}
	response.Running = nil
	h.respondToPoll("i-1", response)
	assert.Equal(t, len(h.startAll()), 1)
}

// A step that needs one rack for all its tasks gets one whose executors meet its other
// constraints.
func TestRackOfAStepHasAllowedExecutors(t *testing.T) {
	t.Parallel()
	labelled := executorOnRack("i-2", "r1-2")
	labelled.Labels = append(labelled.Labels, "b")
	byLabel, bySpread := oneTask, oneTask
	byLabel.RequiredLabel = "b"
	bySpread.MaxPerServer = 1
	for name, c := range map[string]struct {
		step      job.Step
		executors []cluster.Executor
	}{
		"label":          {byLabel, []cluster.Executor{executorOnRack("i-1", "r1-1"), labelled}},
		"max per server": {bySpread, []cluster.Executor{executorOnRack("i-1", "r1-1"), executorOnRack("i-2", "r1-2"), executorOnRack("i-3", "r1-2")}},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, c.executors...)
			c.step.SameRack, c.step.Gang, c.step.Count = true, true, 2
			h.submit("00000000000000aa", c.step)
			starts := h.startAll()
			assert.Equal(t, len(starts), 2)
			for _, s := range starts {
				assert.Equal(t, s.Executor.Rack(), "r1-2")
			}
		})
	}
}

// A long-running task does not wait for capacity on the rack of the other tasks of its step,
// since they never end.
func TestLongRunningTaskStartsOnAnotherRackWhenItsOwnIsFull(t *testing.T) {
	t.Parallel()
	h := newHarness(t, executorOnRack("i-1", "r1-1"))
	step := oneTask
	step.LongRunning, step.SameRack, step.Count = true, true, 5 // 4 fit
	h.submit("00000000000000aa", step)
	assert.Equal(t, len(h.startAll()), 4)
	h.shard.SetExecutors([]cluster.Executor{executorOnRack("i-1", "r1-1"), executorOnRack("i-2", "r1-2")}, h.now)
	h.respondToPoll("i-2", execution.PollResponse{Reply: execution.Reply{ClockMs: 1000}})
	starts := h.startAll()
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Executor.ID, cluster.ExecutorID("i-2"))
}

// A short task of a step that needs one rack waits for capacity there, since the other tasks
// end soon.
func TestShortTaskWaitsForCapacityOnTheRackOfItsStep(t *testing.T) {
	t.Parallel()
	h := newHarness(t, executorOnRack("i-1", "r1-1"))
	step := oneTask
	step.SameRack, step.Count = true, 5 // 4 fit
	h.submit("00000000000000aa", step)
	assert.Equal(t, len(h.startAll()), 4)
	h.shard.SetExecutors([]cluster.Executor{executorOnRack("i-1", "r1-1"), executorOnRack("i-2", "r1-2")}, h.now)
	h.respondToPoll("i-2", execution.PollResponse{Reply: execution.Reply{ClockMs: 1000}})
	assert.Equal(t, len(h.startAll()), 0)
}

// A step that only one executor may run finds it among many, though each advice request
// names only some of them.
func TestAdviceRequestsCoverAllExecutors(t *testing.T) {
	t.Parallel()
	var executors []cluster.Executor
	for i := range 3 * maxAdviceExecutors {
		executors = append(executors, newExecutorNamed(fmt.Sprintf("i-%03d", i)))
	}
	allowed := executors[len(executors)-1].ID
	h := newHarness(t, executors...)
	const validity = 2 * time.Second
	h.shard.AddJob(Record{
		ID: "00000000000000aa", Accepted: h.now, Definition: job.Definition{Steps: []job.Step{oneTask}},
		Queue: QueuePolicy{Name: "q", MaxAttempts: 2, Advice: &cluster.Advice{Validity: validity}},
	}, nil, h.now)
	for range 100 {
		for _, request := range h.adviceRequests() {
			tickets := map[cluster.ExecutorID]string{}
			if slices.Contains(request.Executors, allowed) {
				tickets[allowed] = "ticket"
			}
			h.respondToAdvice(request, tickets, validity)
		}
		if starts := h.commandsOf(CommandStart); len(starts) > 0 {
			assert.Equal(t, starts[0].Executor.ID, allowed)
			return
		}
		h.now = h.now.Add(100 * time.Millisecond)
	}
	t.Fatal("never started")
}

// A job that is too late to be of any use goes last, but starts if capacity is left.
func TestTooLateJobStartsOnSpareCapacity(t *testing.T) {
	t.Parallel()
	h := newHarness(t, newExecutorNamed("i-1"))
	h.submit("00000000000000aa", oneTask)
	accepted := h.now
	h.now = h.now.Add(time.Hour)
	h.submit("00000000000000ab", oneTask)
	assert.Equal(t, h.shard.jobs["00000000000000aa"].urgency(h.now), urgencyTooLate)
	assert.Equal(t, h.shard.jobs["00000000000000aa"].Accepted, accepted)
	assert.Equal(t, len(h.startAll()), 2)
}

// A task for which no executor has capacity, and a gang that does not fit as a whole, must
// not keep jobs behind them in the start order from starting.
func TestUnplaceableTaskBlocksNoOthers(t *testing.T) {
	t.Parallel()
	h := newHarness(t, newExecutorNamed("i-1"))
	large, gang := oneTask, oneTask
	large.Need.MilliCPU = 5000 // of 4000
	gang.Gang, gang.Count = true, 5
	h.submit("00000000000000aa", large)
	h.submit("00000000000000ab", gang)
	h.submit("00000000000000ac", oneTask)
	starts := h.startAll()
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Start.Task.Job, job.ID("00000000000000ac"))
}

// An executor gets work again once the reason against it ends: its cordon is removed, it is
// listed again, a poll succeeds again or lists no orphan, or the pause after a stall is over.
func TestExecutorIsUsedAgain(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct{ block, unblock func(h *harness) }{
		"cordon": {
			func(h *harness) {
				h.shard.SetCordons(cordons(map[cluster.ExecutorID]Evacuation{"i-1": EvacuatePreempting}), h.now)
			},
			func(h *harness) { h.shard.SetCordons(cordons(nil), h.now) },
		},
		"missing entry": {
			func(h *harness) { h.shard.SetExecutors(nil, h.now) },
			func(h *harness) { h.shard.SetExecutors([]cluster.Executor{newExecutorNamed("i-1")}, h.now) },
		},
		"failed polls": {
			func(h *harness) { h.shard.executors["i-1"].failedCalls = 9 },
			func(h *harness) {},
		},
		"orphan": {
			func(h *harness) { h.shard.executors["i-1"].orphans[orphanKey{run: 1}] = &orphan{} },
			func(h *harness) {},
		},
		"stalled": {
			func(h *harness) { h.shard.executors["i-1"].stalledUntil = h.now.Add(stalledPause) },
			func(h *harness) { h.now = h.now.Add(stalledPause) },
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, newExecutorNamed("i-1"))
			c.block(h)
			h.submit("00000000000000aa", oneTask)
			assert.Equal(t, len(h.commandsOf(CommandStart)), 0)
			c.unblock(h)
			h.now = h.now.Add(maxPollRetry)
			h.pollAll()
			assert.Equal(t, len(h.startAll()), 1)
		})
	}
}

// The owner calls AdviceNeed with each of its events: a backlog of jobs that need no
// advice must not cause allocations there.
func TestBacklogWithoutAdviceAllocatesNothing(t *testing.T) {
	h := newHarness(t, newExecutorNamed("i-1"))
	for i := range 100 {
		h.submit(testID(i), oneTask)
	}
	assert.Equal(t, testing.AllocsPerRun(10, func() { h.shard.AdviceNeed(h.now) }), 0.0)
}

// A changed objective changes the start order of the jobs that already wait.
func TestChangedQueuePolicyChangesTheOrder(t *testing.T) {
	t.Parallel()
	h := newHarness(t, newExecutorNamed("i-1"))
	h.submit("00000000000000aa", oneTask)
	h.submit("00000000000000ab", oneTask)
	first, second := h.shard.jobs["00000000000000aa"], h.shard.jobs["00000000000000ab"]
	first.Queue.Name, second.Queue.Name = "patient", "urgent"
	h.shard.SetQueues([]cluster.Queue{
		{Name: "patient", MaxAttempts: 2, Stretch: 2, TargetDuration: time.Hour},
		{Name: "urgent", MaxAttempts: 2, Stretch: 2, TargetDuration: 10 * time.Second},
	})
	assert.DeepEqual(t, idsOf(h.shard.startOrder(h.now)), []job.ID{second.ID, first.ID})
	assert.Equal(t, len(h.startAll()), 2)
}

func idsOf(jobs []*jobState) []job.ID {
	ids := make([]job.ID, len(jobs))
	for i, j := range jobs {
		ids[i] = j.ID
	}
	return ids
}

// An executor leaves the list and is listed again while the completion of its run is being stored, and lists
// it once more: it is acknowledged only when it is durable.
func TestCompletionThatIsListedAgainIsAcknowledgedOnceDurable(t *testing.T) {
	t.Parallel()
	h := newHarness(t, newExecutorNamed("i-1"))
	h.submit("00000000000000aa", oneTask)
	h.startAll()
	ended := h.listRuns("i-1", nil)
	ended.Ended = []execution.Ended{{RunRef: ended.Running[0].RunRef, Sequence: 1, Reason: execution.EndedDone}}
	ended.Running = nil
	h.respondToPoll("i-1", ended)
	batch := h.shard.Batch(h.now, 29)
	assert.Assert(t, batch != nil)
	h.shard.SetExecutors(nil, h.now)
	h.shard.SetExecutors([]cluster.Executor{newExecutorNamed("i-1")}, h.now)
	h.respondToPoll("i-1", ended)
	for range 50 {
		h.now = h.now.Add(100 * time.Millisecond)
		for _, poll := range h.shard.Polls(h.now) {
			assert.Equal(t, poll.Request.AckedThrough, int64(0))
			h.shard.HandlePollResult(poll, Responded, ended, h.now)
		}
	}
	h.shard.Committed()
	h.now = h.now.Add(2 * ackDelay)
	polls := h.shard.Polls(h.now)
	assert.Equal(t, len(polls), 1)
	assert.Equal(t, polls[0].Request.AckedThrough, int64(1))
}
