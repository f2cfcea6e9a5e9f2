package jobctl

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/explain"
	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/api/object"
	"github.com/tarragonreach/tarragonreach/entry/storecache"
	"github.com/tarragonreach/tarragonreach/platform"
	"github.com/tarragonreach/tarragonreach/platform/memory"
)

// simulatedZone is one availability zone with workers that run each task for runTime.
type simulatedZone struct {
	t        *testing.T
	platform *memory.Platform
	config   *object.Config
	runTime  time.Duration
	// failsAtOnce reports whether a task of the job fails as soon as it runs on the worker.
	failsAtOnce func(worker fleet.InstanceID, job string) bool
	records     []explain.Record
	epoch       int64
	active      bool
}

const zone = fleet.AvailabilityZone("palermo")

func (z *simulatedZone) Epoch() int64 { return z.epoch }

func (z *simulatedZone) Active() bool { return z.active }

func (z *simulatedZone) Record(r explain.Record) { z.records = append(z.records, r) }

func newSimulatedZone(t *testing.T, workers int) *simulatedZone {
	z := &simulatedZone{
		t: t, platform: memory.New(time.Now), config: &object.Config{}, runTime: time.Minute, epoch: 1, active: true,
		failsAtOnce: func(fleet.InstanceID, string) bool { return false },
	}
	var list []fleet.Instance
	for i := range workers {
		list = append(list, fleet.Instance{
			ID: fleet.InstanceID(fmt.Sprintf("w-%d", i)), Kind: fleet.KindWorker, Zone: zone,
			Rack: fmt.Sprintf("r-%d", i/4), Capacity: fleet.Resources{MilliCPU: 16_000, MemoryMiB: 64_000},
		})
	}
	z.platform.SetInstances(list)
	return z
}

func (z *simulatedZone) apply(jobs ...object.Job) {
	change := object.Change{Put: object.Document{Jobs: jobs, Tenants: []object.Tenant{{
		Name: "terreni", Quota: fleet.Resources{MilliCPU: 1_000_000, MemoryMiB: 1_000_000},
	}}}}
	z.config = z.config.Apply(change)
}

func job(name string, tasks int, milliCPU int64) object.Job {
	return object.Job{
		Name: name, Tenant: "terreni", Tasks: tasks, RunTime: object.Duration(time.Hour),
		Declared: fleet.Resources{MilliCPU: milliCPU, MemoryMiB: 1000},
	}
}

func (z *simulatedZone) controller(ctx context.Context) *Controller {
	cache := storecache.New(z.platform, fleet.JobPrefix)
	_, err := cache.Load(ctx)
	assert.NilError(z.t, err)
	return New(Options{
		Zone: zone, Store: z.platform, Cache: cache, List: z.platform, Workers: z.platform,
		Config:      func() *object.Config { return z.config },
		FleetRecord: func(fleet.InstanceID) (fleet.Record, bool) { return fleet.Record{}, false },
		Recorder:    z,
	})
}

// run reconciles for a virtual time d and ends tasks that fail or have run for runTime.
func (z *simulatedZone) run(ctx context.Context, c *Controller, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(ReconcileInterval) {
		_ = c.Reconcile(ctx, z)
		z.finishTasks(ctx)
	}
}

func (z *simulatedZone) finishTasks(ctx context.Context) {
	for _, u := range z.usage(ctx) {
		if u.State != platform.TaskRunning {
			continue
		}
		switch {
		case z.failsAtOnce(u.Worker, u.Job):
			u.State, u.Failure = platform.TaskFailed, "exit 1"
		case time.Since(u.Started) >= z.runTime:
			u.State = platform.TaskSucceeded
		default:
			continue
		}
		z.platform.SetTask(u)
	}
}

func (z *simulatedZone) usage(ctx context.Context) []platform.TaskUsage {
	faults := z.platform.Faults()
	z.platform.SetFaults(memory.Faults{})
	defer z.platform.SetFaults(faults)
	usage, err := z.platform.Usage(ctx)
	assert.NilError(z.t, err)
	return usage
}

func (z *simulatedZone) count(ctx context.Context, name string, state platform.TaskState) int {
	n := 0
	for _, u := range z.usage(ctx) {
		if u.Job == name && u.State == state {
			n++
		}
	}
	return n
}

func (z *simulatedZone) recorded(action explain.Action) []explain.Record {
	var out []explain.Record
	for _, r := range z.records {
		if r.Action == action {
			out = append(out, r)
		}
	}
	return out
}

func runInBubble(t *testing.T, do func(t *testing.T, ctx context.Context)) {
	synctest.Test(t, func(t *testing.T) { do(t, t.Context()) })
}

func TestJobRunsEachTaskOnce(t *testing.T) {
	runInBubble(t, func(t *testing.T, ctx context.Context) {
		z := newSimulatedZone(t, 4)
		z.apply(job("parcels", 150, 1000))
		z.run(ctx, z.controller(ctx), 10*time.Minute)
		assert.Equal(t, z.count(ctx, "parcels", platform.TaskSucceeded), 150)
		assert.Equal(t, len(z.usage(ctx)), 150)
	})
}

