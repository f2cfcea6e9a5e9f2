package shard

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/tarragonreach/tarragonreach/api/execution"
)

// failPoll lets the next poll of i-1 fail, by the given delivery and refusal, and responds to the
// polls of other executors.
func (h *harness) failPoll(delivery Delivery, refusal execution.Refusal) {
	h.t.Helper()
	for range 100 {
		h.now = h.now.Add(50 * time.Millisecond)
		failed := false
		for _, poll := range h.shard.Polls(h.now) {
			if poll.Executor.ID == "i-1" {
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
	h.t.Fatalf("no poll of i-1")
}

// A list that lacks a machine for once is no evidence: the pages of a list are not a snapshot. An
// executor that has responded since the first such list was alive when that one was made.
func TestResponseBetweenTwoMachineListsWithoutTheExecutorKeepsItsRuns(t *testing.T) {
	h := startedOnUnresponsive(t)
	h.shard.ApplyMachineList(NewMachineList(machinesOf("i-2"), h.now))
	h.respondToPoll("i-1", h.listRuns("i-1", nil))
	assert.Assert(t, !h.shard.NeedsMachineList(h.now)) // no list is requested while it responds
	h.now = h.now.Add(time.Minute)
	h.failPoll(Ambiguous, execution.NotRefused)
	h.shard.ApplyMachineList(NewMachineList(machinesOf("i-2"), h.now))
	assert.Equal(t, len(h.shard.executors["i-1"].runs), 1, "one list ended the executor")
}

// An unhealthy executor refuses all polls. It has responded, so that a machine list can show nothing
// about it, and must not end its runs.
func TestExecutorThatRefusesPollsNeedsNoMachineList(t *testing.T) {
	h := startedOnUnresponsive(t)
	h.failPoll(Responded, execution.RefusedOther)
	assert.Assert(t, !h.shard.NeedsMachineList(h.now), "a list is requested for an executor that responds")
	for range endedAfterLists {
		h.shard.ApplyMachineList(NewMachineList(machinesOf("i-2"), h.now))
	}
	assert.Equal(t, len(h.shard.executors["i-1"].runs), 1)
}

// The machine list has none of the service's executors, though some respond: it is partial, or the
// executors of this service are not on machines.
func TestMachineListWithoutAnyRespondingExecutorEndsNone(t *testing.T) {
	h := startedOnUnresponsive(t)
	for range endedAfterLists {
		h.shard.ApplyMachineList(NewMachineList(machinesOf("other-1", "other-2"), h.now))
	}
	assert.Equal(t, len(h.shard.executors["i-1"].runs), 1)
}

// As TestSafetyRulesHoldUnderFaults, with machine lists that lack a living executor for once: the
// pages of a list are not a snapshot.
func TestSafetyRulesHoldWithUnreliableMachineLists(t *testing.T) {
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
