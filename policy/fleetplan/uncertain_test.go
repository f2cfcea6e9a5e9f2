package fleetplan

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/policy/shard"
)

// uncertainFleet is a fleet of which the planner sees little for certain: results of calls
// arrive late, lists are old or incomplete, loads are old, and executors crash. It checks
// that no call ends a task and that a wave is reported as completed only once each of its
// machines has been maintained.
type uncertainFleet struct {
	*simFleet
	rt     *rapid.T
	list   []cluster.Machine // as the planner last received it
	listed time.Time
	// incomplete is set if the list is marked as incomplete.
	incomplete bool
	results    []lateResult
	owners     map[cluster.ExecutorID]*executorTasks
	stored     map[cluster.Service]shard.Load // loads as the planner reads them
}

type lateResult struct {
	at    time.Time
	apply func()
}

// executorTasks is what the owner of a service knows of one executor.
type executorTasks struct {
	cordon  ActiveCordon // as the owner has applied it
	running int
}

func newUncertainFleet(t *rapid.T) *uncertainFleet {
	f := &uncertainFleet{
		simFleet: newSimFleet(t, map[cluster.Service]int{"a": 5, "b": 5}, 4), rt: t,
		owners: map[cluster.ExecutorID]*executorTasks{}, stored: map[cluster.Service]shard.Load{},
	}
	wave := cluster.Wave{Number: 1, Duration: 25 * time.Second, MaxDown: rapid.IntRange(1, 4).Draw(t, "max down")}
	for i, id := range f.ids {
		if i == 0 || rapid.Bool().Draw(t, "in the wave") {
			wave.Machines = append(wave.Machines, id)
		}
	}
	f.waves = []cluster.Wave{wave}
	return f
}

func (f *uncertainFleet) chance(label string, oneIn int) bool {
	return rapid.IntRange(1, oneIn).Draw(f.rt, label) == 1
}

// bringMachinesUp ends moves and maintenance, and lets executors crash.
func (f *uncertainFleet) bringMachinesUp() {
	for _, id := range f.ids {
		m := f.machines[id]
		if at, pending := f.upAt[id]; pending && !f.now.Before(at) {
			delete(f.upAt, id)
			f.bringUp(m)
		} else if m.State == cluster.MachineUp && m.Executor != "" && f.chance("crash", 300) {
			delete(f.owners, m.Executor)
			f.bringUp(m)
		}
	}
}

// runOwners lets the owners apply cordons and start and end tasks, and store their loads.
func (f *uncertainFleet) runOwners() {
	for _, service := range []cluster.Service{"a", "b"} {
		load := shard.Load{Executors: map[cluster.ExecutorID]shard.ExecutorLoad{}}
		if f.chance("peak", 3) {
			load.InTimeCPU = int64(rapid.IntRange(0, 9).Draw(f.rt, "machines needed")) * 16000
		} else {
			load.InTimeCPU = f.stored[service].InTimeCPU
		}
		for _, id := range f.ids {
			m := f.machines[id]
			if m.Pool != service || m.State != cluster.MachineUp || m.Executor == "" {
				continue
			}
			o := f.owners[m.Executor]
			if o == nil {
				o = &executorTasks{}
				f.owners[m.Executor] = o
			}
			if f.chance("cordon noticed", 3) {
				o.cordon = f.cordons[m.Executor]
			}
			switch {
			case o.running > 0 && f.chance("task ends", 4):
				o.running--
			case o.cordon.ID == "" && f.chance("task starts", 4):
				o.running++
			}
			load.Executors[m.Executor] = shard.ExecutorLoad{Runs: o.running, Cordoned: o.cordon.ID != "", CordonID: o.cordon.ID}
		}
		if f.chance("load stored", 2) {
			f.stored[service] = load
		}
	}
}

