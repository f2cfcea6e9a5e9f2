package placement

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
	"pgregory.net/rapid"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/api/label"
	_ "github.com/tarragonreach/tarragonreach/api/rapidseed"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func res(milliCPU, memoryMiB int64) fleet.Resources {
	return fleet.Resources{MilliCPU: milliCPU, MemoryMiB: memoryMiB}
}

func worker(i int, tasks ...Task) Worker {
	return Worker{
		ID: fleet.InstanceID(fmt.Sprintf("w-%d", i)), Rack: fmt.Sprintf("r-%d", i/4), Capacity: res(16_000, 64_000),
		Trust: 1, Tasks: tasks, Labels: label.Set{"kind": "cpu"},
	}
}

func batch(id, tenant string, need fleet.Resources, sinceCheckpoint time.Duration) Task {
	return Task{ID: fleet.TaskID(id), Job: id, Tenant: tenant, Need: need, Checkpointed: now.Add(-sinceCheckpoint), Remaining: time.Hour}
}

func pending(job, tenant string, need fleet.Resources) Pending {
	return Pending{Job: job, Tenant: tenant, Need: need, Since: now}
}

func tenantWithQuota(name string, amount fleet.Resources) Tenant {
	return Tenant{Name: name, Quota: amount}
}

func TestUrgentTaskThrottlesBeforeCheckpointing(t *testing.T) {
	urgent := pending("urgent", "a", res(8_000, 1_000))
	urgent.Urgent = true
	plan := Decide(Snapshot{Now: now, Pending: []Pending{urgent}, Workers: []Worker{
		worker(0, batch("b", "a", res(15_000, 4_000), time.Hour)),
	}})
	assert.Equal(t, len(plan.Starts), 1)
	assert.Equal(t, len(plan.Reclaims), 1)
	assert.Equal(t, plan.Reclaims[0].Kind, ReclaimThrottle)
}

func TestThrottledTaskIsRestoredOnceCPUIsFree(t *testing.T) {
	throttled := batch("b", "a", res(8_000, 4_000), time.Hour)
	throttled.Throttled = true
	plan := Decide(Snapshot{Now: now, Workers: []Worker{worker(0, throttled)}})
	assert.Equal(t, len(plan.Reclaims), 1)
	assert.Equal(t, plan.Reclaims[0].Kind, ReclaimRestore)
	busy := batch("c", "a", res(12_000, 4_000), time.Hour)
	assert.Equal(t, len(Decide(Snapshot{Now: now, Workers: []Worker{worker(0, throttled, busy)}}).Reclaims), 0)
}

func TestUrgentTaskDoesNotPreemptBatchNearItsDeadline(t *testing.T) {
	urgent := pending("urgent", "a", res(1_000, 32_000))
	urgent.Urgent = true
	near := batch("near", "a", res(1_000, 60_000), time.Minute)
	near.Deadline = now.Add(65 * time.Minute)
	far := batch("far", "a", res(1_000, 60_000), 2*time.Hour)
	plan := Decide(Snapshot{Now: now, Pending: []Pending{urgent}, Workers: []Worker{worker(0, near), worker(1, far)}})
	assert.Equal(t, len(plan.Reclaims), 1)
	assert.Equal(t, plan.Reclaims[0].Task, far.ID)
	assert.Equal(t, plan.Starts[0].Worker, fleet.InstanceID("w-1"))
}

func TestTenantWithinQuotaReclaimsBorrowedCapacity(t *testing.T) {
	borrower := batch("b", "over-quota", res(16_000, 64_000), time.Minute)
	s := Snapshot{
		Now: now, Workers: []Worker{worker(0, borrower)}, Pending: []Pending{pending("j", "within-quota", res(8_000, 8_000))},
		Tenants: []Tenant{{Name: "over-quota", Quota: res(1_000, 1_000), Allocated: borrower.Need}, tenantWithQuota("within-quota", res(8_000, 8_000))},
	}
	plan := Decide(s)
	assert.Equal(t, len(plan.Starts), 1)
	assert.Assert(t, !plan.Starts[0].Borrowed)
	assert.Equal(t, plan.Reclaims[0].Task, borrower.ID)

	s.Tenants[0].Quota = res(16_000, 64_000)
	assert.Equal(t, len(Decide(s).Starts), 0, "capacity allocated within a quota is not reclaimed")
}

func TestTaskThatCannotMeetItsDeadlineGoesLast(t *testing.T) {
	late := pending("late", "a", res(16_000, 1))
	late.Deadline, late.Remaining = now.Add(time.Minute), time.Hour
	inTime := pending("in-time", "a", res(16_000, 1))
	inTime.Deadline, inTime.Remaining = now.Add(2*time.Hour), time.Hour
	plan := Decide(Snapshot{Now: now, Pending: []Pending{late, inTime}, Workers: []Worker{worker(0)}})
	assert.Equal(t, len(plan.Starts), 1)
	assert.Equal(t, plan.Starts[0].Pending.Job, "in-time")
}

