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
	if !o.shard.NeedsMachineList() || w.now.Sub(o.listedAt) < testListInterval {
		return
	}
	o.listedAt = w.now
	lag := w.randomTicks("machine list lag", int(maxMachineListLag.Milliseconds()))
	list := MachineList{Executors: map[cluster.ExecutorID]bool{}, RequestedAt: w.now}
	for _, e := range w.executors {
		if e.alive && w.now.Sub(e.startedAt) >= lag {
			list.Executors[e.id] = true
		}
	}
	respond := func() { o.shard.ApplyMachineList(list) }
	o.responses = append(o.responses, responseSim{w.now.Add(w.randomTicks("machine list", 200)), respond})
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
		ackedDone: map[job.TaskID]bool{}, ackedFailures: map[job.TaskID]int{}, everDone: map[job.TaskID]bool{},
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
	rapid.Check(t, func(t *rapid.T) {
		w := newLivenessWorld(t)
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
	})
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
	tests := []struct {
		name  string
		lists [][]cluster.Machine
		age   time.Duration // of the lists
		ended bool
	}{
		{name: "missing twice", lists: [][]cluster.Machine{machinesOf("i-2"), machinesOf("i-2")}, ended: true},
		{name: "missing once", lists: [][]cluster.Machine{machinesOf("i-2")}},
		{name: "partitioned", lists: [][]cluster.Machine{machinesOf("i-1", "i-2"), machinesOf("i-1", "i-2")}},
		{name: "listed between two lists without it", lists: [][]cluster.Machine{machinesOf("i-2"), machinesOf("i-1", "i-2"), machinesOf("i-2")}},
		{name: "no executor listed at all", lists: [][]cluster.Machine{machinesOf(), machinesOf()}},
		{name: "lists too old to show a new executor", lists: [][]cluster.Machine{machinesOf("i-2"), machinesOf("i-2")}, age: 20 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := startedOnUnresponsive(t)
			assert.Assert(t, h.shard.NeedsMachineList())
			for _, machines := range tt.lists {
				h.shard.ApplyMachineList(NewMachineList(machines, h.now.Add(-tt.age)))
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
			assert.Assert(t, !h.shard.NeedsMachineList())
		})
	}
}

// An executor that responds keeps its runs, whatever the machine list says.
func TestMachineListDoesNotEndRespondingExecutor(t *testing.T) {
	h := startedOnUnresponsive(t)
	h.shard.ApplyMachineList(NewMachineList(machinesOf("i-2"), h.now))
	h.now = h.now.Add(time.Second)
	for _, poll := range h.shard.Polls(h.now) {
		h.shard.HandlePollResult(poll, Responded, h.listRuns(string(poll.Executor.ID), nil), h.now)
	}
	h.shard.ApplyMachineList(NewMachineList(machinesOf("i-2"), h.now))
	assert.Equal(t, len(h.shard.executors["i-1"].runs), 1)
}

// failPoll lets the next poll of the executor fail, by the given delivery and refusal, and
// responds to the polls of others.
func (h *harness) failPoll(id string, delivery Delivery, refusal execution.Refusal) {
	h.t.Helper()
	for range 100 {
		h.now = h.now.Add(50 * time.Millisecond)
		failed := false
		for _, poll := range h.shard.Polls(h.now) {
			if string(poll.Executor.ID) == id {
				h.shard.HandlePollResult(poll, delivery, execution.PollResponse{Reply: execution.Reply{ClockMs: 1000, Refusal: refusal}}, h.now)
				failed = true
				continue
			}
			h.shard.HandlePollResult(poll, Responded, h.listRuns(string(poll.Executor.ID), nil), h.now)
		}
		if failed {
			return
		}
	}
	h.t.Fatalf("no poll of %s", id)
}

// A list that lacks a machine for once is no evidence: the pages of a list are not a snapshot. An
// executor that has responded since the first such list was alive when that one was made.
func TestResponseBetweenTwoMachineListsWithoutTheExecutorKeepsItsRuns(t *testing.T) {
	h := startedOnUnresponsive(t)
	h.shard.ApplyMachineList(NewMachineList(machinesOf("i-2"), h.now))
	h.respondToPoll("i-1", h.listRuns("i-1", nil))
	assert.Assert(t, !h.shard.NeedsMachineList()) // no list is requested while it responds
	h.now = h.now.Add(time.Minute)
	h.failPoll("i-1", Ambiguous, execution.NotRefused)
	h.shard.ApplyMachineList(NewMachineList(machinesOf("i-2"), h.now))
	assert.Equal(t, len(h.shard.executors["i-1"].runs), 1, "one list ended the executor")
}

