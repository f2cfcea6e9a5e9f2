package shard

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/execution"
	"github.com/tarragonreach/tarragonreach/api/job"
)

// rackExecutor is an executor on a rack.
func rackExecutor(id, rack string) cluster.Executor {
	e := executorOf(id)
	e.Labels = []string{"a", rack}
	return e
}

// startAll stores, sends and confirms all starts, and returns them.
func (b *bench) startAll() []Command {
	var starts []Command
	for range 20 {
		for _, o := range b.round() {
			if o.Kind == CommandStart {
				starts = append(starts, o)
			}
			b.s.HandleCommandResult(o, Answered, execution.Reply{ClockMs: 1000}, b.now)
		}
	}
	return starts
}

// view lists all runs of an executor as at work, with their figures by image.
func (b *bench) view(id string, usage map[string]int64) execution.PollResponse {
	v := execution.PollResponse{Reply: execution.Reply{ClockMs: 1000 + b.now.Sub(time.Unix(1000, 0)).Milliseconds()}}
	for _, r := range b.s.executors[cluster.ExecutorID(id)].sortedRuns() {
		v.Running = append(v.Running, execution.Running{RunRef: r.ref(), Percent: 100, Usage: usage[r.task.step.def.Image]})
	}
	return v
}

// see answers the next look at an executor.
func (b *bench) see(id string, v execution.PollResponse) {
	b.t.Helper()
	for range 100 {
		b.now = b.now.Add(50 * time.Millisecond)
		seen := false
		for _, look := range b.s.Polls(b.now) {
			if string(look.Executor.ID) == id {
				b.s.HandlePollResult(look, Answered, v, b.now)
				seen = true
				continue
			}
			b.s.HandlePollResult(look, Answered, b.view(string(look.Executor.ID), nil), b.now)
		}
		if seen {
			return
		}
	}
	b.t.Fatalf("no look at %s", id)
}

func TestGangStartsWholeWithOneRunNumberOrNotAtAll(t *testing.T) {
	b := newBench(t, executorOf("i-1"), executorOf("i-2"))
	gang := oneTask
	gang.Gang, gang.Count = true, 9 // 8 fit
	b.submit("00000000000000aa", gang)
	assert.Equal(t, len(b.startAll()), 0)
	assert.Equal(t, b.s.executors["i-1"].used, job.Resources{})
	gang.Count = 8
	b.submit("00000000000000ab", gang)
	starts := b.startAll()
	assert.Equal(t, len(starts), 8)
	for _, s := range starts {
		assert.Equal(t, s.Start.Run, 1)
	}
}

// One member of a gang ends broken, the others follow; all start again together.
func TestBrokenGangStartsAgainTogether(t *testing.T) {
	b := newBench(t, executorOf("i-1"))
	gang := oneTask
	gang.Gang, gang.Count = true, 2
	b.submit("00000000000000aa", gang)
	starts := b.startAll()
	assert.Equal(t, len(starts), 2)
	v := b.view("i-1", nil)
	first := v.Running[0].RunRef
	v.Running = v.Running[1:]
	v.Ended = []execution.Ended{{RunRef: first, Sequence: 1, Reason: execution.EndedFailed}}
	b.see("i-1", v)
	assert.Equal(t, len(b.startAll()), 0) // the other member is still there
	v = execution.PollResponse{Reply: v.Reply, Ended: []execution.Ended{{RunRef: starts[1].Start.RunRef, Sequence: 2, Reason: execution.EndedGangBroken}}}
	if first == starts[1].Start.RunRef {
		v.Ended[0].RunRef = starts[0].Start.RunRef
	}
	b.see("i-1", v)
	b.now = b.now.Add(time.Second)
	again := b.startAll()
	assert.Equal(t, len(again), 2)
	for _, s := range again {
		assert.Equal(t, s.Start.Run, 2)
	}
}

func TestStepsConditionsOfPlaceAreKept(t *testing.T) {
	b := newBench(t, rackExecutor("i-1", "r1-1"), rackExecutor("i-2", "r1-2"))
	labelled := oneTask
	labelled.RequiredLabel, labelled.Count = "r1-2", 3
	b.submit("00000000000000aa", labelled)
	for _, s := range b.startAll() {
		assert.Equal(t, s.Executor.ID, cluster.ExecutorID("i-2"))
	}
	spread := oneTask
	spread.MaxPerServer, spread.Count, spread.Need.MilliCPU = 1, 3, 100
	b.submit("00000000000000ab", spread)
	assert.Equal(t, len(b.startAll()), 2)
}

