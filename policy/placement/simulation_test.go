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

// The simulation runs one customer's workers and tasks in virtual time. A policy sees
// only declarations and delayed usage reports, not the real needs of the tasks.
const (
	step       = 500 * time.Millisecond // interval of decisions
	usageLag   = 10 * time.Second       // interval and delay of usage reports
	oomRestart = time.Minute            // time until a task killed for memory is pending again
	fullSpeed  = 1.0
	// declaredWork is the run time that every batch task declares, whatever it takes.
	declaredWork = 30 * time.Minute
)

// simTask is a task with its real needs.
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
	worker       int // -1 while pending
	started      time.Duration
	waitFrom     time.Duration
	done         time.Duration // work done
	checkpointed time.Duration // work done at the last checkpoint
	finished     time.Duration // zero until then
	throttled    bool
}

func (t *simTask) waiting(now time.Duration) bool {
	return t.worker < 0 && t.finished == 0 && t.waitFrom <= now
}

// policyUnderTest places the pending tasks of a simulation.
type policyUnderTest interface {
	place(sim *simulation, now time.Duration)
}

type simulation struct {
	capacity        fleet.Resources
	workers         int
	tasks           []*simTask
	ooms            int
	unreportedKills []*simTask      // killed since the last decision, before any usage report
	delays          []time.Duration // of urgent starts
}

// run simulates until the end; the tasks hold the outcome.
func (sim *simulation) run(policy policyUnderTest, end time.Duration) {
	for now := time.Duration(0); now < end; now += step {
		sim.advance(now)
		policy.place(sim, now)
	}
}

func (sim *simulation) start(t *simTask, worker int, now time.Duration) {
	if t.urgent && t.started == 0 {
		sim.delays = append(sim.delays, now-t.arrival)
	}
	t.worker, t.started, t.throttled = worker, now, false
}

// stop removes the task from its worker; it resumes from its last checkpoint.
func (t *simTask) stop(from time.Duration) {
	t.worker, t.waitFrom, t.done = -1, from, t.checkpointed
}

// advance runs all workers for one step. Tasks share overcommitted CPU; a task is
// killed if memory is overcommitted.
func (sim *simulation) advance(now time.Duration) {
	byWorker := make([][]*simTask, sim.workers)
	for _, t := range sim.tasks {
		if t.worker >= 0 && t.finished == 0 {
			byWorker[t.worker] = append(byWorker[t.worker], t)
		}
	}
	for _, running := range byWorker {
		running = sim.killForMemory(running, now)
		speed := sim.speed(running)
		for _, t := range running {
			t.advance(speed, now)
		}
	}
}

func (sim *simulation) killForMemory(running []*simTask, now time.Duration) []*simTask {
	slices.SortFunc(running, func(a, b *simTask) int { return int(a.started - b.started) })
	var used int64
	for i, t := range running {
		if used += t.needs.MemoryMiB; used > sim.capacity.MemoryMiB {
			sim.ooms++
			if now-t.started < usageLag {
				sim.unreportedKills = append(sim.unreportedKills, t)
			}
			t.checkpointed = 0
			t.stop(now + oomRestart)
			return append(running[:i:i], running[i+1:]...)
		}
	}
	return running
}

func (sim *simulation) speed(running []*simTask) float64 {
	var load int64
	for _, t := range running {
		load += t.load()
	}
	return min(fullSpeed, float64(sim.capacity.MilliCPU)/max(float64(load), 1))
}

func (t *simTask) load() int64 {
	if t.throttled {
		return t.needs.MilliCPU * throttlePercent / fullPercent
	}
	return t.needs.MilliCPU
}

func (t *simTask) advance(speed float64, now time.Duration) {
	if t.throttled {
		speed *= float64(throttlePercent) / fullPercent
	}
	t.done += time.Duration(float64(step) * speed)
	if t.done >= t.work {
		t.finished = now
	}
}

// firstFit is the naive policy: declared sizes, in order of arrival, no reclaims.
type firstFit struct{}

func (firstFit) place(sim *simulation, now time.Duration) {
	free := make([]fleet.Resources, sim.workers)
	for i := range free {
		free[i] = sim.capacity
	}
	for _, t := range sim.tasks {
		if t.worker >= 0 && t.finished == 0 {
			free[t.worker] = free[t.worker].Sub(t.declared)
		}
	}
	for _, t := range sim.tasks {
		if !t.waiting(now) {
			continue
		}
		if i := slices.IndexFunc(free, t.declared.Fits); i >= 0 {
			free[i] = free[i].Sub(t.declared)
			sim.start(t, i, now)
		}
	}
}

