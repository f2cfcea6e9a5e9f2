package fleetplan

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/job"
	_ "github.com/tarragonreach/tarragonreach/api/rapidseed"
	"github.com/tarragonreach/tarragonreach/policy/shard"
)

// simFleet simulates a fleet in virtual time and carries out the planner's actions.
type simFleet struct {
	t             testingT
	now           time.Time
	planner       *Planner
	pools         []cluster.Pool
	machines      map[cluster.MachineID]*cluster.Machine
	ids           []cluster.MachineID
	loads         map[cluster.Service]shard.Load
	cordons       map[cluster.ExecutorID]ActiveCordon
	cordonsSet    int
	waves         []cluster.Wave
	upAt          map[cluster.MachineID]time.Time
	executorCount int
	moves         int
	maintained    map[cluster.MachineID]int
	reports       []cluster.WaveState
	// unlisted holds the executors that the loads don't list though their machines are up.
	unlisted map[cluster.ExecutorID]bool
	// loadsOutageSince is since when no loads can be read; zero if they can.
	loadsOutageSince time.Time
}

type testingT interface {
	Helper()
	Fatalf(format string, args ...any)
}

var testLimits = Limits{MaintenanceTime: 2 * time.Second, MoveTime: 1500 * time.Millisecond, MoveCost: 0.088, MachineSecondCost: 0.078}

func newSimFleet(t testingT, sizes map[cluster.Service]int, spare int) *simFleet {
	f := &simFleet{
		t: t, now: time.Unix(1000, 0), planner: New(testLimits),
		machines: map[cluster.MachineID]*cluster.Machine{}, loads: map[cluster.Service]shard.Load{},
		cordons: map[cluster.ExecutorID]ActiveCordon{}, upAt: map[cluster.MachineID]time.Time{}, maintained: map[cluster.MachineID]int{},
	}
	for _, service := range []cluster.Service{"a", "b", "c", "d"} {
		if n := sizes[service]; n > 0 {
			f.pools = append(f.pools, cluster.Pool{Service: service})
			f.addMachines(service, n)
			f.loads[service] = shard.Load{Executors: map[cluster.ExecutorID]shard.ExecutorLoad{}}
		}
	}
	f.pools = append(f.pools, cluster.Pool{Service: "spare", Spare: true})
	f.addMachines("spare", spare)
	f.refreshLoads()
	return f
}

func (f *simFleet) addMachines(pool cluster.Service, n int) {
	for range n {
		id := cluster.MachineID(fmt.Sprintf("m-%02d", len(f.ids)))
		f.ids = append(f.ids, id)
		m := &cluster.Machine{ID: id, Pool: pool, State: cluster.MachineUp, Capacity: job.Resources{MilliCPU: 16000}}
		f.machines[id] = m
		f.bringUp(m)
	}
}

func (f *simFleet) bringUp(m *cluster.Machine) {
	m.State = cluster.MachineUp
	m.Executor = ""
	if m.Pool != "spare" {
		f.executorCount++
		m.Executor = cluster.ExecutorID(fmt.Sprintf("i-%03d", f.executorCount))
	}
}

// refreshLoads makes the loads list the current executors; new ones are idle.
func (f *simFleet) refreshLoads() {
	for service, load := range f.loads {
		executors := map[cluster.ExecutorID]shard.ExecutorLoad{}
		for _, m := range f.machines {
			if m.Pool == service && m.Executor != "" && m.State == cluster.MachineUp && !f.unlisted[m.Executor] {
				x := load.Executors[m.Executor]
				cordon, cordoned := f.cordons[m.Executor]
				x.Cordoned, x.CordonID = cordoned, cordon.ID
				executors[m.Executor] = x
			}
		}
		load.Executors = executors
		f.loads[service] = load
	}
}

// loadsReadAt returns when the loads were last read.
func (f *simFleet) loadsReadAt() time.Time {
	if f.loadsOutageSince.IsZero() {
		return f.now
	}
	return f.loadsOutageSince
}

