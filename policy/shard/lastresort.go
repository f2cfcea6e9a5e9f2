package shard

import "time"

// lastResortAfter is how long long-running tasks find no capacity before they may start on a
// cordoned or suspect executor: one that is on its way to the service is better.
const lastResortAfter = 2 * time.Second

// lastResort returns the best executor for a long-running task that finds no capacity on
// others, or nil: a stalled one, or, once tasks of its step have waited for lastResortAfter, a
// suspect one on which short runs last, or a cordoned one. The planner then drops the move
// that the executor is cordoned for; a maintenance waits until the task has a destination.
func (b *builder) lastResort(t *task, rack string) *executorState {
	if !t.step.def.LongRunning {
		return nil
	}
	if best, _ := b.bestOf(b.stalledExecutors(), t, rack); best != nil {
		return best
	}
	if t.step.unplacedSince.IsZero() {
		t.step.unplacedSince = b.now
	}
	if b.now.Sub(t.step.unplacedSince) < lastResortAfter {
		return nil
	}
	others := b.shard.executorsWith(func(e *executorState) bool {
		return e.staysWithRuns() || e.unusableReason(b.now) == UnusableSuspect
	})
	best, _ := b.bestOf(others, t, rack)
	return best
}

// stalledExecutors returns the executors that get no other work because tasks stalled there,
// by ID. They are the last resort of long-running tasks: whether the tasks stalled or their
// estimates were too low is not certain, and may remain so for as long as they run.
func (b *builder) stalledExecutors() []*executorState {
	if b.stalled == nil {
		b.stalled = b.shard.executorsWith(func(e *executorState) bool {
			return e.unavailableReason(b.now) == UnusableStalled
		})
	}
	return b.stalled
}

// staysWithRuns reports whether a cordoned executor certainly stays for as long as it has
// runs. One that was reported as empty may be taken away at any moment.
func (e *executorState) staysWithRuns() bool {
	return e.cordoned() && len(e.runs) > 0 && !e.reportedEmpty && e.inherentReason() == ""
}
