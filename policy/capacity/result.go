package capacity

import (
	"cmp"
	"slices"

	"github.com/tarragonreach/tarragonreach/api/explain"
	"github.com/tarragonreach/tarragonreach/api/fleet"
)

// result reads the plan from the solved network.
func (p *planner) result() Plan {
	var result Plan
	sizes := p.sizes()
	for _, pool := range p.pools {
		result.Pools = append(result.Pools, p.poolResult(pool, sizes))
	}
	for g, group := range p.groups {
		result.Assignments = append(result.Assignments, p.assign(g, group, sizes)...)
	}
	slices.SortFunc(result.Assignments, func(a, b Assignment) int { return cmp.Compare(a.ID, b.ID) })
	result.Moves, result.Cost = p.movesAndCost(sizes)
	return result
}

func (p *planner) sizes() []int {
	sizes := make([]int, len(p.pools))
	for g := range p.groups {
		for i := range p.pools {
			sizes[i] += p.flow(g, i)
		}
	}
	return sizes
}

// flow returns how many instances of a group are assigned to a pool; the index after
// the last pool means no pool.
func (p *planner) flow(g, pool int) int {
	if p.edges[g][pool] < 0 {
		return 0
	}
	return p.net.edgeFlow(p.groupNode(g), p.edges[g][pool])
}

// assign distributes the members of a group by flow, to their current pool first.
func (p *planner) assign(g int, group group, sizes []int) []Assignment {
	var out []Assignment
	members := group.members
	take := func(pool, count int) {
		name := ""
		if pool < len(p.pools) {
			name = p.pools[pool].Name
		}
		for _, id := range members[:count] {
			out = append(out, p.explain(id, group, name, sizes))
		}
		members = members[count:]
	}
	current, hasCurrent := p.index[group.pool]
	if hasCurrent {
		take(current, p.flow(g, current))
	}
	for i := range p.pools {
		if !hasCurrent || i != current {
			take(i, p.flow(g, i))
		}
	}
	take(len(p.pools), len(members))
	return out
}

func (p *planner) explain(id fleet.InstanceID, group group, to string, sizes []int) Assignment {
	a := Assignment{ID: id, From: group.pool, To: to, Reason: p.reason(group, to, sizes)}
	if a.From == to && to != "" {
		return a
	}
	for _, name := range group.eligible {
		if name == to {
			continue
		}
		i := p.index[name]
		a.Refused = append(a.Refused, explain.Alternative{
			Choice: name,
			Reason: p.refusalReason(i, sizes[i]),
			Cost:   float64(p.moveCost(group, name)) / costUnit,
		})
	}
	return a
}

func (p *planner) reason(group group, to string, sizes []int) explain.Reason {
	eligibleCurrent := slices.Contains(group.eligible, group.pool)
	switch {
	case to == "" && len(group.eligible) == 0:
		return explain.ReasonNoPoolMatches
	case group.pool != "" && !eligibleCurrent:
		return explain.ReasonNotSelected
	case to == "":
		return p.idleReason(group, sizes)
	case group.pool == to, group.needsPool, p.pools[p.index[to]].Open:
		return explain.ReasonSelected
	default:
		return explain.ReasonPoolBelowTarget
	}
}

// idleReason returns why no eligible pool takes an instance of the group.
func (p *planner) idleReason(group group, sizes []int) explain.Reason {
	for _, name := range group.eligible {
		i := p.index[name]
		bounded := p.pools[i].Max > 0 || p.pools[i].Closed
		if !bounded || sizes[i] < p.pools[i].Max {
			return explain.ReasonSurplus
		}
	}
	return explain.ReasonPoolFull
}

// refusalReason returns why a pool does not get one more instance.
func (p *planner) refusalReason(i, size int) explain.Reason {
	pool := p.pools[i]
	switch {
	case pool.Closed || pool.Max > 0 && size >= pool.Max:
		return explain.ReasonPoolFull
	case size >= pool.Need:
		return explain.ReasonTargetMet
	default:
		return explain.ReasonMoveCostsTooMuch
	}
}

// poolResult returns the size of a pool under the plan and, if it is short, the
// constraint that causes it.
func (p *planner) poolResult(pool Pool, sizes []int) PoolResult {
	f := PoolResult{Pool: pool.Name, Need: pool.Need, Size: sizes[p.index[pool.Name]], Reason: explain.ReasonTargetMet}
	for _, group := range p.groups {
		if slices.Contains(group.eligible, pool.Name) {
			f.Matching += len(group.members)
		}
	}
	if f.Short() == 0 {
		return f
	}
	switch {
	case pool.Closed || pool.Max > 0 && f.Size >= pool.Max:
		f.Reason = explain.ReasonPoolFull
	case f.Matching == 0:
		f.Reason = explain.ReasonNoInstanceMatches
	case f.Size >= f.Matching:
		f.Reason = explain.ReasonTooFewInstances
	default:
		f.Reason = explain.ReasonCandidatesTaken
	}
	return f
}

// movesAndCost returns the number of moves and the weighted cost of moves and idle days.
func (p *planner) movesAndCost(sizes []int) (int, float64) {
	moves, cost := 0, int64(0)
	for g, group := range p.groups {
		for i := range p.edges[g] {
			name := ""
			if i < len(p.pools) {
				name = p.pools[i].Name
			}
			if group.pool != "" && group.pool != name {
				moves += p.flow(g, i)
				cost += int64(p.flow(g, i)) * p.moveCost(group, name)
			}
		}
	}
	for i, pool := range p.pools {
		for size := pool.Need + 1; size <= sizes[i] && !pool.Open; size++ {
			cost += pool.idleCost(size)
		}
	}
	return moves, float64(cost) / costUnit
}
