package shard

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/job"
)

func TestOccupiedCPU(t *testing.T) {
	t.Parallel()
	executor := job.Resources{MilliCPU: 16000, MemoryMB: 32000}
	for _, c := range []struct {
		name     string
		need     job.Resources
		capacity job.Resources
		want     int64
	}{
		{"CPU-bound, fits exactly", job.Resources{MilliCPU: 4000, MemoryMB: 100}, executor, 4000},
		{"CPU-bound, three fit", job.Resources{MilliCPU: 4900, MemoryMB: 100}, executor, 16000 / 3},
		{"memory-bound, three fit", job.Resources{MilliCPU: 1000, MemoryMB: 9000}, executor, 16000 / 3},
		{"too large for any executor", job.Resources{MilliCPU: 20000, MemoryMB: 100}, executor, 20000},
		{"no executor", job.Resources{MilliCPU: 1000, MemoryMB: 100}, job.Resources{}, 1000},
		{"no need", job.Resources{}, executor, 0},
	} {
		assert.Equal(t, occupiedCPU(c.need, c.capacity), c.want, c.name)
	}
}

// A pool whose long-running tasks are limited by memory: the planner must learn how many
// executors they need, not how many their CPU need would fill.
func TestLoadOfAMemoryBoundPoolCountsItsExecutors(t *testing.T) {
	t.Parallel()
	large := newExecutorNamed("i-1")
	large.Capacity = job.Resources{MilliCPU: 16000, MemoryMB: 32000}
	h := newHarness(t, large)
	longRunning := job.Step{Count: 24, Need: job.Resources{MilliCPU: 1000, MemoryMB: 9000}, LongRunning: true}
	h.submit("00000000000000aa", longRunning)
	h.submit("00000000000000ab", longRunning)
	load := h.shard.load(h.now)
	const executors = 16 // three of the 48 tasks fit on each
	machines := float64(load.LongRunningCPU) / float64(large.Capacity.MilliCPU)
	assert.Assert(t, machines > executors-0.1 && machines <= executors, "%.2f", machines)
	assert.Equal(t, load.Executors[cluster.ExecutorID("i-1")].Runs, 0)
}

// loadsWritten returns how many loads are written within five seconds in which the load always changes, and
// storing a batch takes the given time.
func loadsWritten(t *testing.T, storing time.Duration, urgent bool) int {
	h := newHarness(t, newExecutorNamed("i-1"))
	written := 0
	for i := range 100 {
		h.submit(job.ID(fmt.Sprintf("%016x", i)), oneTask)
		h.shard.loadUrgent = urgent
		if batch := h.shard.Batch(h.now, 29); batch != nil {
			h.shard.NoteStored(storing)
			h.shard.Committed()
			if batch.Load != nil {
				written++
			}
		}
		h.now = h.now.Add(50 * time.Millisecond)
		h.pollListingRuns()
	}
	return written
}

// Loads took a sixth of the bytes that an owner sent over a full link, and a third of what arrived at the
// fleet planner, whose link was full as well.
func TestLoadIsWrittenLessOftenWhileBatchesTakeLong(t *testing.T) {
	t.Parallel()
	soon, urgentSoon := loadsWritten(t, 10*time.Millisecond, false), loadsWritten(t, 10*time.Millisecond, true)
	late, urgentLate := loadsWritten(t, 200*time.Millisecond, false), loadsWritten(t, 200*time.Millisecond, true)
	assert.Assert(t, soon >= 49, "%d", soon)
	assert.Assert(t, urgentSoon >= 99, "%d", urgentSoon)
	assert.Assert(t, late >= 9 && late <= 15, "%d", late)
	assert.Assert(t, urgentLate >= 18 && urgentLate <= 26, "%d", urgentLate)
}
