package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/policy/estimate"
)

// The driver plays one customer's workers and tasks in virtual time. A policy sees
// declarations and lagging usage only; the driver knows what tasks really need.
const (
	step       = 500 * time.Millisecond // between two decisions
	usageLag   = 10 * time.Second
	oomRestart = time.Minute // until a task killed for memory waits again
	fullSpeed  = 1.0
	// declaredWork is what every batch declares as its run time, whatever it takes.
	declaredWork = 30 * time.Minute
)

// real is a task as it truly is.
type simTask struct {
	job          string
	tenant       string
	declared     fleet.Resources
	needs        fleet.Resources
	work         time.Duration // at full speed
	arrival      time.Duration
	deadline     time.Duration // zero for none
	urgent       bool
	id           fleet.TaskID
	worker       int // -1 while it waits
	started      time.Duration
	waitFrom     time.Duration
	done         time.Duration // work done
	checkpointed time.Duration // work done at the last checkpoint
	finished     time.Duration // zero until it ends
	throttled    bool
}

func (r *simTask) waiting(now time.Duration) bool {
	return r.worker < 0 && r.finished == 0 && r.waitFrom <= now
}

// policyUnderTest places the waiting tasks of a world.
type policyUnderTest interface {
	place(w *simulation, now time.Duration)
}

type simulation struct {
	capacity        fleet.Resources
	workers         int
	tasks           []*simTask
	ooms            int
	unreportedKills []*simTask      // since the last decision, before any report
	delays          []time.Duration // of urgent starts
}

// play runs the world until the end and leaves its outcome in the tasks.
func (w *simulation) run(policy policyUnderTest, end time.Duration) {
	for now := time.Duration(0); now < end; now += step {
		w.advance(now)
		policy.place(w, now)
	}
}

func (w *simulation) start(r *simTask, worker int, now time.Duration) {
	if r.urgent && r.started == 0 {
		w.delays = append(w.delays, now-r.arrival)
	}
	r.worker, r.started, r.throttled = worker, now, false
}

// stop takes a task off its worker; it goes on from its last checkpoint.
func (r *simTask) stop(from time.Duration) {
	r.worker, r.waitFrom, r.done = -1, from, r.checkpointed
}

// advance runs all workers for a step: processors are shared, memory is not.
func (w *simulation) advance(now time.Duration) {
	byWorker := make([][]*simTask, w.workers)
	for _, r := range w.tasks {
		if r.worker >= 0 && r.finished == 0 {
			byWorker[r.worker] = append(byWorker[r.worker], r)
		}
	}
	for _, running := range byWorker {
		running = w.killForMemory(running, now)
		speed := w.speed(running)
		for _, r := range running {
			r.advance(speed, now)
		}
	}
}

func (w *simulation) killForMemory(running []*simTask, now time.Duration) []*simTask {
	slices.SortFunc(running, func(a, b *simTask) int { return int(a.started - b.started) })
	var used int64
	for i, r := range running {
		if used += r.needs.MemoryMiB; used > w.capacity.MemoryMiB {
			w.ooms++
			if now-r.started < usageLag {
				w.unreportedKills = append(w.unreportedKills, r)
			}
			r.checkpointed = 0
			r.stop(now + oomRestart)
			return append(running[:i:i], running[i+1:]...)
		}
	}
	return running
}

func (w *simulation) speed(running []*simTask) float64 {
	var load int64
	for _, r := range running {
		load += r.load()
	}
	return min(fullSpeed, float64(w.capacity.MilliCPU)/max(float64(load), 1))
}

func (r *simTask) load() int64 {
	if r.throttled {
		return r.needs.MilliCPU * throttlePercent / fullPercent
	}
	return r.needs.MilliCPU
}

func (r *simTask) advance(speed float64, now time.Duration) {
	if r.throttled {
		speed *= float64(throttlePercent) / fullPercent
	}
	r.done += time.Duration(float64(step) * speed)
	if r.done >= r.work {
		r.finished = now
	}
}

// firstFit is the naive policy: declared sizes, in order of arrival, no relief.
type firstFit struct{}

func (firstFit) place(w *simulation, now time.Duration) {
	free := make([]fleet.Resources, w.workers)
	for i := range free {
		free[i] = w.capacity
	}
	for _, r := range w.tasks {
		if r.worker >= 0 && r.finished == 0 {
			free[r.worker] = free[r.worker].Sub(r.declared)
		}
	}
	for _, r := range w.tasks {
		if !r.waiting(now) {
			continue
		}
		if i := slices.IndexFunc(free, r.declared.Fits); i >= 0 {
			free[i] = free[i].Sub(r.declared)
			w.start(r, i, now)
		}
	}
}

// learned is this package's policy with estimates from lagging usage.
type learnedPolicy struct {
	estimator *estimate.Estimator
	tenants   []Tenant
}