func TestDataIsPreferredToEmptiness(t *testing.T) {
	b := newBench(t, rackExecutor("i-1", "r1-1"), rackExecutor("i-2", "r1-2"))
	near := oneTask
	near.Affinity, near.Count = "r1-2", 4
	b.submit("00000000000000aa", near)
	starts := b.startAll()
	assert.Equal(t, len(starts), 4)
	for _, s := range starts {
		assert.Equal(t, s.Executor.ID, cluster.ExecutorID("i-2"))
	}
}

func TestDrainingAndCordonedExecutorsGetNoStart(t *testing.T) {
	draining, cordoned := executorOf("i-1"), executorOf("i-2")
	b := newBench(t, draining, cordoned)
	draining.Draining = true
	b.s.SetExecutors([]cluster.Executor{draining, cordoned}, b.now)
	b.s.Cordon(map[cluster.ExecutorID]Evacuation{"i-2": EvacuateGracefully}, b.now)
	b.submit("00000000000000aa", oneTask)
	assert.Equal(t, len(b.startAll()), 0)
	// An entry that returns as ready is still that of an executor which leaves.
	draining.Draining = false
	b.s.SetExecutors([]cluster.Executor{draining, cordoned}, b.now)
	assert.Equal(t, len(b.startAll()), 0)
}

// An executor of the step's third task goes dark: another one must not be moved, even
// before the lease of the first has lapsed.
func TestLastingTaskIsNotMovedWhileAnotherMayBeAway(t *testing.T) {
	b := newBench(t, executorOf("i-1"), executorOf("i-2"), executorOf("i-3"))
	lasting := job.Step{Count: 3, Need: job.Resources{MilliCPU: 1000}, LongRunning: true, MaxUnavailable: 1, MaxPerServer: 1}
	b.submit("00000000000000aa", lasting)
	assert.Equal(t, len(b.startAll()), 3)
	for _, id := range []string{"i-1", "i-2", "i-3"} {
		b.see(id, b.view(id, nil))
	}
	b.now = b.now.Add(20 * time.Millisecond)
	for _, look := range b.s.Polls(b.now) {
		d := Answered
		if look.Executor.ID == "i-1" {
			d = Ambiguous
		}
		b.s.HandlePollResult(look, d, b.view(string(look.Executor.ID), nil), b.now)
	}
	b.s.Cordon(map[cluster.ExecutorID]Evacuation{"i-2": EvacuateGracefully}, b.now)
	for _, o := range b.round() {
		assert.Assert(t, o.Kind != CommandStop, "%s is stopped", o.Start.Task)
	}
}

func TestFillersAreSlowedBeforeServingTasksMissTheirTarget(t *testing.T) {
	b := newBench(t, executorOf("i-1"))
	serving := job.Step{Count: 1, Need: job.Resources{MilliCPU: 1000}, LongRunning: true, TargetLatency: 100 * time.Millisecond, Image: "serve"}
	filler := job.Step{Count: 1, Need: job.Resources{MilliCPU: 9000}, BestEffort: true, Estimate: time.Minute, Image: "fill"}
	b.submit("00000000000000aa", serving)
	b.submit("00000000000000ab", filler)
	assert.Equal(t, len(b.startAll()), 2) // a filler's processor need is not counted
	paces := func(tail int64) int {
		b.see("i-1", b.view("i-1", map[string]int64{"serve": tail}))
		b.now = b.now.Add(paceEvery)
		pace := -1
		for _, o := range b.s.Commands(b.now) {
			if o.Kind == CommandThrottle {
				pace = o.Percent
				b.s.HandleCommandResult(o, Answered, execution.Reply{ClockMs: 1000}, b.now)
			}
		}
		return pace
	}
	assert.Equal(t, paces(50), -1)
	assert.Equal(t, paces(90), 50)
	assert.Equal(t, paces(120), 0)
	assert.Equal(t, paces(70), -1) // within the band nothing changes
	assert.Equal(t, paces(40), paceStep)
}