func (f *simFleet) snapshot() Snapshot {
	s := Snapshot{Now: f.now, ListedAt: f.now, Pools: f.pools, Loads: f.loads, LoadsReadAt: f.loadsReadAt(), Waves: f.waves, Cordons: f.cordons}
	for _, id := range f.ids {
		s.Machines = append(s.Machines, *f.machines[id])
	}
	return s
}

// step plans once and carries the actions out; respond gives the outcome of each call.
func (f *simFleet) step(respond func(Action) Outcome) {
	for id, at := range f.upAt {
		if !f.now.Before(at) {
			delete(f.upAt, id)
			f.bringUp(f.machines[id])
		}
	}
	f.refreshLoads()
	for _, a := range f.planner.Plan(f.snapshot()) {
		switch a.Kind {
		case Cordon:
			f.cordonsSet++
			f.cordons[a.Executor] = ActiveCordon{a.Service, fmt.Sprint(f.cordonsSet)}
		case Uncordon:
			delete(f.cordons, a.Executor)
		case Report:
			f.reports = append(f.reports, a.State)
		default:
			f.carryOut(a, respond)
		}
	}
	f.now = f.now.Add(100 * time.Millisecond)
}

func (f *simFleet) carryOut(a Action, respond func(Action) Outcome) {
	f.t.Helper()
	outcome := respond(a)
	if outcome == Refused {
		f.planner.HandleResult(a, outcome, f.now)
		return
	}
	m := f.machines[a.Machine]
	if m.State != cluster.MachineUp {
		f.t.Fatalf("%s of %s, which is %s", a.Kind, a.Machine, m.State)
	}
	if m.Executor != "" && f.cordons[m.Executor].ID == "" {
		f.t.Fatalf("%s of %s, whose executor was not evacuated", a.Kind, a.Machine)
	}
	if a.Kind == Maintain {
		f.maintained[a.Machine]++
		m.State = cluster.MachineMaintenance
		f.upAt[a.Machine] = f.now.Add(testLimits.MaintenanceTime)
		for _, wave := range f.waves {
			if down := f.underMaintenance(wave); down > wave.MaxDown {
				f.t.Fatalf("%d machines of a wave are down, at most %d may be", down, wave.MaxDown)
			}
		}
	} else {
		f.moves++
		m.Pool = a.Service
		m.State = cluster.MachineMoving
		f.upAt[a.Machine] = f.now.Add(testLimits.MoveTime)
	}
	f.planner.HandleResult(a, outcome, f.now)
}

func (f *simFleet) underMaintenance(wave cluster.Wave) int {
	n := 0
	for _, id := range wave.Machines {
		if f.machines[id].State == cluster.MachineMaintenance {
			n++
		}
	}
	return n
}

func (f *simFleet) poolSize(pool cluster.Service) int {
	n := 0
	for _, m := range f.machines {
		if m.Pool == pool {
			n++
		}
	}
	return n
}

func accept(Action) Outcome { return Accepted }

// A service's demand rises above the capacity of its pool: machines come from the spare
// pool within one plan, and return when the demand is over.
func TestMachinesFollowTheDemandAndReturn(t *testing.T) {
	f := newSimFleet(t, map[cluster.Service]int{"a": 4, "b": 4}, 8)
	f.loads["a"] = shard.Load{InTimeCPU: 9 * 16000, Executors: f.loads["a"].Executors}
	f.step(accept)
	f.step(accept)
	assert.Equal(t, f.poolSize("a"), 9)
	f.loads["a"] = shard.Load{Executors: f.loads["a"].Executors}
	for range 60 {
		f.step(accept)
	}
	assert.Equal(t, f.poolSize("a"), minPoolMachines)
	assert.Equal(t, f.poolSize("b"), minPoolMachines)
}

