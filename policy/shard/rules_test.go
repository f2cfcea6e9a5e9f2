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

// executorOnRack returns an executor on the rack.
func executorOnRack(id, rack string) cluster.Executor {
	e := newExecutorNamed(id)
	e.Labels = []string{"a", rack}
	return e
}

// startAll stores, sends and confirms all starts, and returns them.
func (h *harness) startAll() []Command {
	var starts []Command
	for range 20 {
		for _, cmd := range h.storeAndCommand() {
			if cmd.Kind == CommandStart {
				starts = append(starts, cmd)
			}
			h.shard.HandleCommandResult(cmd, Responded, execution.Reply{ClockMs: 1000}, h.now)
		}
	}
	return starts
}

// listRuns returns a poll response that lists all runs of an executor as running, with
// their usage by image.
func (h *harness) listRuns(id string, usage map[string]int64) execution.PollResponse {
	response := execution.PollResponse{Reply: execution.Reply{ClockMs: 1000 + h.now.Sub(time.Unix(1000, 0)).Milliseconds()}}
	for _, r := range h.shard.executors[cluster.ExecutorID(id)].sortedRuns() {
		response.Running = append(response.Running, execution.Running{RunRef: r.ref(), Percent: 100, Usage: usage[r.task.step.def.Image]})
	}
	return response
}

// respondToPoll responds to the next poll of the executor with response, and to polls of
// other executors with lists of their runs.
func (h *harness) respondToPoll(id string, response execution.PollResponse) {
	h.t.Helper()
	for range 100 {
		h.now = h.now.Add(50 * time.Millisecond)
		seen := false
		for _, poll := range h.shard.Polls(h.now) {
			if string(poll.Executor.ID) == id {
				h.shard.HandlePollResult(poll, Responded, response, h.now)
				seen = true
				continue
			}
			h.shard.HandlePollResult(poll, Responded, h.listRuns(string(poll.Executor.ID), nil), h.now)
		}
		if seen {
			return
		}
	}
	h.t.Fatalf("executor %s is not polled", id)
}

func TestGangStartsAllOrNothingWithOneRunNumber(t *testing.T) {
	t.Parallel()
	h := newHarness(t, newExecutorNamed("i-1"), newExecutorNamed("i-2"))
	gang := oneTask
	gang.Gang, gang.Count = true, 9 // 8 fit
	h.submit("00000000000000aa", gang)
	assert.Equal(t, len(h.startAll()), 0)
	assert.Equal(t, h.shard.executors["i-1"].used, job.Resources{})
	gang.Count = 8
	h.submit("00000000000000ab", gang)
	starts := h.startAll()
	assert.Equal(t, len(starts), 8)
	for _, s := range starts {
		assert.Equal(t, s.Start.Run, 1)
	}
}

// One member of a gang fails, and the others end as a consequence: all start again together.
func TestBrokenGangRestartsTogether(t *testing.T) {
	t.Parallel()
	h := newHarness(t, newExecutorNamed("i-1"))
	gang := oneTask
	gang.Gang, gang.Count = true, 2
	h.submit("00000000000000aa", gang)
	starts := h.startAll()
	assert.Equal(t, len(starts), 2)
	response := h.listRuns("i-1", nil)
	first := response.Running[0].RunRef
	response.Running = response.Running[1:]
	response.Ended = []execution.Ended{{RunRef: first, Sequence: 1, Reason: execution.EndedFailed}}
	h.respondToPoll("i-1", response)
	assert.Equal(t, len(h.startAll()), 0) // the other member still runs
	response = execution.PollResponse{Reply: response.Reply, Ended: []execution.Ended{{RunRef: starts[1].Start.RunRef, Sequence: 2, Reason: execution.EndedGangBroken}}}
	if first == starts[1].Start.RunRef {
		response.Ended[0].RunRef = starts[0].Start.RunRef
	}
	h.respondToPoll("i-1", response)
	h.now = h.now.Add(time.Second)
	again := h.startAll()
	assert.Equal(t, len(again), 2)
	for _, s := range again {
		assert.Equal(t, s.Start.Run, 2)
	}
}

func TestPlacementKeepsStepConstraints(t *testing.T) {
	t.Parallel()
	h := newHarness(t, executorOnRack("i-1", "r1-1"), executorOnRack("i-2", "r1-2"))
	labelled := oneTask
	labelled.RequiredLabel, labelled.Count = "r1-2", 3
	h.submit("00000000000000aa", labelled)
	for _, s := range h.startAll() {
		assert.Equal(t, s.Executor.ID, cluster.ExecutorID("i-2"))
	}
	spread := oneTask
	spread.MaxPerServer, spread.Count, spread.Need.MilliCPU = 1, 3, 100
	h.submit("00000000000000ab", spread)
	assert.Equal(t, len(h.startAll()), 2)
}

