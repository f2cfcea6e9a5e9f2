package shard

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/execution"
	"github.com/tarragonreach/tarragonreach/api/job"
)

func drainingExecutor(id string) cluster.Executor {
	e := newExecutorNamed(id)
	e.Draining = true
	return e
}

func TestReportCountsUnusableExecutorsByReason(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name   string
		change func(h *harness)
		want   UnusableReason
	}{
		{"usable", func(*harness) {}, ""},
		{"new", func(h *harness) { h.shard.executors["i-1"].polled = false }, UnusableNotPolled},
		{"poll fails", func(h *harness) {
			h.submit(testID(1), oneTask)
			h.startAll()
			h.failPoll("i-1", Ambiguous, execution.NotRefused)
		}, UnusableCallsFail},
		{"first poll fails", func(h *harness) {
			h.shard.executors["i-1"].polled = false
			h.failPoll("i-1", Ambiguous, execution.NotRefused)
		}, UnusableCallsFail},
		{"draining", func(h *harness) {
			h.shard.SetExecutors([]cluster.Executor{drainingExecutor("i-1"), newExecutorNamed("i-2")}, h.now)
		}, UnusableDraining},
		{"was draining", func(h *harness) {
			h.shard.SetExecutors([]cluster.Executor{drainingExecutor("i-1"), newExecutorNamed("i-2")}, h.now)
			h.shard.SetExecutors([]cluster.Executor{newExecutorNamed("i-1"), newExecutorNamed("i-2")}, h.now)
		}, UnusableDraining},
		{"cordoned", func(h *harness) {
			h.shard.SetCordons(cordons(map[cluster.ExecutorID]Evacuation{"i-1": EvacuateGracefully}), h.now)
		}, UnusableCordoned},
		{"ended", func(h *harness) { h.shard.discardAll(h.shard.executors["i-1"]) }, UnusableEnded},
		{"orphans", func(h *harness) {
			h.now = h.now.Add(maxClockAge)
			response := h.listRuns("i-1", nil)
			response.Running = []execution.Running{{RunRef: execution.RunRef{Task: job.TaskID{StepID: job.StepID{Job: testID(9)}}, Run: 1}}}
			h.respondToPoll("i-1", response)
		}, UnusableOrphans},
		{"stalled", func(h *harness) { h.shard.executors["i-1"].stalledUntil = h.now.Add(stalledPause) }, UnusableStalled},
		{"suspect", func(h *harness) { h.makeSuspect("i-1") }, UnusableSuspect},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, newExecutorNamed("i-1"), newExecutorNamed("i-2"))
			c.change(h)
			want := map[UnusableReason]int{}
			if c.want != "" {
				want[c.want] = 1
				assert.Assert(t, slices.Contains(UnusableReasons, c.want))
			}
			r := h.shard.Waiting(h.now, false).Executors
			assert.Equal(t, r.Listed, 2)
			assert.DeepEqual(t, r.Unusable, want)
			h.shard.SetExecutors([]cluster.Executor{newExecutorNamed("i-2")}, h.now)
			r = h.shard.Waiting(h.now, false).Executors
			assert.Equal(t, r.Listed, 1)
			assert.Equal(t, len(r.Unusable), 0)
		})
	}
}

// Each condition by itself makes an executor unavailable, in any combination with others;
// the health matters to usable only.
func TestUsabilityFollowsFromAllConditions(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		draw := func(label string) bool { return rapid.Bool().Draw(t, label) }
		e := newExecutor(newExecutorNamed("i-1"), now)
		e.listed, e.polled, e.Draining = draw("listed"), draw("polled"), draw("draining")
		e.everDraining, e.ended = draw("ever draining"), draw("ended")
		e.cordon.Evacuation = rapid.SampledFrom([]Evacuation{NotEvacuated, EvacuateGracefully, EvacuatePreempting}).Draw(t, "cordon")
		e.failedCalls = rapid.IntRange(0, 2).Draw(t, "failed calls")
		if draw("orphans") {
			e.orphans[orphanKey{}] = &orphan{}
		}
		e.stalledUntil = now.Add(time.Duration(rapid.IntRange(-1, 1).Draw(t, "stalled until")))
		e.health.isSuspect = draw("suspect")
		available := e.listed && e.polled && !e.Draining && !e.everDraining && e.cordon.Evacuation == NotEvacuated && !e.ended &&
			e.failedCalls == 0 && len(e.orphans) == 0 && !now.Before(e.stalledUntil)
		assert.Equal(t, e.available(now), available)
		assert.Equal(t, e.usable(now), available && !e.health.isSuspect)
		assert.Equal(t, e.unusableReason(now) == UnusableSuspect, available && e.health.isSuspect)
	})
}

// changesOver reports once a second for the given time and returns the changes.
func (h *harness) changesOver(d time.Duration) []UsabilityChange {
	var list []UsabilityChange
	for end := h.now.Add(d); h.now.Before(end); {
		h.now = h.now.Add(time.Second)
		list = append(list, h.shard.Waiting(h.now, false).Executors.Changes...)
	}
	return list
}

// An executor that stays unusable is reported once after the longest lease, and once when it
// is usable again.
func TestLongUnusableExecutorIsReportedOnce(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name string
		end  func(h *harness)
		want UsabilityState
	}{
		{"usable again", func(h *harness) { h.shard.SetCordons(nil, h.now) }, UsableAgain},
		{"removed", func(h *harness) { h.shard.SetExecutors(nil, h.now) }, NoLongerListed},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, newExecutorNamed("i-1"))
			h.shard.SetCordons(cordons(map[cluster.ExecutorID]Evacuation{"i-1": EvacuateGracefully}), h.now)
			since := h.now.Add(time.Second) // the first report
			assert.Equal(t, len(h.changesOver(testLimits.MaxRunLease+time.Second)), 0)
			want := UsabilityChange{Executor: "i-1", State: UnusableForLong, Reason: UnusableCordoned, Since: since}
			assert.DeepEqual(t, h.changesOver(2*testLimits.MaxRunLease), []UsabilityChange{want})
			c.end(h)
			want.State = c.want
			assert.DeepEqual(t, h.changesOver(2*testLimits.MaxRunLease), []UsabilityChange{want})
		})
	}
}

// An executor that is usable at one report in between is not reported.
func TestBrieflyUnusableExecutorIsNotReported(t *testing.T) {
	t.Parallel()
	h := newHarness(t, newExecutorNamed("i-1"))
	for range 3 {
		h.shard.SetCordons(cordons(map[cluster.ExecutorID]Evacuation{"i-1": EvacuateGracefully}), h.now)
		assert.Equal(t, len(h.changesOver(testLimits.MaxRunLease)), 0)
		h.shard.SetCordons(nil, h.now)
		assert.Equal(t, len(h.changesOver(time.Second)), 0)
	}
}

// However many executors are unusable, each report lists a bounded number, and each executor
// is listed once.
func TestUsabilityChangesAreBoundedPerReport(t *testing.T) {
	t.Parallel()
	const executors = 2*maxReportChanges + 1
	var list []cluster.Executor
	for i := range executors {
		list = append(list, drainingExecutor(string(testID(i+1))))
	}
	h := newHarness(t, list...)
	h.changesOver(testLimits.MaxRunLease + time.Second)
	listed := map[cluster.ExecutorID]int{}
	for range 4 {
		changes := h.changesOver(time.Second)
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
