package placement

// placeWithinQuota serves the tenant with the least of its quota in use first. A
// task that would exceed the quota is left to placeBorrowed.
func (p *planner) placeWithinQuota() {
	queues := p.queues()
	for {
		q := p.lowestDominantShare(queues)
		if q == nil {
			return
		}
		i := q.pop()
		t := p.pending[i]
		if !q.account.allocated.Add(t.Need).Fits(q.account.quota) {
			continue
		}
		p.handled[i] = true
		p.placeOrReclaim(t)
	}
}

func (p *planner) placeOrReclaim(t Pending) {
	if n := p.bestWorker(t); n != nil {
		p.start(t, n, "fits within quota")
		return
	}
	if !p.startByReclaimingQuota(t) {
		p.refuse(t)
	}
}

// queue holds the pending tasks of one tenant in order.
type queue struct {
	account *account
	pending []int // indexes of planner.pending
}

func (q *queue) pop() int {
	i := q.pending[0]
	q.pending = q.pending[1:]
	return i
}

// queues returns the queues of the tenants in the order in which they appear.
func (p *planner) queues() []*queue {
	byTenant := map[string]*queue{}
	var out []*queue
	for i, t := range p.pending {
		if p.handled[i] {
			continue
		}
		q, ok := byTenant[t.Tenant]
		if !ok {
			q = &queue{account: p.account(t.Tenant)}
			byTenant[t.Tenant] = q
			out = append(out, q)
		}
		q.pending = append(q.pending, i)
	}
	return out
}

func (p *planner) lowestDominantShare(queues []*queue) *queue {
	var best *queue
	for _, q := range queues {
		if len(q.pending) > 0 && (best == nil || q.account.dominantShare() < best.account.dominantShare()) {
			best = q
		}
	}
	return best
}

// placeBorrowed lets tenants go beyond their quota with what nobody else waits for.
func (p *planner) placeBorrowed() {
	for i, t := range p.pending {
		if p.handled[i] {
			continue
		}
		p.handled[i] = true
		n := p.bestWorker(t)
		if n == nil {
			p.refuse(t)
			continue
		}
		p.start(t, n, "fits, borrowed beyond the quota")
		p.plan.Starts[len(p.plan.Starts)-1].Borrowed = true
	}
}

// use is the largest share of the quota that is held in any dimension.
func (a *account) dominantShare() float64 {
	return max(
		fraction(a.allocated.MilliCPU, a.quota.MilliCPU),
		fraction(a.allocated.MemoryMiB, a.quota.MemoryMiB),
		fraction(a.allocated.Accelerators, a.quota.Accelerators))
}

// part returns held by quota; without a quota nothing is a part of it.
func fraction(allocated, quota int64) float64 {
	if quota <= 0 {
		return 0
	}
	return float64(allocated) / float64(quota)
}
