package capacity

import (
	"fmt"
	"math"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "github.com/tarragonreach/tarragonreach/api/rapidseed"

	"github.com/tarragonreach/tarragonreach/api/explain"
	"github.com/tarragonreach/tarragonreach/api/fleet"
)

func drawPools(t *rapid.T, count int) []Pool {
	pools := make([]Pool, count)
	for i := range pools {
		base := float64(rapid.IntRange(0, 4).Draw(t, "days"))
		slope := float64(rapid.IntRange(0, 2).Draw(t, "slope"))
		pools[i] = Pool{
			Name: fmt.Sprintf("p%d", i), Need: rapid.IntRange(0, 4).Draw(t, "need"),
			Max: rapid.SampledFrom([]int{0, 0, 1, 3}).Draw(t, "max"), Closed: rapid.IntRange(0, 9).Draw(t, "closed") == 0,
			MoveWeight:   float64(rapid.IntRange(1, 9).Draw(t, "move")),
			BufferWeight: float64(rapid.IntRange(0, 9).Draw(t, "buffer")),
			IdleDays:     func(size int) float64 { return base + slope*float64(size) },
		}
	}
	return pools
}

func drawInstances(t *rapid.T, pools []Pool, maximum int) []Instance {
	instances := make([]Instance, rapid.IntRange(0, maximum).Draw(t, "instances"))
	for i := range instances {
		instances[i].ID = fleet.InstanceID(fmt.Sprintf("i%d", i))
		instances[i].Protected = rapid.Bool().Draw(t, "protected")
		for _, pool := range pools {
			if rapid.Bool().Draw(t, "eligible") {
				instances[i].Eligible = append(instances[i].Eligible, pool.Name)
			}
		}
		current := rapid.IntRange(-1, len(pools)-1).Draw(t, "current")
		if current >= 0 {
			instances[i].Pool = pools[current].Name
		}
	}
	return instances
}

// planValue ranks assignments: by the worth of filled needs, then by cost.
type planValue struct {
	worth int
	cost  float64
}

func (v planValue) better(o planValue) bool {
	if v.worth != o.worth {
		return v.worth > o.worth
	}
	return v.cost < o.cost-1e-9
}

// evaluate computes the value of an assignment without the flow network, and reports
// whether it is within the limits. The assignment holds a pool index for each instance, -1
// for none.
func evaluate(pools []Pool, instances []Instance, to []int) (planValue, bool) {
	sizes := make([]int, len(pools))
	var v planValue
	for i, instance := range instances {
		name := ""
		if to[i] >= 0 {
			name = pools[to[i]].Name
			sizes[to[i]]++
		}
		if instance.Pool == "" || instance.Pool == name {
			continue
		}
		for _, pool := range pools {
			if pool.Name == instance.Pool && instance.Protected {
				v.cost += ProtectedFactor * pool.MoveWeight
			} else if pool.Name == instance.Pool {
				v.cost += pool.MoveWeight
			}
		}
	}
	for i, pool := range pools {
		bounded := pool.Max > 0 || pool.Closed
		if bounded && sizes[i] > pool.Max {
			return v, false
		}
		need := pool.Need
		if bounded {
			need = min(need, pool.Max)
		}
		for size := 1; size <= sizes[i]; size++ {
			if size <= need {
				v.worth += instanceWorth(size, need)
			} else {
				v.cost += pool.BufferWeight * pool.IdleDays(size)
			}
		}
	}
	return v, true
}

// instanceWorth is higher for the earlier quarters of a need.
func instanceWorth(size, need int) int {
	for quarter := 1; quarter <= 4; quarter++ {
		if size <= quarter*need/4 {
			return 5 - quarter
		}
	}
	return 0
}

// bruteForce returns the best value over all assignments.
func bruteForce(pools []Pool, instances []Instance) planValue {
	best := planValue{worth: math.MinInt}
	to := make([]int, len(instances))
	var try func(int)
	try = func(i int) {
		if i == len(instances) {
			if v, allowed := evaluate(pools, instances, to); allowed && v.better(best) {
				best = v
			}
			return
		}
		for p := -1; p < len(pools); p++ {
			if p < 0 || eligible(instances[i], pools[p].Name) {
				to[i] = p
				try(i + 1)
			}
		}
	}
	try(0)
	return best
}

func eligible(instance Instance, pool string) bool {
	for _, name := range instance.Eligible {
		if name == pool {
			return true
		}
	}
	return false
}

func assignedPools(pools []Pool, plan Plan) []int {
	index := map[string]int{"": -1}
	for i, pool := range pools {
		index[pool.Name] = i
	}
	var to []int
	for _, assignment := range plan.Assignments {
		to = append(to, index[assignment.To])
	}
	return to
}

