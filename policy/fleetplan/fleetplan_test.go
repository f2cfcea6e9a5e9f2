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

// yard is a fleet in virtual time: it carries out what the planner decides.
type yard struct {
	t        fataler
	now      time.Time
	planner  *Planner
	pools    []cluster.Pool
	machines map[cluster.MachineID]*cluster.Machine
	order    []cluster.MachineID
	loads    map[cluster.Service]shard.Load
	cordons  map[cluster.ExecutorID]cluster.Service
	waves    []cluster.Wave
	back     map[cluster.MachineID]time.Time
	lives    int
	moves    int
	begun    map[cluster.MachineID]int
	reports  []cluster.WaveState
}

type fataler interface {
	Helper()
	Fatalf(format string, args ...any)
}

var yardLimits = Limits{MaintenanceTime: 2 * time.Second, MoveTime: 1500 * time.Millisecond, MoveCost: 0.088, MachineSecondCost: 0.078}

func newYard(t fataler, sizes map[cluster.Service]int, spare int) *yard {
	y := &yard{
		t: t, now: time.Unix(1000, 0), planner: New(yardLimits),
		machines: map[cluster.MachineID]*cluster.Machine{}, loads: map[cluster.Service]shard.Load{},
		cordons: map[cluster.ExecutorID]cluster.Service{}, back: map[cluster.MachineID]time.Time{}, begun: map[cluster.MachineID]int{},
	}
	for _, service := range []cluster.Service{"a", "b", "c", "d"} {
		if n := sizes[service]; n > 0 {
			y.pools = append(y.pools, cluster.Pool{Service: service})
			y.add(service, n)
			y.loads[service] = shard.Load{Executors: map[cluster.ExecutorID]shard.ExecutorLoad{}}
		}
	}
	y.pools = append(y.pools, cluster.Pool{Service: "spare", Spare: true})
	y.add("spare", spare)
	y.refresh()
	return y
}

func (y *yard) add(pool cluster.Service, n int) {
	for range n {
		id := cluster.MachineID(fmt.Sprintf("m-%02d", len(y.order)))
		y.order = append(y.order, id)
		m := &cluster.Machine{ID: id, Pool: pool, State: cluster.MachineUp, Capacity: job.Resources{MilliCPU: 16000}}
		y.machines[id] = m
		y.rise(m)
	}
}

func (y *yard) rise(m *cluster.Machine) {
	m.State = cluster.MachineUp
	m.Executor = ""
	if m.Pool != "spare" {
		y.lives++
		m.Executor = cluster.ExecutorID(fmt.Sprintf("i-%03d", y.lives))
	}
}

// refresh makes the loads name the executors that there are, all idle.
func (y *yard) refresh() {
	for service, load := range y.loads {
		executors := map[cluster.ExecutorID]shard.ExecutorLoad{}
		for _, m := range y.machines {
			if m.Pool == service && m.Executor != "" && m.State == cluster.MachineUp {
				x := load.Executors[m.Executor]
				x.Cordoned = y.cordons[m.Executor] != ""
				executors[m.Executor] = x
			}
		}
		load.Executors = executors
		y.loads[service] = load
	}
}

func (y *yard) snapshot() Snapshot {
	s := Snapshot{Now: y.now, Pools: y.pools, Loads: y.loads, Waves: y.waves, Cordons: y.cordons}
	for _, id := range y.order {
		s.Machines = append(s.Machines, *y.machines[id])
	}
	return s
}

// step plans once and carries the actions out; refuse may refuse calls.
func (y *yard) step(refuse func(Action) Outcome) {
	for id, at := range y.back {
		if !y.now.Before(at) {
			delete(y.back, id)
			y.rise(y.machines[id])
		}
	}
	y.refresh()
	for _, a := range y.planner.Plan(y.snapshot()) {
		switch a.Kind {
		case Cordon:
			y.cordons[a.Executor] = a.Service
		case Uncordon:
			delete(y.cordons, a.Executor)
		case Report:
			y.reports = append(y.reports, a.State)
		default:
			y.call(a, refuse)
		}
	}
	y.now = y.now.Add(100 * time.Millisecond)
}

