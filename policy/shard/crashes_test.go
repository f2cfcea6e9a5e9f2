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

const (
	// maxStartsAfterCrashes is how many times a task may start after crashesBeforeLimit executors
	// have crashed under it.
	maxStartsAfterCrashes = 2
	crashesBeforeLimit    = 3
)

// crashingTasks are the tasks of a world that crash each executor that starts them.
type crashingTasks struct {
	crashes  map[job.TaskID]int // executors that each of them has crashed
	starts   map[job.TaskID]int // starts after crashesBeforeLimit crashes
	lost     map[job.TaskID]int // executors that crashed under any task
	failures map[job.TaskID]int // runs of any task that have failed
	// crashedBy holds the runs that have crashed an executor. One that is sent again may reach a
	// later incarnation and crash that one, too.
	crashedBy map[execution.RunRef]bool
	// callsSucceed is set if all calls get their response, if need be from the executor that
	// has the address now.
	callsSucceed bool
}

func newCrashingTasks() *crashingTasks {
	return &crashingTasks{
		crashes: map[job.TaskID]int{}, starts: map[job.TaskID]int{},
		lost: map[job.TaskID]int{}, failures: map[job.TaskID]int{}, crashedBy: map[execution.RunRef]bool{},
	}
}

// noteStart crashes the executor shortly after the start of a crashing task.
func (c *crashingTasks) noteStart(w *world, e *executorSim, s execution.Start) {
	crashes, crashing := c.crashes[s.Task]
	if !crashing {
		return
	}
	again := c.crashedBy[s.RunRef] // the same run, sent again to a later incarnation
	if crashes >= crashesBeforeLimit && !again && !w.executingLate && s.Token >= w.token {
		c.starts[s.Task]++
		if c.starts[s.Task] > maxStartsAfterCrashes {
			w.t.Fatalf("BUDGET: %s starts the third time after %d executors have crashed under it: %s", s.Task, crashes, w.describe(s.Task.Job))
		}
	}
	if !again && !w.sentToEarlier {
		c.crashes[s.Task]++ // no owner learns of another crash by the same run
	}
	c.crashedBy[s.RunRef] = true
	w.timers = append(w.timers, timer{w.now.Add(20 * time.Millisecond), func() { w.crashAndRestart(e) }})
}

// crashAndRestart ends an executor; another one starts at its address after a while.
func (w *world) crashAndRestart(e *executorSim) {
	if !e.alive {
		return
	}
	e.alive = false
	w.advance(e)
	for task := range e.running {
		w.crashing.lost[task]++
	}
	if w.restarts != nil {
		e.alive = true // until startAgain ends it
		w.startAgain(e)
		return
	}
	w.refreshExecutors()
	w.timers = append(w.timers, timer{w.now.Add(2 * time.Second), func() {
		w.addExecutor(e.address)
		w.refreshExecutors()
	}})
}

// makeCrashing lets one task of the job that was submitted last crash executors.
func (w *world) makeCrashing() {
	steps := w.jobs[testID(w.submitted-1)].record.Definition.Steps
	step := rapid.IntRange(0, len(steps)-1).Draw(w.t, "crashing step")
	index := rapid.IntRange(0, steps[step].Count-1).Draw(w.t, "crashing task")
	id := job.TaskID{StepID: job.StepID{Job: testID(w.submitted - 1), Step: step}, Index: index}
	w.crashing.crashes[id] = 0
}

// crashesBeforeGivingUp is how many executors must have crashed under a task that is given up.
const crashesBeforeGivingUp = 2

// checkFailed checks that a failed job has a reason: a task under which executors have crashed, or
// one that has failed as often as allowed.
func (c *crashingTasks) checkFailed(w *world, j *storedJob) {
	for s, def := range j.record.Definition.Steps {
		for i := range def.Count {
			id := job.TaskID{StepID: job.StepID{Job: j.record.ID, Step: s}, Index: i}
			if c.lost[id] >= crashesBeforeGivingUp || c.failures[id] >= j.record.Queue.MaxAttempts {
				return
			}
		}
	}
	w.t.Fatalf("LOST: job %s is published as failed without a reason; lost with executors: %v, failures: %v; %s",
		j.record.ID, c.lost, c.failures, w.describe(j.record.ID))
}

// injectCrashFault submits a job, some with a crashing task, or loses an owner or an executor.
func (w *world) injectCrashFault() {
	switch rapid.IntRange(0, 9).Draw(w.t, "crash fault") {
	case 0, 1, 2, 3, 4:
		w.submit()
	case 5, 6:
		w.submit()
		w.makeCrashing()
	case 7, 8:
		w.replaceOwner()
	case 9:
		if e := w.pickExecutor("crashes by itself"); e != nil {
			w.crashAndRestart(e)
		}
	}
}

// Tasks crash the executors that start them, while owners are lost and executors crash by
// themselves. A crashing task is given up before its third start after three crashes, jobs
// without one are not, and all become final.
func TestTasksThatCrashExecutorsAreGivenUpAndNoOthers(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		w.crashing = newCrashingTasks()
		w.crashing.callsSucceed = rapid.Bool().Draw(t, "calls succeed")
		for range rapid.IntRange(5, 20).Draw(t, "faults") {
			w.injectCrashFault()
			w.step(time.Duration(rapid.IntRange(1, 60).Draw(t, "pause")) * 40 * time.Millisecond)
		}
		w.healAndFinish()
	})
}

