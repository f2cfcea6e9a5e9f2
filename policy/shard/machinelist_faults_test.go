package shard

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/execution"
)

// failPoll lets the next poll of the executor fail, by the given delivery and refusal, and
// responds to the polls of others.
func (h *harness) failPoll(id string, delivery Delivery, refusal execution.Refusal) {
	h.t.Helper()
	for range 100 {
		h.now = h.now.Add(50 * time.Millisecond)
		failed := false
		for _, poll := range h.shard.Polls(h.now) {
			if string(poll.Executor.ID) == id {
				h.shard.HandlePollResult(poll, delivery, execution.PollResponse{Reply: execution.Reply{ClockMs: 1000, Refusal: refusal}}, h.now)
				failed = true
				continue
			}
			h.shard.HandlePollResult(poll, Responded, h.listRuns(string(poll.Executor.ID), nil), h.now)
		}
		if failed {
			return
		}
	}
	h.t.Fatalf("no poll of %s", id)
}

// A list that lacks a machine for once is no evidence: the pages of a list are not a snapshot. An
// executor that has responded since the first such list was alive when that one was made.
func TestResponseBetweenTwoMachineListsWithoutTheExecutorKeepsItsRuns(t *testing.T) {
	t.Parallel()
	h := startedOnUnresponsive(t)
	h.shard.ApplyMachineList(NewMachineList(machinesOf("i-2"), h.now))
	h.respondToPoll("i-1", h.listRuns("i-1", nil))
	assert.Assert(t, !h.shard.NeedsMachineList(h.now)) // no list is requested while it responds
	h.now = h.now.Add(time.Minute)
	h.failPoll("i-1", Ambiguous, execution.NotRefused)
	h.shard.ApplyMachineList(NewMachineList(machinesOf("i-2"), h.now))
	assert.Equal(t, len(h.shard.executors["i-1"].runs), 1, "one list ended the executor")
}

// An unhealthy executor refuses all polls. It has responded, so that a machine list can show nothing
// about it, and must not end its runs.
func TestExecutorThatRefusesPollsNeedsNoMachineList(t *testing.T) {
	t.Parallel()
	h := startedOnUnresponsive(t)
	h.failPoll("i-1", Responded, execution.RefusedOther)
	assert.Assert(t, !h.shard.NeedsMachineList(h.now), "a list is requested for an executor that responds")
	for range endedAfterLists {
		h.shard.ApplyMachineList(NewMachineList(machinesOf("i-2"), h.now))
	}
	assert.Equal(t, len(h.shard.executors["i-1"].runs), 1)
}

// The machine list has none of the service's executors, though some respond: it is partial, or the
// executors of this service are not on machines.
func TestMachineListWithoutAnyRespondingExecutorEndsNone(t *testing.T) {
	t.Parallel()
	h := startedOnUnresponsive(t)
	for range endedAfterLists {
		h.shard.ApplyMachineList(NewMachineList(machinesOf("other-1", "other-2"), h.now))
	}
	assert.Equal(t, len(h.shard.executors["i-1"].runs), 1)
}

// A run that was decided, and whose batch is being stored, is on an executor that ends: the run is
// not sent, and the task starts elsewhere once the batch is stored.
func TestDecidedRunOnEndedExecutorStartsElsewhere(t *testing.T) {
	t.Parallel()
	h := startedOnUnresponsive(t)
	h.shard.executors["i-1"].aliveMs = 1000 + survivalTime.Milliseconds() // the first run is no suspect
	h.shard.executors["i-1"].failedCalls = 0
	h.shard.SetExecutors([]cluster.Executor{newExecutorNamed("i-1")}, h.now)
	h.submit("00000000000000ab", oneTask)
	batch := h.shard.Batch(h.now, 29)
	assert.Equal(t, len(batch.starts), 1)
	h.shard.executors["i-1"].failedCalls = 1
	h.shard.SetExecutors([]cluster.Executor{newExecutorNamed("i-1"), newExecutorNamed("i-2")}, h.now)
	for range endedAfterLists {
		h.shard.ApplyMachineList(NewMachineList(machinesOf("i-2"), h.now))
	}
	h.shard.Committed()
	assert.Equal(t, len(h.shard.Commands(h.now)), 0)
	h.respondToPoll("i-2", h.listRuns("i-2", nil))
	h.now = h.now.Add(replanInterval)
	starts := h.storeAndCommand()
	assert.Equal(t, len(starts), 2)
	for _, start := range starts {
		assert.Equal(t, start.Executor.ID, cluster.ExecutorID("i-2"))
		assert.Equal(t, start.Start.Run, 2)
	}
}

