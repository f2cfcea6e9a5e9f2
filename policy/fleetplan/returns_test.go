package fleetplan

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/policy/shard"
)

// Machines of a pool are being evacuated for their return to the spare pool when the demand
// rises: they stay, since other machines would have to be moved there first.
func TestRisingDemandCancelsTheReturnOfMachines(t *testing.T) {
	f := newSimFleet(t, map[cluster.Service]int{"a": 8}, 8)
	returning := func() int {
		n := 0
		for _, op := range f.planner.operations {
			if op.kind == Move && op.to == "spare" && op.calledAt.IsZero() {
				n++
			}
		}
		return n
	}
	for returning() == 0 {
		f.step(accept)
	}
	movesBefore := f.moves
	for _, m := range f.machines {
		if m.Pool == "a" && m.Executor != "" { // tasks start before the owner applies the cordons
			f.loads["a"].Executors[m.Executor] = shard.ExecutorLoad{Runs: 1}
		}
	}
	load := f.loads["a"]
	load.InTimeCPU = 8 * 16000
	f.loads["a"] = load
	for range 5 {
		f.step(accept)
	}
	assert.Equal(t, returning(), 0)
	assert.Equal(t, f.moves, movesBefore)
	assert.Equal(t, f.poolSize("a"), 8)
}
