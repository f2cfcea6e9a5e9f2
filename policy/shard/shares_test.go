package shard

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/job"
)

func (h *harness) submitFor(tenant cluster.TenantName, id job.ID, accepted time.Time, steps ...job.Step) {
	h.shard.AddJob(Record{
		ID: id, Tenant: tenant, Accepted: accepted, Definition: job.Definition{Steps: steps},
		Queue: QueuePolicy{Name: "q", MaxAttempts: 2, Stretch: 2, TargetDuration: time.Second},
	}, nil, h.now)
}

// drawJobs submits random jobs of three tenants and of none.
func drawJobs(t *rapid.T, h *harness, most int) {
	for i := range rapid.IntRange(1, most).Draw(t, "jobs") {
		tenant := rapid.SampledFrom([]cluster.TenantName{"", tenantName(0), tenantName(1), tenantName(2)}).Draw(t, "tenant")
		age := time.Duration(rapid.IntRange(0, 9000).Draw(t, "age")) * time.Millisecond
		step := oneTask
		step.Count = rapid.IntRange(1, 3).Draw(t, "tasks")
		step.LongRunning = rapid.IntRange(0, 9).Draw(t, "kind") == 0
		h.submitFor(tenant, testID(i), h.now.Add(-age), step)
		h.shard.jobs[testID(i)].Queue.Priority = rapid.IntRange(0, 1).Draw(t, "priority")
	}
	for range rapid.IntRange(0, 3).Draw(t, "batches") {
		h.storeAndCommand()
	}
}

// Where the operator has configured no tenants, the order is by deadline, though records may still
// name tenants. It is the same where tenants are configured and all work fits.
func TestOrderIsByDeadlineWithoutTenantsOrScarcity(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		configured := rapid.Bool().Draw(rt, "tenants")
		executors, most := 1, 40
		if configured {
			executors, most = 8, 10 // of up to three tasks each, and four fit an executor
		}
		var list []cluster.Executor
		for i := range executors {
			list = append(list, newExecutorNamed(string(testID(i))))
		}
		h := newHarness(t, list...)
		if configured {
			h.shard.SetTenants(equalTenants(3, 100))
		}
		drawJobs(rt, h, most)
		assert.DeepEqual(rt, idsOf(h.shard.startOrder(h.now)), idsOf(h.shard.startOrderByDeadline(h.now)))
	})
}

// Whatever the shares, each job is in the order once, after the jobs of a lower rank, and after the
// jobs of its own rank and tenant with an earlier deadline.
func TestOrderBySharesKeepsRanksAndDeadlines(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		h := newHarness(t, newExecutorNamed("i-1"))
		h.shard.SetTenants(equalTenants(3, rapid.Float64Range(0.5, 20).Draw(rt, "weight")))
		drawJobs(rt, h, 40)
		h.shard.decideExcess(h.now)
		order := h.shard.startOrder(h.now)
		assert.Equal(rt, len(order), len(h.shard.startOrderByDeadline(h.now)))
		seen := map[job.ID]bool{}
		last := map[cluster.TenantName]*jobState{}
		for i, j := range order {
			assert.Assert(rt, !seen[j.ID])
			seen[j.ID] = true
			if i > 0 && j.urgency(h.now) == urgencyInTime {
				assert.Assert(rt, order[i-1].urgency(h.now) <= urgencyInTime)
			}
			if j.excess {
				assert.Assert(rt, j.urgency(h.now) >= urgencyExcess)
			}
			if before := last[j.Tenant]; before != nil && sameRank(before, j, h.now) {
				assert.Assert(rt, compareDeadlines(before, j) < 0)
			}
			last[j.Tenant] = j
		}
		for _, s := range h.shard.shareList {
			assert.Equal(rt, len(s.queue), 0)
			assert.Equal(rt, s.planned, job.Resources{})
		}
	})
}

func sameRank(x, y *jobState, now time.Time) bool {
	u := x.urgency(now)
	return u == y.urgency(now) && u != urgencyExpiring && u != urgencyLate &&
		x.Queue.Priority == y.Queue.Priority && x.started() == y.started()
}

