package shard

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/execution"
	"github.com/tarragonreach/tarragonreach/api/job"
)

// testListInterval is the time between two requests of an owner for the machine list.
const testListInterval = 500 * time.Millisecond

// listMachines requests the machine list for an owner that needs it. The list names all living
// executors, partitioned or not, except those that started within its lag.
func (w *world) listMachines(o *ownerSim) {
	if w.machineLists == machineListsAbsent || !o.shard.NeedsMachineList(w.now) || w.now.Sub(o.listedAt) < testListInterval {
		return
	}
	o.listedAt = w.now
	if w.machineLists == machineListsUnreliable && rapid.IntRange(0, 3).Draw(w.t, "no machine list") == 0 {
		return
	}
	lag := w.randomTicks("machine list lag", int(maxMachineListLag.Milliseconds()))
	list := MachineList{Executors: map[cluster.ExecutorID]bool{}, RequestedAt: w.now}
	for _, e := range w.executors {
		if e.alive && w.now.Sub(e.startedAt) >= lag {
			list.Executors[e.id] = true
		}
	}
	if w.machineLists == machineListsUnreliable {
		w.omitOne(list)
	}
	respond := func() { o.shard.ApplyMachineList(list) }
	o.responses = append(o.responses, responseSim{w.now.Add(w.randomTicks("machine list", 200)), respond})
}

// machineLists is what the machine lists of a world are like.
type machineLists uint8

const (
	machineListsComplete   machineLists = iota
	machineListsAbsent                  // there is no machine service, or it is down
	machineListsUnreliable              // some requests fail, and some lists lack a machine for once
)

// minOmissionGap is the minimum time between two lists that lack the same living executor.
const minOmissionGap = 3 * time.Second

// omitOne removes a random executor from the list, unless a recent list lacked it.
func (w *world) omitOne(list MachineList) {
	e := w.pickExecutor("omitted")
	if e == nil || w.now.Sub(e.omittedAt) < minOmissionGap {
		return
	}
	e.omittedAt = w.now
	delete(list.Executors, e.id)
}

// loseExecutorWithRuns ends one executor that has runs, for good.
func (w *world) loseExecutorWithRuns() {
	for _, e := range w.owner.shard.sortedExecutors() {
		if sim := w.executors[e.ID]; len(sim.running) > 0 {
			w.crash(sim, false)
			return
		}
	}
	w.t.Fatalf("no executor has runs")
}

// submitLongRunning accepts a job of one long-running step and returns it.
func (w *world) submitLongRunning(def job.Step) *storedJob {
	def.LongRunning = true
	r := Record{
		ID: testID(w.submitted), Accepted: w.now, Definition: job.Definition{Payload: "p", Steps: []job.Step{def}},
		Queue: QueuePolicy{Name: "q", MaxAttempts: 2, Stretch: 2, TargetDuration: time.Second},
	}
	w.submitted++
	stored := &storedJob{
		record: r, state: job.Queued,
		ackedDone: map[job.TaskID]bool{}, ackedAt: map[job.TaskID]time.Time{}, ackedFailures: map[job.TaskID]int{}, everDone: map[job.TaskID]bool{},
	}
	w.jobs[r.ID] = stored
	w.owner.shard.AddJob(r, nil, w.now)
	return stored
}

// missingTasks returns how many of the job's tasks run nowhere.
func (w *world) missingTasks(j *storedJob) int {
	missing := 0
	for i := range j.record.Definition.Steps[0].Count {
		task := job.TaskID{StepID: job.StepID{Job: j.record.ID}, Index: i}
		if !w.isRunning(task) {
			missing++
		}
	}
	return missing
}

// An executor is lost for good at about the time at which its owner is lost too. The successor
// has never reached it, and the leases there may last for long.
func TestLongRunningTaskOfExecutorLostWithItsOwnerStartsAgainInTime(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) { loseExecutorWithItsOwner(t, machineListsComplete) })
}

// loseExecutorWithItsOwner checks that the tasks of an executor that is lost for good at about the
// time of a takeover start again within the liveness rule.
func loseExecutorWithItsOwner(t *rapid.T, lists machineLists) {
	w := newLivenessWorld(t)
	w.machineLists = lists
	w.addExecutor("10.0.2.1:80")
	w.refreshExecutors()
	j := w.submitLongRunning(job.Step{Count: 3, Need: job.Resources{MilliCPU: 200, MemoryMB: 100}, Estimate: time.Second, MaxUnavailable: 1})
	w.step(3 * time.Second)
	w.loseExecutorWithRuns()
	lostAt := w.now
	for range rapid.IntRange(1, 2).Draw(t, "takeovers") {
		w.step(w.randomTicks("until the owner is lost", 2000))
		w.livenessTakeOver()
	}
	due := lostAt.Add(longRunningPause)
	if calm := w.now.Add(faultFreePeriod); calm.After(due) {
		due = calm
	}
	for w.missingTasks(j) > 0 {
		w.step(checkInterval)
		if w.now.Sub(due) > startBound {
			t.Fatalf("LOST: %d tasks do not run %s after their executor was lost: %s", w.missingTasks(j), w.now.Sub(lostAt), w.describe(j.record.ID))
		}
	}
}