// refreshList gives the planner a new list, which may lack machines on their way, and any machine if it
// is marked as incomplete.
func (f *uncertainFleet) refreshList() {
	if !f.listed.IsZero() && !f.chance("list arrives", rapid.SampledFrom([]int{1, 1, 4, 30}).Draw(f.rt, "list rate")) {
		return
	}
	f.list, f.listed, f.incomplete = nil, f.now, f.chance("incomplete", 4)
	for _, id := range f.ids {
		if m := f.machines[id]; m.State != cluster.MachineMoving && !f.incomplete || !f.chance("missing", 4) {
			f.list = append(f.list, *m)
		}
	}
}

func (f *uncertainFleet) tick() {
	f.bringMachinesUp()
	f.runOwners()
	f.refreshList()
	f.deliverResults()
	s := Snapshot{Now: f.now, Machines: slices.Clone(f.list), Incomplete: f.incomplete, ListedAt: f.listed, Pools: f.pools, Loads: f.stored, LoadsReadAt: f.now, Waves: f.waves, Cordons: f.cordons}
	for _, a := range f.planner.Plan(s) {
		f.apply(a)
	}
	f.now = f.now.Add(100 * time.Millisecond)
}

func (f *uncertainFleet) deliverResults() {
	due := slices.Clone(f.results)
	f.results = slices.DeleteFunc(f.results, func(r lateResult) bool { return !f.now.Before(r.at) })
	for _, r := range due {
		if !f.now.Before(r.at) {
			r.apply()
		}
	}
}

func (f *uncertainFleet) apply(a Action) {
	switch a.Kind {
	case Cordon:
		f.cordonsSet++
		f.cordons[a.Executor] = ActiveCordon{a.Service, fmt.Sprint(f.cordonsSet)}
	case Uncordon:
		delete(f.cordons, a.Executor)
	case Report:
		f.checkReport(a)
	default:
		f.call(a)
	}
}

func (f *uncertainFleet) checkReport(a Action) {
	for _, id := range f.waves[0].Machines {
		if a.State == cluster.WaveCompleted && f.maintained[id] == 0 {
			f.rt.Fatalf("MIXED: the wave is reported as completed, %s was never maintained", id)
		}
	}
	f.reports = append(f.reports, a.State)
}

// call carries a call out, now or after its caller has given up, or not at all.
func (f *uncertainFleet) call(a Action) {
	after := time.Duration(rapid.SampledFrom([]int{0, 0, 100, 1500, 2500}).Draw(f.rt, "result after ms")) * time.Millisecond
	outcome := rapid.SampledFrom([]Outcome{Accepted, Accepted, Accepted, Refused, Unknown}).Draw(f.rt, "outcome")
	switch {
	case outcome == Accepted:
		if !f.execute(a) {
			outcome = Refused
		}
	case outcome == Unknown && f.chance("executed", 2):
		f.execute(a)
	case outcome == Unknown && f.chance("executed late", 2):
		f.results = append(f.results, lateResult{f.now.Add(after + 3*time.Second), func() { f.execute(a) }})
	}
	f.results = append(f.results, lateResult{f.now.Add(after), func() { f.planner.HandleResult(a, outcome, f.now) }})
}

// execute carries a call out and reports whether the machine service accepts it.
func (f *uncertainFleet) execute(a Action) bool {
	m := f.machines[a.Machine]
	switch {
	case a.Kind == Maintain && f.maintained[a.Machine] > 0, a.Kind == Move && m.Pool == a.Service:
		return true // done already
	case m.State != cluster.MachineUp:
		return false
	}
	if o := f.owners[m.Executor]; o != nil && o.running > 0 && m.Executor == a.Executor {
		f.rt.Fatalf("AVAIL: %s of %s ends %d tasks on %s", a.Kind, a.Machine, o.running, m.Executor)
	}
	delete(f.owners, m.Executor)
	if a.Kind == Maintain {
		f.maintained[a.Machine]++
		m.State = cluster.MachineMaintenance
		f.upAt[a.Machine] = f.now.Add(testLimits.MaintenanceTime)
		return true
	}
	m.Pool, m.State = a.Service, cluster.MachineMoving
	f.upAt[a.Machine] = f.now.Add(testLimits.MoveTime)
	return true
}

