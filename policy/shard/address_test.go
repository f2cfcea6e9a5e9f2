package shard

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/execution"
)

// elsewhere returns an executor's entry with the address of another one.
func elsewhere(e cluster.Executor) cluster.Executor {
	e.Address = "i-2:80"
	return e
}

// refuseElsewhere sends the due polls: those to the address of another executor are refused there.
func (h *harness) refuseElsewhere() (addresses []string) {
	for _, poll := range h.shard.Polls(h.now) {
		addresses = append(addresses, poll.Executor.Address)
		response := execution.PollResponse{Reply: execution.Reply{ClockMs: 1000}}
		if poll.Executor.Address == "i-2:80" {
			response.Refusal = execution.RefusedWrongExecutor
		}
		h.shard.HandlePollResult(poll, Responded, response, h.now)
	}
	return addresses
}

// Another writer's entry names another address for an executor with runs: what responds there must not
// end them, and the executor is used again once it has written its own entry.
func TestEntryWithAnotherAddressDoesNotEndTheRunsOfAnExecutor(t *testing.T) {
	t.Parallel()
	entry := newExecutorNamed("i-1")
	for _, born := range []cluster.Birth{0, longAgo} {
		entry.Born = born
		h := newHarness(t, entry)
		h.storeAndCommand()
		h.pollAll()
		h.submit("00000000000000aa", oneTask)
		assert.Equal(t, len(h.storeAndCommand()), 1)
		h.shard.SetExecutors([]cluster.Executor{elsewhere(entry)}, h.now)
		e := h.shard.executors["i-1"]
		e.pollAt = h.now
		assert.DeepEqual(t, h.refuseElsewhere(), []string{"i-1:80"})
		assert.Equal(t, len(e.runs), 1)
		assert.Equal(t, e.unusableReason(h.now), UnusableReason(""), "it responds where it did before")
		h.shard.SetExecutors([]cluster.Executor{entry}, h.now)
		assert.Equal(t, e.unusableReason(h.now), UnusableReason(""))
	}
}

// An executor is first listed with the address of another one, which refuses the poll. It is polled and
// used once its own entry is listed, also if the refusal comes only then.
func TestExecutorIsUsedAfterAFirstEntryWithAnotherAddress(t *testing.T) {
	t.Parallel()
	entry := newExecutorNamed("i-1")
	refused := execution.PollResponse{Reply: execution.Reply{Refusal: execution.RefusedWrongExecutor}}
	for _, late := range []bool{false, true} {
		h := &harness{t: t, shard: New(testLimits, 7), now: newHarness(t).now, revision: 7}
		h.shard.SetExecutors([]cluster.Executor{elsewhere(entry)}, h.now)
		polls := h.shard.Polls(h.now)
		assert.Equal(t, len(polls), 1)
		if !late {
			h.shard.HandlePollResult(polls[0], Responded, refused, h.now)
		}
		h.shard.SetExecutors([]cluster.Executor{entry}, h.now)
		if late {
			h.shard.HandlePollResult(polls[0], Responded, refused, h.now)
		}
		assert.DeepEqual(t, h.refuseElsewhere(), []string{"i-1:80"})
		assert.Equal(t, h.shard.executors["i-1"].unusableReason(h.now), UnusableReason(""))
	}
}

// An owner takes over while an entry names another address than the stored progress of a run there: the
// run is where an earlier owner has reached the executor.
func TestStoredAddressOfARunIsKept(t *testing.T) {
	t.Parallel()
	entry := newExecutorNamed("i-1")
	h := &harness{t: t, shard: New(testLimits, 7), now: newHarness(t).now, revision: 7}
	h.shard.SetExecutors([]cluster.Executor{elsewhere(entry)}, h.now)
	e := h.shard.holder(TaskProgress{Executor: "i-1", Address: entry.Address}, h.now)
	assert.Equal(t, e.Address, entry.Address)
	assert.DeepEqual(t, h.refuseElsewhere(), []string{"i-1:80"})
	e.polled, e.pollAt = false, h.now
	h.shard.SetExecutors([]cluster.Executor{elsewhere(entry), entry}, h.now)
	assert.DeepEqual(t, h.refuseElsewhere(), []string{"i-1:80"})
	assert.Equal(t, e.unusableReason(h.now), UnusableReason(""))
}
