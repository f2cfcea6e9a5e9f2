package dev

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/api/label"
	"github.com/tarragonreach/tarragonreach/platform"
	"github.com/tarragonreach/tarragonreach/platform/memory"
)

const (
	workersPerZone  = 2
	workerMilliCPU  = 16_000
	workerMemoryMiB = 64_000
	jobTasks        = 24
	// A task declares more than it uses, as most do.
	taskMilliCPU  = 4_000
	taskMemoryMiB = 8_000
	usedShare     = 3 // a task uses one part in usedShare of what it declares
	taskRunTime   = 2 * time.Second
	usageInterval = 200 * time.Millisecond
)

// Tasks is how the tasks of the development fleet fared.
type Tasks struct {
	Done    int `json:"done"`
	Running int `json:"running"`
	// RanTwice counts tasks of which two starts ran to their end.
	RanTwice int `json:"doubled"`
}

// workers are the stand-in workers of the development fleet. They run each task for
// its time and report what it uses.
type workers struct {
	platform  *memory.Platform
	instances []fleet.Instance
	cancel    context.CancelFunc
	running   sync.WaitGroup
	mu        sync.Mutex
	tasks     map[fleet.TaskID]platform.TaskUsage
}

func startWorkers(p *memory.Platform, zones []fleet.AvailabilityZone) *workers {
	ctx, cancel := context.WithCancel(context.Background())
	w := &workers{platform: p, cancel: cancel, tasks: map[fleet.TaskID]platform.TaskUsage{}}
	for _, zone := range zones {
		for i := range workersPerZone {
			w.instances = append(w.instances, worker(zone, i))
		}
	}
	w.running.Go(func() { w.run(ctx) })
	return w
}

func worker(zone fleet.AvailabilityZone, i int) fleet.Instance {
	return fleet.Instance{
		ID: fleet.InstanceID(fmt.Sprintf("worker-%s-%d", zone, i)), Kind: fleet.KindWorker, Zone: zone,
		Rack: fmt.Sprintf("%s-w%d", zone, i), Labels: label.Set{fleet.LabelKind: string(fleet.KindWorker)},
		Capacity: fleet.Resources{MilliCPU: workerMilliCPU, MemoryMiB: workerMemoryMiB},
	}
}

func (w *workers) run(ctx context.Context) {
	ticker := time.NewTicker(usageInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			w.step(ctx)
		}
	}
}

// step ends tasks that have run long enough and reports the usage of the others.
func (w *workers) step(ctx context.Context) {
	usage, err := w.platform.Usage(ctx)
	if err != nil {
		return // the stand-in platform is switched off
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, u := range usage {
		if u.State == platform.TaskRunning {
			u = advance(u)
			w.platform.SetTask(u)
		}
		w.tasks[u.ID] = u
	}
}

func advance(u platform.TaskUsage) platform.TaskUsage {
	u.At = time.Now()
	u.Used = fleet.Resources{MilliCPU: taskMilliCPU / usedShare, MemoryMiB: taskMemoryMiB / usedShare}
	if u.At.Sub(u.Started) >= taskRunTime {
		u.State = platform.TaskSucceeded
	}
	return u
}

func (w *workers) summary() Tasks {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := Tasks{}
	for _, u := range w.tasks {
		switch u.State {
		case platform.TaskSucceeded:
			out.Done++
		case platform.TaskRunning:
			out.Running++
		}
	}
	out.RanTwice = max(out.Done-jobTasks, 0)
	return out
}

func (w *workers) close() {
	w.cancel()
	w.running.Wait()
}