// A poll response of an ended executor arrives late and lists a completion: its task is done, and the
// run that was started elsewhere is stopped.
func TestLateCompletionOfEndedExecutorIsApplied(t *testing.T) {
	t.Parallel()
	h := startedOnUnresponsive(t)
	h.now = h.now.Add(10 * time.Second)
	var late Poll
	for _, poll := range h.shard.Polls(h.now) {
		if poll.Executor.ID == "i-1" {
			late = poll
			continue
		}
		h.shard.HandlePollResult(poll, Responded, h.listRuns(string(poll.Executor.ID), nil), h.now)
	}
	assert.Equal(t, late.Executor.ID, cluster.ExecutorID("i-1"))
	ref := h.shard.executors["i-1"].sortedRuns()[0].ref()
	for range endedAfterLists {
		h.shard.ApplyMachineList(NewMachineList(machinesOf("i-2"), h.now))
	}
	assert.Equal(t, len(h.startAll()), 1)
	response := execution.PollResponse{Reply: execution.Reply{ClockMs: 2000}, Ended: []execution.Ended{{RunRef: ref, Sequence: 1, Reason: execution.EndedDone}}}
	h.shard.HandlePollResult(late, Responded, response, h.now)
	assert.Assert(t, h.shard.jobs["00000000000000aa"].task(ref.Task).done)
	h.now = h.now.Add(commandRescan)
	stops := h.commandsOf(CommandStop)
	assert.Equal(t, len(stops), 1)
	assert.Equal(t, stops[0].Reason, StopDoneBefore)
	for _, poll := range h.shard.Polls(h.now) {
		assert.Assert(t, poll.Executor.ID != "i-1", "an ended executor is polled")
	}
}

// As TestSafetyRulesHoldUnderFaults, with machine lists that lack a living executor for once: the
// pages of a list are not a snapshot.
func TestSafetyRulesHoldWithUnreliableMachineLists(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		w.machineLists = machineListsUnreliable
		for range rapid.IntRange(10, 40).Draw(t, "faults") {
			w.injectFault()
			for range rapid.IntRange(1, 40).Draw(t, "pause") {
				w.step(40 * time.Millisecond)
			}
		}
		w.healAndFinish()
	})
}

// As TestTasksStartWithinBoundOnceFaultsEnd, with executors that are lost for good.
func TestTasksStartWithinBoundAfterLossOfExecutors(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		w := newLivenessWorld(t)
		w.liveness.noFailingJobs = true
		for range rapid.IntRange(5, 30).Draw(t, "faults") {
			w.injectLivenessFault()
			if e := w.pickExecutor("lost"); e != nil && rapid.IntRange(0, 3).Draw(t, "lost for good") == 0 {
				w.addExecutor(fmt.Sprintf("10.0.3.%d:80", w.executorsAdded))
				w.crash(e, false)
				w.liveness.faultFreeSince = w.now
			}
			w.checkedStep(w.randomTicks("pause", rapid.SampledFrom([]int{1000, 1000, 4000}).Draw(t, "longest pause")))
		}
		w.healAndCheck()
	})
}

// The same loss where there is no machine service, or where it is down.
func TestLongRunningTaskOfLostExecutorStartsInTimeWithoutMachineLists(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) { loseExecutorWithItsOwner(t, machineListsAbsent) })
}

// The same loss where some requests for the machine list fail.
func TestLongRunningTaskOfLostExecutorStartsInTimeWithUnreliableMachineLists(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) { loseExecutorWithItsOwner(t, machineListsUnreliable) })
}
