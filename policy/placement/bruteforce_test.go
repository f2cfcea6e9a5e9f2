package placement

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/tarragonreach/tarragonreach/api/fleet"
)

// maxPlaced tries every assignment of the tasks to the workers and returns the largest
// number of tasks that fit.
func maxPlaced(free []fleet.Resources, needs []fleet.Resources) int {
	if len(needs) == 0 {
		return 0
	}
	best := maxPlaced(free, needs[1:])
	for i := range free {
		if !needs[0].Fits(free[i]) {
			continue
		}
		free[i] = free[i].Sub(needs[0])
		best = max(best, 1+maxPlaced(free, needs[1:]))
		free[i] = free[i].Add(needs[0])
	}
	return best
}

// TestGreedyPlanIsCloseToBruteForce compares the number of tasks placed by the greedy
// plan with the optimum on small fleets. On a single fleet the gap may be large, since
// a large task that comes first takes the place of several small ones; over all fleets
// it must stay under a tenth.
func TestGreedyPlanIsCloseToBruteForce(t *testing.T) {
	const maxGap = 0.1
	placed, possible := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		s := Snapshot{Now: now}
		var free, needs []fleet.Resources
		for i := range rapid.IntRange(1, 3).Draw(t, "workers") {
			s.Workers = append(s.Workers, worker(i))
			free = append(free, s.Workers[i].Capacity)
		}
		for i := range rapid.IntRange(1, 6).Draw(t, "tasks") {
			need := res(rapid.Int64Range(1000, 12_000).Draw(t, "cpu"), rapid.Int64Range(1000, 48_000).Draw(t, "memory"))
			p := pending("j", "a", need)
			p.Job, p.Index = string(rune('a'+i)), i
			s.Pending = append(s.Pending, p)
			needs = append(needs, need)
		}
		greedy, best := len(Decide(s).Starts), maxPlaced(free, needs)
		assert.Assert(t, greedy <= best, "%d of %d", greedy, best)
		placed, possible = placed+greedy, possible+best
	})
	gap := 1 - float64(placed)/float64(possible)
	t.Logf("%d of %d tasks placed, gap %.1f%%", placed, possible, 100*gap)
	assert.Assert(t, gap < maxGap)
}