// startedOnUnresponsive returns a harness at whose executor i-1 a task was started and which then
// stopped responding; i-2 is idle.
func startedOnUnresponsive(t *testing.T) *harness {
	h := newHarness(t, newExecutorNamed("i-1"))
	h.submit("00000000000000aa", oneTask)
	for _, cmd := range h.storeAndCommand() {
		h.shard.HandleCommandResult(cmd, Responded, execution.Reply{ClockMs: 1000}, h.now)
	}
	h.shard.SetExecutors([]cluster.Executor{newExecutorNamed("i-1"), newExecutorNamed("i-2")}, h.now)
	h.now = h.now.Add(maxMachineListLag)
	for _, poll := range h.shard.Polls(h.now) {
		delivery := Responded
		if poll.Executor.ID == "i-1" {
			delivery = Ambiguous
		}
		h.shard.HandlePollResult(poll, delivery, execution.PollResponse{Reply: execution.Reply{ClockMs: 1000}}, h.now)
	}
	return h
}

func machinesOf(executors ...cluster.ExecutorID) []cluster.Machine {
	var list []cluster.Machine
	for _, id := range executors {
		list = append(list, cluster.Machine{ID: cluster.MachineID("m-" + id), State: cluster.MachineUp, Executor: id})
	}
	return append(list, cluster.Machine{ID: "m-down", State: cluster.MachineDown})
}

func TestMachineListEndsRunsOnlyOfExecutorsThatAreGone(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name  string
		lists [][]cluster.Machine
		age   time.Duration // of the lists
		// incomplete holds the positions of the lists that are.
		incomplete map[int]bool
		ended      bool
	}{
		{name: "missing twice", lists: [][]cluster.Machine{machinesOf("i-2"), machinesOf("i-2")}, ended: true},
		{name: "missing once", lists: [][]cluster.Machine{machinesOf("i-2")}},
		{name: "partitioned", lists: [][]cluster.Machine{machinesOf("i-1", "i-2"), machinesOf("i-1", "i-2")}},
		{name: "listed between two lists without it", lists: [][]cluster.Machine{machinesOf("i-2"), machinesOf("i-1", "i-2"), machinesOf("i-2")}},
		{name: "missing twice, once from an incomplete list", lists: [][]cluster.Machine{machinesOf("i-2"), machinesOf("i-2")}, incomplete: map[int]bool{1: true}},
		{name: "missing from incomplete lists", lists: [][]cluster.Machine{machinesOf("i-2"), machinesOf("i-2"), machinesOf("i-2")}, incomplete: map[int]bool{0: true, 1: true, 2: true}},
		{name: "listed in an incomplete list in between", lists: [][]cluster.Machine{machinesOf("i-2"), machinesOf("i-1"), machinesOf("i-2")}, incomplete: map[int]bool{1: true}},
		{name: "missing twice beside an incomplete list", lists: [][]cluster.Machine{machinesOf("i-2"), machinesOf("i-2"), machinesOf("i-2")}, incomplete: map[int]bool{1: true}, ended: true},
		{name: "no executor listed at all", lists: [][]cluster.Machine{machinesOf(), machinesOf()}},
		{name: "lists too old to show a new executor", lists: [][]cluster.Machine{machinesOf("i-2"), machinesOf("i-2")}, age: 20 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := startedOnUnresponsive(t)
			assert.Assert(t, h.shard.NeedsMachineList(h.now))
			for position, machines := range tt.lists {
				list := NewMachineList(machines, h.now.Add(-tt.age))
				list.Incomplete = tt.incomplete[position]
				h.shard.ApplyMachineList(list)
			}
			h.now = h.now.Add(replanInterval)
			cmds := h.storeAndCommand()
			if !tt.ended {
				assert.Equal(t, len(cmds), 0)
				return
			}
			assert.Equal(t, len(cmds), 1)
			assert.Equal(t, cmds[0].Executor.ID, cluster.ExecutorID("i-2"))
			assert.Equal(t, cmds[0].Start.Run, 2)
			assert.Assert(t, !h.shard.NeedsMachineList(h.now))
		})
	}
}

// An executor that responds keeps its runs, whatever the machine list says.
func TestMachineListDoesNotEndRespondingExecutor(t *testing.T) {
	t.Parallel()
	h := startedOnUnresponsive(t)
	h.shard.ApplyMachineList(NewMachineList(machinesOf("i-2"), h.now))
	h.now = h.now.Add(time.Second)
	for _, poll := range h.shard.Polls(h.now) {
		h.shard.HandlePollResult(poll, Responded, h.listRuns(string(poll.Executor.ID), nil), h.now)
	}
	h.shard.ApplyMachineList(NewMachineList(machinesOf("i-2"), h.now))
	assert.Equal(t, len(h.shard.executors["i-1"].runs), 1)
}