func (l *learnedPolicy) place(w *simulation, now time.Duration) {
	l.learn(w, now)
	plan := Decide(l.snapshot(w, now))
	byID := map[fleet.TaskID]*simTask{}
	for _, r := range w.tasks {
		byID[r.id] = r
	}
	for _, reclaim := range plan.Reclaims {
		r := byID[reclaim.Task]
		if reclaim.Kind != ReclaimCheckpoint {
			r.throttled = reclaim.Kind == ReclaimThrottle
			continue
		}
		r.checkpointed = r.done
		r.stop(now)
	}
	for _, s := range plan.Starts {
		var worker int
		fmt.Sscanf(string(s.Worker), "w-%d", &worker)
		w.start(w.tasks[s.Pending.Index], worker, now)
	}
}

func (l *learnedPolicy) learn(w *simulation, now time.Duration) {
	for _, r := range w.unreportedKills {
		l.estimator.ObserveFailure(estimate.JobKey{Tenant: r.tenant, Job: r.job}, r.declared, w.capacity, epoch.Add(now))
	}
	w.unreportedKills = nil
	if now%usageLag != 0 {
		return
	}
	for _, r := range w.tasks {
		if r.worker >= 0 && r.finished == 0 && now-r.started >= usageLag {
			l.estimator.Observe(estimate.Sample{
				Key: estimate.JobKey{Tenant: r.tenant, Job: r.job}, Declared: r.declared, Used: r.needs,
				At: epoch.Add(now),
			})
		}
	}
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time {
	if d == 0 {
		return time.Time{}
	}
	return epoch.Add(d)
}

func (l *learnedPolicy) need(r *simTask) fleet.Resources {
	return l.estimator.Estimate(estimate.JobKey{Tenant: r.tenant, Job: r.job}, r.declared).Resources
}

func (l *learnedPolicy) snapshot(w *simulation, now time.Duration) Snapshot {
	s := Snapshot{Now: epoch.Add(now), Tenants: l.tenants}
	for i := range w.workers {
		s.Workers = append(s.Workers, Worker{
			ID: fleet.InstanceID(fmt.Sprintf("w-%d", i)), Rack: fmt.Sprintf("r-%d", i/4), Capacity: w.capacity, Trust: 1,
		})
	}
	for i, r := range w.tasks {
		switch {
		case r.waiting(now):
			s.Pending = append(s.Pending, Pending{
				Job: r.job, Tenant: r.tenant, Index: i, Need: l.need(r), Urgent: r.urgent,
				Deadline: at(r.deadline), Remaining: declaredWork, Since: epoch.Add(r.waitFrom),
			})
		case r.worker >= 0 && r.finished == 0:
			s.Workers[r.worker].Tasks = append(s.Workers[r.worker].Tasks, Task{
				ID: r.id, Job: r.job, Tenant: r.tenant, Need: l.need(r), Urgent: r.urgent,
				Checkpointed: epoch.Add(r.started), Deadline: at(r.deadline), Remaining: r.work - r.done,
				Throttled: r.throttled,
			})
		}
	}
	return s
}

// draw makes the tasks of some hours: batches with deadlines whose declarations are
// wrong by a factor that belongs to the job, and urgent tasks.
func drawSimulation(rng *rand.Rand, hours int, capacity fleet.Resources, workers int) *simulation {
	w := &simulation{capacity: capacity, workers: workers}
	const batchJobs, tasksPerJob, urgentPerHour = 40, 12, 60
	for j := range batchJobs {
		factor := math.Exp(rng.NormFloat64() * 0.5)
		declared := fleet.Resources{MilliCPU: 1000 + rng.Int64N(3000), MemoryMiB: 4000 + rng.Int64N(12_000)}
		needs := fleet.Resources{
			MilliCPU:  min(int64(float64(declared.MilliCPU)*factor), capacity.MilliCPU),
			MemoryMiB: min(int64(float64(declared.MemoryMiB)*factor), capacity.MemoryMiB),
		}
		arrival := time.Duration(rng.Int64N(int64(hours) * int64(time.Hour) / 2))
		for range tasksPerJob {
			work := 20*time.Minute + time.Duration(rng.Int64N(int64(20*time.Minute)))
			w.add(&simTask{
				job: fmt.Sprintf("batch-%d", j), tenant: fmt.Sprintf("t-%d", j%5), declared: declared, needs: needs,
				work: work, arrival: arrival, deadline: arrival + 2*time.Hour,
			})
		}
	}
	for u := range urgentPerHour * hours {
		declared := fleet.Resources{MilliCPU: 2000, MemoryMiB: 4000}
		w.add(&simTask{
			job: fmt.Sprintf("urgent-%d", u%10), tenant: "t-0", declared: declared, needs: declared, urgent: true,
			work: 30 * time.Second, arrival: time.Duration(rng.Int64N(int64(hours) * int64(time.Hour))),
		})
	}
	slices.SortFunc(w.tasks, func(a, b *simTask) int { return int(a.arrival - b.arrival) })
	for i, r := range w.tasks {
		r.id = fleet.TaskID(fmt.Sprint(i))
	}
	return w
}

func (w *simulation) add(r *simTask) {
	r.worker, r.waitFrom = -1, r.arrival
	w.tasks = append(w.tasks, r)
}