// The next job is of the tenant that uses least for its weight, counting its dominant resource.
func TestNextJobIsOfTheTenantWithTheSmallestShare(t *testing.T) {
	t.Parallel()
	h := newHarness(t, newExecutorNamed("i-1")) // 4 cores, 4,000 MB
	h.shard.SetTenants([]cluster.Tenant{{Name: "a", Weight: 10}, {Name: "b", Weight: 20}})
	cpu := job.Step{Count: 1, Need: job.Resources{MilliCPU: 1000, MemoryMB: 10}, Estimate: time.Second}
	memory := job.Step{Count: 1, Need: job.Resources{MilliCPU: 10, MemoryMB: 1000}, Estimate: time.Second}
	for i := range 4 {
		h.submitFor("a", job.ID([]string{"a1", "a2", "a3", "a4"}[i]), h.now.Add(time.Duration(i)), memory)
	}
	for i := range 6 {
		h.submitFor("b", job.ID([]string{"b1", "b2", "b3", "b4", "b5", "b6"}[i]), h.now.Add(time.Duration(10+i)), cpu)
	}
	want := []job.ID{"a1", "b1", "b2", "a2", "b3", "b4", "a3", "b5", "b6", "a4"}
	assert.DeepEqual(t, idsOf(h.shard.startOrder(h.now)), want)
}

// Runs count for their tenant from their decision to their end.
func TestUsageByTenant(t *testing.T) {
	t.Parallel()
	h := newHarness(t, newExecutorNamed("i-1"))
	h.submitFor("a", testID(1), h.now, oneTask)
	h.submitFor("", testID(2), h.now, oneTask)
	h.startAll()
	assert.Equal(t, h.shard.usedBy("a"), oneTask.Need)
	assert.Equal(t, h.shard.usedBy(""), oneTask.Need)
	assert.Equal(t, h.shard.usedBy("b"), job.Resources{})
	h.shard.discardAll(h.shard.executors["i-1"])
	assert.Equal(t, h.shard.usedBy("a"), job.Resources{})
}

// newExcessHarness returns a harness in which one of two jobs of tenant a is excess.
func newExcessHarness(t *testing.T) *harness {
	h := newHarness(t, newExecutorNamed("i-1"))
	h.shard.SetTenants([]cluster.Tenant{{Name: "a", Weight: 1}})
	h.shard.NoteContact(h.now, h.now)
	h.submitFor("a", "aa", h.now, oneTask)
	h.submitFor("a", "ab", h.now, oneTask)
	return h
}

// Excess work gets machines as late work does, and does not make the planner predict a peak.
func TestLoadOfExcessJobs(t *testing.T) {
	t.Parallel()
	h := newExcessHarness(t)
	load := h.shard.Batch(h.now, 29).Load
	need := oneTask.Need.MilliCPU
	assert.DeepEqual(t, []int64{load.InTimeCPU, load.LateCPU, load.ExcessCPU}, []int64{need, need, need})
	assert.DeepEqual(t, []int64{load.ArrivedJobs, load.ArrivedWork}, []int64{1, 1000})
}

// Excess jobs that wait for their turn or for capacity have a reason of their own. Others keep theirs,
// since it is what keeps them from starting.
func TestReportOfExcessJobs(t *testing.T) {
	t.Parallel()
	h := newExcessHarness(t)
	r := h.shard.Waiting(h.now, false)
	assert.DeepEqual(t, r.Samples, map[job.ID]Reason{"aa": ReasonNotItsTurn, "ab": ReasonBeyondRate})
	assert.DeepEqual(t, r.Tenants, []TenantReport{{Tenant: "a", Weight: 1, WithinRate: 1, BeyondRate: 1}})
	h.startAll()
	r = h.shard.Waiting(h.now, false)
	assert.DeepEqual(t, r.Tenants, []TenantReport{{Tenant: "a", Weight: 1, Share: 0.5}})
	h.shard.SetExecutors(nil, h.now)
	h.submitFor("a", "ac", h.now, oneTask)
	assert.Equal(t, h.shard.Waiting(h.now, false).Samples["ac"], ReasonNoExecutor)
	assert.Assert(t, h.shard.jobs["ac"].excess)
}