// Two services need more machines than there are: those for jobs that can be in time are
// allocated in proportion, and late jobs get only a small share.
func TestScarceMachinesGoToJobsThatCanBeInTime(t *testing.T) {
	needs := []need{
		{service: "a", minimum: 2, inTime: 22, all: 22},
		{service: "b", minimum: 2, inTime: 12, all: 12},
		{service: "c", minimum: 2, late: 28, inTime: 2, all: 30},
	}
	allocate(needs, 24)
	assert.Equal(t, needs[0].share+needs[1].share+needs[2].share, 24)
	assert.Equal(t, needs[0].share, 12)
	assert.Equal(t, needs[1].share, 7)
	assert.Equal(t, needs[2].share, 5) // its minimum and lateReserve
}

// A peak of a is predicted and does not come; one of c is rising. The jobs of b that are there
// get their machines, c what it will need, and a only what is left.
func TestExpectedJobsComeAfterPresentOnes(t *testing.T) {
	needs := []need{
		{service: "a", minimum: 2, present: 2, rising: 2, inTime: 40, all: 40},
		{service: "b", minimum: 2, present: 20, rising: 20, inTime: 20, all: 20},
		{service: "c", minimum: 2, present: 4, rising: 12, inTime: 12, all: 12},
	}
	allocate(needs, 42)
	assert.Equal(t, needs[1].share, 20)
	assert.Equal(t, needs[2].share, 12)
	assert.Equal(t, needs[0].share, 10) // lateReserve serves nobody here
}

func TestSharesKeepToTheirBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var needs []need
		minimums := 0
		for range rapid.IntRange(1, 6).Draw(t, "services") {
			n := need{minimum: rapid.IntRange(0, 4).Draw(t, "minimum")}
			n.present = n.minimum + rapid.IntRange(0, 20).Draw(t, "present")
			n.rising = n.present + rapid.IntRange(0, 20).Draw(t, "rising")
			n.inTime = n.rising + rapid.IntRange(0, 20).Draw(t, "expected")
			n.late = rapid.IntRange(0, 30).Draw(t, "late")
			n.all = n.inTime + n.late
			minimums += n.minimum
			needs = append(needs, n)
		}
		machines := minimums + rapid.IntRange(0, 80).Draw(t, "machines")
		allocate(needs, machines)
		total := 0
		short := false
		for _, n := range needs {
			total += n.share
			short = short || n.share < n.inTime
			if n.share < n.minimum || n.share > n.all {
				t.Fatalf("share %d of %+v", n.share, n)
			}
		}
		if total > machines {
			t.Fatalf("%d machines allocated, %d exist", total, machines)
		}
		if short && total < machines {
			t.Fatalf("%d machines not allocated while jobs wait", machines-total)
		}
	})
}

// Machines for which an earlier holder of the duty may have sent a command get no other.
func TestReservedMachinesGetNoCommands(t *testing.T) {
	f := newSimFleet(t, map[cluster.Service]int{"a": 2}, 2)
	f.loads["a"] = shard.Load{InTimeCPU: 4 * 16000, Executors: f.loads["a"].Executors}
	until := f.now.Add(3 * time.Second)
	for _, machine := range f.ids {
		f.planner.Reserve(machine, until)
	}
	for f.now.Before(until) {
		f.step(accept)
		assert.Equal(t, f.moves, 0)
	}
	f.step(accept)
	assert.Equal(t, f.moves, 2)
}

// Jobs of another service need a machine on which tasks run: it is evacuated, and its late
// jobs are preempted, only if those other jobs can be in time.
func TestLateJobsArePreemptedOnlyForJobsInTime(t *testing.T) {
	for _, inTime := range []bool{true, false} {
		f := newSimFleet(t, map[cluster.Service]int{"a": 4, "b": 12}, 0)
		a := shard.Load{Executors: f.loads["a"].Executors}
		if inTime {
			a.InTimeCPU = 10 * 16000
		} else {
			a.LateCPU = 14 * 16000
		}
		f.loads["a"] = a
		for id, x := range f.loads["b"].Executors {
			x.Runs = 1
			f.loads["b"].Executors[id] = x
		}
		cordons := 0
		for _, action := range f.planner.Plan(f.snapshot()) {
			if action.Kind == Cordon {
				cordons++
				assert.Assert(t, action.Preempt)
			}
		}
		assert.Equal(t, cordons > 0, inTime)
	}
}