func (y *yard) call(a Action, refuse func(Action) Outcome) {
	y.t.Helper()
	outcome := refuse(a)
	if outcome == Refused {
		y.planner.HandleResult(a, outcome, y.now)
		return
	}
	m := y.machines[a.Machine]
	if m.State != cluster.MachineUp {
		y.t.Fatalf("%s of %s, which is %s", a.Kind, a.Machine, m.State)
	}
	if m.Executor != "" && y.cordons[m.Executor] == "" {
		y.t.Fatalf("%s of %s, whose executor was not emptied", a.Kind, a.Machine)
	}
	if a.Kind == Maintain {
		y.begun[a.Machine]++
		m.State = cluster.MachineMaintenance
		y.back[a.Machine] = y.now.Add(yardLimits.MaintenanceTime)
		for _, wave := range y.waves {
			if down := y.underMaintenance(wave); down > wave.MaxDown {
				y.t.Fatalf("%d machines of a wave are down, %d may be", down, wave.MaxDown)
			}
		}
	} else {
		y.moves++
		m.Pool = a.Service
		m.State = cluster.MachineMoving
		y.back[a.Machine] = y.now.Add(yardLimits.MoveTime)
	}
	y.planner.HandleResult(a, outcome, y.now)
}

func (y *yard) underMaintenance(wave cluster.Wave) int {
	n := 0
	for _, id := range wave.Machines {
		if y.machines[id].State == cluster.MachineMaintenance {
			n++
		}
	}
	return n
}

func (y *yard) size(pool cluster.Service) int {
	n := 0
	for _, m := range y.machines {
		if m.Pool == pool {
			n++
		}
	}
	return n
}

func agree(Action) Outcome { return Accepted }

// A service's demand rises to what its pool can't hold: machines come from the spare
// pool within a plan, and go back when it is over.
func TestMachinesFollowTheDemandAndReturn(t *testing.T) {
	y := newYard(t, map[cluster.Service]int{"a": 4, "b": 4}, 8)
	y.loads["a"] = shard.Load{InTimeCPU: 9 * 16000, Executors: y.loads["a"].Executors}
	y.step(agree)
	y.step(agree)
	assert.Equal(t, y.size("a"), 9)
	y.loads["a"] = shard.Load{Executors: y.loads["a"].Executors}
	for range 60 {
		y.step(agree)
	}
	assert.Equal(t, y.size("a"), leastMachines)
	assert.Equal(t, y.size("b"), leastMachines)
}

// Two services want more than there is: what can be in time is divided in proportion,
// and late work gets little of it.
func TestScarceMachinesGoToJobsThatCanBeInTime(t *testing.T) {
	needs := []need{
		{service: "a", least: 2, inTime: 22, all: 22},
		{service: "b", least: 2, inTime: 12, all: 12},
		{service: "c", least: 2, late: 28, inTime: 2, all: 30},
	}
	share(needs, 24)
	assert.Equal(t, needs[0].share+needs[1].share+needs[2].share, 24)
	assert.Equal(t, needs[0].share, 12)
	assert.Equal(t, needs[1].share, 7)
	assert.Equal(t, needs[2].share, 5) // its least and lateRoom
}

func TestSharesKeepToTheirBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var needs []need
		least := 0
		for range rapid.IntRange(1, 6).Draw(t, "services") {
			n := need{least: rapid.IntRange(0, 4).Draw(t, "least")}
			n.inTime = n.least + rapid.IntRange(0, 30).Draw(t, "in time")
			n.late = rapid.IntRange(0, 30).Draw(t, "late")
			n.all = n.inTime + n.late
			least += n.least
			needs = append(needs, n)
		}
		machines := least + rapid.IntRange(0, 80).Draw(t, "machines")
		share(needs, machines)
		total := 0
		short := false
		for _, n := range needs {
			total += n.share
			short = short || n.share < n.inTime
			if n.share < n.least || n.share > n.all {
				t.Fatalf("share %d of %+v", n.share, n)
			}
		}
		if total > machines {
			t.Fatalf("%d of %d machines shared", total, machines)
		}
		if short && total < machines {
			t.Fatalf("%d machines left over while jobs wait", machines-total)
		}
	})
}

