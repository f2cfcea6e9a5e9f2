package fleetplan

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	_ "github.com/tarragonreach/tarragonreach/api/rapidseed"
	"github.com/tarragonreach/tarragonreach/policy/shard"
)

// A wave with refusals and lost answers takes each machine, never too many at once.
func TestWaveTakesEachMachineWithinItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		y := newYard(t, map[cluster.Service]int{"a": 5, "b": 5}, 4)
		wave := cluster.Wave{Number: 1, Duration: 30 * time.Second, MaxDown: rapid.IntRange(1, 4).Draw(t, "at once")}
		for _, id := range y.order {
			if rapid.Bool().Draw(t, "of the wave") {
				wave.Machines = append(wave.Machines, id)
			}
		}
		y.waves = []cluster.Wave{wave}
		for range 1200 {
			y.step(func(Action) Outcome {
				return rapid.SampledFrom([]Outcome{Accepted, Accepted, Accepted, Refused, Unknown}).Draw(t, "outcome")
			})
		}
		for _, id := range wave.Machines {
			if y.begun[id] == 0 {
				t.Fatalf("%s was never maintained", id)
			}
		}
		if last := y.reports[len(y.reports)-1]; last != cluster.WaveCompleted {
			t.Fatalf("the wave is reported as %s", last)
		}
	})
}

// A successor keeps the pace of a wave that is half over.
func TestSuccessorKnowsWhenAWaveBegan(t *testing.T) {
	y := newYard(t, map[cluster.Service]int{"a": 12}, 0)
	wave := cluster.Wave{Number: 1, Duration: 20 * time.Second, MaxDown: 10, Machines: y.order[:6]}
	y.waves = []cluster.Wave{wave}
	fresh, late := New(yardLimits), New(yardLimits)
	late.RestoreWave(1, nil, cluster.WaveRunning, y.now.Add(-13*time.Second))
	for _, p := range []*Planner{fresh, late} {
		p.Plan(y.snapshot())
	}
	assert.Assert(t, len(late.operations) > len(fresh.operations), "%d, %d", len(late.operations), len(fresh.operations))
}

// Machines with lasting tasks take longest to empty, and may have to wait for a step
// that misses tasks already: a wave begins with them.
func TestWaveBeginsWithLastingTasks(t *testing.T) {
	y := newYard(t, map[cluster.Service]int{"a": 8}, 4)
	y.waves = []cluster.Wave{{Number: 1, Duration: 30 * time.Second, MaxDown: 2, Machines: y.order}}
	lasting := y.machines[y.order[5]].Executor
	y.loads["a"].Executors[lasting] = shard.ExecutorLoad{Runs: 1, LongRunning: 1}
	first := y.planner.Plan(y.snapshot())
	assert.Assert(t, slices.ContainsFunc(first, func(a Action) bool { return a.Kind == Cordon && a.Executor == lasting }))
}

// The holder of the duty changes while a machine is emptied for a wave: its successor
// goes on with that machine, rather than give it back.
func TestSuccessorGoesOnWithMachinesThatAreEmptied(t *testing.T) {
	y := newYard(t, map[cluster.Service]int{"a": 8}, 4)
	y.waves = []cluster.Wave{{Number: 1, Duration: 30 * time.Second, MaxDown: 2, Machines: y.order}}
	begun := y.machines[y.order[6]].Executor
	y.cordons[begun] = "a"
	for _, a := range y.planner.Plan(y.snapshot()) {
		assert.Assert(t, a.Executor != begun || a.Kind != Uncordon)
	}
	assert.Assert(t, y.planner.operations[y.order[6]] != nil)
}

// Machines of a wave keep being moved after the demand: as its time runs out, those that
// are emptied for a move are maintained instead.
func TestUrgentWaveTakesMachinesFromMoves(t *testing.T) {
	y := newYard(t, map[cluster.Service]int{"a": 2, "b": 6}, 0)
	y.waves = []cluster.Wave{{Number: 1, Duration: 20 * time.Second, MaxDown: 2, Machines: y.order[2:4]}}
	y.planner.RestoreWave(1, nil, cluster.WaveRunning, y.now.Add(-8*time.Second))
	y.loads["a"] = shard.Load{InTimeCPU: 6 * 16000, Executors: y.loads["a"].Executors}
	for id, x := range y.loads["b"].Executors {
		x.Runs = 1
		y.loads["b"].Executors[id] = x
	}
	for _, m := range y.order[2:6] {
		y.planner.operations[m] = &operation{kind: Move, to: "a", life: y.machines[m].Executor, since: y.now}
	}
	y.planner.Plan(y.snapshot())
	for _, m := range y.order[2:4] {
		assert.Equal(t, y.planner.operations[m].kind, Maintain)
	}
}