// An unhealthy executor refuses all polls. It has responded, so that a machine list can show nothing
// about it, and must not end its runs.
func TestExecutorThatRefusesPollsNeedsNoMachineList(t *testing.T) {
	h := startedOnUnresponsive(t)
	h.failPoll("i-1", Responded, execution.RefusedOther)
	assert.Assert(t, !h.shard.NeedsMachineList(), "a list is requested for an executor that responds")
	for range endedAfterLists {
		h.shard.ApplyMachineList(NewMachineList(machinesOf("i-2"), h.now))
	}
	assert.Equal(t, len(h.shard.executors["i-1"].runs), 1)
}

// The machine list has none of the service's executors, though some respond: it is partial, or the
// executors of this service are not on machines.
func TestMachineListWithoutAnyRespondingExecutorEndsNone(t *testing.T) {
	h := startedOnUnresponsive(t)
	for range endedAfterLists {
		h.shard.ApplyMachineList(NewMachineList(machinesOf("other-1", "other-2"), h.now))
	}
	assert.Equal(t, len(h.shard.executors["i-1"].runs), 1)
}

// A run that was decided, and whose batch is being stored, is on an executor that ends: the run is
// not sent, and the task starts elsewhere once the batch is stored.
func TestDecidedRunOnEndedExecutorStartsElsewhere(t *testing.T) {
	h := startedOnUnresponsive(t)
	h.shard.executors["i-1"].failedCalls = 0
	h.shard.SetExecutors([]cluster.Executor{newExecutorNamed("i-1")}, h.now)
	h.submit("00000000000000ab", oneTask)
	batch := h.shard.Batch(h.now, 29)
	assert.Equal(t, len(batch.starts), 1)
	h.shard.executors["i-1"].failedCalls = 1
	h.shard.SetExecutors([]cluster.Executor{newExecutorNamed("i-1"), newExecutorNamed("i-2")}, h.now)
	for range endedAfterLists {
		h.shard.ApplyMachineList(NewMachineList(machinesOf("i-2"), h.now))
	}
	h.shard.Committed()
	assert.Equal(t, len(h.shard.Commands(h.now)), 0)
	h.respondToPoll("i-2", h.listRuns("i-2", nil))
	h.now = h.now.Add(replanInterval)
	starts := h.storeAndCommand()
	assert.Equal(t, len(starts), 2)
	for _, start := range starts {
		assert.Equal(t, start.Executor.ID, cluster.ExecutorID("i-2"))
		assert.Equal(t, start.Start.Run, 2)
	}
}

// A poll response of an ended executor arrives late and lists a completion: its task is done, and the
// run that was started elsewhere is stopped.
func TestLateCompletionOfEndedExecutorIsApplied(t *testing.T) {
	h := startedOnUnresponsive(t)
	h.now = h.now.Add(10 * time.Second)
	var late Poll
	for _, poll := range h.shard.Polls(h.now) {
		if poll.Executor.ID == "i-1" {
			late = poll
			continue
		}
		h.shard.HandlePollResult(poll, Responded, h.listRuns(string(poll.Executor.ID), nil), h.now)
	}
	assert.Equal(t, late.Executor.ID, cluster.ExecutorID("i-1"))
	ref := h.shard.executors["i-1"].sortedRuns()[0].ref()
	for range endedAfterLists {
		h.shard.ApplyMachineList(NewMachineList(machinesOf("i-2"), h.now))
	}
	assert.Equal(t, len(h.startAll()), 1)
	response := execution.PollResponse{Reply: execution.Reply{ClockMs: 2000}, Ended: []execution.Ended{{RunRef: ref, Sequence: 1, Reason: execution.EndedDone}}}
	h.shard.HandlePollResult(late, Responded, response, h.now)
	assert.Assert(t, h.shard.jobs["00000000000000aa"].task(ref.Task).done)
	h.now = h.now.Add(commandRescan)
	stops := h.commandsOf(CommandStop)
	assert.Equal(t, len(stops), 1)
	assert.Equal(t, stops[0].Reason, StopDoneBefore)
	for _, poll := range h.shard.Polls(h.now) {
		assert.Assert(t, poll.Executor.ID != "i-1", "an ended executor is polled")
	}
}
