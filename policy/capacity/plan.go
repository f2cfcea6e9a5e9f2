package capacity

import (
	"cmp"
	"math"
	"slices"
	"strings"

	"github.com/tarragonreach/tarragonreach/api/explain"
	"github.com/tarragonreach/tarragonreach/api/fleet"
)

// Instance is one instance of an availability zone that can serve.
type Instance struct {
	ID fleet.InstanceID
	// Pool is the pool that it serves or is moving to; empty if none.
	Pool string
	// Eligible names the pools whose selectors match, in order.
	Eligible []string
	// Protected marks an instance that runs work near its deadline; moving it costs
	// ProtectedFactor times as much.
	Protected bool
	// NeedsPool marks an instance that has not been in a pool yet or must leave its
	// current one. It joins a pool that its labels match even if the pool's need is met,
	// since it counts as surplus only after it has been idle there.
	NeedsPool bool
}

// Pool is the part of a pool in one availability zone.
type Pool struct {
	Name string
	// Open means that no demand is known; the pool takes every matching instance.
	Open bool
	// Need is the number of instances that the pool should have.
	Need int
	// Max limits the number of instances; zero means no limit unless Closed is set.
	Max int
	// Closed means that the pool takes no instances in this availability zone.
	Closed bool
	// MoveWeight is the cost of one move out of the pool, BufferWeight the cost of
	// one idle instance for a day.
	MoveWeight   float64
	BufferWeight float64
	// IdleDays forecasts for how many days the size-th instance of the pool stays idle.
	// It must not decrease as size grows; nil means one day.
	IdleDays func(size int) float64
}

// ProtectedFactor multiplies the cost of moving a protected instance.
const ProtectedFactor = 10

const (
	// costUnit is a cost of 1 in the network, whose costs are integers in millionths.
	costUnit = 1e6
	// shortageCost outweighs every sum of moves and idle days.
	shortageCost = int64(1e15)
	// shortageTiers is the number of tiers of a pool's need. Instances of earlier tiers
	// are worth more, so that scarce instances are shared between pools.
	shortageTiers = 4
	// tieBreakCost makes an instance stay in its pool if a move costs as much as it saves.
	tieBreakCost = 2
	// maxWeightCost limits a single cost, so that sums stay below shortageCost.
	maxWeightCost = 1e10
	// joinBonus outweighs any single cost, but no shortage.
	joinBonus = 1e12
)

// Assignment is the planned pool of one instance.
type Assignment struct {
	ID     fleet.InstanceID
	From   string
	To     string // empty for no pool
	Reason explain.Reason
	// Refused lists the other eligible pools with the reason why each was not chosen.
	Refused []explain.Alternative
}

// Moved reports whether the instance leaves a pool.
func (a Assignment) Moved() bool { return a.From != "" && a.From != a.To }

// PoolResult is the size of a pool under a plan.
type PoolResult struct {
	Pool   string
	Need   int
	Size   int
	Reason explain.Reason // why it is short; ReasonTargetMet if it is not
	// Matching is the number of instances whose labels match.
	Matching int
}

// Short returns how many instances the pool lacks.
func (r PoolResult) Short() int { return max(r.Need-r.Size, 0) }

// Plan is the lowest-cost assignment of the instances of an availability zone.
type Plan struct {
	Assignments []Assignment // ordered by instance
	Pools       []PoolResult // ordered as given
	Moves       int
	Cost        float64 // moves and idle days by their weights, without shortage
}

// MakePlan assigns each instance to at most one pool. Filling the needs of pools comes
// first; among the assignments that fill them best, it returns one with the lowest
// cost. Planning again after a plan is applied makes no moves.
func MakePlan(pools []Pool, instances []Instance) Plan {
	p := newPlanner(pools, instances)
	p.solve()
	return p.result()
}

// group is a set of instances that the planner need not distinguish.
type group struct {
	pool      string
	eligible  []string
	protected bool
	needsPool bool
	members   []fleet.InstanceID
}

func (g group) key() string {
	flags := ""
	if g.protected {
		flags = "!"
	}
	if g.needsPool {
		flags += "+"
	}
	return flags + g.pool + "|" + strings.Join(g.eligible, ",")
}

type planner struct {
	pools     []Pool
	groups    []group
	poolIndex map[string]int // by name
	net       *network
	// edges[g][p] is the edge from group g to pool p, or -1; the last one leads to the
	// idle node.
	edges [][]int
}