func TestStartsOfAnAdvisedQueueCarryTheTicket(t *testing.T) {
	b := newBench(t, executorOf("i-1"), executorOf("i-2"))
	b.s.AddJob(Record{
		ID: "00000000000000aa", Accepted: b.now, Definition: job.Definition{Steps: []job.Step{oneTask}},
		Queue: QueuePolicy{Name: "q", MaxAttempts: 2, Advice: &cluster.Advice{Validity: 3 * time.Second}},
	}, nil, b.now)
	assert.Equal(t, len(b.startAll()), 0)
	questions := b.s.AdviceRequests(b.now)
	assert.Equal(t, len(questions), 1)
	assert.Equal(t, len(questions[0].Executors), 2)
	assert.Equal(t, len(b.s.AdviceRequests(b.now)), 0) // it is on its way
	b.s.HandleAdvice(questions[0], map[cluster.ExecutorID]string{"i-2": "ticket"}, 3*time.Second, b.now, b.now)
	starts := b.startAll()
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Executor.ID, cluster.ExecutorID("i-2"))
	assert.Equal(t, starts[0].Start.Ticket, "ticket")
}

// Under more load than the room holds, late jobs that are about to expire get a share
// of it, and the rest goes to jobs that can be in time.
func TestExpiringJobsDoNotPushAllOthersBack(t *testing.T) {
	b := newBench(t, executorOf("i-1"))
	for i := range 20 {
		late := Record{
			ID: job.ID(fmt.Sprintf("a%015x", i)), Accepted: b.now.Add(-4500 * time.Millisecond),
			Definition: job.Definition{Steps: []job.Step{oneTask}},
			Queue:      QueuePolicy{Name: "q", MaxAttempts: 2, Stretch: 1.6, TargetDuration: 600 * time.Millisecond},
		}
		b.s.AddJob(late, nil, b.now)
		assert.Equal(t, b.s.jobs[late.ID].standing(b.now), standingExpiring)
		fresh := late
		fresh.ID = job.ID(fmt.Sprintf("f%015x", i))
		fresh.Accepted = b.now
		b.s.AddJob(fresh, nil, b.now)
	}
	starts := b.startAll()
	assert.Equal(t, len(starts), 4)
	inTime := 0
	for _, s := range starts {
		if s.Start.Task.Job[0] == 'f' {
			inTime++
		}
	}
	assert.Assert(t, inTime >= 3, "%d of 4 starts are in time", inTime)
}

// An executor that fails everything gets no more work for a while; a job that fails
// everywhere does not make executors suspect.
func TestSuspectExecutorIsLeftAlone(t *testing.T) {
	b := newBench(t, executorOf("i-1"))
	h := &b.s.executors["i-1"].health
	for range 10 {
		h.failed("00000000000000aa", b.now)
	}
	assert.Assert(t, !h.suspect(b.now))
	for _, id := range []job.ID{"01", "02", "03"} {
		h.failed(id, b.now)
	}
	assert.Assert(t, h.suspect(b.now))
	b.submit("00000000000000ab", oneTask)
	assert.Equal(t, len(b.startAll()), 0)
	b.now = b.now.Add(suspectTime)
	b.s.touched = true
	assert.Equal(t, len(b.startAll()), 1)
	h.failed("04", b.now) // the trial fails as well
	assert.Assert(t, h.suspect(b.now))
}

// Other services' jobs can be in time on a machine whose own jobs are late: those give
// way where the machine is wanted for that, jobs in time and ends close by do not.
func TestLateJobsGiveWayToOtherServices(t *testing.T) {
	long := oneTask
	long.Estimate = 2 * time.Second
	for _, c := range []struct {
		name     string
		emptying Evacuation
		late     bool
		atWork   time.Duration
		stopped  bool
	}{
		{"late", EvacuatePreempting, true, 0, true},
		{"in time", EvacuatePreempting, false, 0, false},
		{"about to end", EvacuatePreempting, true, 2300 * time.Millisecond, false},
		{"at leisure", EvacuateGracefully, true, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t, executorOf("i-1"))
			b.submit("00000000000000aa", long)
			b.startAll()
			b.see("i-1", b.view("i-1", nil))
			r := b.s.executors["i-1"].sortedRuns()[0]
			r.startedAt = b.now.Add(-c.atWork)
			if c.late {
				j := r.task.step.job
				j.Accepted = b.now.Add(-j.objective())
			}
			b.s.Cordon(map[cluster.ExecutorID]Evacuation{"i-1": c.emptying}, b.now)
			assert.Equal(t, r.stopping, c.stopped)
		})
	}
}