// A moved machine's old executor stays listed for a while: its cordon must not be revoked
// until its owner has dropped it.
func TestLostExecutorStaysCordoned(t *testing.T) {
	f := newSimFleet(t, map[cluster.Service]int{"a": 2, "b": 3}, 0)
	f.cordons["i-lost"] = ActiveCordon{"b", "1"}
	f.cordons["i-001"] = ActiveCordon{"a", "2"} // exists, and has no operation
	f.loads["b"].Executors["i-lost"] = shard.ExecutorLoad{Cordoned: true}
	uncordoned := func() []cluster.ExecutorID {
		var list []cluster.ExecutorID
		for _, action := range f.planner.Plan(f.snapshot()) {
			if action.Kind == Uncordon {
				list = append(list, action.Executor)
			}
		}
		return list
	}
	assert.DeepEqual(t, uncordoned(), []cluster.ExecutorID{"i-001"})
	delete(f.loads["b"].Executors, "i-lost")
	assert.DeepEqual(t, uncordoned(), []cluster.ExecutorID{"i-001", "i-lost"})
}

// A new holder of the duty finds machines that its predecessor evacuated: they move at
// once. A machine whose cordon was just revoked may have got work since, and doesn't.
func TestMachinesEvacuatedByThePredecessorMoveAtOnce(t *testing.T) {
	for _, inForce := range []bool{true, false} {
		f := newSimFleet(t, map[cluster.Service]int{"a": 2, "b": 6}, 0)
		f.loads["a"] = shard.Load{InTimeCPU: 6 * 16000, Executors: f.loads["a"].Executors}
		for id, x := range f.loads["b"].Executors {
			x.Cordoned, x.CordonID = true, "1"
			f.loads["b"].Executors[id] = x
			if inForce {
				f.cordons[id] = ActiveCordon{"b", "1"}
			}
		}
		moves := 0
		for _, action := range f.planner.Plan(f.snapshot()) {
			if action.Kind == Move {
				moves++
			}
		}
		assert.Equal(t, moves == 4, inForce, "%d moves", moves)
		assert.Equal(t, moves == 0, !inForce, "%d moves", moves)
	}
}

// Late jobs get machines that have been idle for minIdleTime, and none that are busy or
// that became idle by a short dip of another service's need.
func TestLateJobsTakeOnlyLongIdleMachines(t *testing.T) {
	f := newSimFleet(t, map[cluster.Service]int{"a": 2, "b": 8}, 0)
	f.loads["a"] = shard.Load{LateCPU: 8 * 16000, Executors: f.loads["a"].Executors}
	busy := 0
	for id, x := range f.loads["b"].Executors {
		if busy < 4 {
			x.Runs, busy = 1, busy+1
		}
		f.loads["b"].Executors[id] = x
	}
	f.step(accept)
	assert.Equal(t, f.moves, 0)
	for range 12 {
		f.step(accept)
	}
	assert.Equal(t, f.moves, 4)
}