func newPlanner(pools []Pool, instances []Instance) *planner {
	p := &planner{pools: pools, poolIndex: make(map[string]int, len(pools))}
	for i, pool := range pools {
		p.poolIndex[pool.Name] = i
	}
	byKey := make(map[string]int)
	for _, instance := range instances {
		g := group{
			pool: instance.Pool, eligible: p.existingPools(instance.Eligible),
			protected: instance.Protected, needsPool: instance.NeedsPool,
		}
		key := g.key()
		groupIndex, known := byKey[key]
		if !known {
			groupIndex = len(p.groups)
			byKey[key] = groupIndex
			p.groups = append(p.groups, g)
		}
		p.groups[groupIndex].members = append(p.groups[groupIndex].members, instance.ID)
	}
	for i := range p.groups {
		slices.Sort(p.groups[i].members)
	}
	slices.SortFunc(p.groups, func(a, b group) int { return cmp.Compare(a.key(), b.key()) })
	return p
}

// existingPools returns those of the names that are pools of the plan.
func (p *planner) existingPools(names []string) []string {
	var existing []string
	for _, name := range names {
		if _, found := p.poolIndex[name]; found {
			existing = append(existing, name)
		}
	}
	return existing
}

// The nodes are the source, the groups, the pools, the idle node and the sink.
func (p *planner) groupNode(g int) int { return 1 + g }
func (p *planner) poolNode(i int) int  { return 1 + len(p.groups) + i }
func (p *planner) idleNode() int       { return p.poolNode(len(p.pools)) }
func (p *planner) sink() int           { return p.idleNode() + 1 }

func (p *planner) solve() {
	p.net = newNetwork(p.sink() + 1)
	total := 0
	for g, group := range p.groups {
		total += len(group.members)
		p.net.addEdge(0, p.groupNode(g), len(group.members), 0)
		p.edges = append(p.edges, p.connect(g, group))
	}
	for i, pool := range p.pools {
		p.addPool(i, pool, total)
	}
	p.net.addEdge(p.idleNode(), p.sink(), total, 0)
	p.net.solve(0, p.sink())
}

// connect adds the edges of a group to its eligible pools and to the idle node.
func (p *planner) connect(g int, group group) []int {
	edges := make([]int, len(p.pools)+1)
	for i := range p.pools {
		edges[i] = -1
	}
	for _, name := range group.eligible {
		i := p.poolIndex[name]
		edges[i] = p.net.addEdge(p.groupNode(g), p.poolNode(i), len(group.members), p.moveCost(group, name)-group.bonus())
	}
	edges[len(p.pools)] = p.net.addEdge(p.groupNode(g), p.idleNode(), len(group.members), p.moveCost(group, ""))
	return edges
}

// bonus returns by how much the cost of joining a matching pool is reduced.
func (g group) bonus() int64 {
	if g.needsPool {
		return joinBonus
	}
	return 0
}

// moveCost returns the cost of moving an instance of the group out of its current pool.
func (p *planner) moveCost(g group, to string) int64 {
	if g.pool == "" || g.pool == to {
		return 0
	}
	weight := 1.0
	if i, known := p.poolIndex[g.pool]; known {
		weight = p.pools[i].MoveWeight
	}
	if g.protected {
		weight *= ProtectedFactor
	}
	return costUnits(weight) + tieBreakCost
}

func costUnits(cost float64) int64 { return int64(math.Round(min(cost*costUnit, maxWeightCost))) }

// addPool adds the edges from a pool to the sink: one for each tier of the need, with
// decreasing worth, then one for each instance above the need, at its idle cost.
func (p *planner) addPool(i int, pool Pool, total int) {
	need, bound := pool.Need, total
	if pool.Max > 0 || pool.Closed {
		need, bound = min(need, pool.Max), min(total, pool.Max)
	}
	from := 0
	for tier := range shortageTiers {
		upTo := (tier + 1) * need / shortageTiers
		worth := shortageCost * int64(shortageTiers-tier)
		p.addPoolEdge(i, min(upTo, total)-min(from, total), -worth)
		from = upTo
	}
	if pool.Open {
		p.addPoolEdge(i, bound-need, -1)
		return
	}
	for size := need + 1; size <= bound; size++ {
		p.addPoolEdge(i, 1, pool.idleCost(size))
	}
}

func (p *planner) addPoolEdge(i, count int, cost int64) {
	if count > 0 {
		p.net.addEdge(p.poolNode(i), p.sink(), count, cost)
	}
}

// idleCost returns the idle cost of the size-th instance of the pool.
func (p Pool) idleCost(size int) int64 {
	days := 1.0
	if p.IdleDays != nil {
		days = p.IdleDays(size)
	}
	return costUnits(p.BufferWeight * days)
}