func TestDataLocalityOutweighsFreeCapacity(t *testing.T) {
	t.Parallel()
	h := newHarness(t, executorOnRack("i-1", "r1-1"), executorOnRack("i-2", "r1-2"))
	near := oneTask
	near.Affinity, near.Count = "r1-2", 4
	h.submit("00000000000000aa", near)
	starts := h.startAll()
	assert.Equal(t, len(starts), 4)
	for _, s := range starts {
		assert.Equal(t, s.Executor.ID, cluster.ExecutorID("i-2"))
	}
}

func TestDrainingAndCordonedExecutorsGetNoStart(t *testing.T) {
	t.Parallel()
	draining, cordoned := newExecutorNamed("i-1"), newExecutorNamed("i-2")
	h := newHarness(t, draining, cordoned)
	draining.Draining = true
	h.shard.SetExecutors([]cluster.Executor{draining, cordoned}, h.now)
	h.shard.SetCordons(cordons(map[cluster.ExecutorID]Evacuation{"i-2": EvacuateGracefully}), h.now)
	h.submit("00000000000000aa", oneTask)
	assert.Equal(t, len(h.startAll()), 0)
	// An executor that was listed as draining stays unusable when it is listed as ready.
	draining.Draining = false
	h.shard.SetExecutors([]cluster.Executor{draining, cordoned}, h.now)
	assert.Equal(t, len(h.startAll()), 0)
}

// The executor of one of a step's tasks stops responding: no other task may be moved, not
// even before the lease of the first has expired.
func TestLongRunningTaskIsNotMovedWhileAnotherMayBeUnavailable(t *testing.T) {
	t.Parallel()
	h := newHarness(t, newExecutorNamed("i-1"), newExecutorNamed("i-2"), newExecutorNamed("i-3"))
	longRunning := job.Step{Count: 3, Need: job.Resources{MilliCPU: 1000}, LongRunning: true, MaxUnavailable: 1, MaxPerServer: 1}
	h.submit("00000000000000aa", longRunning)
	assert.Equal(t, len(h.startAll()), 3)
	for _, id := range []string{"i-1", "i-2", "i-3"} {
		h.respondToPoll(id, h.listRuns(id, nil))
	}
	h.now = h.now.Add(20 * time.Millisecond)
	for _, poll := range h.shard.Polls(h.now) {
		delivery := Responded
		if poll.Executor.ID == "i-1" {
			delivery = Ambiguous
		}
		h.shard.HandlePollResult(poll, delivery, h.listRuns(string(poll.Executor.ID), nil), h.now)
	}
	h.shard.SetCordons(cordons(map[cluster.ExecutorID]Evacuation{"i-2": EvacuateGracefully}), h.now)
	for _, cmd := range h.storeAndCommand() {
		assert.Assert(t, cmd.Kind != CommandStop, "%s is stopped", cmd.Start.Task)
	}
}

func TestBestEffortTasksAreThrottledBeforeServingTasksMissTheirTarget(t *testing.T) {
	t.Parallel()
	h := newHarness(t, newExecutorNamed("i-1"))
	serving := job.Step{Count: 1, Need: job.Resources{MilliCPU: 1000}, LongRunning: true, TargetLatency: 100 * time.Millisecond, Image: "serve"}
	bestEffort := job.Step{Count: 1, Need: job.Resources{MilliCPU: 9000}, BestEffort: true, Estimate: time.Minute, Image: "fill"}
	h.submit("00000000000000aa", serving)
	h.submit("00000000000000ab", bestEffort)
	assert.Equal(t, len(h.startAll()), 2) // the CPU need of a best-effort task is not reserved
	throttleAt := func(tail int64) int {
		h.respondToPoll("i-1", h.listRuns("i-1", map[string]int64{"serve": tail}))
		h.now = h.now.Add(throttleInterval)
		percent := -1
		for _, cmd := range h.shard.Commands(h.now) {
			if cmd.Kind == CommandThrottle {
				percent = cmd.Percent
				h.shard.HandleCommandResult(cmd, Responded, execution.Reply{ClockMs: 1000}, h.now)
			}
		}
		return percent
	}
	assert.Equal(t, throttleAt(50), -1)
	assert.Equal(t, throttleAt(90), 50)
	assert.Equal(t, throttleAt(120), 0)
	assert.Equal(t, throttleAt(70), -1) // between the thresholds nothing changes
	assert.Equal(t, throttleAt(40), throttleStep)
}

