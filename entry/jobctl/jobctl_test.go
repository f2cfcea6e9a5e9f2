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

// bench is one availability zone with workers that run tasks for a set time.
type bench struct {
	t        *testing.T
	platform *memory.Platform
	config   *object.Config
	runTime  time.Duration
	// fails says which tasks fail at once.
	fails   func(worker fleet.InstanceID, job string) bool
	records []explain.Record
	epoch   int64
	active  bool
}

const zone = fleet.AvailabilityZone("palermo")

func (b *bench) Epoch() int64 { return b.epoch }

func (b *bench) Active() bool { return b.active }

func (b *bench) Record(r explain.Record) { b.records = append(b.records, r) }

func newBench(t *testing.T, workers int) *bench {
	b := &bench{
		t: t, platform: memory.New(time.Now), config: &object.Config{}, runTime: time.Minute, epoch: 1, active: true,
		fails: func(fleet.InstanceID, string) bool { return false },
	}
	var list []fleet.Instance
	for i := range workers {
		list = append(list, fleet.Instance{
			ID: fleet.InstanceID(fmt.Sprintf("w-%d", i)), Kind: fleet.KindWorker, Zone: zone,
			Rack: fmt.Sprintf("r-%d", i/4), Capacity: fleet.Resources{MilliCPU: 16_000, MemoryMiB: 64_000},
		})
	}
	b.platform.SetInstances(list)
	return b
}

func (b *bench) apply(jobs ...object.Job) {
	change := object.Change{Put: object.Document{Jobs: jobs, Tenants: []object.Tenant{{
		Name: "terreni", Quota: fleet.Resources{MilliCPU: 1_000_000, MemoryMiB: 1_000_000},
	}}}}
	b.config = b.config.Apply(change)
}

func job(name string, tasks int, milliCPU int64) object.Job {
	return object.Job{
		Name: name, Tenant: "terreni", Tasks: tasks, RunTime: object.Duration(time.Hour),
		Declared: fleet.Resources{MilliCPU: milliCPU, MemoryMiB: 1000},
	}
}

func (b *bench) controller(ctx context.Context) *Controller {
	cache := storecache.New(b.platform, fleet.JobPrefix)
	_, err := cache.Load(ctx)
	assert.NilError(b.t, err)
	return New(Options{
		Zone: zone, Store: b.platform, Cache: cache, List: b.platform, Workers: b.platform,
		Config:   func() *object.Config { return b.config },
		Record:   func(fleet.InstanceID) (fleet.Record, bool) { return fleet.Record{}, false },
		Recorder: b,
	})
}

// run makes rounds for a virtual time and ends tasks that have run long enough.
func (b *bench) run(ctx context.Context, c *Controller, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(ReconcileInterval) {
		_ = c.Reconcile(ctx, b)
		b.finishTasks(ctx)
	}
}

func (b *bench) finishTasks(ctx context.Context) {
	for _, u := range b.usage(ctx) {
		if u.State != platform.TaskRunning {
			continue
		}
		switch {
		case b.fails(u.Worker, u.Job):
			u.State, u.Failure = platform.TaskFailed, "exit 1"
		case time.Since(u.Started) >= b.runTime:
			u.State = platform.TaskSucceeded
		default:
			continue
		}
		b.platform.SetTask(u)
	}
}

func (b *bench) usage(ctx context.Context) []platform.TaskUsage {
	faults := b.platform.Faults()
	b.platform.SetFaults(memory.Faults{})
	defer b.platform.SetFaults(faults)
	usage, err := b.platform.Usage(ctx)
	assert.NilError(b.t, err)
	return usage
}

func (b *bench) count(ctx context.Context, name string, state platform.TaskState) int {
	n := 0
	for _, u := range b.usage(ctx) {
		if u.Job == name && u.State == state {
			n++
		}
	}
	return n
}

func (b *bench) recorded(action explain.Action) []explain.Record {
	var out []explain.Record
	for _, r := range b.records {
		if r.Action == action {
			out = append(out, r)
		}
	}
	return out
}

func within(t *testing.T, do func(t *testing.T, ctx context.Context)) {
	synctest.Test(t, func(t *testing.T) { do(t, t.Context()) })
}

func TestJobRunsEachTaskOnce(t *testing.T) {
	within(t, func(t *testing.T, ctx context.Context) {
		b := newBench(t, 4)
		b.apply(job("parcels", 150, 1000))
		b.run(ctx, b.controller(ctx), 10*time.Minute)
		assert.Equal(t, b.count(ctx, "parcels", platform.TaskSucceeded), 150)
		assert.Equal(t, len(b.usage(ctx)), 150)
	})
}

func TestLostAnswersNeverDoubleATask(t *testing.T) {
	within(t, func(t *testing.T, ctx context.Context) {
		b := newBench(t, 4)
		b.platform.SetFaults(memory.Faults{LostResponsePercent: 40})
		b.apply(job("parcels", 30, 1000))
		b.run(ctx, b.controller(ctx), 10*time.Minute)
		assert.Equal(t, b.count(ctx, "parcels", platform.TaskSucceeded), 30)
		assert.Equal(t, len(b.usage(ctx)), 30)
	})
}

