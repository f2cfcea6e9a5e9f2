package placement

import (
	"slices"

	"github.com/tarragonreach/tarragonreach/api/fleet"
)

// planner works on copies of the snapshot's workers and quotas, which each choice
// updates for the later ones.
type planner struct {
	snapshot Snapshot
	workers  []*workerState
	tenants  map[string]*account
	pending  []Pending
	handled  []bool // whether the task is started or refused, by index of pending
	// tasksPerRack counts the tasks of each job in each rack, running and started by
	// this plan, to spread them.
	tasksPerRack map[rackJob]int
	// refusedJobs holds the refusals of jobs of which no further task can start.
	refusedJobs map[string]Refusal
	// victimBuffer is reused by victims.
	victimBuffer []victim
	plan         Plan
}

type rackJob struct {
	rack string
	job  string
}

// workerState is a worker with its free capacity, as changed by the plan so far.
type workerState struct {
	Worker
	free  fleet.Resources
	tasks []Task
}

// account is a tenant's quota and the resources allocated to it.
type account struct {
	quota     fleet.Resources
	allocated fleet.Resources
}

func newPlanner(s Snapshot) *planner {
	p := &planner{
		snapshot: s, tenants: map[string]*account{}, tasksPerRack: map[rackJob]int{}, refusedJobs: map[string]Refusal{},
		pending: slices.Clone(s.Pending), handled: make([]bool, len(s.Pending)),
	}
	for _, w := range s.Workers {
		p.workers = append(p.workers, newWorkerState(w))
		for _, t := range w.Tasks {
			p.tasksPerRack[rackJob{w.Rack, t.Job}]++
		}
	}
	for _, t := range s.Tenants {
		p.tenants[t.Name] = &account{quota: t.Quota, allocated: t.Allocated}
	}
	slices.SortStableFunc(p.pending, p.byUrgency)
	return p
}

func newWorkerState(w Worker) *workerState {
	state := &workerState{Worker: w, free: w.Capacity, tasks: slices.Clone(w.Tasks)}
	for _, t := range w.Tasks {
		state.free = state.free.Sub(t.usage())
	}
	return state
}

// byUrgency orders urgent tasks first, then higher priorities, then tasks that can
// still meet their deadline, then nearer deadlines, then longer waits. A task that
// will miss its deadline anyway goes later, since it could make others miss theirs.
func (p *planner) byUrgency(a, b Pending) int {
	lateA, lateB := a.late(p.snapshot.Now), b.late(p.snapshot.Now)
	switch {
	case a.Urgent != b.Urgent:
		return boolOrder(a.Urgent)
	case a.Priority != b.Priority:
		return b.Priority - a.Priority
	case lateA != lateB:
		return boolOrder(lateB)
	case !a.Deadline.Equal(b.Deadline):
		return deadlineOrder(a, b)
	default:
		return a.Since.Compare(b.Since)
	}
}

func boolOrder(first bool) int {
	if first {
		return -1
	}
	return 1
}

// deadlineOrder compares deadlines; tasks without a deadline come last.
func deadlineOrder(a, b Pending) int {
	if a.Deadline.IsZero() || b.Deadline.IsZero() {
		return boolOrder(b.Deadline.IsZero())
	}
	return a.Deadline.Compare(b.Deadline)
}

func (p *planner) account(tenant string) *account {
	a, ok := p.tenants[tenant]
	if !ok {
		a = &account{}
		p.tenants[tenant] = a
	}
	return a
}

// placeUrgent starts urgent tasks and preempts others where none of the workers has
// enough free capacity.
func (p *planner) placeUrgent() {
	for i, t := range p.pending {
		if !t.Urgent {
			return
		}
		p.handled[i] = true
		if w := p.bestWorker(t); w != nil {
			p.start(t, w, "urgent, fits")
			continue
		}
		if !p.startByPreempting(t) {
			p.refuse(t)
		}
	}
}

func (p *planner) start(t Pending, w *workerState, reason string) {
	w.free = w.free.Sub(t.Need)
	p.account(t.Tenant).allocated = p.account(t.Tenant).allocated.Add(t.Need)
	p.tasksPerRack[rackJob{w.Rack, t.Job}]++
	p.plan.Starts = append(p.plan.Starts, Start{Pending: t, Worker: w.ID, Reason: reason})
}
