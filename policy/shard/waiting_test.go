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

// reportCase is a job without a running task, and the reason that a report gives.
type reportCase struct {
	name        string
	step        job.Step
	before      func(h *harness) // runs before the job is added
	after       func(h *harness) // runs after the job is added
	overloaded  bool             // the owner is CPU-starved
	want        Reason
	schedulable int // schedulable tasks
}

func reportCases() []reportCase {
	large, labelled, gang, spread := oneTask, oneTask, oneTask, oneTask
	large.Need.MilliCPU = 5000 // of 4000
	labelled.RequiredLabel = "other"
	gang.Gang, gang.Count = true, 5 // 4 fit
	spread.Count, spread.MaxPerServer = 3, 1
	nothing := func(*harness) {}
	return []reportCase{
		{"schedulable", oneTask, nothing, nothing, false, ReasonNotItsTurn, 1},
		{"schedulable, owner overloaded", oneTask, nothing, nothing, true, ReasonOwnerOverloaded, 1},
		{"schedulable, store unavailable", oneTask, nothing, stallStore, true, ReasonStoreUnavailable, 1},
		{"too large", large, nothing, nothing, false, ReasonNoCapacity, 0},
		{"no free capacity", oneTask, func(h *harness) { fillExecutor(h, 4) }, nothing, false, ReasonNoCapacity, 0},
		{"gang, not all fit", gang, nothing, nothing, false, ReasonNoCapacity, 0},
		{"no executor", oneTask, func(h *harness) { h.shard.SetExecutors(nil, h.now) }, nothing, false, ReasonNoExecutor, 0},
		{"cordoned executor", oneTask, func(h *harness) {
			h.shard.SetCordons(cordons(map[cluster.ExecutorID]Evacuation{"i-1": EvacuateGracefully}), h.now)
		}, nothing, false, ReasonNoExecutor, 0},
		{"no executor with the label", labelled, nothing, nothing, false, ReasonNoExecutor, 0},
		{"pause after a failure", oneTask, nothing, func(h *harness) {
			h.shard.jobs["00000000000000aa"].occurrences[0].steps[0].tasks[0].retryAt = h.now.Add(time.Minute)
		}, false, ReasonLimited, 0},
		{"no ticket", oneTask, nothing, func(h *harness) {
			h.shard.jobs["00000000000000aa"].Queue.Advice = &cluster.Advice{}
		}, false, ReasonAwaitsAdviceTurn, 0},
		{"unconfirmed start", spread, nothing, func(h *harness) { h.storeAndCommand() }, false, ReasonUnconfirmed, 0},
	}
}

// stallStore leaves a batch open until the store counts as unavailable.
func stallStore(h *harness) {
	h.submit("00000000000000ab", oneTask)
	h.shard.Batch(h.now, 29)
	delete(h.shard.jobs, "00000000000000ab")
	for _, r := range h.shard.executors["i-1"].sortedRuns() {
		h.shard.discard(r, GivenUpEnded)
	}
	h.now = h.now.Add(storeUnavailableAfter)
}

// fillExecutor occupies i-1 with running tasks of another job, 4 of which fit.
func fillExecutor(h *harness, tasks int) {
	step := oneTask
	step.Count = tasks
	h.submit("00000000000000ff", step)
	h.startAll()
}

func TestReportGivesTheReasonWhyNothingRuns(t *testing.T) {
	t.Parallel()
	for _, c := range reportCases() {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, newExecutorNamed("i-1"))
			c.before(h)
			h.submit("00000000000000aa", c.step)
			c.after(h)
			r := h.shard.Waiting(h.now, c.overloaded)
			assert.Equal(t, r.Jobs, 1)
			assert.DeepEqual(t, r.Samples, map[job.ID]Reason{"00000000000000aa": c.want})
			assert.Equal(t, r.ByReason[c.want].Oldest, job.ID("00000000000000aa"))
			assert.Equal(t, r.Schedulable, c.schedulable)
		})
	}
}

// A report omits jobs that run, that are not due, or that are cancelled.
func TestReportOmitsJobsThatNeedNoStart(t *testing.T) {
	t.Parallel()
	h := newHarness(t, newExecutorNamed("i-1"))
	fillExecutor(h, 4)
	h.shard.AddJob(Record{
		ID: "00000000000000aa", Accepted: h.now, Queue: QueuePolicy{Name: "q", MaxAttempts: 2},
		Definition: job.Definition{Steps: []job.Step{oneTask}, Schedule: job.Schedule{Count: 2, First: h.now.Add(time.Hour), Interval: time.Second}},
	}, nil, h.now)
	h.submit("00000000000000ab", oneTask)
	h.shard.Cancel("00000000000000ab")
	r := h.shard.Waiting(h.now, false)
	assert.Equal(t, r.Jobs, 0)
	assert.Equal(t, len(r.Samples), 0)
}

// The wait of a job is counted from its acceptance, that of a schedulable task from the first
// report that found it so; both end with its start. Once a job has started, its next wait is
// counted from the first report that finds it idle.
func TestReportMeasuresWaitingTime(t *testing.T) {
	t.Parallel()
	h := newHarness(t, newExecutorNamed("i-1"))
	h.submit("00000000000000aa", oneTask)
	accepted := h.now
	h.now = h.now.Add(5 * time.Second)
	assert.Equal(t, h.shard.Waiting(h.now, false).SchedulableOldest, time.Duration(0))
	h.now = h.now.Add(time.Second)
	r := h.shard.Waiting(h.now, false)
	assert.Equal(t, r.Oldest, h.now.Sub(accepted))
	assert.Equal(t, r.SchedulableOldest, time.Second)
	starts := h.startAll()
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, h.shard.Waiting(h.now, false).Jobs, 0)

	response := h.listRuns("i-1", nil)
	response.Ended, response.Running = []execution.Ended{{RunRef: response.Running[0].RunRef, Sequence: 1, Reason: execution.EndedLeaseExpired}}, nil
	h.respondToPoll("i-1", response)
	assert.Equal(t, h.shard.Waiting(h.now, false).Oldest, time.Duration(0)) // has started before: counted from now on
}