// Whatever the planner sees late, incompletely or not at all, it ends no task by a call, and
// it reports a wave as completed only when that is true.
func TestUncertainStateIsNotTakenForDone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newUncertainFleet(t)
		for range 300 {
			f.tick()
		}
	})
}

// A move's result arrives after the list has shown the move, when the maintenance of the same
// machine has been planned: it must count neither as accepted nor as refused maintenance.
func TestLateResultOfAMoveIsNotTakenForAMaintenance(t *testing.T) {
	for _, outcome := range []Outcome{Accepted, Refused, Unknown} {
		f := newSimFleet(t, map[cluster.Service]int{"a": 3, "b": 3}, 0)
		f.waves = []cluster.Wave{{Number: 1, Duration: 20 * time.Second, MaxDown: 1, Machines: f.ids[:1]}}
		f.planner.Plan(f.snapshot())
		moved := &operation{kind: Move, to: "b"}
		f.planner.HandleResult(Action{Kind: Move, Machine: f.ids[0], Service: "b", operation: moved}, outcome, f.now)
		op := f.planner.operations[f.ids[0]]
		assert.Assert(t, op != nil && op.kind == Maintain)
		assert.Assert(t, !op.accepted && op.calledAt.IsZero())
		assert.Equal(t, len(f.planner.waves[1].maintenanceStarted), 0)
	}
}

// The response to a maintenance call was lost, and the machine has a new executor because the
// old one crashed: the call must be made again.
func TestNewExecutorDoesNotProveMaintenance(t *testing.T) {
	f := newSimFleet(t, map[cluster.Service]int{"a": 3, "b": 3}, 0)
	f.waves = []cluster.Wave{{Number: 1, Duration: 20 * time.Second, MaxDown: 1, Machines: f.ids[:1]}}
	calls := 0
	for range 100 {
		f.refreshLoads()
		for _, a := range f.planner.Plan(f.snapshot()) {
			switch a.Kind {
			case Cordon:
				f.cordons[a.Executor] = ActiveCordon{a.Service, "1"}
			case Report:
				f.reports = append(f.reports, a.State)
			case Maintain:
				calls++
				f.planner.HandleResult(a, Unknown, f.now)
				f.bringUp(f.machines[a.Machine]) // a new executor
			}
		}
		f.now = f.now.Add(100 * time.Millisecond)
	}
	assert.Assert(t, calls > 1, "the call was not repeated")
	assert.Assert(t, !slices.Contains(f.reports, cluster.WaveCompleted))
}

// The response to a maintenance call was lost, the list shows the machine under maintenance, and its
// executor starts again under the ID that it had: the maintenance is over, and is not repeated.
func TestMaintenanceEndsThoughTheExecutorKeepsItsID(t *testing.T) {
	f := newSimFleet(t, map[cluster.Service]int{"a": 3, "b": 3}, 0)
	f.waves = []cluster.Wave{{Number: 1, Duration: 20 * time.Second, MaxDown: 1, Machines: f.ids[:1]}}
	calls := 0
	var called time.Time
	for range 60 {
		f.refreshLoads()
		m := f.machines[f.ids[0]]
		if !called.IsZero() {
			m.State = cluster.MachineUp
			if f.now.Sub(called) < f.planner.limits.MaintenanceTime {
				m.State = cluster.MachineMaintenance
			}
		}
		for _, a := range f.planner.Plan(f.snapshot()) {
			switch a.Kind {
			case Cordon:
				f.cordons[a.Executor] = ActiveCordon{a.Service, "1"}
			case Report:
				f.reports = append(f.reports, a.State)
			case Maintain:
				calls++
				called = f.now
				f.planner.HandleResult(a, Unknown, f.now)
			}
		}
		f.now = f.now.Add(100 * time.Millisecond)
	}
	assert.Equal(t, calls, 1)
	assert.Assert(t, slices.Contains(f.reports, cluster.WaveCompleted))
}