func TestLostResponsesNeverRunATaskTwice(t *testing.T) {
	runInBubble(t, func(t *testing.T, ctx context.Context) {
		z := newSimulatedZone(t, 4)
		z.platform.SetFaults(memory.Faults{LostResponsePercent: 40})
		z.apply(job("parcels", 30, 1000))
		z.run(ctx, z.controller(ctx), 10*time.Minute)
		assert.Equal(t, z.count(ctx, "parcels", platform.TaskSucceeded), 30)
		assert.Equal(t, len(z.usage(ctx)), 30)
	})
}

func TestUrgentTaskStartsInTimeOnAFullFleet(t *testing.T) {
	runInBubble(t, func(t *testing.T, ctx context.Context) {
		const urgentBound = 2200 * time.Millisecond
		z := newSimulatedZone(t, 4)
		z.runTime = time.Hour
		z.apply(job("batch", 64, 1000))
		c := z.controller(ctx)
		z.run(ctx, c, time.Minute)
		assert.Equal(t, z.count(ctx, "batch", platform.TaskRunning), 64)
		urgent := job("urgent", 4, 4000)
		urgent.Urgent = true
		z.apply(urgent)
		applied := time.Now()
		z.run(ctx, c, urgentBound)
		assert.Equal(t, z.count(ctx, "urgent", platform.TaskRunning), 4)
		for _, u := range z.usage(ctx) {
			assert.Assert(t, u.Job != "urgent" || u.Started.Sub(applied) <= urgentBound)
		}
	})
}

func TestFailingWorkerIsSetAsideAndAlwaysFailingJobIsQuarantined(t *testing.T) {
	runInBubble(t, func(t *testing.T, ctx context.Context) {
		z := newSimulatedZone(t, 12)
		z.runTime = 2 * time.Second
		z.failsAtOnce = func(w fleet.InstanceID, name string) bool { return w == "w-3" || name == "permanently-failing" }
		for i := range 8 {
			z.apply(job(fmt.Sprintf("good-%d", i), 60, 1000))
		}
		z.apply(job("permanently-failing", 8, 1000))
		z.run(ctx, z.controller(ctx), 5*time.Minute)
		setAside := z.recorded(explain.ActionSetAside)
		assert.Assert(t, len(setAside) > 0)
		for _, r := range setAside {
			assert.Equal(t, r.Subject.Name, "w-3")
		}
		quarantined := z.recorded(explain.ActionQuarantine)
		assert.Equal(t, len(quarantined), 1)
		assert.Equal(t, quarantined[0].Subject.Name, "permanently-failing")
		for i := range 8 {
			assert.Equal(t, z.count(ctx, fmt.Sprintf("good-%d", i), platform.TaskSucceeded), 60)
		}
	})
}

func TestCancellationStopsRunningTasksAndStartsNone(t *testing.T) {
	runInBubble(t, func(t *testing.T, ctx context.Context) {
		z := newSimulatedZone(t, 2)
		canceled := job("parcels", 100, 1000)
		z.apply(canceled)
		c := z.controller(ctx)
		z.run(ctx, c, 5*time.Second)
		started := len(z.usage(ctx))
		canceled.Canceled = true
		z.apply(canceled)
		z.run(ctx, c, 5*time.Minute)
		assert.Equal(t, z.count(ctx, "parcels", platform.TaskStopped), started)
		assert.Equal(t, len(z.usage(ctx)), started)
	})
}

func TestDeletedJobLeavesNoPages(t *testing.T) {
	runInBubble(t, func(t *testing.T, ctx context.Context) {
		z := newSimulatedZone(t, 2)
		z.apply(job("parcels", 10, 1000))
		c := z.controller(ctx)
		z.run(ctx, c, 5*time.Second)
		z.config = z.config.Apply(object.Change{Delete: []object.Key{{Kind: object.KindJob, Name: "parcels"}}})
		z.run(ctx, c, 5*time.Second)
		page, err := z.platform.List(ctx, fleet.JobPrefix, "", 10)
		assert.NilError(t, err)
		assert.Equal(t, len(page.Entries), 0)
	})
}

func TestHolderOfAnEarlierTermStartsNothing(t *testing.T) {
	runInBubble(t, func(t *testing.T, ctx context.Context) {
		z := newSimulatedZone(t, 2)
		z.apply(job("parcels", 4, 1000))
		earlier := z.controller(ctx)
		z.epoch = 2
		z.run(ctx, z.controller(ctx), 2*time.Second)
		assert.Equal(t, len(z.usage(ctx)), 4)
		z.apply(job("late", 4, 1000))
		z.epoch = 1
		z.run(ctx, earlier, 2*time.Second)
		assert.Equal(t, z.count(ctx, "late", platform.TaskRunning), 0, "workers refuse the earlier epoch")
	})
}

func TestTasksOfALostWorkerWaitForAnother(t *testing.T) {
	runInBubble(t, func(t *testing.T, ctx context.Context) {
		z := newSimulatedZone(t, 2)
		z.runTime = time.Hour
		z.apply(job("parcels", 2, 9000))
		c := z.controller(ctx)
		z.run(ctx, c, 2*time.Second)
		list, err := z.platform.Instances(ctx)
		assert.NilError(t, err)
		z.platform.SetInstances(list[:1])
		z.run(ctx, c, time.Minute)
		waits := z.recorded(explain.ActionWait)
		assert.Assert(t, len(waits) > 0 && strings.Contains(waits[0].Detail, "of 1 workers"), "%v", waits)
		assert.Equal(t, len(z.recorded(explain.ActionRetryTask)), 1)
	})
}