// Schedulable tasks of a job that runs count as well.
func TestReportCountsSchedulableTasksOfRunningJobs(t *testing.T) {
	t.Parallel()
	h := newHarness(t, newExecutorNamed("i-1"))
	step := oneTask
	step.Count = 6
	h.submit("00000000000000aa", step)
	assert.Equal(t, len(h.startAll()), 4)
	h.shard.SetExecutors([]cluster.Executor{newExecutorNamed("i-1"), newExecutorNamed("i-2")}, h.now)
	h.respondToPoll("i-2", h.listRuns("i-2", nil))
	r := h.shard.Waiting(h.now, false)
	assert.Equal(t, r.Jobs, 0)
	assert.Equal(t, r.Schedulable, 2)
}

// Tasks that compete for the same capacity don't all count as schedulable: under a steady
// load there is always capacity for some task, which does not mean that the owner is slow.
func TestReportCountsTasksThatAreSchedulableTogether(t *testing.T) {
	t.Parallel()
	h := newHarness(t, newExecutorNamed("i-1"))
	step := oneTask
	step.Count = 3
	for i := range 5 {
		h.submit(testID(i+1), step)
	}
	r := h.shard.Waiting(h.now, false)
	assert.Equal(t, r.Jobs, 5)
	assert.Equal(t, r.Schedulable, 4) // of 15
	assert.Equal(t, r.ByReason[ReasonNotItsTurn].Jobs, 2)
	assert.Equal(t, r.ByReason[ReasonNoCapacity].Jobs, 3)
}

// A gang that does not fit as a whole reserves no capacity, in whichever order the jobs are
// examined.
func TestReportReservesNoCapacityForGangsThatDoNotFit(t *testing.T) {
	t.Parallel()
	h := newHarness(t, newExecutorNamed("i-1"))
	gang := oneTask
	gang.Gang, gang.Count = true, 5 // 4 fit
	h.submit(testID(1), gang)
	h.submit(testID(2), oneTask)
	for range 20 {
		r := h.shard.Waiting(h.now, false)
		assert.Equal(t, r.Schedulable, 1)
		assert.DeepEqual(t, r.Samples, map[job.ID]Reason{testID(1): ReasonNoCapacity, testID(2): ReasonNotItsTurn})
	}
}

// However many jobs wait, a report has a bounded number of samples, and successive reports
// sample each job once.
func TestReportSamplesRotateOverAllJobs(t *testing.T) {
	t.Parallel()
	h := newHarness(t)
	const jobs = 3*maxReportSamples + 1
	for i := range jobs {
		h.submit(testID(i+1), oneTask)
	}
	sampled := map[job.ID]int{}
	for range 4 {
		r := h.shard.Waiting(h.now, false)
		assert.Equal(t, r.Jobs, jobs)
		assert.Assert(t, len(r.Samples) <= maxReportSamples)
		for id := range r.Samples {
			sampled[id]++
		}
	}
	assert.Equal(t, len(sampled), jobs)
	for id, times := range sampled {
		assert.Equal(t, times, 1, "%s", id)
	}
}

// Beyond maxReportChecks a report examines no more steps, and reports their jobs as not
// examined.
func TestReportIsBounded(t *testing.T) {
	t.Parallel()
	h := newHarness(t, newExecutorNamed("i-1"))
	labelled := oneTask
	labelled.RequiredLabel = "other"
	for i := range maxReportChecks + 10 {
		h.submit(testID(i+1), labelled)
	}
	r := h.shard.Waiting(h.now, false)
	assert.Equal(t, r.ByReason[ReasonNoExecutor].Jobs, maxReportChecks)
	assert.Equal(t, r.ByReason[ReasonNotExamined].Jobs, 10)
}

// A report counts the batches, and the full ones, since the last report.
func TestReportCountsBatches(t *testing.T) {
	t.Parallel()
	h := newHarness(t, newExecutorNamed("i-1"))
	for i := range 4 {
		h.submit(testID(i+1), oneTask)
	}
	h.shard.Waiting(h.now, false)
	const entries = 5 // the load takes one, and the start of a new job two
	h.shard.Batch(h.now, entries)
	h.now = h.now.Add(time.Second)
	r := h.shard.Waiting(h.now, false)
	assert.Equal(t, r.Batches, 1)
	assert.Equal(t, r.Full, 1)
	assert.Equal(t, r.Storing, time.Second)
	h.shard.Committed()
	r = h.shard.Waiting(h.now, false)
	assert.Equal(t, r.Batches, 0)
	assert.Equal(t, r.Storing, time.Duration(0))
}

// checkRunCounts fails the test if a job's count of runs differs from the runs of its tasks.
func checkRunCounts(t *rapid.T, s *Shard) {
	for id, j := range s.jobs {
		runs := 0
		for _, o := range j.occurrences {
			for _, st := range o.steps {
				for _, task := range st.tasks {
					if task.current != nil {
						runs++
					}
				}
			}
		}
		if runs != j.runs {
			t.Fatalf("job %s has %d runs, but counts %d", id, runs, j.runs)
		}
	}
}
