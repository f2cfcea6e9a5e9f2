package shard

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/execution"
	"github.com/tarragonreach/tarragonreach/api/job"
)

// entriesOnly returns n entries that no executor stands behind.
func entriesOnly(n int, capacity job.Resources) []cluster.Executor {
	var list []cluster.Executor
	for i := range n {
		e := newExecutorNamed(fmt.Sprintf("odd-%d", i))
		e.Capacity = capacity
		list = append(list, e)
	}
	return list
}

var unconfirmedEntries = []struct {
	name    string
	entries []cluster.Executor
}{
	{"largest int64", entriesOnly(1, job.Resources{MilliCPU: math.MaxInt64, MemoryMB: math.MaxInt64})},
	{"negative", entriesOnly(1, job.Resources{MilliCPU: -1 << 40, MemoryMB: -1 << 40})},
	{"10^15 CPU, 1 MB", entriesOnly(1, job.Resources{MilliCPU: 1e15, MemoryMB: 1})},
	{"1 CPU, 2^50 MB", entriesOnly(1, job.Resources{MilliCPU: 1, MemoryMB: 1 << 50})},
	{"four times a real capacity", entriesOnly(1, job.Resources{MilliCPU: 64_000, MemoryMB: 128_000})},
	{"five of four times a real capacity", entriesOnly(5, job.Resources{MilliCPU: 64_000, MemoryMB: 128_000})},
}

// decisions are what a shard derives from the capacity of its executors.
type decisions struct {
	Load      Load
	Tenants   []TenantReport
	Order     []job.ID
	Uneven    []float64
	Free      job.Resources
	Admission Admission
}

// decisionsWith returns the decisions of a shard with two executors that have responded, and with further
// entries. Its work is bound by memory, competes by shares, and has jobs that expire.
func decisionsWith(t *testing.T, entries []cluster.Executor) decisions {
	sound := []cluster.Executor{newExecutorNamed("i-1"), newExecutorNamed("i-2")}
	for i := range sound {
		sound[i].Capacity = job.Resources{MilliCPU: 16_000, MemoryMB: 32_000}
	}
	h := newHarness(t, sound...)
	h.shard.SetTenants(equalTenants(2, 1))
	h.shard.SetAdmission(true)
	h.shard.SetExecutors(append(sound, entries...), h.now)
	for _, poll := range h.shard.Polls(h.now) {
		h.shard.HandlePollResult(poll, Ambiguous, execution.PollResponse{}, h.now)
	}
	task := func(cpu, memory int64) job.Step {
		return job.Step{Count: 1, Need: job.Resources{MilliCPU: cpu, MemoryMB: memory}, Estimate: time.Second}
	}
	lasting := job.Step{Count: 24, Need: job.Resources{MilliCPU: 1000, MemoryMB: 9000}, LongRunning: true}
	h.submit(testID(0), lasting)
	for i := range 12 {
		h.submitFor(tenantName(0), testID(100+i), h.now.Add(time.Duration(i)*time.Millisecond), task(4000, 100))
		h.submitFor(tenantName(1), testID(200+i), h.now.Add(time.Duration(i)*time.Millisecond), task(100, 6000))
	}
	for i := range 6 {
		h.submitFor(tenantName(i%2), testID(300+i), h.now.Add(-7500*time.Millisecond), task(2000, 2000))
	}
	h.storeAndCommand()
	h.now = h.now.Add(200 * time.Millisecond)
	h.shard.Batch(h.now, 29)
	d := decisions{
		Load: h.shard.load(h.now), Tenants: h.shard.tenantReports(), Order: idsOf(h.shard.startOrder(h.now)),
		Free: h.shard.usableFree(h.now), Admission: h.shard.estimateAdmission(h.now, false),
	}
	uneven := h.shard.needs.unevenness(h.shard.meanCapacity(), h.now)
	d.Uneven = []float64{uneven.minCPU, uneven.minMemory}
	for _, e := range entries {
		delete(d.Load.Executors, e.ID)
	}
	return d
}

// One entry that no executor stands behind shrinks a service to a fifth, asks for all machines of the
// fleet, or changes whose work starts first.
func TestEntryWithoutExecutorChangesDecisions(t *testing.T) {
	t.Parallel()
	want := decisionsWith(t, nil)
	assert.Equal(t, want.Load.LongRunningCPU, int64(24*(16_000/3)))
	for _, c := range unconfirmedEntries {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			assert.DeepEqual(t, decisionsWith(t, c.entries), want)
		})
	}
}

// A new owner has not heard of any executor yet: what it computes without a capacity, or with one that
// only an entry states, makes the planner move machines.
func TestNewOwnerPublishesANeedWithoutAConfirmedCapacity(t *testing.T) {
	t.Parallel()
	for _, responds := range []bool{true, false} {
		h := newHarness(t)
		large := newExecutorNamed("i-1")
		large.Capacity = job.Resources{MilliCPU: 16_000, MemoryMB: 32_000}
		odd := entriesOnly(1, job.Resources{MilliCPU: 1e12, MemoryMB: 1})
		h.shard.SetExecutors(append(odd, large), h.now)
		h.submit(testID(0), job.Step{Count: 24, Need: job.Resources{MilliCPU: 1000, MemoryMB: 9000}, LongRunning: true})
		polls := h.shard.Polls(h.now)
		published := func(d time.Duration) *Load {
			for end := h.now.Add(d); h.now.Before(end); h.now = h.now.Add(100 * time.Millisecond) {
				if b := h.shard.Batch(h.now, 29); b != nil {
					h.shard.Committed()
					if b.Load != nil {
						return b.Load
					}
				}
			}
			return nil
		}
		assert.Assert(t, published(time.Second) == nil)
		want := int64(24 * 1000) // by their CPU alone, within a bounded time
		if responds {
			want = 24 * (16_000 / 3)
			h.shard.HandlePollResult(polls[slices.IndexFunc(polls, func(p Poll) bool { return p.Executor.ID == large.ID })], Responded, h.listRuns("i-1", nil), h.now)
		}
		load := published(maxResponseAge)
		assert.Assert(t, load != nil)
		assert.Equal(t, load.LongRunningCPU, want)
	}
}

// While all executors restart under other IDs, none is confirmed: the need of memory-bound tasks must not
// shrink meanwhile.
func TestNeedShrinksWhileAllExecutorsAreReplaced(t *testing.T) {
	t.Parallel()
	large := newExecutorNamed("i-1")
	large.Capacity = job.Resources{MilliCPU: 16_000, MemoryMB: 32_000}
	h := newHarness(t, large)
	h.submit(testID(0), job.Step{Count: 24, Need: job.Resources{MilliCPU: 1000, MemoryMB: 9000}, LongRunning: true})
	before := h.shard.load(h.now).LongRunningCPU
	large.ID = "i-2"
	h.shard.SetExecutors([]cluster.Executor{large}, h.now)
	assert.Equal(t, h.shard.load(h.now).LongRunningCPU, before)
}
