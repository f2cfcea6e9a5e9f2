package fleetplan

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/policy/shard"
)

// Machines of a pool are being emptied to be given back when its demand rises: they stay,
// instead of others that would take a move to come.
func TestMachinesBeingGivenBackAreKeptWhereDemandRises(t *testing.T) {
	y := newYard(t, map[cluster.Service]int{"a": 8}, 8)
	emptying := func() int {
		n := 0
		for _, op := range y.planner.operations {
			if op.kind == Move && op.to == "spare" && op.called.IsZero() {
				n++
			}
		}
		return n
	}
	for emptying() == 0 {
		y.step(agree)
	}
	given := y.moves
	for _, m := range y.machines {
		if m.Pool == "a" && m.Executor != "" { // tasks begin before the cordons are noticed
			y.loads["a"].Executors[m.Executor] = shard.ExecutorLoad{Runs: 1}
		}
	}
	load := y.loads["a"]
	load.InTimeCPU = 8 * 16000
	y.loads["a"] = load
	for range 5 {
		y.step(agree)
	}
	assert.Equal(t, emptying(), 0)
	assert.Equal(t, y.moves, given)
	assert.Equal(t, y.size("a"), 8)
}