func TestRefusalMarksUnsatisfiableTasks(t *testing.T) {
	large := pending("large", "a", res(99_000, 1))
	unmatched := pending("unmatched", "a", res(1, 1))
	unmatched.Selector, _ = label.Parse("kind=gpu")
	full := pending("full", "a", res(16_000, 1))
	s := Snapshot{Now: now, Pending: []Pending{large, unmatched, full}, Workers: []Worker{worker(0, batch("b", "a", res(9_000, 1), 0))}}
	plan := Decide(s)
	assert.Equal(t, len(plan.Refusals), 3)
	for _, r := range plan.Refusals {
		assert.Equal(t, r.Unsatisfiable, r.Job != "full", r.Job)
		assert.Assert(t, cmp.Contains(r.Reason, "of 1 workers"))
	}
}

func TestOvercommittedWorkerCheckpointsItsCheapestTask(t *testing.T) {
	plan := Decide(Snapshot{Now: now, Workers: []Worker{worker(0,
		batch("checkpointed-long-ago", "a", res(1, 40_000), time.Hour), batch("checkpointed-recently", "a", res(1, 40_000), time.Minute))}})
	assert.Equal(t, len(plan.Reclaims), 1)
	assert.Equal(t, plan.Reclaims[0].Task, fleet.TaskID("checkpointed-recently"))
}

// TestPlanNeverOvercommits checks plans over random fleets: no worker's memory is
// overcommitted, only usable workers start tasks, and each task is started or refused.
func TestPlanNeverOvercommits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSnapshot(t)
		plan := Decide(s)
		free := map[fleet.InstanceID]fleet.Resources{}
		tasks := map[fleet.TaskID]Task{}
		for _, w := range s.Workers {
			free[w.ID] = newWorkerState(w).free
			for _, task := range w.Tasks {
				tasks[task.ID] = task
			}
		}
		for _, r := range plan.Reclaims {
			task := tasks[r.Task]
			freed := task.usage()
			if r.Kind != ReclaimCheckpoint {
				next := task
				next.Throttled = r.Kind == ReclaimThrottle
				freed = task.usage().Sub(next.usage())
				tasks[r.Task] = next
			}
			free[r.Worker] = free[r.Worker].Add(freed)
		}
		for _, start := range plan.Starts {
			free[start.Worker] = free[start.Worker].Sub(start.Pending.Need)
		}
		for _, w := range s.Workers {
			assert.Assert(t, free[w.ID].MemoryMiB >= 0, "%s: %+v", w.ID, free[w.ID])
			assert.Assert(t, w.Unusable == "" || !startsOn(plan, w.ID))
		}
		assert.Equal(t, len(plan.Starts)+len(plan.Refusals), len(s.Pending))
	})
}

func startsOn(plan Plan, id fleet.InstanceID) bool {
	for _, s := range plan.Starts {
		if s.Worker == id {
			return true
		}
	}
	return false
}

func drawSnapshot(t *rapid.T) Snapshot {
	s := Snapshot{Now: now, Tenants: []Tenant{tenantWithQuota("a", res(20_000, 80_000)), tenantWithQuota("b", res(5_000, 20_000))}}
	tenants := rapid.SampledFrom([]string{"a", "b", "c"})
	need := func(name string) fleet.Resources {
		return res(rapid.Int64Range(1, 12_000).Draw(t, name+"CPU"), rapid.Int64Range(1, 50_000).Draw(t, name+"Memory"))
	}
	for i := range rapid.IntRange(1, 8).Draw(t, "workers") {
		w := worker(i)
		if rapid.IntRange(0, 4).Draw(t, "unusable") == 0 {
			w.Unusable = "draining"
		}
		for j := range rapid.IntRange(0, 3).Draw(t, "tasks") {
			task := batch(fmt.Sprintf("t-%d-%d", i, j), tenants.Draw(t, "tenant"), need("task"), time.Minute)
			task.Urgent = rapid.Bool().Draw(t, "taskUrgent")
			task.Throttled = rapid.Bool().Draw(t, "throttled")
			w.Tasks = append(w.Tasks, task)
		}
		s.Workers = append(s.Workers, w)
	}
	for i := range rapid.IntRange(0, 12).Draw(t, "pending") {
		p := pending(fmt.Sprintf("j-%d", i%5), tenants.Draw(t, "pendingTenant"), need("pending"))
		p.Index = i
		p.Urgent = rapid.Bool().Draw(t, "urgent")
		s.Pending = append(s.Pending, p)
	}
	return s
}
