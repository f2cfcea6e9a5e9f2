package shard

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/execution"
	"github.com/tarragonreach/tarragonreach/api/job"
)

// windowHarness has four executors with room for eight tasks each.
func windowHarness(t *testing.T, window, tasks int) *harness {
	var executors []cluster.Executor
	for _, id := range []string{"i-1", "i-2", "i-3", "i-4"} {
		e := newExecutorNamed(id)
		e.Capacity = job.Resources{MilliCPU: 8000, MemoryMB: 8000}
		executors = append(executors, e)
	}
	h := newHarness(t, executors...)
	h.shard.SetCommandWindow(window)
	h.submit("00000000000000aa", job.Step{Count: tasks, Need: job.Resources{MilliCPU: 1000, MemoryMB: 1000}, Estimate: time.Second})
	return h
}

// Starts to all executors at once filled the link of the owner's instance for longer than calls and leases last.
func TestCommandsInFlightStayWithinTheWindow(t *testing.T) {
	t.Parallel()
	const window, tasks = 3, 32
	h := windowHarness(t, window, tasks)
	var pending []Command
	started := map[cluster.ExecutorID]int{}
	for range 100 {
		pending = append(pending, h.storeAndCommand()...)
		assert.Assert(t, len(pending) <= window, "%d commands in flight", len(pending))
		assert.Equal(t, h.shard.CommandsInFlight(), len(pending))
		if len(pending) == 0 {
			continue
		}
		cmd := pending[0]
		pending = pending[1:]
		assert.Equal(t, cmd.Kind, CommandStart)
		started[cmd.Executor.ID]++
		h.shard.HandleCommandResult(cmd, Responded, execution.Reply{ClockMs: 1000}, h.now)
	}
	total := 0
	for _, n := range started {
		total += n
	}
	assert.Equal(t, total, tasks)
	assert.Equal(t, len(started), 4, "%v", started)
}

// Starts that were decided but can't be sent yet lost their leases while they waited.
func TestNoMoreStartsAreDecidedThanTheWindowLetsOut(t *testing.T) {
	t.Parallel()
	const window = 3
	h := windowHarness(t, window, 24)
	for range 10 {
		h.storeAndCommand()
		unsent := 0
		for _, e := range h.shard.executors {
			for _, r := range e.runOrder {
				if r.startAttempts == 0 {
					unsent++
				}
			}
		}
		assert.Assert(t, unsent <= window, "%d starts wait", unsent)
	}
}

// A start was sent although its lease was nearly over, was refused by the executor, and had taken the link from others.
func TestStartWhoseLeaseIsNearlyOverIsNotSent(t *testing.T) {
	t.Parallel()
	h := windowHarness(t, 1, 2)
	first := h.storeAndCommand()
	assert.Equal(t, len(first), 1)
	assert.Equal(t, len(h.storeAndCommand()), 0) // decides the second start, which the window holds back
	h.now = h.now.Add(testLimits.RunLease - minSentLease/2)
	h.shard.HandleCommandResult(first[0], Responded, execution.Reply{}, h.now)
	sent := 0
	for range 5 {
		for _, cmd := range h.storeAndCommand() {
			remaining := cmd.Start.UntilMs - cmd.target.clock(h.now)
			assert.Assert(t, remaining >= 500, "sent with %d ms of its lease left", remaining)
			sent++
			h.shard.HandleCommandResult(cmd, Responded, execution.Reply{}, h.now)
		}
		h.now = h.now.Add(replanInterval)
		h.pollListingRuns()
	}
	assert.Equal(t, sent, 1, "its task has not been started anew")
}
