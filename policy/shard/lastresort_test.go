package shard

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/job"
)

func cordon(ids ...cluster.ExecutorID) map[cluster.ExecutorID]Cordon {
	list := map[cluster.ExecutorID]Cordon{}
	for _, id := range ids {
		list[id] = Cordon{ID: "1", Evacuation: EvacuateGracefully}
	}
	return list
}

// startsWithin returns the start commands that the shard sends within d, to executors that
// respond to all polls with their runs.
func (h *harness) startsWithin(d time.Duration) []Command {
	var starts []Command
	for end := h.now.Add(d); h.now.Before(end); h.now = h.now.Add(50 * time.Millisecond) {
		h.pollListingRuns()
		starts = append(starts, h.startAll()...)
	}
	return starts
}

// A long-running task on a cordoned executor runs on there until it has somewhere to go.
func TestLongRunningTaskIsNotStoppedWithoutADestination(t *testing.T) {
	t.Parallel()
	h := newHarness(t, newExecutorNamed("i-1"))
	h.submit("00000000000000aa", longRunningTask)
	h.startAll()
	h.respondToPoll("i-1", h.listRuns("i-1", nil))
	r := h.shard.executors["i-1"].sortedRuns()[0]
	h.shard.SetCordons(cordon("i-1"), h.now)
	assert.Assert(t, !r.stopping)
	h.shard.SetExecutors([]cluster.Executor{newExecutorNamed("i-1"), newExecutorNamed("i-2")}, h.now)
	h.startsWithin(time.Second)
	assert.Assert(t, r.stopping)
}

// The planner has cordoned all executors of a service. A long-running task may share one that
// others keep, but not an empty one, which may move at any moment.
func TestLongRunningTaskStartsOnACordonedExecutorThatStays(t *testing.T) {
	t.Parallel()
	for _, inUse := range []bool{true, false} {
		h := newHarness(t, newExecutorNamed("i-1"))
		if inUse {
			h.submit("00000000000000aa", longRunningTask)
			assert.Equal(t, len(h.startAll()), 1)
		}
		h.shard.SetCordons(cordon("i-1"), h.now)
		h.submit("00000000000000ab", longRunningTask)
		assert.Equal(t, len(h.startsWithin(lastResortAfter-100*time.Millisecond)), 0)
		starts := h.startsWithin(startBound)
		if !inUse {
			assert.Equal(t, len(starts), 0)
			continue
		}
		assert.Equal(t, len(starts), 1)
		assert.Equal(t, starts[0].Executor.ID, cluster.ExecutorID("i-1"))
	}
}

// Once a load has shown a cordoned executor as empty, its machine may be on its way.
func TestNoTaskStartsOnACordonedExecutorReportedAsEmpty(t *testing.T) {
	t.Parallel()
	h := newHarness(t, newExecutorNamed("i-1"))
	h.shard.SetCordons(cordon("i-1"), h.now)
	assert.Equal(t, h.shard.load(h.now).Executors["i-1"].Runs, 0)
	e := h.shard.executors["i-1"]
	e.addRun(&run{task: newOccurrence(newJob(Record{Definition: job.Definition{Steps: []job.Step{longRunningTask}}}), 0).steps[0].tasks[0], executor: e})
	assert.Assert(t, !e.staysWithRuns())
	h.shard.SetCordons(nil, h.now)
	h.shard.SetCordons(map[cluster.ExecutorID]Cordon{"i-1": {ID: "2", Evacuation: EvacuateGracefully}}, h.now)
	assert.Assert(t, e.staysWithRuns())
}

// All executors became suspect while a short task lasts on each: no trial run is due before these
// end. A long-running task must not wait for them.
func TestLongRunningTaskStartsOnSuspectExecutorsBesideLastingTasks(t *testing.T) {
	t.Parallel()
	h := newHarness(t, newExecutorNamed("i-1"), newExecutorNamed("i-2"))
	lasting := oneTask
	lasting.Estimate, lasting.Count, lasting.MaxPerServer = time.Minute, 2, 1
	h.submit("00000000000000ab", lasting)
	assert.Equal(t, len(h.startAll()), 2)
	h.makeSuspect("i-1")
	h.makeSuspect("i-2")
	h.submit("00000000000000aa", longRunningSteps(2))
	assert.Equal(t, len(h.startsWithin(lastResortAfter+time.Second)), 2)
}
