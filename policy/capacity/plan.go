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
	// Pool is where it serves or is on the way to; empty if in no pool.
	Pool string
	// Eligible names the pools whose selectors match, in order.
	Eligible []string
	// Protected marks an instance that holds work near its deadline; a move of it
	// costs ProtectedFactor times as much.
	Protected bool
	// NeedsPool marks an instance that no pool has had yet, or that has to leave the one
	// where it is. It joins a pool that its labels match although the pool's need is
	// met, since idle time is weighed only once it has passed.
	NeedsPool bool
}

// Pool is one pool's part in an availability zone.
type Pool struct {
	Name string
	// Open says that no demand is known; the pool takes every instance that matches.
	Open bool
	// Need is how many instances the pool shall have.
	Need int
	// Max bounds the instances; zero means no bound unless Closed is set.
	Max int
	// Closed says that the pool takes no instance here.
	Closed bool
	// MoveWeight is the cost of one move out of the pool, BufferWeight the cost of
	// one idle instance for a day.
	MoveWeight   float64
	BufferWeight float64
	// IdleDays forecasts for how many days the instance that makes the pool size
	// instances large stays idle. It does not fall as size grows; nil means a day.
	IdleDays func(size int) float64
}

// ProtectedFactor multiplies the cost of moving a protected instance.
const ProtectedFactor = 10

const (
	// costUnit is one unit of cost; costs are whole numbers of millionths.
	costUnit = 1e6
	// shortageCost outweighs every sum of moves and idle days.
	shortageCost = int64(1e15)
	// shortageTiers make a pool's first instances worth more than its last, so that
	// scarce instances are shared out.
	shortageTiers = 4
	// tieCost makes an instance stay where a move costs as much as it saves.
	tieCost = 2
	// maxWeightCost bounds a single cost, so that sums stay below shortageCost.
	maxWeightCost = 1e10
	// welcomeWorth outweighs any single cost, but no shortage.
	welcomeWorth = 1e12
)

// Assignment says where one instance shall serve.
type Assignment struct {
	ID     fleet.InstanceID
	From   string
	To     string // empty for no pool
	Reason explain.Reason
	// Refused lists the other eligible pools with the reason against each.
	Refused []explain.Alternative
}

// Moved reports whether the instance leaves a pool.
func (a Assignment) Moved() bool { return a.From != "" && a.From != a.To }

// PoolResult says how a pool comes out of a plan.
type PoolResult struct {
	Pool   string
	Need   int
	Size   int
	Reason explain.Reason // why it is short; ReasonTargetMet if it is not
	// Matching counts the instances whose labels match.
	Matching int
}

// Short returns how many instances the pool lacks.
func (f PoolResult) Short() int { return max(f.Need-f.Size, 0) }

// Plan is the lowest-cost assignment of the instances of an availability zone.
type Plan struct {
	Assignments []Assignment // ordered by instance
	Pools       []PoolResult // ordered as given
	Moves       int
	Cost        float64 // moves and idle days by their weights, without shortage
}

// MakePlan assigns each instance to at most one pool. Filling needs goes first;
// among the assignments that fill them best it takes the one of least cost.
// Applied to its own outcome it changes nothing.
func MakePlan(pools []Pool, instances []Instance) Plan {
	p := newPlanner(pools, instances)
	p.solve()
	return p.plan()
}

// group is a set of instances that are alike to the plan.
type group struct {
	pool      string
	eligible  []string
	protected bool
	newcomer  bool
	members   []fleet.InstanceID
}

func (g group) key() string {
	flags := ""
	if g.protected {
		flags = "!"
	}
	if g.newcomer {
		flags += "+"
	}
	return flags + g.pool + "|" + strings.Join(g.eligible, ",")
}

type planner struct {
	pools  []Pool
	groups []group
	index  map[string]int // of a pool by name
	net    *network
	// edges[g][p] is the edge of group g to pool p, or -1; the last is to no pool.
	edges [][]int
}