func TestPlanCostMatchesBruteForce(t *testing.T) {
	maxExcess, cases := 0.0, 0
	rapid.Check(t, func(rt *rapid.T) {
		pools := drawPools(rt, rapid.IntRange(1, 3).Draw(rt, "pools"))
		instances := drawInstances(rt, pools, 6)
		plan := MakePlan(pools, instances)
		got, allowed := evaluate(pools, instances, assignedPools(pools, plan))
		want := bruteForce(pools, instances)
		if !allowed || got.worth != want.worth {
			rt.Fatalf("value of plan is %+v, of brute force %+v", got, want)
		}
		maxExcess = max(maxExcess, got.cost-want.cost)
		cases++
	})
	t.Logf("largest excess cost over brute force in %d fleets: %g", cases, maxExcess)
	assert.Assert(t, maxExcess < 1e-4, "excess cost %g", maxExcess) // a move costs two millionths more than its weight
}

func TestPlanIsStableAndGivesReasons(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		pools := drawPools(rt, 4)
		instances := drawInstances(rt, pools, 40)
		plan := MakePlan(pools, instances)
		for i, assignment := range plan.Assignments {
			if assignment.Reason == "" {
				rt.Fatalf("no reason on %+v", assignment)
			}
			for j := range instances {
				if instances[j].ID == assignment.ID {
					instances[j].Pool = plan.Assignments[i].To
				}
			}
		}
		for _, pool := range plan.Pools {
			if (pool.Short() > 0) == (pool.Reason == explain.ReasonTargetMet) {
				rt.Fatalf("short pool without a reason: %+v", pool)
			}
		}
		if again := MakePlan(pools, instances); again.Moves != 0 {
			rt.Fatalf("%d moves after applying the plan", again.Moves)
		}
	})
}

func TestWeightsDecideBetweenMovesAndIdleInstances(t *testing.T) {
	instances := make([]Instance, 6)
	for i := range instances {
		instances[i] = Instance{ID: fleet.InstanceID(fmt.Sprint(i)), Pool: "batch", Eligible: []string{"batch"}}
	}
	plan := func(move, buffer float64) Plan {
		return MakePlan([]Pool{{Name: "batch", Need: 4, MoveWeight: move, BufferWeight: buffer}}, instances)
	}
	assert.Equal(t, plan(10, 1).Moves, 0)
	assert.Equal(t, plan(1, 10).Moves, 2)
	assert.Equal(t, plan(1, 10).Assignments[5].Reason, explain.ReasonSurplus)
}

func TestInstancesThatNeedAPoolJoinAMatchingOne(t *testing.T) {
	pools := []Pool{{Name: "a", Need: 0, BufferWeight: 10}, {Name: "b", Need: 0, Max: 1, BufferWeight: 10}}
	plan := MakePlan(pools, []Instance{
		{ID: "1", Eligible: []string{"a"}, NeedsPool: true}, {ID: "2", Eligible: []string{"a"}},
		{ID: "3", Eligible: []string{"b"}, NeedsPool: true}, {ID: "4", Eligible: []string{"b"}, NeedsPool: true},
		{ID: "5", Pool: "b", Eligible: []string{"a"}, NeedsPool: true},
	})
	var to []string
	for _, assignment := range plan.Assignments {
		to = append(to, assignment.To)
	}
	assert.DeepEqual(t, to, []string{"a", "", "b", "", "a"})
	assert.Equal(t, plan.Assignments[1].Reason, explain.ReasonSurplus)
	assert.Equal(t, plan.Assignments[3].Reason, explain.ReasonPoolFull)
}

func TestShortPoolsReportTheConstraint(t *testing.T) {
	for _, tc := range []struct {
		name      string
		pools     []Pool
		instances []Instance
		want      explain.Reason
	}{
		{"nothing matches", []Pool{{Name: "a", Need: 1}}, nil, explain.ReasonNoInstanceMatches},
		{"too few", []Pool{{Name: "a", Need: 2}}, []Instance{{ID: "1", Eligible: []string{"a"}}}, explain.ReasonTooFewInstances},
		{"maximum", []Pool{{Name: "a", Need: 2, Max: 1}},
			[]Instance{{ID: "1", Eligible: []string{"a"}}, {ID: "2", Eligible: []string{"a"}}}, explain.ReasonPoolFull},
		{"taken", []Pool{{Name: "a", Need: 1}, {Name: "b", Need: 1}},
			[]Instance{{ID: "1", Pool: "b", Eligible: []string{"a", "b"}}}, explain.ReasonCandidatesTaken},
	} {
		assert.Equal(t, MakePlan(tc.pools, tc.instances).Pools[0].Reason, tc.want, tc.name)
	}
}
