package shard

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/job"
)

// suspicionsNow returns the changes that a report has now.
func (h *harness) suspicionsNow() []SuspicionChange {
	return h.shard.Waiting(h.now, false).Executors.Suspicions
}

// A report tells once that an executor became suspect, with the jobs that failed, and once
// that the suspicion was cleared.
func TestSuspicionIsReportedOnceWithItsFailures(t *testing.T) {
	t.Parallel()
	h := newHarness(t, newExecutorNamed("i-1"), newExecutorNamed("i-2"))
	state := &h.shard.executors["i-2"].health
	state.recordFailure(testID(9), h.now)
	state.recordSuccess()
	for i := range suspectFailures {
		assert.Equal(t, len(h.suspicionsNow()), 0)
		state.recordFailure(testID(i+1), h.now)
		state.recordFailure(testID(i+1), h.now) // counts once
	}
	want := SuspicionChange{Executor: "i-2", Since: h.now, FailedJobs: []job.ID{testID(1), testID(2), testID(3), testID(4)}}
	h.now = h.now.Add(time.Second)
	state.recordFailure(testID(5), h.now) // a trial
	assert.DeepEqual(t, h.suspicionsNow(), []SuspicionChange{want})
	assert.Equal(t, len(h.suspicionsNow()), 0)
	state.recordSuccess()
	want.Cleared = true
	assert.DeepEqual(t, h.suspicionsNow(), []SuspicionChange{want})
	state.recordSuccess()
	assert.Equal(t, len(h.suspicionsNow()), 0)
}

// A suspicion that begins and ends between two reports is reported; of many, the latest.
func TestBriefSuspicionsAreReported(t *testing.T) {
	t.Parallel()
	h := newHarness(t, newExecutorNamed("i-1"))
	var last time.Time
	for range maxSuspicionChanges {
		h.now = h.now.Add(time.Millisecond)
		last = h.now
		h.makeSuspect("i-1")
		h.shard.executors["i-1"].health.recordSuccess()
	}
	changes := h.suspicionsNow()
	assert.Equal(t, len(changes), maxSuspicionChanges)
	for i, change := range changes {
		assert.Equal(t, change.Cleared, i%2 == 1)
	}
	assert.Equal(t, changes[len(changes)-1].Since, last)
}

// However many executors become suspect at once, each report lists a bounded number, and
// each executor is listed once.
func TestSuspicionChangesAreBoundedPerReport(t *testing.T) {
	t.Parallel()
	const executors = 2*maxReportChanges + 1
	var list []cluster.Executor
	for i := range executors {
		list = append(list, newExecutorNamed(string(testID(i+1))))
	}
	h := newHarness(t, list...)
	for _, e := range list {
		h.makeSuspect(e.ID)
	}
	listed := map[cluster.ExecutorID]int{}
	for range 4 {
		changes := h.suspicionsNow()
		assert.Assert(t, len(changes) <= maxReportChanges)
		for _, c := range changes {
			listed[c.Executor]++
		}
	}
	assert.Equal(t, len(listed), executors)
	for id, times := range listed {
		assert.Equal(t, times, 1, "%s", id)
	}
}

// Long-running tasks never succeed, so they can't clear a suspicion: on an executor without
// other work they start as trials, all of them, once the pause is over.
func TestLongRunningTasksStartOnASuspectExecutor(t *testing.T) {
	t.Parallel()
	h := newHarness(t, newExecutorNamed("i-1"))
	h.makeSuspect("i-1")
	h.submit("00000000000000aa", longRunningSteps(3))
	assert.Equal(t, len(h.startAll()), 0)
	h.now = h.now.Add(minTrialPause)
	h.shard.dirty = true
	assert.Equal(t, len(h.startAll()), 3)
	assert.DeepEqual(t, h.shard.Waiting(h.now, false).Executors.Unusable, map[UnusableReason]int{UnusableSuspect: 1})
}
