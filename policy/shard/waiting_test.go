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

// waitingCase is a job for which nothing runs, and why.
type waitingCase struct {
	name   string
	step   job.Step
	before func(b *bench) // before it is handed in
	after  func(b *bench)
	short  bool // of processor time
	want   Reason
	fits   int // tasks that wait though they fit
}

func waitingCases() []waitingCase {
	large, labelled, gang, spread := oneTask, oneTask, oneTask, oneTask
	large.Need.MilliCPU = 5000 // of 4000
	labelled.RequiredLabel = "other"
	gang.Gang, gang.Count = true, 5 // 4 fit
	spread.Count, spread.MaxPerServer = 3, 1
	nothing := func(*bench) {}
	return []waitingCase{
		{"fits", oneTask, nothing, nothing, false, ReasonNotItsTurn, 1},
		{"fits, the owner is short of time", oneTask, nothing, nothing, true, ReasonOwnerOverloaded, 1},
		{"fits, the store is away", oneTask, nothing, storeAway, true, ReasonStoreUnavailable, 1},
		{"too large", large, nothing, nothing, false, ReasonNoCapacity, 0},
		{"all taken", oneTask, func(b *bench) { fill(b, 4) }, nothing, false, ReasonNoCapacity, 0},
		{"gang, not all fit", gang, nothing, nothing, false, ReasonNoCapacity, 0},
		{"no executor", oneTask, func(b *bench) { b.s.SetExecutors(nil, b.now) }, nothing, false, ReasonNoExecutor, 0},
		{"executor under a cordon", oneTask, func(b *bench) {
			b.s.Cordon(map[cluster.ExecutorID]Evacuation{"i-1": EvacuateGracefully}, b.now)
		}, nothing, false, ReasonNoExecutor, 0},
		{"no executor with its label", labelled, nothing, nothing, false, ReasonNoExecutor, 0},
		{"pause after a failure", oneTask, nothing, func(b *bench) {
			b.s.jobs["00000000000000aa"].occurrences[0].steps[0].tasks[0].retryAt = b.now.Add(time.Minute)
		}, false, ReasonLimited, 0},
		{"no ticket", oneTask, nothing, func(b *bench) {
			b.s.jobs["00000000000000aa"].Queue.Advice = &cluster.Advice{}
		}, false, ReasonLimited, 0},
		{"start on its way", spread, nothing, func(b *bench) { b.round() }, false, ReasonUnconfirmed, 0},
	}
}

// storeAway leaves a batch open for longer than the store takes.
func storeAway(b *bench) {
	b.submit("00000000000000ab", oneTask)
	b.s.Batch(b.now, 29)
	delete(b.s.jobs, "00000000000000ab")
	for _, r := range b.s.executors["i-1"].sortedRuns() {
		b.s.void(r)
	}
	b.now = b.now.Add(slowStore)
}

// fill takes all room with tasks of another job, which is at work.
func fill(b *bench, tasks int) {
	step := oneTask
	step.Count = tasks
	b.submit("00000000000000ff", step)
	b.startAll()
}

func TestReportSaysWhyNothingRuns(t *testing.T) {
	for _, c := range waitingCases() {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t, executorOf("i-1"))
			c.before(b)
			b.submit("00000000000000aa", c.step)
			c.after(b)
			r := b.s.Waiting(b.now, c.short)
			assert.Equal(t, r.Jobs, 1)
			assert.DeepEqual(t, r.Samples, map[job.ID]Reason{"00000000000000aa": c.want})
			assert.Equal(t, r.ByReason[c.want].Oldest, job.ID("00000000000000aa"))
			assert.Equal(t, r.Schedulable, c.fits)
		})
	}
}

// What runs, is not due, or needs no further start is no news.
func TestReportLeavesOutWhatNeedsNoStart(t *testing.T) {
	b := newBench(t, executorOf("i-1"))
	fill(b, 4)
	b.s.AddJob(Record{
		ID: "00000000000000aa", Accepted: b.now, Queue: QueuePolicy{Name: "q", MaxAttempts: 2},
		Definition: job.Definition{Steps: []job.Step{oneTask}, Schedule: job.Schedule{Count: 2, First: b.now.Add(time.Hour), Interval: time.Second}},
	}, nil, b.now)
	b.submit("00000000000000ab", oneTask)
	b.s.Cancel("00000000000000ab")
	r := b.s.Waiting(b.now, false)
	assert.Equal(t, r.Jobs, 0)
	assert.Equal(t, len(r.Samples), 0)
}