// Machines for which an earlier holder may have ordered something are left alone.
func TestReservedMachinesAreNotOrdered(t *testing.T) {
	y := newYard(t, map[cluster.Service]int{"a": 2}, 2)
	y.loads["a"] = shard.Load{InTimeCPU: 4 * 16000, Executors: y.loads["a"].Executors}
	until := y.now.Add(3 * time.Second)
	for _, machine := range y.order {
		y.planner.Reserve(machine, until)
	}
	for y.now.Before(until) {
		y.step(agree)
		assert.Equal(t, y.moves, 0)
	}
	y.step(agree)
	assert.Equal(t, y.moves, 2)
}

// A machine with tasks is wanted for jobs of another service: it is emptied, and its
// late jobs give way, only where those jobs can be in time.
func TestLateJobsGiveWayOnlyToJobsInTime(t *testing.T) {
	for _, inTime := range []bool{true, false} {
		y := newYard(t, map[cluster.Service]int{"a": 4, "b": 12}, 0)
		a := shard.Load{Executors: y.loads["a"].Executors}
		if inTime {
			a.InTimeCPU = 10 * 16000
		} else {
			a.LateCPU = 14 * 16000
		}
		y.loads["a"] = a
		for id, x := range y.loads["b"].Executors {
			x.Runs = 1
			y.loads["b"].Executors[id] = x
		}
		cordons := 0
		for _, action := range y.planner.Plan(y.snapshot()) {
			if action.Kind == Cordon {
				cordons++
				assert.Assert(t, action.Preempt)
			}
		}
		assert.Equal(t, cordons > 0, inTime)
	}
}

// A moved machine's old executor stays listed for a while: its owner must not get it
// back meanwhile.
func TestExecutorThatIsGoneStaysUnderItsCordon(t *testing.T) {
	y := newYard(t, map[cluster.Service]int{"a": 2, "b": 3}, 0)
	y.cordons["i-gone"] = "b"
	y.cordons["i-001"] = "a" // lives, and nothing is planned for it
	y.loads["b"].Executors["i-gone"] = shard.ExecutorLoad{Cordoned: true}
	lifted := func() []cluster.ExecutorID {
		var list []cluster.ExecutorID
		for _, action := range y.planner.Plan(y.snapshot()) {
			if action.Kind == Uncordon {
				list = append(list, action.Executor)
			}
		}
		return list
	}
	assert.DeepEqual(t, lifted(), []cluster.ExecutorID{"i-001"})
	delete(y.loads["b"].Executors, "i-gone")
	assert.DeepEqual(t, lifted(), []cluster.ExecutorID{"i-001", "i-gone"})
}

// A new holder finds machines emptied by the last one: they move at once. One whose
// cordon was just taken back may have got work since.
func TestMachinesThatTheLastHolderEmptiedMoveAtOnce(t *testing.T) {
	for _, inForce := range []bool{true, false} {
		y := newYard(t, map[cluster.Service]int{"a": 2, "b": 6}, 0)
		y.loads["a"] = shard.Load{InTimeCPU: 6 * 16000, Executors: y.loads["a"].Executors}
		for id, x := range y.loads["b"].Executors {
			x.Cordoned = true
			y.loads["b"].Executors[id] = x
			if inForce {
				y.cordons[id] = "b"
			}
		}
		moves := 0
		for _, action := range y.planner.Plan(y.snapshot()) {
			if action.Kind == Move {
				moves++
			}
		}
		assert.Equal(t, moves == 4, inForce, "%d moves", moves)
		assert.Equal(t, moves == 0, !inForce, "%d moves", moves)
	}
}

// Late jobs get machines that have been idle for a while, and none that work or were
// just left by a passing dip of another service's need.
func TestLateJobsTakeOnlyRestedMachines(t *testing.T) {
	y := newYard(t, map[cluster.Service]int{"a": 2, "b": 8}, 0)
	y.loads["a"] = shard.Load{LateCPU: 8 * 16000, Executors: y.loads["a"].Executors}
	busy := 0
	for id, x := range y.loads["b"].Executors {
		if busy < 4 {
			x.Runs, busy = 1, busy+1
		}
		y.loads["b"].Executors[id] = x
	}
	y.step(agree)
	assert.Equal(t, y.moves, 0)
	for range 12 {
		y.step(agree)
	}
	assert.Equal(t, y.moves, 4)
}
