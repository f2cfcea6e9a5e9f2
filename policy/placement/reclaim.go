package placement

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/tarragonreach/tarragonreach/api/fleet"
)

const (
	// throttlePercent is the CPU share that a throttled task keeps.
	throttlePercent = 25
	fullPercent     = 100
	// deadlineSlack is the minimum time between the expected end of a victim and its deadline.
	deadlineSlack = 10 * time.Minute
	// restartDelay is the expected wait of a checkpointed task before it runs again.
	restartDelay = 5 * time.Minute
	// atRiskCost is added to the cost of a victim that would miss its deadline.
	atRiskCost = 24 * time.Hour
)

// maxEvaluated is the number of workers after which the search for reclaimable
// capacity ends if it has found a worker.
const maxEvaluated = 48

// reclaimOption is a way to free enough capacity on one worker.
type reclaimOption struct {
	worker   *workerState
	reclaims []Reclaim
	cost     time.Duration // work lost by checkpoints or delay by throttling
}

// victim is a preemptible task with the cost of checkpointing it now.
type victim struct {
	task *Task
	cost time.Duration
}

// victimFilter reports whether a task is preemptible.
type victimFilter func(v *Task) bool

// startByPreempting starts an urgent task where preempting others costs least.
func (p *planner) startByPreempting(t Pending) bool {
	return p.startByReclaiming(t, func(v *Task) bool { return !v.Urgent }, "urgent, other tasks are preempted")
}

// startByReclaimingQuota starts a task within its tenant's quota on capacity reclaimed
// from tenants beyond theirs.
func (p *planner) startByReclaimingQuota(t Pending) bool {
	if _, refused := p.refusedJobs[t.Job]; refused {
		return false
	}
	return p.startByReclaiming(t, func(v *Task) bool {
		return !v.Urgent && v.Tenant != t.Tenant && p.overQuota(v.Tenant)
	}, "within quota, borrowed capacity is reclaimed")
}

func (p *planner) overQuota(tenant string) bool {
	a := p.account(tenant)
	return !a.allocated.Fits(a.quota)
}

// startByReclaiming starts the task on the worker whose victims cost least. The search
// begins at a worker that depends on the task's index and ends after maxEvaluated
// workers if it has found one, so that the time of a decision stays bounded.
func (p *planner) startByReclaiming(t Pending, preemptible victimFilter, reason string) bool {
	var best *reclaimOption
	evaluated := 0
	for i := range p.workers {
		w := p.workers[(i+t.Index)%len(p.workers)]
		if best != nil && evaluated >= maxEvaluated {
			break
		}
		if !p.usable(t, w) || !t.Need.Fits(w.Capacity) {
			continue
		}
		evaluated++
		o, ok := p.reclaimOn(t, w, preemptible)
		if ok && (best == nil || o.cost < best.cost) {
			best = &o
		}
	}
	if best == nil {
		return false
	}
	p.applyReclaims(best.worker, best.reclaims)
	p.start(t, best.worker, reason)
	return true
}

// reclaimOn returns how to free capacity for the task on one worker. It prefers
// throttling, which loses no work, and checkpoints victims if that is not enough.
func (p *planner) reclaimOn(t Pending, w *workerState, preemptible victimFilter) (reclaimOption, bool) {
	victims, reclaimable := p.victims(w, preemptible)
	if !t.Need.Fits(reclaimable) {
		return reclaimOption{}, false
	}
	slices.SortStableFunc(victims, func(a, b victim) int { return cmp.Compare(a.cost, b.cost) })
	if o, ok := p.reclaimByThrottling(t, w, victims); ok {
		return o, true
	}
	o := reclaimOption{worker: w}
	free := w.free
	for _, v := range victims {
		if t.Need.Fits(free) {
			break
		}
		free = free.Add(v.task.usage())
		o.cost += v.cost
		o.reclaims = append(o.reclaims, Reclaim{
			Kind: ReclaimCheckpoint, Task: v.task.ID, Worker: w.ID,
			Reason: fmt.Sprintf("preempted for %s/%d", t.Job, t.Index),
		})
	}
	return o, true
}

// victims returns the preemptible tasks of a worker and its free capacity without
// them. The list is valid until the next call.
func (p *planner) victims(w *workerState, preemptible victimFilter) ([]victim, fleet.Resources) {
	p.victimBuffer = p.victimBuffer[:0]
	reclaimable := w.free
	for i := range w.tasks {
		v := &w.tasks[i]
		if preemptible(v) {
			p.victimBuffer = append(p.victimBuffer, victim{v, p.cost(*v)})
			reclaimable = reclaimable.Add(v.usage())
		}
	}
	return p.victimBuffer, reclaimable
}