// A list is incomplete, and no further one arrives for a while: the missing machine does not
// count as removed.
func TestMachineMissingFromTheOnlyListIsNotRemoved(t *testing.T) {
	f := newSimFleet(t, map[cluster.Service]int{"a": 3, "b": 3}, 0)
	f.waves = []cluster.Wave{{Number: 1, Duration: 20 * time.Second, MaxDown: 1, Machines: f.ids[:1]}}
	incomplete := f.snapshot()
	incomplete.Machines = incomplete.Machines[1:]
	report := func(s Snapshot) (completed bool) {
		for _, a := range f.planner.Plan(s) {
			completed = completed || a.Kind == Report && a.State == cluster.WaveCompleted
		}
		return completed
	}
	for range 2 * int(missingTimeout/time.Second) {
		assert.Assert(t, !report(incomplete))
		incomplete.Now = incomplete.Now.Add(time.Second)
	}
	incomplete.ListedAt = incomplete.Now // a second list lacks it as well
	assert.Assert(t, report(incomplete))
}

// A cordon is revoked and set again. The load that confirmed the first one says nothing about
// the second: in between, the owner may have started tasks.
func TestEvacuationIsConfirmedForTheCordonInForce(t *testing.T) {
	f := newSimFleet(t, map[cluster.Service]int{"a": 3, "b": 3}, 0)
	f.waves = []cluster.Wave{{Number: 1, Duration: 20 * time.Second, MaxDown: 1, Machines: f.ids[:1]}}
	executor := f.machines[f.ids[0]].Executor
	f.cordons[executor] = ActiveCordon{"a", "second"}
	f.loads["a"].Executors[executor] = shard.ExecutorLoad{Cordoned: true, CordonID: "first"}
	maintains := func() bool {
		return slices.ContainsFunc(f.planner.Plan(f.snapshot()), func(a Action) bool { return a.Kind == Maintain })
	}
	assert.Assert(t, !maintains())
	f.loads["a"].Executors[executor] = shard.ExecutorLoad{Cordoned: true, CordonID: "second"}
	assert.Assert(t, maintains())
}

// While no new list arrives, an accepted move is not forgotten, and no machine is called.
func TestNoOperationIsConcludedFromAnOldList(t *testing.T) {
	f := newSimFleet(t, map[cluster.Service]int{"a": 3, "b": 3}, 4)
	f.loads["a"] = shard.Load{InTimeCPU: 5 * 16000, Executors: f.loads["a"].Executors}
	old := f.snapshot()
	called := map[cluster.MachineID]int{}
	for range 100 {
		for _, a := range f.planner.Plan(old) {
			if a.Kind == Move {
				called[a.Machine]++
				assert.Equal(t, called[a.Machine], 1)
				f.planner.HandleResult(a, Accepted, old.Now)
			}
		}
		old.Now = old.Now.Add(100 * time.Millisecond)
	}
	assert.Assert(t, len(called) > 0)
}

// The machine list is old: an executor of the list may have been replaced by one that is not
// cordoned, so that no machine is called.
func TestNoCallIsMadeByAnOldList(t *testing.T) {
	f := newSimFleet(t, map[cluster.Service]int{"a": 3, "b": 3}, 0)
	f.waves = []cluster.Wave{{Number: 1, Duration: 20 * time.Second, MaxDown: 1, Machines: f.ids[:1]}}
	executor := f.machines[f.ids[0]].Executor
	f.cordons[executor] = ActiveCordon{"a", "1"}
	f.refreshLoads()
	s := f.snapshot()
	calls := func() int {
		return len(slices.DeleteFunc(f.planner.Plan(s), func(a Action) bool { return a.Kind != Maintain }))
	}
	s.Now = s.ListedAt.Add(maxListAge + time.Millisecond)
	assert.Equal(t, calls(), 0)
	s.ListedAt = s.Now
	assert.Equal(t, calls(), 1)
}