// learnedPolicy is this package's policy with estimates from delayed usage reports.
type learnedPolicy struct {
	estimator *estimate.Estimator
	tenants   []Tenant
}

func (l *learnedPolicy) place(sim *simulation, now time.Duration) {
	l.learn(sim, now)
	plan := Decide(l.snapshot(sim, now))
	byID := map[fleet.TaskID]*simTask{}
	for _, t := range sim.tasks {
		byID[t.id] = t
	}
	for _, reclaim := range plan.Reclaims {
		t := byID[reclaim.Task]
		if reclaim.Kind != ReclaimCheckpoint {
			t.throttled = reclaim.Kind == ReclaimThrottle
			continue
		}
		t.checkpointed = t.done
		t.stop(now)
	}
	for _, s := range plan.Starts {
		var worker int
		fmt.Sscanf(string(s.Worker), "w-%d", &worker)
		sim.start(sim.tasks[s.Pending.Index], worker, now)
	}
}

func (l *learnedPolicy) learn(sim *simulation, now time.Duration) {
	for _, t := range sim.unreportedKills {
		l.estimator.ObserveFailure(estimate.JobKey{Tenant: t.tenant, Job: t.job}, t.declared, sim.capacity, epoch.Add(now))
	}
	sim.unreportedKills = nil
	if now%usageLag != 0 {
		return
	}
	for _, t := range sim.tasks {
		if t.worker >= 0 && t.finished == 0 && now-t.started >= usageLag {
			l.estimator.Observe(estimate.Sample{
				Key: estimate.JobKey{Tenant: t.tenant, Job: t.job}, Declared: t.declared, Used: t.needs,
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

func (l *learnedPolicy) need(t *simTask) fleet.Resources {
	return l.estimator.Estimate(estimate.JobKey{Tenant: t.tenant, Job: t.job}, t.declared).Resources
}

func (l *learnedPolicy) snapshot(sim *simulation, now time.Duration) Snapshot {
	s := Snapshot{Now: epoch.Add(now), Tenants: l.tenants}
	for i := range sim.workers {
		s.Workers = append(s.Workers, Worker{
			ID: fleet.InstanceID(fmt.Sprintf("w-%d", i)), Rack: fmt.Sprintf("r-%d", i/4), Capacity: sim.capacity, Trust: 1,
		})
	}
	for i, t := range sim.tasks {
		switch {
		case t.waiting(now):
			s.Pending = append(s.Pending, Pending{
				Job: t.job, Tenant: t.tenant, Index: i, Need: l.need(t), Urgent: t.urgent,
				Deadline: at(t.deadline), Remaining: declaredWork, Since: epoch.Add(t.waitFrom),
			})
		case t.worker >= 0 && t.finished == 0:
			s.Workers[t.worker].Tasks = append(s.Workers[t.worker].Tasks, Task{
				ID: t.id, Job: t.job, Tenant: t.tenant, Need: l.need(t), Urgent: t.urgent,
				Checkpointed: epoch.Add(t.started), Deadline: at(t.deadline), Remaining: t.work - t.done,
				Throttled: t.throttled,
			})
		}
	}
	return s
}

// drawSimulation returns a simulation with the tasks of some hours: batch tasks with
// deadlines, whose declarations are wrong by a random factor per job, and urgent tasks.
func drawSimulation(rng *rand.Rand, hours int, capacity fleet.Resources, workers int) *simulation {
	sim := &simulation{capacity: capacity, workers: workers}
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
			sim.add(&simTask{
				job: fmt.Sprintf("batch-%d", j), tenant: fmt.Sprintf("t-%d", j%5), declared: declared, needs: needs,
				work: work, arrival: arrival, deadline: arrival + 2*time.Hour,
			})
		}
	}
	for u := range urgentPerHour * hours {
		declared := fleet.Resources{MilliCPU: 2000, MemoryMiB: 4000}
		sim.add(&simTask{
			job: fmt.Sprintf("urgent-%d", u%10), tenant: "t-0", declared: declared, needs: declared, urgent: true,
			work: 30 * time.Second, arrival: time.Duration(rng.Int64N(int64(hours) * int64(time.Hour))),
		})
	}
	slices.SortFunc(sim.tasks, func(a, b *simTask) int { return int(a.arrival - b.arrival) })
	for i, t := range sim.tasks {
		t.id = fleet.TaskID(fmt.Sprint(i))
	}
	return sim
}

func (sim *simulation) add(t *simTask) {
	t.worker, t.waitFrom = -1, t.arrival
	sim.tasks = append(sim.tasks, t)
}