// crashExecutor lets the executor end, as the response of another one at its address shows.
func (h *harness) crashExecutor(id cluster.ExecutorID) {
	e := h.shard.executors[id]
	h.shard.HandlePollResult(Poll{Executor: e.Executor, target: e, SentAt: h.now}, Responded, execution.PollResponse{Reply: execution.Reply{Refusal: execution.RefusedWrongExecutor}}, h.now)
	h.now = h.now.Add(replanInterval)
}

// The crashes of a task are stored, so that they outlive their owner: its successor gives the
// task up as soon as it would have.
func TestCrashesOutliveTheOwner(t *testing.T) {
	t.Parallel()
	var progress *Progress
	record := Record{ID: "00000000000000aa", Definition: job.Definition{Steps: []job.Step{oneTask}}, Queue: QueuePolicy{Name: "q", MaxAttempts: 2}}
	for crashes := range crashesBeforeGivingUp {
		h := newHarness(t, newExecutorNamed("i-1"))
		h.shard.AddJob(record, progress, h.now)
		starts := h.startAll()
		assert.Equal(t, len(starts), 1, "after %d crashes", crashes)
		h.crashExecutor(starts[0].Executor.ID)
		batch := h.shard.Batch(h.now, 29)
		h.shard.Committed()
		progress = batch.Jobs[0].Progress
		if crashes+1 == crashesBeforeGivingUp {
			assert.Equal(t, batch.Jobs[0].State, job.Failed)
			return
		}
		assert.Equal(t, progress.Tasks[0].Crashes, crashes+1)
	}
}

// Where tasks were found to crash executors lately, those that have just started on an executor
// that crashes start apart from all others. None is given up, and those that survive that are no
// suspects any more.
func TestSuspectsOfACrashStartApart(t *testing.T) {
	t.Parallel()
	h := newHarness(t, newExecutorNamed("i-1"))
	h.shard.crashingTaskFound = true
	four := oneTask
	four.Count = 4
	h.submit("00000000000000aa", four)
	assert.Equal(t, len(h.startAll()), 4)
	h.shard.SetExecutors([]cluster.Executor{newExecutorNamed("i-2"), newExecutorNamed("i-3"), newExecutorNamed("i-4")}, h.now)
	h.pollAll()
	h.crashExecutor("i-1")
	trials := h.startAll()
	perExecutor := map[cluster.ExecutorID]int{}
	for _, start := range trials {
		perExecutor[start.Executor.ID]++
	}
	assert.DeepEqual(t, perExecutor, map[cluster.ExecutorID]int{"i-2": 2, "i-3": 1, "i-4": 1})
	h.submit("00000000000000ab", oneTask)
	assert.Equal(t, len(h.startAll()), 0, "beside a trial")
	assert.Equal(t, len(h.startsWithin(2*time.Second)), 1)
	for _, task := range h.shard.jobs["00000000000000aa"].occurrences[0].steps[0].tasks {
		assert.Assert(t, !task.crashes.suspect(), "%s", task.id)
	}
}

// A task under which two executors have crashed starts on an executor without other runs.
func TestTaskOfTwoCrashesStartsOnAnEmptyExecutor(t *testing.T) {
	t.Parallel()
	busy := []cluster.Executor{executorOnRack("i-2", "r1-2"), executorOnRack("i-3", "r1-2")}
	h := newHarness(t, newExecutorNamed("i-1"), newExecutorNamed("i-4"), busy[0], busy[1])
	neighbour := oneTask
	neighbour.Count, neighbour.MaxPerServer, neighbour.RequiredLabel = 2, 1, "r1-2"
	h.submit("00000000000000ab", neighbour)
	assert.Equal(t, len(h.startAll()), 2)
	crashing := oneTask
	crashing.Affinity, crashing.Count = "r1-1", 2 // so that neither is the only suspect
	h.submit("00000000000000aa", crashing)
	for _, id := range []cluster.ExecutorID{"i-1", "i-4"} {
		assert.Equal(t, h.startAll()[0].Executor.ID, id)
		h.crashExecutor(id)
	}
	h.shard.SetExecutors(busy, h.now)
	assert.Equal(t, len(h.startsWithin(emptyExecutorPatience-500*time.Millisecond)), 0)
	ended := h.shard.executors["i-3"].sortedRuns()[0]
	h.shard.discard(ended, GivenUpEnded)
	ended.task.retryAt = h.now.Add(time.Hour)
	starts := h.startAll()
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Executor.ID, cluster.ExecutorID("i-3"))
	assert.Equal(t, starts[0].Start.Task.Job, job.ID("00000000000000aa"))
}

// A run that an executor lists long after its start is no suspect when the executor crashes.
func TestRunsThatSurvivedAreNoSuspects(t *testing.T) {
	t.Parallel()
	h := newHarness(t, newExecutorNamed("i-1"), newExecutorNamed("i-2"))
	h.submit("00000000000000aa", oneTask)
	first := h.startAll()[0].Executor.ID
	h.now = h.now.Add(time.Second)
	h.respondToPoll(string(first), h.listRuns(string(first), nil))
	h.crashExecutor(first)
	assert.Equal(t, len(h.shard.suspects), 0)
	assert.Equal(t, len(h.startAll()), 1)
}