// A job waits from its acceptance, and a task that fits from the first report that found it
// so; both end with its start.
func TestReportTellsSinceWhen(t *testing.T) {
	b := newBench(t, executorOf("i-1"))
	b.submit("00000000000000aa", oneTask)
	accepted := b.now
	b.now = b.now.Add(5 * time.Second)
	assert.Equal(t, b.s.Waiting(b.now, false).SchedulableOldest, time.Duration(0))
	b.now = b.now.Add(time.Second)
	r := b.s.Waiting(b.now, false)
	assert.Equal(t, r.Oldest, b.now.Sub(accepted))
	assert.Equal(t, r.SchedulableOldest, time.Second)
	starts := b.startAll()
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, b.s.Waiting(b.now, false).Jobs, 0)

	v := b.view("i-1", nil)
	v.Ended, v.Running = []execution.Ended{{RunRef: v.Running[0].RunRef, Sequence: 1, Reason: execution.EndedLeaseExpired}}, nil
	b.see("i-1", v)
	assert.Equal(t, b.s.Waiting(b.now, false).Oldest, time.Duration(0)) // it has begun: from now on
}

// Tasks of a job that runs count, too, where they wait though they fit.
func TestReportCountsTasksThatFitBesideOthersOfTheirJob(t *testing.T) {
	b := newBench(t, executorOf("i-1"))
	step := oneTask
	step.Count = 6
	b.submit("00000000000000aa", step)
	assert.Equal(t, len(b.startAll()), 4)
	b.s.SetExecutors([]cluster.Executor{executorOf("i-1"), executorOf("i-2")}, b.now)
	b.see("i-2", b.view("i-2", nil))
	r := b.s.Waiting(b.now, false)
	assert.Equal(t, r.Jobs, 0)
	assert.Equal(t, r.Schedulable, 2)
}

// Tasks that would take each other's room don't all fit: under a steady load there is always
// room for some task, and none of them waits for the owner.
func TestReportCountsTasksThatFitTogether(t *testing.T) {
	b := newBench(t, executorOf("i-1"))
	step := oneTask
	step.Count = 3
	for i := range 5 {
		b.submit(testID(i+1), step)
	}
	r := b.s.Waiting(b.now, false)
	assert.Equal(t, r.Jobs, 5)
	assert.Equal(t, r.Schedulable, 4) // of 15
	assert.Equal(t, r.ByReason[ReasonNotItsTurn].Jobs, 2)
	assert.Equal(t, r.ByReason[ReasonNoCapacity].Jobs, 3)
}

// A gang that does not fit whole takes nobody's room, in whichever order jobs are examined.
func TestReportLeavesRoomOfGangsThatDoNotFit(t *testing.T) {
	b := newBench(t, executorOf("i-1"))
	gang := oneTask
	gang.Gang, gang.Count = true, 5 // 4 fit
	b.submit(testID(1), gang)
	b.submit(testID(2), oneTask)
	for range 20 {
		r := b.s.Waiting(b.now, false)
		assert.Equal(t, r.Schedulable, 1)
		assert.DeepEqual(t, r.Samples, map[job.ID]Reason{testID(1): ReasonNoCapacity, testID(2): ReasonNotItsTurn})
	}
}

// However many jobs wait, a report names a bounded number, and some later one each.
func TestReportsNameEachJobInTurn(t *testing.T) {
	b := newBench(t)
	const jobs = 3*reportNames + 1
	for i := range jobs {
		b.submit(testID(i+1), oneTask)
	}
	named := map[job.ID]int{}
	for range 4 {
		r := b.s.Waiting(b.now, false)
		assert.Equal(t, r.Jobs, jobs)
		assert.Assert(t, len(r.Samples) <= reportNames)
		for id := range r.Samples {
			named[id]++
		}
	}
	assert.Equal(t, len(named), jobs)
	for id, times := range named {
		assert.Equal(t, times, 1, "%s", id)
	}
}

// Beyond a number of comparisons a report examines no more jobs, and says so.
func TestReportIsBounded(t *testing.T) {
	b := newBench(t, executorOf("i-1"))
	labelled := oneTask
	labelled.RequiredLabel = "other"
	for i := range reportChecks + 10 {
		b.submit(testID(i+1), labelled)
	}
	r := b.s.Waiting(b.now, false)
	assert.Equal(t, r.ByReason[ReasonNoExecutor].Jobs, reportChecks)
	assert.Equal(t, r.ByReason[ReasonNotExamined].Jobs, 10)
}

// A report tells how full the batches were since the last one.
func TestReportTellsOfBatches(t *testing.T) {
	b := newBench(t, executorOf("i-1"))
	for i := range 4 {
		b.submit(testID(i+1), oneTask)
	}
	b.s.Waiting(b.now, false)
	const entries = 5 // of which the load takes one, and a start of a new job two
	b.s.Batch(b.now, entries)
	b.now = b.now.Add(time.Second)
	r := b.s.Waiting(b.now, false)
	assert.Equal(t, r.Batches, 1)
	assert.Equal(t, r.Full, 1)
	assert.Equal(t, r.Storing, time.Second)
	b.s.Committed()
	r = b.s.Waiting(b.now, false)
	assert.Equal(t, r.Batches, 0)
	assert.Equal(t, r.Storing, time.Duration(0))
}

// checkRunCounts fails where the runs of a job are not those that its tasks have.
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
			t.Fatalf("job %s has %d runs, and counts %d", id, runs, j.runs)
		}
	}
}