func (p *planner) reclaimByThrottling(t Pending, w *workerState, victims []victim) (reclaimOption, bool) {
	o := reclaimOption{worker: w}
	free := w.free
	if t.Need.MemoryMiB > free.MemoryMiB || t.Need.Accelerators > free.Accelerators {
		return o, false
	}
	for _, v := range victims {
		if t.Need.Fits(free) {
			break
		}
		if v.task.Throttled || p.atRisk(*v.task, throttledDelay(*v.task)) {
			continue
		}
		free = free.Add(throttleSavings(*v.task))
		o.cost += throttledDelay(*v.task)
		o.reclaims = append(o.reclaims, Reclaim{
			Kind: ReclaimThrottle, Task: v.task.ID, Worker: w.ID, Percent: throttlePercent,
			Reason: fmt.Sprintf("throttled for %s/%d", t.Job, t.Index),
		})
	}
	return o, t.Need.Fits(free)
}

// throttleSavings returns the resources that throttling the task frees.
func throttleSavings(v Task) fleet.Resources {
	return fleet.Resources{MilliCPU: v.Need.MilliCPU * (fullPercent - throttlePercent) / fullPercent}
}

// throttledDelay returns how much later the task ends if it is throttled to its end.
func throttledDelay(v Task) time.Duration {
	return v.Remaining * (fullPercent - throttlePercent) / throttlePercent
}

// cost returns the work lost if the task is checkpointed now, plus atRiskCost if it
// would then miss its deadline.
func (p *planner) cost(v Task) time.Duration {
	lost := max(p.snapshot.Now.Sub(v.Checkpointed), 0)
	if p.atRisk(v, restartDelay) {
		lost += atRiskCost
	}
	return lost
}

// atRisk reports whether a delayed task would end less than deadlineSlack before its
// deadline.
func (p *planner) atRisk(v Task, delay time.Duration) bool {
	if v.Deadline.IsZero() {
		return false
	}
	end := p.snapshot.Now.Add(v.Remaining + delay + deadlineSlack)
	return end.After(v.Deadline)
}

// applyReclaims adds reclaims to the plan and applies them to the worker's state.
func (p *planner) applyReclaims(w *workerState, reclaims []Reclaim) {
	for _, r := range reclaims {
		i := slices.IndexFunc(w.tasks, func(t Task) bool { return t.ID == r.Task })
		if r.Kind == ReclaimCheckpoint {
			p.release(w, i)
			continue
		}
		w.setThrottled(i, r.Kind == ReclaimThrottle)
	}
	p.plan.Reclaims = append(p.plan.Reclaims, reclaims...)
}

func (w *workerState) setThrottled(i int, throttled bool) {
	t := &w.tasks[i]
	w.free = w.free.Add(t.usage())
	t.Throttled = throttled
	w.free = w.free.Sub(t.usage())
}

// restoreThrottled restores the CPU share of throttled tasks where enough CPU is free,
// before further tasks start.
func (p *planner) restoreThrottled() {
	for _, w := range p.workers {
		for _, t := range w.tasks {
			if !t.Throttled || !throttleSavings(t).Fits(w.free) {
				continue
			}
			p.applyReclaims(w, []Reclaim{{
				Kind: ReclaimRestore, Task: t.ID, Worker: w.ID, Percent: fullPercent, Reason: "enough CPU is free again",
			}})
		}
	}
}

func (p *planner) release(w *workerState, i int) {
	t := w.tasks[i]
	w.free = w.free.Add(t.usage())
	a := p.account(t.Tenant)
	a.allocated = a.allocated.Sub(t.Need)
	w.tasks = slices.Delete(w.tasks, i, i+1)
}

// reclaimOvercommitted checkpoints the cheapest tasks of workers whose estimated usage
// exceeds their memory or accelerators, since workers start tasks without checking
// that they fit. Overcommitted CPU is shared and only slows tasks down.
func (p *planner) reclaimOvercommitted() {
	for _, w := range p.workers {
		if w.free.MemoryMiB >= 0 && w.free.Accelerators >= 0 {
			continue
		}
		victims := slices.Clone(w.tasks)
		slices.SortStableFunc(victims, p.compareVictims)
		p.applyReclaims(w, p.overcommitReclaims(w, victims))
	}
}

// compareVictims orders urgent tasks last, and the others by ascending cost.
func (p *planner) compareVictims(a, b Task) int {
	if a.Urgent != b.Urgent {
		return boolOrder(b.Urgent)
	}
	return p.byCost(a, b)
}

// byCost orders victims by ascending cost.
func (p *planner) byCost(a, b Task) int { return cmp.Compare(p.cost(a), p.cost(b)) }

func (p *planner) overcommitReclaims(w *workerState, victims []Task) []Reclaim {
	var reclaims []Reclaim
	free := w.free
	for _, v := range victims {
		if free.MemoryMiB >= 0 && free.Accelerators >= 0 {
			break
		}
		free = free.Add(v.usage())
		reclaims = append(reclaims, Reclaim{
			Kind: ReclaimCheckpoint, Task: v.ID, Worker: w.ID,
			Reason: fmt.Sprintf("the worker is overcommitted by %d MiB", max(-w.free.MemoryMiB, 0)),
		})
	}
	return reclaims
}