func TestStartsOfAnAdvisedQueueCarryTheTicket(t *testing.T) {
	t.Parallel()
	h := newHarness(t, newExecutorNamed("i-1"), newExecutorNamed("i-2"))
	h.shard.AddJob(Record{
		ID: "00000000000000aa", Accepted: h.now, Definition: job.Definition{Steps: []job.Step{oneTask}},
		Queue: QueuePolicy{Name: "q", MaxAttempts: 2, Advice: &cluster.Advice{Validity: 3 * time.Second}},
	}, nil, h.now)
	assert.Equal(t, len(h.startAll()), 0)
	requests := h.adviceRequests()
	assert.Equal(t, len(requests), 1)
	assert.Equal(t, len(requests[0].Executors), 2)
	assert.Equal(t, len(h.adviceRequests()), 0) // the request is in flight
	h.respondToAdvice(requests[0], map[cluster.ExecutorID]string{"i-2": "ticket"}, 3*time.Second)
	starts := h.startAll()
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Executor.ID, cluster.ExecutorID("i-2"))
	assert.Equal(t, starts[0].Start.Ticket, "ticket")
}

// Under load beyond the capacity, late jobs that are about to expire get a bounded share,
// and the rest goes to jobs that can be in time.
func TestExpiringJobsDoNotDelayAllOthers(t *testing.T) {
	t.Parallel()
	h := newHarness(t, newExecutorNamed("i-1"))
	for i := range 20 {
		late := Record{
			ID: job.ID(fmt.Sprintf("a%015x", i)), Accepted: h.now.Add(-4500 * time.Millisecond),
			Definition: job.Definition{Steps: []job.Step{oneTask}},
			Queue:      QueuePolicy{Name: "q", MaxAttempts: 2, Stretch: 1.6, TargetDuration: 600 * time.Millisecond},
		}
		h.shard.AddJob(late, nil, h.now)
		assert.Equal(t, h.shard.jobs[late.ID].urgency(h.now), urgencyExpiring)
		fresh := late
		fresh.ID = job.ID(fmt.Sprintf("f%015x", i))
		fresh.Accepted = h.now
		h.shard.AddJob(fresh, nil, h.now)
	}
	starts := h.startAll()
	assert.Equal(t, len(starts), 4)
	inTime := 0
	for _, s := range starts {
		if s.Start.Task.Job[0] == 'f' {
			inTime++
		}
	}
	assert.Assert(t, inTime >= 3, "%d of 4 starts are of jobs in time", inTime)
}

// An executor on which several jobs fail gets no more work for a while; repeated failures
// of one job, which may fail everywhere, don't make it suspect.
func TestSuspectExecutorGetsNoWork(t *testing.T) {
	t.Parallel()
	h := newHarness(t, newExecutorNamed("i-1"))
	state := &h.shard.executors["i-1"].health
	for range 10 {
		state.recordFailure("00000000000000aa", h.now)
	}
	assert.Assert(t, !state.suspect())
	for _, id := range []job.ID{"01", "02", "03"} {
		state.recordFailure(id, h.now)
	}
	assert.Assert(t, state.suspect())
	h.submit("00000000000000ab", oneTask)
	assert.Equal(t, len(h.startAll()), 0)
	h.submit("00000000000000ac", oneTask)
	h.now = h.now.Add(minTrialPause)
	h.shard.dirty = true
	assert.Equal(t, len(h.startAll()), 1)
	state.recordFailure("04", h.now) // the trial run fails as well
	assert.Assert(t, state.suspect())
	assert.Equal(t, len(h.startAll()), 0)
}

// A machine is needed for another service whose jobs can still be in time: runs of late
// jobs are preempted, except those about to complete; runs of jobs in time are not.
func TestLateJobsArePreemptedForOtherServices(t *testing.T) {
	t.Parallel()
	long := oneTask
	long.Estimate = 2 * time.Second
	for _, c := range []struct {
		name       string
		evacuation Evacuation
		late       bool
		elapsed    time.Duration
		stopped    bool
	}{
		{"late", EvacuatePreempting, true, 0, true},
		{"in time", EvacuatePreempting, false, 0, false},
		{"late, about to complete", EvacuatePreempting, true, 2300 * time.Millisecond, false},
		{"late, evacuated gracefully", EvacuateGracefully, true, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, newExecutorNamed("i-1"))
			h.submit("00000000000000aa", long)
			h.startAll()
			h.respondToPoll("i-1", h.listRuns("i-1", nil))
			r := h.shard.executors["i-1"].sortedRuns()[0]
			r.startedAt = h.now.Add(-c.elapsed)
			if c.late {
				j := r.task.step.job
				j.Accepted = h.now.Add(-j.objective())
			}
			h.shard.SetCordons(cordons(map[cluster.ExecutorID]Evacuation{"i-1": c.evacuation}), h.now)
			assert.Equal(t, r.stopping, c.stopped)
		})
	}
}