// A call is in progress when a list lacks its machine: the cordon stays, and the machine is not
// called again, since the call may still take effect.
func TestCallInProgressSurvivesAnIncompleteList(t *testing.T) {
	f := newSimFleet(t, map[cluster.Service]int{"a": 3, "b": 3}, 0)
	f.waves = []cluster.Wave{{Number: 1, Duration: 20 * time.Second, MaxDown: 1, Machines: f.ids[:1]}}
	f.cordons[f.machines[f.ids[0]].Executor] = ActiveCordon{"a", "1"}
	f.refreshLoads()
	f.planner.Plan(f.snapshot())
	assert.Assert(t, !f.planner.operations[f.ids[0]].calledAt.IsZero())
	incomplete := f.snapshot()
	incomplete.Machines = incomplete.Machines[1:]
	for _, s := range []Snapshot{incomplete, f.snapshot()} {
		for _, a := range f.planner.Plan(s) {
			assert.Assert(t, a.Kind != Uncordon && a.Kind != Maintain, "%s", a.Kind)
		}
	}
}

// Entries that can't be read keep machines out of the list for long: a wave must not count them as removed,
// must go on with the others, and must take no more machines down at once than it may.
func TestMachinesThatIncompleteListsLackAreNotTakenForRemoved(t *testing.T) {
	f := newSimFleet(t, map[cluster.Service]int{"a": 4, "b": 4}, 0)
	f.waves = []cluster.Wave{{Number: 1, Duration: 20 * time.Second, MaxDown: 1, Machines: f.ids[:3]}}
	unlisted := map[cluster.MachineID]bool{f.ids[0]: true}
	called := map[cluster.MachineID]time.Time{}
	plan := func(incomplete bool) {
		f.refreshLoads()
		s := f.snapshot()
		s.Incomplete = incomplete
		s.Machines = slices.DeleteFunc(s.Machines, func(m cluster.Machine) bool { return unlisted[m.ID] })
		for _, a := range f.planner.Plan(s) {
			switch a.Kind {
			case Cordon:
				f.cordons[a.Executor] = ActiveCordon{a.Service, string(a.Executor)}
			case Uncordon:
				delete(f.cordons, a.Executor)
			case Report:
				f.reports = append(f.reports, a.State)
			case Maintain:
				for other, at := range called {
					assert.Assert(t, f.now.Sub(at) > callExpiry, "%s and %s may be down at once", other, a.Machine)
				}
				called[a.Machine] = f.now
				unlisted[a.Machine] = true
				f.planner.HandleResult(a, Unknown, f.now)
			}
		}
		f.now = f.now.Add(100 * time.Millisecond)
	}
	for range 400 {
		plan(true)
	}
	assert.Equal(t, len(called), 2, "the wave went on with %v", called)
	assert.Assert(t, !slices.Contains(f.reports, cluster.WaveCompleted))
	for range 200 {
		plan(false)
	}
	assert.Assert(t, slices.Contains(f.reports, cluster.WaveCompleted))
}

// The machine of an operation is missing from one incomplete list: its evacuation must go on.
func TestEvacuationOutlastsAnIncompleteList(t *testing.T) {
	f := newSimFleet(t, map[cluster.Service]int{"a": 3, "b": 3}, 0)
	f.waves = []cluster.Wave{{Number: 1, Duration: 20 * time.Second, MaxDown: 1, Machines: f.ids[:1]}}
	f.planner.Plan(f.snapshot())
	for _, incomplete := range []bool{true, false} {
		s := f.snapshot()
		s.Machines, s.Incomplete = s.Machines[1:], incomplete
		f.planner.Plan(s)
		assert.Equal(t, f.planner.operations[f.ids[0]] != nil, incomplete)
	}
}
