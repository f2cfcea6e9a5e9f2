package placement

import (
	"cmp"
	"fmt"
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
		p.tenants[t.Name] = &account{quota: t.Quota, held: t.Held}
	}
	slices.SortStableFunc(p.pending, byUrgency)
	return p
}

func newNode(w Worker) *node {
	n := &node{Worker: w, free: w.Capacity, tasks: slices.Clone(w.Tasks)}
	for _, t := range w.Tasks {
		n.free = n.free.Sub(t.use())
	}
	return n
}

// byUrgency puts urgent tasks first, then higher priorities, then nearer
// deadlines, then those that wait longest.
func byUrgency(a, b Pending) int {
	switch {
	case a.Urgent != b.Urgent:
		return boolOrder(a.Urgent)
	case a.Priority != b.Priority:
		return b.Priority - a.Priority
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

// placeWithinQuota serves the tenant with the least of its quota in use first. A
// task that would exceed the quota is left to placeBorrowed.
func (p *planner) placeWithinQuota() {
	queues := p.queues()
	for {
		q := p.leastUsed(queues)
		if q == nil {
			return
		}
		i := q.pop()
		t := p.pending[i]
		if !q.account.held.Add(t.Need).Fits(q.account.quota) {
			continue
		}
		p.placed[i] = true
		p.placeOrGiveBack(t)
	}
}

func (p *planner) placeOrGiveBack(t Pending) {
	if n := p.best(t); n != nil {
		p.start(t, n, "fits within quota")
		return
	}
	if !p.giveBack(t) {
		p.refuse(t)
	}
}

// queue holds the pending tasks of one tenant in order.
type queue struct {
	account *account
	waiting []int // indexes of planner.pending
}

func (q *queue) pop() int {
	i := q.waiting[0]
	q.waiting = q.waiting[1:]
	return i
}

// queues returns the queues of the tenants in the order in which they appear.
func (p *planner) queues() []*queue {
	byTenant := map[string]*queue{}
	var out []*queue
	for i, t := range p.pending {
		if p.placed[i] {
			continue
		}
		q, ok := byTenant[t.Tenant]
		if !ok {
			q = &queue{account: p.account(t.Tenant)}
			byTenant[t.Tenant] = q
			out = append(out, q)
		}
		q.waiting = append(q.waiting, i)
	}
	return out
}

func (p *planner) leastUsed(queues []*queue) *queue {
	var best *queue
	for _, q := range queues {
		if len(q.waiting) > 0 && (best == nil || q.account.use() < best.account.use()) {
			best = q
		}
	}
	return best
}

// placeBorrowed lets tenants go beyond their quota with what nobody else waits for.
func (p *planner) placeBorrowed() {
	for i, t := range p.pending {
		if p.placed[i] {
			continue
		}
		p.placed[i] = true
		n := p.best(t)
		if n == nil {
			p.refuse(t)
			continue
		}
		p.start(t, n, "fits, borrowed beyond the quota")
		p.plan.Starts[len(p.plan.Starts)-1].Borrowed = true
	}
}

// use is the largest share of the quota that is held in any dimension.
func (a *account) use() float64 {
	return max(
		part(a.held.MilliCPU, a.quota.MilliCPU),
		part(a.held.MemoryMiB, a.quota.MemoryMiB),
		part(a.held.Accelerators, a.quota.Accelerators))
}

// part returns held by quota; without a quota nothing is a part of it.
func part(held, quota int64) float64 {
	if quota <= 0 {
		return 0
	}
	return float64(held) / float64(quota)
}

func (p *planner) start(t Pending, n *node, reason string) {
	n.free = n.free.Sub(t.Need)
	p.account(t.Tenant).held = p.account(t.Tenant).held.Add(t.Need)
	p.starts[rackJob{n.Rack, t.Job}]++
	p.plan.Starts = append(p.plan.Starts, Start{Pending: t, Worker: n.ID, Reason: reason})
}

// refuse records why a task did not start. Room only shrinks for the later tasks
// of the same job, so they share the refusal.
func (p *planner) refuse(t Pending) {
	refusal, known := p.full[t.Job]
	if !known {
		counts := p.countFilters(t)
		refusal = Refusal{Job: t.Job, Never: counts.never(), Reason: counts.String()}
		p.full[t.Job] = refusal
	}
	refusal.Index = t.Index
	p.plan.Refusals = append(p.plan.Refusals, refusal)
}

// filterCounts says how many workers each filter turned away.
type filterCounts struct {
	workers    int
	unmatched  int
	unusable   int
	avoided    int
	tooSmall   int
	full       int
	sampleNeed fleet.Resources
}

func (p *planner) countFilters(t Pending) filterCounts {
	c := filterCounts{workers: len(p.workers), sampleNeed: t.Need}
	for _, n := range p.workers {
		switch {
		case !t.Selector.Matches(n.Labels):
			c.unmatched++
		case !t.Need.Fits(n.Capacity):
			c.tooSmall++
		case n.Unusable != "":
			c.unusable++
		case slices.Contains(t.Avoid, n.ID):
			c.avoided++
		default:
			c.full++
		}
	}
	return c
}

func (c filterCounts) never() bool { return c.unmatched+c.tooSmall == c.workers }

// String names each filter with the number of workers that it turned away.
func (c filterCounts) String() string {
	return fmt.Sprintf("of %d workers %d do not match the selector, %d are too small for %dm CPU, %d MiB and %d accelerators, "+
		"%d take no tasks, %d failed it before, %d are full",
		c.workers, c.unmatched, c.tooSmall, c.sampleNeed.MilliCPU, c.sampleNeed.MemoryMiB, c.sampleNeed.Accelerators,
		c.unusable, c.avoided, c.full)
}

// best returns the worker with the highest score that the task fits, or nil.
func (p *planner) best(t Pending) *node {
	if _, full := p.full[t.Job]; full && !t.Urgent {
		return nil
	}
	var best *node
	var bestScore float64
	for _, n := range p.workers {
		if !p.usable(t, n) || !t.Need.Fits(n.free) {
			continue
		}
		if score := p.score(t, n); best == nil || score > bestScore {
			best, bestScore = n, score
		}
	}
	return best
}

func (p *planner) usable(t Pending, n *node) bool {
	return n.Unusable == "" && t.Selector.Matches(n.Labels) && !slices.Contains(t.Avoid, n.ID)
}

const (
	// trustWeight, fitWeight and spreadWeight balance the parts of a score.
	trustWeight  = 4.0
	fitWeight    = 2.0
	spreadWeight = 1.0
	// deviceWeight keeps tasks without accelerators off workers that have some.
	deviceWeight = 3.0
)

// score prefers trusted workers, tight fits and racks with few tasks of the job.
func (p *planner) score(t Pending, n *node) float64 {
	score := trustWeight*n.Trust + fitWeight*fit(t.Need, n)
	score -= spreadWeight * float64(p.starts[rackJob{n.Rack, t.Job}])
	if t.Need.Accelerators == 0 && n.Capacity.Accelerators > 0 {
		score -= deviceWeight
	}
	return score
}

// fit is the used part of the tighter of processors and memory after the start.
func fit(need fleet.Resources, n *node) float64 {
	left := n.free.Sub(need)
	cpu := 1 - part(left.MilliCPU, n.Capacity.MilliCPU)
	memory := 1 - part(left.MemoryMiB, n.Capacity.MemoryMiB)
	return max(cpu, memory)
}

// byCost orders victims by the least work lost.
func (p *planner) byCost(a, b Task) int {
	return cmp.Compare(p.cost(a), p.cost(b))
}
