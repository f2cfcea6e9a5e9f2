package shard

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/execution"
	"github.com/tarragonreach/tarragonreach/api/job"
)

// shrinkGrace is how long after an executor's capacity has shrunk starts may still count on the
// former one.
const shrinkGrace = 4500 * time.Millisecond

// capacityShrink is a change of an executor's capacity to a smaller one.
type capacityShrink struct {
	at     time.Time
	former job.Resources
}

// capacityLimit returns the capacity that starts on the executor must respect now.
func (w *world) capacityLimit(e *executorSim) job.Resources {
	limit := e.capacity
	for _, s := range e.shrinks {
		if w.now.Sub(s.at) < shrinkGrace {
			limit.MilliCPU = max(limit.MilliCPU, s.former.MilliCPU)
			limit.MemoryMB = max(limit.MemoryMB, s.former.MemoryMB)
		}
	}
	return limit
}

// changeCapacity changes the capacity of an executor, which its entry shows at once.
func (w *world) changeCapacity() {
	e := w.pickExecutor("capacity changes")
	if e == nil {
		return
	}
	e.shrinks = append(e.shrinks, capacityShrink{w.now, e.capacity})
	e.capacity.MilliCPU = rapid.Int64Range(0, 4000).Draw(w.t, "capacity")
	e.capacity.MemoryMB = rapid.Int64Range(100, 4000).Draw(w.t, "memory")
	w.refreshExecutors()
}

// The capacities of executors shrink and grow while the store takes seconds for some writes:
// no start brings an executor over its capacity.
func TestStartsKeepWithinACapacityThatShrinksAndGrows(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		w.storeMayStall = true
		for range rapid.IntRange(5, 25).Draw(t, "changes") {
			switch rapid.IntRange(0, 5).Draw(t, "change") {
			case 0, 1, 2:
				w.submit()
			case 3, 4:
				w.changeCapacity()
			default:
				w.replaceOwner()
			}
			w.step(time.Duration(rapid.IntRange(1, 50).Draw(t, "pause")) * 40 * time.Millisecond)
		}
		w.storeMayStall = false
		for _, e := range w.executors {
			e.capacity = job.Resources{MilliCPU: 4000, MemoryMB: 4000}
		}
		w.healAndFinish()
	})
}

// A start that was decided before the capacity shrank is not sent.
func TestDecidedStartIsNotSentToAnExecutorThatShrank(t *testing.T) {
	t.Parallel()
	e := newExecutorNamed("i-1")
	h := newHarness(t, e)
	two := oneTask
	two.Count = 2
	h.submit("00000000000000aa", two)
	batch := h.shard.Batch(h.now, 29)
	assert.Equal(t, len(batch.starts), 2)
	e.Capacity.MilliCPU = oneTask.Need.MilliCPU
	h.shard.SetExecutors([]cluster.Executor{e}, h.now)
	h.shard.Committed()
	sent := h.shard.Commands(h.now)
	assert.Equal(t, len(sent), 1)
	h.shard.HandleCommandResult(sent[0], Responded, execution.Reply{ClockMs: 1000}, h.now)
	h.now = h.now.Add(replanInterval)
	assert.Equal(t, len(h.startAll()), 0)
	e.Capacity.MilliCPU *= 2
	h.shard.SetExecutors([]cluster.Executor{e}, h.now)
	assert.Equal(t, len(h.startAll()), 1)
}
