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

// Long-running tasks start on a machine before its owner applies the cordon for a move: they
// stay, and the machine with them.
func TestMoveIsDroppedWhenLongRunningTasksStartOnTheMachine(t *testing.T) {
	f := newSimFleet(t, map[cluster.Service]int{"a": 2, "b": 6}, 0)
	f.loads["a"] = shard.Load{InTimeCPU: 6 * 16000, Executors: f.loads["a"].Executors}
	for id, x := range f.loads["b"].Executors {
		x.Runs = 1
		f.loads["b"].Executors[id] = x
	}
	f.step(accept)
	assert.Assert(t, len(f.cordons) > 0)
	for id, x := range f.loads["b"].Executors {
		x.Runs, x.LongRunning = 2, 1
		f.loads["b"].Executors[id] = x
	}
	f.step(accept)
	assert.Equal(t, len(f.cordons), 0)
	assert.Equal(t, f.moves, 0)
}