func TestUrgentTaskStartsInTimeOnAFullFleet(t *testing.T) {
	within(t, func(t *testing.T, ctx context.Context) {
		const bound = 2200 * time.Millisecond
		b := newBench(t, 4)
		b.runTime = time.Hour
		b.apply(job("batch", 64, 1000))
		c := b.controller(ctx)
		b.run(ctx, c, time.Minute)
		assert.Equal(t, b.count(ctx, "batch", platform.TaskRunning), 64)
		urgent := job("urgent", 4, 4000)
		urgent.Urgent = true
		b.apply(urgent)
		applied := time.Now()
		b.run(ctx, c, bound)
		assert.Equal(t, b.count(ctx, "urgent", platform.TaskRunning), 4)
		for _, u := range b.usage(ctx) {
			assert.Assert(t, u.Job != "urgent" || u.Started.Sub(applied) <= bound)
		}
	})
}

func TestBadWorkerIsSetAsideAndHopelessJobQuarantined(t *testing.T) {
	within(t, func(t *testing.T, ctx context.Context) {
		b := newBench(t, 12)
		b.runTime = 2 * time.Second
		b.fails = func(w fleet.InstanceID, name string) bool { return w == "w-3" || name == "hopeless" }
		for i := range 8 {
			b.apply(job(fmt.Sprintf("good-%d", i), 60, 1000))
		}
		b.apply(job("hopeless", 8, 1000))
		b.run(ctx, b.controller(ctx), 5*time.Minute)
		aside := b.recorded(explain.ActionSetAside)
		assert.Assert(t, len(aside) > 0)
		for _, r := range aside {
			assert.Equal(t, r.Subject.Name, "w-3")
		}
		quarantined := b.recorded(explain.ActionQuarantine)
		assert.Equal(t, len(quarantined), 1)
		assert.Equal(t, quarantined[0].Subject.Name, "hopeless")
		for i := range 8 {
			assert.Equal(t, b.count(ctx, fmt.Sprintf("good-%d", i), platform.TaskSucceeded), 60)
		}
	})
}

func TestCancellationStopsWhatRunsAndStartsNothing(t *testing.T) {
	within(t, func(t *testing.T, ctx context.Context) {
		b := newBench(t, 2)
		canceled := job("parcels", 100, 1000)
		b.apply(canceled)
		c := b.controller(ctx)
		b.run(ctx, c, 5*time.Second)
		started := len(b.usage(ctx))
		canceled.Canceled = true
		b.apply(canceled)
		b.run(ctx, c, 5*time.Minute)
		assert.Equal(t, b.count(ctx, "parcels", platform.TaskStopped), started)
		assert.Equal(t, len(b.usage(ctx)), started)
	})
}

func TestDeletedJobLeavesNoPages(t *testing.T) {
	within(t, func(t *testing.T, ctx context.Context) {
		b := newBench(t, 2)
		b.apply(job("parcels", 10, 1000))
		c := b.controller(ctx)
		b.run(ctx, c, 5*time.Second)
		b.config = b.config.Apply(object.Change{Delete: []object.Key{{Kind: object.KindJob, Name: "parcels"}}})
		b.run(ctx, c, 5*time.Second)
		page, err := b.platform.List(ctx, fleet.JobPrefix, "", 10)
		assert.NilError(t, err)
		assert.Equal(t, len(page.Entries), 0)
	})
}

func TestHolderOfAnEarlierTermStartsNothing(t *testing.T) {
	within(t, func(t *testing.T, ctx context.Context) {
		b := newBench(t, 2)
		b.apply(job("parcels", 4, 1000))
		old := b.controller(ctx)
		b.epoch = 2
		b.run(ctx, b.controller(ctx), 2*time.Second)
		assert.Equal(t, len(b.usage(ctx)), 4)
		b.apply(job("late", 4, 1000))
		b.epoch = 1
		b.run(ctx, old, 2*time.Second)
		assert.Equal(t, b.count(ctx, "late", platform.TaskRunning), 0, "workers refuse the earlier epoch")
	})
}

func TestTasksOfAGoneWorkerStartElsewhere(t *testing.T) {
	within(t, func(t *testing.T, ctx context.Context) {
		b := newBench(t, 2)
		b.runTime = time.Hour
		b.apply(job("parcels", 2, 9000))
		c := b.controller(ctx)
		b.run(ctx, c, 2*time.Second)
		list, err := b.platform.Instances(ctx)
		assert.NilError(t, err)
		b.platform.SetInstances(list[:1])
		b.run(ctx, c, time.Minute)
		waits := b.recorded(explain.ActionWait)
		assert.Assert(t, len(waits) > 0 && strings.Contains(waits[0].Detail, "of 1 workers"), "%v", waits)
		assert.Equal(t, len(b.recorded(explain.ActionRetryTask)), 1)
	})
}
