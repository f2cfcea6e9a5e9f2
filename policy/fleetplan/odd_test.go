package fleetplan

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/policy/shard"
)

// needsWith returns the needs of two services after a change of the fleet.
func needsWith(t *testing.T, change func(*simFleet)) []need {
	f := newSimFleet(t, map[cluster.Service]int{"a": 8, "b": 8}, 8)
	for service, machines := range map[cluster.Service]int64{"a": 6, "b": 14} {
		load := f.loads[service]
		load.InTimeCPU = machines * 16_000
		f.loads[service] = load
	}
	change(f)
	f.planner.Plan(f.snapshot())
	return f.planner.lastNeeds
}

// The machine list states an odd capacity of one machine: all services seem to need hardly any machine, or all.
func TestCapacityOfOneMachineChangesTheNeedsOfAllServices(t *testing.T) {
	want := needsWith(t, func(*simFleet) {})
	assert.Equal(t, want[0].present, 14)
	for _, cpu := range []int64{math.MaxInt64, 1e12, math.MinInt64, 0, 1} {
		got := needsWith(t, func(f *simFleet) { f.machines[f.ids[20]].Capacity.MilliCPU = cpu })
		assert.Equal(t, fmt.Sprint(got), fmt.Sprint(want), "%d", cpu)
	}
}

// Machines of pools without a configuration or a load can't be moved. Where they are allocated to services, these
// wait for machines that don't come, and are not called exhausted.
func TestMachinesThatCannotBeMovedAreAllocated(t *testing.T) {
	for _, configured := range []bool{true, false} {
		f := newSimFleet(t, map[cluster.Service]int{"a": 4}, 0)
		f.addMachines("x", 8)
		if configured {
			f.pools = append(f.pools, cluster.Pool{Service: "x"})
		}
		load := f.loads["a"]
		load.InTimeCPU = 8 * 16_000
		f.loads["a"] = load
		f.planner.Plan(f.snapshot())
		assert.DeepEqual(t, f.planner.Exhausted(), []cluster.Service{"a"})
	}
}

// Two machines are listed with the same executor: that it is empty shows nothing about the other machine, where
// another one may have runs.
func TestMachineIsTakenForEvacuatedByTheExecutorOfAnother(t *testing.T) {
	f := newSimFleet(t, map[cluster.Service]int{"a": 4}, 0)
	executor := f.machines[f.ids[0]].Executor
	f.machines[f.ids[1]].Executor = executor
	f.waves = []cluster.Wave{{Number: 1, Duration: 20 * time.Second, MaxDown: 1, Machines: f.ids[1:2]}}
	f.cordons[executor] = ActiveCordon{"a", "1"}
	f.loads["a"].Executors[executor] = shard.ExecutorLoad{Cordoned: true, CordonID: "1"}
	for _, a := range f.planner.Plan(f.snapshot()) {
		assert.Assert(t, a.Kind != Maintain)
	}
}

// A wave names many machines that don't exist: it must not take more of the others at once for that.
func TestWaveIsHurriedByMachinesThatDoNotExist(t *testing.T) {
	started := func(odd int) int {
		f := newSimFleet(t, map[cluster.Service]int{"a": 24}, 0)
		wave := cluster.Wave{Number: 1, Duration: time.Minute, MaxDown: math.MaxInt, Machines: slices.Clone(f.ids[:6])}
		for i := range odd {
			wave.Machines = append(wave.Machines, cluster.MachineID(fmt.Sprintf("odd-%d", i)))
		}
		f.waves = []cluster.Wave{wave}
		f.planner.Plan(f.snapshot())
		return len(f.planner.operations)
	}
	assert.Equal(t, started(10_000), started(0))
}

// A load or a wave with numbers at the ends of their ranges must not make a need negative, whatever the machine
// makes of a conversion that overflows.
func TestNumbersAtTheEndsOfTheirRangesOverflowANeed(t *testing.T) {
	for _, odd := range []int64{math.MaxInt64, math.MinInt64} {
		f := newSimFleet(t, map[cluster.Service]int{"a": 4, "b": 4, "c": 4}, 4)
		for _, service := range []cluster.Service{"a", "c"} {
			f.loads[service] = shard.Load{
				InTimeCPU: odd, LateCPU: odd, LongRunningCPU: odd, BlockedCPU: odd,
				ArrivedWork: odd, ArrivedJobs: odd, Executors: f.loads[service].Executors,
			}
		}
		load := f.loads["b"]
		load.InTimeCPU = 4 * 16_000
		f.loads["b"] = load
		f.waves = []cluster.Wave{
			{Number: 1, Duration: 0, MaxDown: math.MaxInt, Machines: f.ids[:1]},
			{Number: 2, Duration: math.MaxInt64, MaxDown: math.MaxInt, Machines: f.ids[:2]},
			{Number: 3, Duration: math.MinInt64, MaxDown: math.MinInt, Machines: f.ids[:2]},
		}
		for range 3 {
			f.planner.Plan(f.snapshot())
			f.now = f.now.Add(100 * time.Millisecond)
			for _, n := range f.planner.lastNeeds {
				assert.Assert(t, n.minimum >= minPoolMachines && n.share >= n.minimum, "%+v", n)
				assert.Assert(t, n.present >= n.minimum && n.rising >= n.minimum && n.all >= n.minimum, "%+v", n)
				assert.Assert(t, n.share <= len(f.ids), "%+v", n)
				assert.Assert(t, n.service == "b" || odd < 0 || n.present >= len(f.ids), "%+v", n)
			}
		}
	}
}