func newPlanner(pools []Pool, instances []Instance) *planner {
	p := &planner{pools: pools, index: make(map[string]int, len(pools))}
	for i, pool := range pools {
		p.index[pool.Name] = i
	}
	byKey := make(map[string]int)
	for _, instance := range instances {
		g := group{
			pool: instance.Pool, eligible: p.known(instance.Eligible),
			protected: instance.Protected, newcomer: instance.NeedsPool,
		}
		key := g.key()
		place, known := byKey[key]
		if !known {
			place = len(p.groups)
			byKey[key] = place
			p.groups = append(p.groups, g)
		}
		p.groups[place].members = append(p.groups[place].members, instance.ID)
	}
	for i := range p.groups {
		slices.Sort(p.groups[i].members)
	}
	slices.SortFunc(p.groups, func(a, b group) int { return cmp.Compare(a.key(), b.key()) })
	return p
}

// known returns the names of pools that the plan has.
func (p *planner) known(names []string) []string {
	var known []string
	for _, name := range names {
		if _, found := p.index[name]; found {
			known = append(known, name)
		}
	}
	return known
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
		p.net.add(0, p.groupNode(g), len(group.members), 0)
		p.edges = append(p.edges, p.connect(g, group))
	}
	for i, pool := range p.pools {
		p.addPool(i, pool, total)
	}
	p.net.add(p.idleNode(), p.sink(), total, 0)
	p.net.solve(0, p.sink())
}

// connect adds the edges of a group to its eligible pools and to the idle node.
func (p *planner) connect(g int, group group) []int {
	edges := make([]int, len(p.pools)+1)
	for i := range p.pools {
		edges[i] = -1
	}
	for _, name := range group.eligible {
		i := p.index[name]
		edges[i] = p.net.add(p.groupNode(g), p.poolNode(i), len(group.members), p.moveCost(group, name)-group.welcome())
	}
	edges[len(p.pools)] = p.net.add(p.groupNode(g), p.idleNode(), len(group.members), p.moveCost(group, ""))
	return edges
}

// welcome is what makes a newcomer join a pool that it matches.
func (g group) welcome() int64 {
	if g.newcomer {
		return welcomeWorth
	}
	return 0
}

// moveCost is the cost of taking an instance out of the pool where it is.
func (p *planner) moveCost(g group, to string) int64 {
	if g.pool == "" || g.pool == to {
		return 0
	}
	weight := 1.0
	if i, known := p.index[g.pool]; known {
		weight = p.pools[i].MoveWeight
	}
	if g.protected {
		weight *= ProtectedFactor
	}
	return units(weight) + tieCost
}

func units(cost float64) int64 { return int64(math.Round(min(cost*costUnit, maxWeightCost))) }

// addPool adds the edges of a pool to the sink: tiers of the need at falling worth,
// then one for each instance above the need at its idle cost.
func (p *planner) addPool(i int, pool Pool, total int) {
	need, bound := pool.Need, total
	if pool.Max > 0 || pool.Closed {
		need, bound = min(need, pool.Max), min(total, pool.Max)
	}
	from := 0
	for tier := range shortageTiers {
		upTo := (tier + 1) * need / shortageTiers
		worth := shortageCost * int64(shortageTiers-tier)
		p.addSeats(i, min(upTo, total)-min(from, total), -worth)
		from = upTo
	}
	if pool.Open {
		p.addSeats(i, bound-need, -1)
		return
	}
	for size := need + 1; size <= bound; size++ {
		p.addSeats(i, 1, pool.idleCost(size))
	}
}

func (p *planner) addSeats(i, count int, cost int64) {
	if count > 0 {
		p.net.add(p.poolNode(i), p.sink(), count, cost)
	}
}

// idleCost is the cost of the instance that makes the pool size instances large.
func (p Pool) idleCost(size int) int64 {
	days := 1.0
	if p.IdleDays != nil {
		days = p.IdleDays(size)
	}
	return units(p.BufferWeight * days)
}
