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

var longRunningTask = job.Step{Count: 1, Need: job.Resources{MilliCPU: 1000, MemoryMB: 100}, LongRunning: true}

// longRunningSteps returns a step of long-running tasks.
func longRunningSteps(count int) job.Step {
	step := longRunningTask
	step.Count = count
	return step
}

// reportLongRunning reports on the long-running tasks.
func (h *harness) reportLongRunning() LongRunningReport {
	return h.shard.Waiting(h.now, false).LongRunning
}

// longRunningCase is a job of long-running tasks, and the reasons that a report gives for
// those without a live run.
type longRunningCase struct {
	name       string
	step       job.Step
	before     func(h *harness) // runs before the job is added
	after      func(h *harness) // runs after the job is added
	overloaded bool             // the owner is CPU-starved
	want       map[Reason]int
}

func longRunningCases() []longRunningCase {
	large, gang, spread := longRunningTask, longRunningSteps(5), longRunningSteps(3)
	large.Need.MilliCPU = 5000 // of 4000
	gang.Gang = true           // 4 fit
	spread.MaxPerServer = 1
	nothing := func(*harness) {}
	start := func(h *harness) { h.startAll() }
	return []longRunningCase{
		{"running", longRunningSteps(4), nothing, start, false, map[Reason]int{}},
		{"schedulable", longRunningTask, nothing, nothing, false, map[Reason]int{ReasonNotItsTurn: 1}},
		{"schedulable, owner overloaded", longRunningTask, nothing, nothing, true, map[Reason]int{ReasonOwnerOverloaded: 1}},
		{"some schedulable", longRunningSteps(6), nothing, nothing, false, map[Reason]int{ReasonNotItsTurn: 4, ReasonNoCapacity: 2}},
		{"some running", longRunningSteps(6), nothing, start, false, map[Reason]int{ReasonNoCapacity: 2}},
		{"maximum per executor", spread, nothing, nothing, false, map[Reason]int{ReasonNotItsTurn: 1, ReasonLimited: 2}},
		{"maximum per executor, some running", spread, nothing, start, false, map[Reason]int{ReasonLimited: 2}},
		{"gang, not all fit", gang, nothing, nothing, false, map[Reason]int{ReasonNoCapacity: 5}},
		{"too large", large, nothing, nothing, false, map[Reason]int{ReasonNoCapacity: 1}},
		{"no executor", longRunningTask, func(h *harness) { h.shard.SetExecutors(nil, h.now) }, nothing, false, map[Reason]int{ReasonNoExecutor: 1}},
		{"suspect executor", longRunningTask, func(h *harness) { h.makeSuspect("i-1") }, nothing, false, map[Reason]int{ReasonNoExecutor: 1}},
		{"pause after a failure", longRunningTask, nothing, func(h *harness) {
			h.shard.jobs["00000000000000aa"].occurrences[0].steps[0].tasks[0].retryAt = h.now.Add(time.Minute)
		}, false, map[Reason]int{ReasonLimited: 1}},
		{"unconfirmed start", longRunningTask, nothing, func(h *harness) { h.storeAndCommand() }, false, map[Reason]int{ReasonUnconfirmed: 1}},
		{"start not stored", longRunningTask, nothing, func(h *harness) {
			h.shard.Batch(h.now, 29)
			h.now = h.now.Add(storeUnavailableAfter)
		}, false, map[Reason]int{ReasonStoreUnavailable: 1}},
		{"being stopped", longRunningTask, nothing, func(h *harness) {
			h.startAll()
			h.shard.SetExecutors([]cluster.Executor{drainingExecutor("i-1")}, h.now)
		}, false, map[Reason]int{ReasonUnconfirmed: 1}},
		{"executor unreachable", longRunningSteps(2), nothing, func(h *harness) {
			h.startAll()
			h.failPoll("i-1", Ambiguous, execution.NotRefused)
		}, false, map[Reason]int{ReasonExecutorUnreachable: 2}},
		{"cancelled", longRunningTask, nothing, func(h *harness) { h.shard.Cancel("00000000000000aa") }, false, map[Reason]int{}},
		{"short task", oneTask, nothing, nothing, false, map[Reason]int{}},
	}
}

func TestReportGivesTheReasonWhyLongRunningTasksDoNotRun(t *testing.T) {
	t.Parallel()
	for _, c := range longRunningCases() {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, newExecutorNamed("i-1"))
			c.before(h)
			h.submit("00000000000000aa", c.step)
			c.after(h)
			r := h.shard.Waiting(h.now, c.overloaded).LongRunning
			assert.DeepEqual(t, r.ByReason, c.want)
			checkLongRunningReport(t, r)
		})
	}
}