// The long-running tasks of a service need four executors, and its owner can't use one of
// the four that it has: after a while the pool gets one further machine. An executor that is
// unusable for a moment only, as one that starts, is not replaced.
func TestPoolGetsAMachineInPlaceOfAnUnusableOne(t *testing.T) {
	for name, c := range map[string]struct {
		unlisted bool
		lasts    time.Duration
		wanted   int
	}{
		"unusable":                {false, 30 * time.Second, 5},
		"unusable for a moment":   {false, unusableTime / 2, 4},
		"not listed by its owner": {true, 30 * time.Second, 5},
		"not listed for a moment": {true, unusableTime / 2, 4},
	} {
		t.Run(name, func(t *testing.T) {
			f := newSimFleet(t, map[cluster.Service]int{"a": 4}, 4)
			load := f.loads["a"]
			load.MinExecutors = 4
			f.loads["a"] = load
			const unusable = cluster.ExecutorID("i-001")
			f.unlisted = map[cluster.ExecutorID]bool{unusable: c.unlisted}
			load.Executors[unusable] = shard.ExecutorLoad{Unusable: true}
			for until := f.now.Add(c.lasts); f.now.Before(until); {
				f.step(accept)
			}
			f.unlisted = nil
			f.loads["a"].Executors[unusable] = shard.ExecutorLoad{}
			f.step(accept)
			assert.Equal(t, f.poolSize("a"), c.wanted)
		})
	}
}

// While the loads can't be read, nothing is known of the executors: no machine is replaced.
func TestNoMachineIsReplacedWhileLoadsAreUnknown(t *testing.T) {
	f := newSimFleet(t, map[cluster.Service]int{"a": 4}, 4)
	load := f.loads["a"]
	load.MinExecutors = 4
	f.loads["a"] = load
	load.Executors["i-001"] = shard.ExecutorLoad{Unusable: true}
	f.step(accept)
	f.loadsOutageSince = f.now
	for range 200 {
		f.step(accept)
	}
	assert.Equal(t, f.poolSize("a"), 4)
}

// An owner reaches none of its executors, as when it is cut off itself: only a share of the
// pool is replaced.
func TestFewMachinesAreReplacedWhereAllAreUnusable(t *testing.T) {
	f := newSimFleet(t, map[cluster.Service]int{"a": 8}, 8)
	load := f.loads["a"]
	load.MinExecutors = 8
	f.loads["a"] = load
	for range 300 {
		for id, x := range f.loads["a"].Executors {
			x.Unusable = true
			f.loads["a"].Executors[id] = x
		}
		f.step(accept)
	}
	assert.Equal(t, f.poolSize("a"), 10)
}

// Jobs beyond the rates of their tenants get machines only where no other service needs them for work
// within the rates, be it in time or late: nothing of lateReserve either.
func TestExcessJobsTakeNoMachineThatOthersNeed(t *testing.T) {
	excess := shard.Load{LateCPU: 20 * 16000, ExcessCPU: 20 * 16000}
	for _, c := range []struct {
		name  string
		other shard.Load
		moves int
	}{
		{"in time", shard.Load{InTimeCPU: 10 * 16000}, 0},
		{"late", shard.Load{LateCPU: 12 * 16000}, 0}, // lateShare of it
		{"nothing", shard.Load{}, 8},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newSimFleet(t, map[cluster.Service]int{"a": 2, "b": 10}, 0)
			excess.Executors, c.other.Executors = f.loads["a"].Executors, f.loads["b"].Executors
			f.loads["a"], f.loads["b"] = excess, c.other
			for range 12 {
				f.step(accept)
			}
			assert.Equal(t, f.moves, c.moves)
		})
	}
}

// Owners reject jobs of services that the planner calls exhausted: that must not include one whose need
// the fleet can meet, though its machines have yet to come.
func TestServiceIsExhaustedOnlyWhereTheFleetHasNoMoreMachines(t *testing.T) {
	f := newSimFleet(t, map[cluster.Service]int{"a": 4, "b": 4}, 4)
	cpu := int64(f.machines[f.ids[0]].Capacity.MilliCPU)
	load := f.loads["a"]
	load.InTimeCPU = 8 * cpu
	f.loads["a"] = load
	f.planner.Plan(f.snapshot())
	assert.Equal(t, len(f.planner.Exhausted()), 0)
	load.InTimeCPU = 20 * cpu
	f.loads["a"] = load
	f.planner.Plan(f.snapshot())
	assert.DeepEqual(t, f.planner.Exhausted(), []cluster.Service{"a"})
}
