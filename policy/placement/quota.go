package placement

// placeWithinQuota starts tasks of the tenant with the lowest dominant share first.
// Tasks that would exceed the quota are left to placeBorrowed.
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
	if w := p.bestWorker(t); w != nil {
		p.start(t, w, "fits within quota")
		return
	}
	if !p.startByReclaimingQuota(t) {
		p.refuse(t)
	}
}

// queue holds the pending tasks of one tenant in the order of planner.pending.
type queue struct {
	account *account
	pending []int // indexes of planner.pending
}

func (q *queue) pop() int {
	i := q.pending[0]
	q.pending = q.pending[1:]
	return i
}

// queues returns a queue for each tenant, in the order in which tenants first appear.
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

// placeBorrowed starts the remaining tasks beyond their tenants' quotas, on the capacity
// that is still free.
func (p *planner) placeBorrowed() {
	for i, t := range p.pending {
		if p.handled[i] {
			continue
		}
		p.handled[i] = true
		w := p.bestWorker(t)
		if w == nil {
			p.refuse(t)
			continue
		}
		p.start(t, w, "fits, borrows beyond the quota")
		p.plan.Starts[len(p.plan.Starts)-1].Borrowed = true
	}
}

// dominantShare returns the largest allocated share of the quota over all dimensions.
func (a *account) dominantShare() float64 {
	return max(
		fraction(a.allocated.MilliCPU, a.quota.MilliCPU),
		fraction(a.allocated.MemoryMiB, a.quota.MemoryMiB),
		fraction(a.allocated.Accelerators, a.quota.Accelerators))
}

// fraction returns part divided by whole, 0 if whole is 0, as for a tenant without a
// quota.
func fraction(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
