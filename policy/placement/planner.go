package placement

import (
	"slices"

	"github.com/tarragonreach/tarragonreach/api/fleet"
)

// planner works on copies of the snapshot, so that later choices see earlier ones.
type planner struct {
	now     Snapshot
	workers []*node
	tenants map[string]*account
	pending []Pending
	placed  []bool
	// starts counts the starts of each job in each rack, for spread.
	starts map[rackJob]int
	// full holds the refusals of jobs of which no further task can start.
	full map[string]Refusal
	// scratch is the list of victims of the worker that is weighed.
	scratch []victim
	plan    Plan
}

type rackJob struct {
	rack string
	job  string
}

// node is a worker with what is free on it.
type node struct {
	Worker
	free  fleet.Resources
	tasks []Task
}

// account is a tenant's quota and what it holds.
type account struct {
	quota fleet.Resources
	held  fleet.Resources
}

func newPlanner(s Snapshot) *planner {
	p := &planner{
		now: s, tenants: map[string]*account{}, starts: map[rackJob]int{}, full: map[string]Refusal{},
		pending: slices.Clone(s.Pending), placed: make([]bool, len(s.Pending)),
	}
	for _, w := range s.Workers {
		p.workers = append(p.workers, newNode(w))
		for _, t := range w.Tasks {
			p.starts[rackJob{w.Rack, t.Job}]++
		}
	}
	for _, t := range s.Tenants {
		p.tenants[t.Name] = &account{quota: t.Quota, held: t.Allocated}
	}
	slices.SortStableFunc(p.pending, p.byUrgency)
	return p
}

func newNode(w Worker) *node {
	n := &node{Worker: w, free: w.Capacity, tasks: slices.Clone(w.Tasks)}
	for _, t := range w.Tasks {
		n.free = n.free.Sub(t.use())
	}
	return n
}

// byUrgency puts urgent tasks first, then higher priorities, then those that can
// still meet their deadline, then nearer deadlines, then those that wait longest. A
// task that is late anyway would only make others late too.
func (p *planner) byUrgency(a, b Pending) int {
	lateA, lateB := a.late(p.now.Now), b.late(p.now.Now)
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

// deadlineOrder puts tasks without a deadline last.
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

// placeUrgent starts urgent tasks, making room where it must.
func (p *planner) placeUrgent() {
	for i, t := range p.pending {
		if !t.Urgent {
			return
		}
		p.placed[i] = true
		if n := p.best(t); n != nil {
			p.start(t, n, "urgent, fits")
			continue
		}
		if !p.makeRoom(t) {
			p.refuse(t)
		}
	}
}

func (p *planner) start(t Pending, n *node, reason string) {
	n.free = n.free.Sub(t.Need)
	p.account(t.Tenant).held = p.account(t.Tenant).held.Add(t.Need)
	p.starts[rackJob{n.Rack, t.Job}]++
	p.plan.Starts = append(p.plan.Starts, Start{Pending: t, Worker: n.ID, Reason: reason})
}
