package placement

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
