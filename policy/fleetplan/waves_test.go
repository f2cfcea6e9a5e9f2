package fleetplan

import (
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	_ "github.com/tarragonreach/tarragonreach/api/rapidseed"
	"github.com/tarragonreach/tarragonreach/policy/shard"
)

// A wave maintains each machine, and never too many at once, although calls are refused
// and responses are lost.
func TestWaveMaintainsEachMachineWithinItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newSimFleet(t, map[cluster.Service]int{"a": 5, "b": 5}, 4)
		wave := cluster.Wave{Number: 1, Duration: 30 * time.Second, MaxDown: rapid.IntRange(1, 4).Draw(t, "max down")}
		for _, id := range f.ids {
			if rapid.Bool().Draw(t, "in the wave") {
				wave.Machines = append(wave.Machines, id)
			}
		}
		f.waves = []cluster.Wave{wave}
		for range 1200 {
			f.step(func(Action) Outcome {
				return rapid.SampledFrom([]Outcome{Accepted, Accepted, Accepted, Refused, Unknown}).Draw(t, "outcome")
			})
		}
		for _, id := range wave.Machines {
			if f.maintained[id] == 0 {
				t.Fatalf("%s was never maintained", id)
			}
		}
		if last := f.reports[len(f.reports)-1]; last != cluster.WaveCompleted {
			t.Fatalf("the wave is reported as %s", last)
		}
	})
}

// A successor takes over a wave of 20 s that started 13 s ago: it must start more
// maintenances at once than a planner for which the wave has just started.
func TestSuccessorRestoresWhenAWaveStarted(t *testing.T) {
	f := newSimFleet(t, map[cluster.Service]int{"a": 12}, 0)
	wave := cluster.Wave{Number: 1, Duration: 20 * time.Second, MaxDown: 10, Machines: f.ids[:6]}
	f.waves = []cluster.Wave{wave}
	fresh, late := New(testLimits), New(testLimits)
	late.RestoreWave(1, nil, cluster.WaveRunning, f.now.Add(-13*time.Second))
	for _, p := range []*Planner{fresh, late} {
		p.Plan(f.snapshot())
	}
	assert.Assert(t, len(late.operations) > len(fresh.operations), "%d, %d", len(late.operations), len(fresh.operations))
}

// Machines with long-running tasks take longest to evacuate, and must wait while other
// tasks of the same steps are unavailable: a wave starts with them.
func TestWaveStartsWithLongRunningTasks(t *testing.T) {
	f := newSimFleet(t, map[cluster.Service]int{"a": 8}, 4)
	f.waves = []cluster.Wave{{Number: 1, Duration: 30 * time.Second, MaxDown: 2, Machines: f.ids}}
	longRunning := f.machines[f.ids[5]].Executor
	f.loads["a"].Executors[longRunning] = shard.ExecutorLoad{Runs: 1, LongRunning: 1}
	first := f.planner.Plan(f.snapshot())
	assert.Assert(t, slices.ContainsFunc(first, func(a Action) bool { return a.Kind == Cordon && a.Executor == longRunning }))
}

// The holder of the duty changes while a machine is being evacuated for a wave: its
// successor continues the evacuation instead of revoking the cordon.
func TestSuccessorContinuesEvacuations(t *testing.T) {
	f := newSimFleet(t, map[cluster.Service]int{"a": 8}, 4)
	f.waves = []cluster.Wave{{Number: 1, Duration: 30 * time.Second, MaxDown: 2, Machines: f.ids}}
	evacuating := f.machines[f.ids[6]].Executor
	f.cordons[evacuating] = ActiveCordon{"a", "1"}
	for _, a := range f.planner.Plan(f.snapshot()) {
		assert.Assert(t, a.Executor != evacuating || a.Kind != Uncordon)
	}
	assert.Assert(t, f.planner.operations[f.ids[6]] != nil)
}

// Machines of a wave are moved again and again with the demand: when the wave becomes
// urgent, those that are being evacuated for a move are maintained instead.
func TestUrgentWaveTakesMachinesFromMoves(t *testing.T) {
	f := newSimFleet(t, map[cluster.Service]int{"a": 2, "b": 6}, 0)
	f.waves = []cluster.Wave{{Number: 1, Duration: 20 * time.Second, MaxDown: 2, Machines: f.ids[2:4]}}
	f.planner.RestoreWave(1, nil, cluster.WaveRunning, f.now.Add(-8*time.Second))
	f.loads["a"] = shard.Load{InTimeCPU: 6 * 16000, Executors: f.loads["a"].Executors}
	for id, x := range f.loads["b"].Executors {
		x.Runs = 1
		f.loads["b"].Executors[id] = x
	}
	for _, m := range f.ids[2:6] {
		f.planner.operations[m] = &operation{kind: Move, to: "a", executor: f.machines[m].Executor, startedAt: f.now}
	}
	f.planner.Plan(f.snapshot())
	for _, m := range f.ids[2:4] {
		assert.Equal(t, f.planner.operations[m].kind, Maintain)
	}
}