// A job whose last tasks have run for a while has only the rest before it.
func TestWorkDoneCountsForTheJobsEnd(t *testing.T) {
	b := newBench(t, executorOf("i-1"))
	long := oneTask
	long.Estimate = 2 * time.Second
	b.submit("00000000000000aa", long)
	b.startAll()
	b.see("i-1", b.view("i-1", nil))
	r := b.s.executors["i-1"].sortedRuns()[0]
	j := r.task.step.job
	r.startedAt = b.now
	j.Accepted = b.now.Add(time.Second - j.objective()) // a second is left, the task takes two
	assert.Equal(t, j.standing(b.now), standingLate)
	r.startedAt = b.now.Add(-1800 * time.Millisecond)
	assert.Equal(t, j.standing(b.now), standingInTime)
}

// A burst of jobs, more than a transaction holds: each batch is filled to the last
// entry and says that more waits, so that the next one follows at once.
func TestBurstIsStartedInFullBatches(t *testing.T) {
	var executors []cluster.Executor
	for i := range 10 {
		executors = append(executors, executorOf(fmt.Sprintf("i-%d", i)))
	}
	b := newBench(t, executors...)
	for i := range 40 {
		b.submit(job.ID(fmt.Sprintf("%016x", i+1)), oneTask)
	}
	const entries = 29
	started := 0
	for batch := b.s.Batch(b.now, entries); batch != nil && len(batch.starts) > 0; batch = b.s.Batch(b.now, entries) {
		assert.Assert(t, entriesOfBatch(batch) <= entries)
		started += len(batch.starts)
		assert.Equal(t, batch.Full, started < 40)
		if batch.Full {
			assert.Assert(t, len(batch.starts) >= (entries-loadEntries-waitingEntries)/2)
		}
		b.s.Committed()
	}
	assert.Equal(t, started, 40)
}

// Lasting tasks leave an executor one by one, each once the last one was seen at work
// elsewhere: meanwhile looks don't wait for long.
func TestEvacuationIsNotHeldUpByLongLooks(t *testing.T) {
	b := newBench(t, executorOf("i-1"), executorOf("i-2"))
	lasting := job.Step{Count: 4, Need: job.Resources{MilliCPU: 1000}, LongRunning: true, MaxUnavailable: 1}
	b.submit("00000000000000aa", lasting)
	assert.Equal(t, len(b.startAll()), 4)
	waits := func() []time.Duration {
		var list []time.Duration
		for range 40 {
			b.now = b.now.Add(50 * time.Millisecond)
			for _, look := range b.s.Polls(b.now) {
				list = append(list, look.Request.Wait)
				b.s.HandlePollResult(look, Answered, b.view(string(look.Executor.ID), nil), b.now)
			}
		}
		return list
	}
	assert.Assert(t, slices.Contains(waits(), lookWait))
	from := anyJob(b.s).occurrences[0].steps[0].tasks[0].current.executor.ID
	b.s.Cordon(map[cluster.ExecutorID]Evacuation{from: EvacuateGracefully}, b.now)
	assert.Assert(t, !slices.Contains(waits(), lookWait))
}

// Tasks of two jobs stand still on one executor: they go elsewhere, and it gets no work
// for a while. One job alone may have a wrong estimate, and without room elsewhere its
// runs are left.
func TestRunsLeaveAnExecutorOnWhichTasksStandStill(t *testing.T) {
	for _, c := range []struct {
		name    string
		jobs    int
		room    bool
		stopped int
	}{
		{"two jobs", 2, true, 4},
		{"one job", 1, true, 0},
		{"no room elsewhere", 2, false, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t, executorOf("i-1"))
			step := oneTask
			step.Count = 4 / c.jobs
			for i := range c.jobs {
				b.submit(job.ID(fmt.Sprintf("%016x", i+1)), step)
			}
			assert.Equal(t, len(b.startAll()), 4)
			if c.room {
				b.s.SetExecutors([]cluster.Executor{executorOf("i-1"), executorOf("i-2")}, b.now)
				b.see("i-2", b.view("i-2", nil))
			}
			b.now = b.now.Add(4 * time.Second)
			b.see("i-1", b.view("i-1", nil))
			stopped := 0
			for _, r := range b.s.executors["i-1"].sortedRuns() {
				if r.stopping {
					stopped++
				}
			}
			assert.Equal(t, stopped, c.stopped)
			assert.Equal(t, b.s.executors["i-1"].usable(b.now), c.jobs == 1)
		})
	}
}

// anyJob returns a job of a shard that has one.
func anyJob(s *Shard) *jobState {
	for _, j := range s.jobs {
		return j
	}
	return nil
}
