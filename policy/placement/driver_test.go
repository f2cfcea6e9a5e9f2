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
	lossless   = 1.0
	// declaredWork is what every batch declares as its run time, whatever it takes.
	declaredWork = 30 * time.Minute
)

// real is a task as it truly is.
type real struct {
	job       string
	tenant    string
	declared  fleet.Resources
	needs     fleet.Resources
	work      time.Duration // at full speed
	arrives   time.Duration
	deadline  time.Duration // zero for none
	urgent    bool
	id        fleet.TaskID
	worker    int // -1 while it waits
	started   time.Duration
	waitFrom  time.Duration
	done      time.Duration // work done
	saved     time.Duration // work done at the last checkpoint
	ended     time.Duration // zero until it ends
	throttled bool
}

func (r *real) waits(now time.Duration) bool {
	return r.worker < 0 && r.ended == 0 && r.waitFrom <= now
}

// policyUnderTest places the waiting tasks of a world.
type policyUnderTest interface {
	place(w *world, now time.Duration)
}

type world struct {
	capacity fleet.Resources
	workers  int
	tasks    []*real
	ooms     int
	killed   []*real         // since the last decision, before any report
	delays   []time.Duration // of urgent starts
}

// play runs the world until the end and leaves its outcome in the tasks.
func (w *world) play(policy policyUnderTest, end time.Duration) {
	for now := time.Duration(0); now < end; now += step {
		w.advance(now)
		policy.place(w, now)
	}
}

func (w *world) start(r *real, worker int, now time.Duration) {
	if r.urgent && r.started == 0 {
		w.delays = append(w.delays, now-r.arrives)
	}
	r.worker, r.started, r.throttled = worker, now, false
}

// stop takes a task off its worker; it goes on from its last checkpoint.
func (r *real) stop(from time.Duration) {
	r.worker, r.waitFrom, r.done = -1, from, r.saved
}