// A long-running step that depends on another one is not due before that is done; its time
// without a live run counts from the first report that finds it due.
func TestReportOmitsBlockedLongRunningTasks(t *testing.T) {
	t.Parallel()
	h := newHarness(t, newExecutorNamed("i-1"))
	blocked := longRunningTask
	blocked.After = []int{0}
	h.submit("00000000000000aa", oneTask, blocked)
	assert.Equal(t, len(h.startAll()), 1)
	h.now = h.now.Add(2 * time.Second)
	assert.Equal(t, h.reportLongRunning().Tasks, 0)
	response := h.listRuns("i-1", nil)
	response.Ended, response.Running = []execution.Ended{{RunRef: response.Running[0].RunRef, Sequence: 1, Reason: execution.EndedDone}}, nil
	h.respondToPoll("i-1", response)
	r := h.reportLongRunning()
	assert.Equal(t, r.Tasks, 1)
	assert.Equal(t, r.Oldest, time.Duration(0))
}

// An executor is lost for good. The report describes its task, whose job has other running
// tasks, until the leases there have certainly expired and the task runs elsewhere.
func TestReportDescribesTheTaskOfALostExecutor(t *testing.T) {
	t.Parallel()
	h := newHarness(t, newExecutorNamed("i-1"), newExecutorNamed("i-2"))
	step := longRunningSteps(2)
	step.MaxPerServer = 1
	h.submit("00000000000000aa", step)
	assert.Equal(t, len(h.startAll()), 2)
	h.respondToPoll("i-1", h.listRuns("i-1", nil))
	contact := h.now
	lost := h.shard.executors["i-1"].sortedRuns()[0].task.id
	h.shard.SetExecutors([]cluster.Executor{newExecutorNamed("i-2"), newExecutorNamed("i-3")}, h.now)
	described := 0
	for h.now.Sub(contact) < 2*testLimits.MaxRunLease && len(h.commandsOfLost("i-1")) == 0 {
		h.now = h.now.Add(50 * time.Millisecond)
		r := h.reportLongRunning()
		if r.Tasks == 0 {
			continue
		}
		described++
		missing := h.now.Sub(contact)
		assert.DeepEqual(t, r, LongRunningReport{
			Tasks: 1, Oldest: missing, ByReason: map[Reason]int{ReasonExecutorUnreachable: 1},
			Samples: []LongRunningSample{{
				Task: lost, Reason: ReasonExecutorUnreachable, Missing: missing, Run: 1, Executor: "i-1", Contacted: true, LastContact: missing,
				LeaseLeft: h.shard.executors["i-1"].leaseBound.Sub(h.now),
			}},
		})
		assert.Assert(t, r.Samples[0].LeaseLeft > -2*replanInterval, "the task is not started after the leases have expired")
	}
	assert.Assert(t, described > 10, "the task was described %d times", described)
	assert.Equal(t, len(h.startAll()), 0) // confirms the start elsewhere
}

// commandsOfLost advances the shard as storeAndCommandWithout, with responses that list the
// runs, and responds to the commands that it returns.
func (h *harness) commandsOfLost(lost cluster.ExecutorID) []Command {
	h.shard.Tick(h.now)
	for _, poll := range h.shard.Polls(h.now) {
		delivery := Responded
		if poll.Executor.ID == lost {
			delivery = NotSent
		}
		h.shard.HandlePollResult(poll, delivery, h.listRuns(string(poll.Executor.ID), nil), h.now)
	}
	commands := h.storeAndCommand()
	for _, c := range commands {
		h.shard.HandleCommandResult(c, Responded, execution.Reply{ClockMs: 1000}, h.now)
	}
	return commands
}

// A new owner can't reach the executor of an inherited run: it has had no contact, and counts
// the time without a live run from its takeover.
func TestReportDescribesAnInheritedRun(t *testing.T) {
	t.Parallel()
	h := &harness{t: t, shard: New(testLimits, 8), now: time.Unix(1000, 0)}
	h.shard.SetExecutors([]cluster.Executor{newExecutorNamed("i-2")}, h.now)
	h.shard.AddJob(Record{
		ID: "00000000000000aa", Accepted: h.now.Add(-time.Hour), Definition: job.Definition{Steps: []job.Step{longRunningTask}},
		Queue: QueuePolicy{Name: "q", MaxAttempts: 2, Stretch: 2, TargetDuration: time.Second},
	}, &Progress{Tasks: []TaskProgress{{Run: 3, Executor: "i-1", Address: "i-1:80"}}}, h.now)
	sample := LongRunningSample{
		Task: job.TaskID{StepID: job.StepID{Job: "00000000000000aa"}}, Reason: ReasonUnconfirmed, Run: 3, Executor: "i-1",
		LeaseLeft: maxLeaseTime(testLimits.MaxRunLease),
	}
	assert.DeepEqual(t, h.reportLongRunning().Samples, []LongRunningSample{sample})
	h.storeAndCommandWithout("i-1")
	h.now = h.now.Add(time.Second)
	h.storeAndCommandWithout("i-1")
	sample.Reason, sample.Missing = ReasonExecutorUnreachable, time.Second
	sample.LeaseLeft -= time.Second
	assert.DeepEqual(t, h.reportLongRunning().Samples, []LongRunningSample{sample})
}