// The time for which a task has run is subtracted from its estimate, so that a job close to
// completion is not taken to be late.
func TestElapsedRunTimeReducesTheRemainingEstimate(t *testing.T) {
	t.Parallel()
	h := newHarness(t, newExecutorNamed("i-1"))
	long := oneTask
	long.Estimate = 2 * time.Second
	h.submit("00000000000000aa", long)
	h.startAll()
	h.respondToPoll("i-1", h.listRuns("i-1", nil))
	r := h.shard.executors["i-1"].sortedRuns()[0]
	j := r.task.step.job
	r.startedAt = h.now
	j.Accepted = h.now.Add(time.Second - j.objective()) // one second is left, the task takes two
	assert.Equal(t, j.urgency(h.now), urgencyLate)
	r.startedAt = h.now.Add(-1800 * time.Millisecond)
	assert.Equal(t, j.urgency(h.now), urgencyInTime)
}

// A burst of jobs exceeds one store transaction: each batch uses all its entries and is
// marked as full, so that the next one follows at once.
func TestBurstIsStartedInFullBatches(t *testing.T) {
	t.Parallel()
	var executors []cluster.Executor
	for i := range 10 {
		executors = append(executors, newExecutorNamed(fmt.Sprintf("i-%d", i)))
	}
	h := newHarness(t, executors...)
	for i := range 40 {
		h.submit(job.ID(fmt.Sprintf("%016x", i+1)), oneTask)
	}
	const entries = 29
	started := 0
	for batch := h.shard.Batch(h.now, entries); batch != nil && len(batch.starts) > 0; batch = h.shard.Batch(h.now, entries) {
		assert.Assert(t, entriesOfBatch(batch) <= entries)
		started += len(batch.starts)
		assert.Equal(t, batch.Full, started < 40)
		if batch.Full {
			assert.Assert(t, len(batch.starts) >= (entries-loadEntries-waitingEntries)/2)
		}
		h.shard.Committed()
	}
	assert.Equal(t, started, 40)
}

// Long-running tasks leave an executor one by one, each after the previous one was seen
// running elsewhere: polls must not wait long in that time.
func TestEvacuationIsNotDelayedByLongPolls(t *testing.T) {
	t.Parallel()
	h := newHarness(t, newExecutorNamed("i-1"), newExecutorNamed("i-2"))
	longRunning := job.Step{Count: 4, Need: job.Resources{MilliCPU: 1000}, LongRunning: true, MaxUnavailable: 1}
	h.submit("00000000000000aa", longRunning)
	assert.Equal(t, len(h.startAll()), 4)
	waits := func() []time.Duration {
		var list []time.Duration
		for range 40 {
			h.now = h.now.Add(50 * time.Millisecond)
			for _, poll := range h.shard.Polls(h.now) {
				list = append(list, poll.Request.Wait)
				h.shard.HandlePollResult(poll, Responded, h.listRuns(string(poll.Executor.ID), nil), h.now)
			}
		}
		return list
	}
	assert.Assert(t, slices.Contains(waits(), pollWait))
	from := anyJob(h.shard).occurrences[0].steps[0].tasks[0].current.executor.ID
	h.shard.SetCordons(cordons(map[cluster.ExecutorID]Evacuation{from: EvacuateGracefully}), h.now)
	assert.Assert(t, !slices.Contains(waits(), pollWait))
}

// Tasks of two jobs stall on one executor: their runs are stopped, so that the tasks start
// elsewhere, and the executor gets no work for a while. If runs of only one job are overdue,
// they are not stopped, since its estimate may be wrong, nor if there is no capacity elsewhere.
func TestOverdueRunsAreStoppedOnAStalledExecutor(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name              string
		jobs              int
		capacityElsewhere bool
		stopped           int
	}{
		{"two jobs", 2, true, 4},
		{"one job", 1, true, 0},
		{"no capacity elsewhere", 2, false, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, newExecutorNamed("i-1"))
			step := oneTask
			step.Count = 4 / c.jobs
			for i := range c.jobs {
				h.submit(job.ID(fmt.Sprintf("%016x", i+1)), step)
			}
			assert.Equal(t, len(h.startAll()), 4)
			if c.capacityElsewhere {
				h.shard.SetExecutors([]cluster.Executor{newExecutorNamed("i-1"), newExecutorNamed("i-2")}, h.now)
				h.respondToPoll("i-2", h.listRuns("i-2", nil))
			}
			h.now = h.now.Add(4 * time.Second)
			h.respondToPoll("i-1", h.listRuns("i-1", nil))
			stopped := 0
			for _, r := range h.shard.executors["i-1"].sortedRuns() {
				if r.stopping {
					stopped++
				}
			}
			assert.Equal(t, stopped, c.stopped)
			assert.Equal(t, h.shard.executors["i-1"].usable(h.now), c.jobs == 1)
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