// advance runs all workers for a step: processors are shared, memory is not.
func (w *world) advance(now time.Duration) {
	byWorker := make([][]*real, w.workers)
	for _, r := range w.tasks {
		if r.worker >= 0 && r.ended == 0 {
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

func (w *world) killForMemory(running []*real, now time.Duration) []*real {
	slices.SortFunc(running, func(a, b *real) int { return int(a.started - b.started) })
	var used int64
	for i, r := range running {
		if used += r.needs.MemoryMiB; used > w.capacity.MemoryMiB {
			w.ooms++
			if now-r.started < usageLag {
				w.killed = append(w.killed, r)
			}
			r.saved = 0
			r.stop(now + oomRestart)
			return append(running[:i:i], running[i+1:]...)
		}
	}
	return running
}

func (w *world) speed(running []*real) float64 {
	var load int64
	for _, r := range running {
		load += r.load()
	}
	return min(lossless, float64(w.capacity.MilliCPU)/max(float64(load), 1))
}

func (r *real) load() int64 {
	if r.throttled {
		return r.needs.MilliCPU * throttlePercent / fullPercent
	}
	return r.needs.MilliCPU
}

func (r *real) advance(speed float64, now time.Duration) {
	if r.throttled {
		speed *= float64(throttlePercent) / fullPercent
	}
	r.done += time.Duration(float64(step) * speed)
	if r.done >= r.work {
		r.ended = now
	}
}

// firstFit is the naive policy: declared sizes, in order of arrival, no relief.
type firstFit struct{}

func (firstFit) place(w *world, now time.Duration) {
	free := make([]fleet.Resources, w.workers)
	for i := range free {
		free[i] = w.capacity
	}
	for _, r := range w.tasks {
		if r.worker >= 0 && r.ended == 0 {
			free[r.worker] = free[r.worker].Sub(r.declared)
		}
	}
	for _, r := range w.tasks {
		if !r.waits(now) {
			continue
		}
		if i := slices.IndexFunc(free, r.declared.Fits); i >= 0 {
			free[i] = free[i].Sub(r.declared)
			w.start(r, i, now)
		}
	}
}

// learned is this package's policy with estimates from lagging usage.
type learned struct {
	estimator *estimate.Estimator
	tenants   []Tenant
}

func (l *learned) place(w *world, now time.Duration) {
	l.learn(w, now)
	plan := Decide(l.snapshot(w, now))
	byID := map[fleet.TaskID]*real{}
	for _, r := range w.tasks {
		byID[r.id] = r
	}
	for _, relief := range plan.Reclaims {
		r := byID[relief.Task]
		if relief.Kind != ReclaimCheckpoint {
			r.throttled = relief.Kind == ReclaimThrottle
			continue
		}
		r.saved = r.done
		r.stop(now)
	}
	for _, s := range plan.Starts {
		var worker int
		fmt.Sscanf(string(s.Worker), "w-%d", &worker)
		w.start(w.tasks[s.Pending.Index], worker, now)
	}
}

func (l *learned) learn(w *world, now time.Duration) {
	for _, r := range w.killed {
		l.estimator.ObserveFailure(estimate.JobKey{Tenant: r.tenant, Job: r.job}, r.declared, w.capacity, epoch.Add(now))
	}
	w.killed = nil
	if now%usageLag != 0 {
		return
	}
	for _, r := range w.tasks {
		if r.worker >= 0 && r.ended == 0 && now-r.started >= usageLag {
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

func (l *learned) need(r *real) fleet.Resources {
	return l.estimator.Estimate(estimate.JobKey{Tenant: r.tenant, Job: r.job}, r.declared).Resources
}

func (l *learned) snapshot(w *world, now time.Duration) Snapshot {
	s := Snapshot{Now: epoch.Add(now), Tenants: l.tenants}
	for i := range w.workers {
		s.Workers = append(s.Workers, Worker{
			ID: fleet.InstanceID(fmt.Sprintf("w-%d", i)), Rack: fmt.Sprintf("r-%d", i/4), Capacity: w.capacity, Trust: 1,
		})
	}
	for i, r := range w.tasks {
		switch {
		case r.waits(now):
			s.Pending = append(s.Pending, Pending{
				Job: r.job, Tenant: r.tenant, Index: i, Need: l.need(r), Urgent: r.urgent,
				Deadline: at(r.deadline), Remaining: declaredWork, Since: epoch.Add(r.waitFrom),
			})
		case r.worker >= 0 && r.ended == 0:
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
func draw(rng *rand.Rand, hours int, capacity fleet.Resources, workers int) *world {
	w := &world{capacity: capacity, workers: workers}
	const batchJobs, tasksPerJob, urgentPerHour = 40, 12, 60
	for j := range batchJobs {
		factor := math.Exp(rng.NormFloat64() * 0.5)
		declared := fleet.Resources{MilliCPU: 1000 + rng.Int64N(3000), MemoryMiB: 4000 + rng.Int64N(12_000)}
		needs := fleet.Resources{
			MilliCPU:  min(int64(float64(declared.MilliCPU)*factor), capacity.MilliCPU),
			MemoryMiB: min(int64(float64(declared.MemoryMiB)*factor), capacity.MemoryMiB),
		}
		arrives := time.Duration(rng.Int64N(int64(hours) * int64(time.Hour) / 2))
		for range tasksPerJob {
			work := 20*time.Minute + time.Duration(rng.Int64N(int64(20*time.Minute)))
			w.add(&real{
				job: fmt.Sprintf("batch-%d", j), tenant: fmt.Sprintf("t-%d", j%5), declared: declared, needs: needs,
				work: work, arrives: arrives, deadline: arrives + 2*time.Hour,
			})
		}
	}
	for u := range urgentPerHour * hours {
		declared := fleet.Resources{MilliCPU: 2000, MemoryMiB: 4000}
		w.add(&real{
			job: fmt.Sprintf("urgent-%d", u%10), tenant: "t-0", declared: declared, needs: declared, urgent: true,
			work: 30 * time.Second, arrives: time.Duration(rng.Int64N(int64(hours) * int64(time.Hour))),
		})
	}
	slices.SortFunc(w.tasks, func(a, b *real) int { return int(a.arrives - b.arrives) })
	for i, r := range w.tasks {
		r.id = fleet.TaskID(fmt.Sprint(i))
	}
	return w
}

func (w *world) add(r *real) {
	r.worker, r.waitFrom = -1, r.arrives
	w.tasks = append(w.tasks, r)
}