// The leases on a lost executor have expired, but the store is unavailable.
func TestReportNamesTheStoreOnceTheLeasesHaveExpired(t *testing.T) {
	t.Parallel()
	h := newHarness(t, newExecutorNamed("i-1"))
	h.submit("00000000000000aa", longRunningTask)
	h.startAll()
	h.failPoll("i-1", Ambiguous, execution.NotRefused)
	h.submit("00000000000000ab", oneTask)
	assert.Assert(t, h.shard.Batch(h.now, 29) != nil)
	h.now = h.now.Add(storeUnavailableAfter)
	assert.DeepEqual(t, h.reportLongRunning().ByReason, map[Reason]int{ReasonExecutorUnreachable: 1})
	h.now = h.shard.executors["i-1"].leaseBound.Add(time.Millisecond)
	assert.DeepEqual(t, h.reportLongRunning().ByReason, map[Reason]int{ReasonStoreUnavailable: 1})
}

// The executor has not been polled for long when the task starts there: its confirmation
// counts as contact.
func TestTaskThatStartsOnALongIdleExecutorIsLive(t *testing.T) {
	t.Parallel()
	h := newHarness(t, newExecutorNamed("i-1"))
	h.now = h.now.Add(maxClockAge / 2)
	h.submit("00000000000000aa", longRunningTask)
	h.startAll()
	assert.Equal(t, h.reportLongRunning().Tasks, 0)
	h.now = h.now.Add(maxResponseAge)
	assert.DeepEqual(t, h.reportLongRunning().ByReason, map[Reason]int{ReasonExecutorUnreachable: 1})
}

// The samples are those that have waited longest, however many tasks wait.
func TestLongRunningSamplesAreTheOldest(t *testing.T) {
	t.Parallel()
	h := newHarness(t)
	const jobs = 3 * maxLongRunningSamples
	for i := range jobs {
		h.submit(testID(i+1), longRunningSteps(2))
		h.now = h.now.Add(time.Second)
	}
	r := h.reportLongRunning()
	assert.Equal(t, r.Tasks, 2*jobs)
	assert.Equal(t, len(r.Samples), maxLongRunningSamples)
	for i, sample := range r.Samples {
		assert.Equal(t, sample.Task, job.TaskID{StepID: job.StepID{Job: testID(i/2 + 1)}, Index: i % 2})
		assert.Equal(t, sample.Missing, time.Duration(jobs-i/2)*time.Second)
	}
	checkLongRunningReport(t, r)
}

// checkLongRunningReport fails the test if a report on long-running tasks contradicts itself.
func checkLongRunningReport(t rapid.TB, r LongRunningReport) {
	t.Helper()
	tasks := 0
	for reason, n := range r.ByReason {
		if reason == "" {
			t.Fatalf("%d tasks without a reason", n)
		}
		tasks += n
	}
	if tasks != r.Tasks || len(r.Samples) != min(r.Tasks, maxLongRunningSamples) {
		t.Fatalf("%d tasks, %d by reason, %d samples", r.Tasks, tasks, len(r.Samples))
	}
	if len(r.Samples) > 0 && r.Samples[0].Missing != r.Oldest {
		t.Fatalf("the first sample has had no live run for %s, the oldest for %s", r.Samples[0].Missing, r.Oldest)
	}
}

// checkReport reports once a second, as an owner does, and fails the test if the report
// contradicts itself.
func (o *ownerSim) checkReport(t *rapid.T, now time.Time) {
	if now.Sub(o.reportedAt) < time.Second {
		return
	}
	o.reportedAt = now
	r := o.shard.Waiting(now, false)
	checkLongRunningReport(t, r.LongRunning)
	unusable := 0
	for _, n := range r.Executors.Unusable {
		unusable += n
	}
	if usable := len(o.shard.usableExecutors(now)); usable+unusable != r.Executors.Listed {
		t.Fatalf("%d usable and %d unusable executors, %d listed", usable, unusable, r.Executors.Listed)
	}
}