// An urgent wave wants all machines at once, and long-running tasks keep them from being
// evacuated: each pool keeps machines for its tasks, and those that can't be evacuated are given back.
func TestUrgentWaveLeavesMachinesToEachPool(t *testing.T) {
	f := newSimFleet(t, map[cluster.Service]int{"a": 3, "b": 8}, 0)
	f.waves = []cluster.Wave{{Number: 1, Duration: time.Second, MaxDown: len(f.ids), Machines: f.ids}}
	for _, load := range f.loads {
		for id := range load.Executors {
			load.Executors[id] = shard.ExecutorLoad{Runs: 1, LongRunning: 1}
		}
	}
	givenBack := 0
	for range 300 {
		before := maps.Clone(f.cordons)
		f.step(accept)
		for id := range before {
			if _, cordoned := f.cordons[id]; !cordoned {
				givenBack++
			}
		}
		cordoned := map[cluster.Service]int{}
		for _, c := range f.cordons {
			cordoned[c.Service]++
		}
		assert.Assert(t, cordoned["a"] <= 1, "%d of 3 machines are cordoned", cordoned["a"])
		assert.Assert(t, cordoned["b"] <= 4, "%d of 8 machines are cordoned", cordoned["b"])
	}
	assert.Assert(t, givenBack > 0)
	assert.Assert(t, len(f.reports) == 0 || f.reports[len(f.reports)-1] == cluster.WaveRunning)
}

// A pool's other machines are lost while its last one is cordoned for a wave: tasks wait, so that it is
// given back. It is not cordoned again before its long-running tasks have somewhere to go.
func TestLastMachineOfAPoolIsGivenBackToWaitingTasks(t *testing.T) {
	f := newSimFleet(t, map[cluster.Service]int{"a": 2, "b": 4}, 0)
	last := f.machines[f.ids[0]]
	f.waves = []cluster.Wave{{Number: 1, Duration: 30 * time.Second, MaxDown: 1, Machines: f.ids[:1]}}
	f.loads["a"].Executors[last.Executor] = shard.ExecutorLoad{Runs: 1, LongRunning: 1}
	f.step(accept)
	assert.Assert(t, f.cordons[last.Executor].ID != "")
	lost := f.ids[1]
	delete(f.machines, lost)
	f.ids = slices.DeleteFunc(f.ids, func(id cluster.MachineID) bool { return id == lost })
	load := f.loads["a"]
	load.WaitingCPU = 1000
	f.loads["a"] = load
	for id, x := range f.loads["b"].Executors { // no machine can be spared
		x.Runs, x.LongRunning = 1, 1
		f.loads["b"].Executors[id] = x
	}
	for range 25 {
		f.step(accept)
	}
	for range 100 {
		f.step(accept)
		assert.Equal(t, f.cordons[last.Executor].ID, "")
	}
}

// Of 20 spare machines that nobody needs, a wave with much time left maintains half at once: at
// its pace alone it would take two, and machines of the services' pools at their next peaks.
func TestWaveMaintainsSpareMachinesThatNobodyNeeds(t *testing.T) {
	f := newSimFleet(t, map[cluster.Service]int{"a": 4}, 20)
	f.waves = []cluster.Wave{{Number: 1, Duration: 60 * time.Second, MaxDown: 12, Machines: f.ids}}
	f.planner.Plan(f.snapshot())
	ahead := 0
	for id, op := range f.planner.operations {
		if op.kind == Maintain && f.machines[id].Pool == "spare" {
			ahead++
		}
	}
	assert.Equal(t, ahead, 10)
}

// Spare machines that services lack are not maintained ahead of time.
func TestWaveLeavesSpareMachinesToServicesThatLackThem(t *testing.T) {
	f := newSimFleet(t, map[cluster.Service]int{"a": 4}, 20)
	f.waves = []cluster.Wave{{Number: 1, Duration: 60 * time.Second, MaxDown: 12, Machines: f.ids}}
	f.planner.lastNeeds = []need{{service: "a", share: 24, have: 4}}
	v := newView(f.snapshot())
	assert.Equal(t, f.planner.surplus(v), 0)
}
