package shard

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxTrialGroup bounds the suspects of one crash each that are tried together, if more of them
	// wait than there are executors for trials.
	maxTrialGroup = 4
	// trialShare is the part of the usable executors that may be reserved for trials; at least one
	// may.
	trialShare = 0.25
	// crashingMemory is how long after a task was given up suspects of a single crash are isolated
	// too: other tasks are probably the cause of other crashes.
	crashingMemory = 30 * time.Second
	// emptyExecutorPatience is how long a task that may have ended two executors waits for one
	// without other runs.
	emptyExecutorPatience = 3 * time.Second
)

// mustIsolate reports whether the task's next run must be isolated: several executors have crashed
// under it, or one has, and other tasks were found to crash executors lately.
func (s *Shard) mustIsolate(t *task, now time.Time) bool {
	return t.crashes.repeated() || t.crashes.suspect() && now.Before(s.crashingUntil)
}

// waitingSuspects returns the tasks to isolate that could start now, those of the earliest crash
// first.
func (s *Shard) waitingSuspects(now time.Time) []*task {
	var list []*task
	for t := range s.suspects {
		j := t.step.job
		if !t.crashes.suspect() || t.done || j.terminating() || s.jobs[j.ID] != j {
			delete(s.suspects, t)
			continue
		}
		if s.mustIsolate(t, now) && t.current == nil && t.step.blockers == 0 && !now.Before(t.retryAt) {
			list = append(list, t)
		}
	}
	slices.SortFunc(list, func(a, b *task) int {
		return cmp.Or(cmp.Compare(a.crashes.number, b.crashes.number), compareTasks(a.id, b.id))
	})
	return list
}

// startSuspects starts suspects in isolation, and reserves executors for those that find no
// place.
func (b *builder) startSuspects() {
	if b.shard.crashingTaskFound {
		b.shard.crashingTaskFound = false
		b.shard.crashingUntil = b.now.Add(crashingMemory)
	}
	if len(b.shard.suspects) == 0 && b.shard.reserved == 0 {
		return
	}
	waiting := b.withinPortions(b.shard.waitingSuspects(b.now))
	usable := b.shard.usableExecutors(b.now)
	limit := max(1, int(trialShare*float64(len(usable))))
	b.reserve(waiting, usable, limit)
	groupSize := min(maxTrialGroup, (len(waiting)+limit-1)/limit)
	for _, t := range waiting {
		if t.crashes.waiting.IsZero() {
			t.crashes.waiting = b.now
		}
		if !b.startFits(t.step.job) {
			return
		}
		if e := b.trialExecutor(t, usable, groupSize); e != nil && b.mayStart(t) {
			b.startTrial(t, e)
		}
	}
}

func (b *builder) startTrial(t *task, e *executorState) {
	r := b.decide(t, e)
	r.trial = true
	e.trials++
	e.reserved = false
	t.crashes.trial = true
	t.crashes.waiting = time.Time{}
	b.addRuns(t.step, []*run{r})
}

// reserve reserves executors for the suspects that wait: no other task starts there until their
// trial.
func (b *builder) reserve(waiting []*task, usable []*executorState, limit int) {
	reserved := map[*executorState]bool{}
	for _, t := range waiting {
		if len(reserved) == limit {
			break
		}
		if e := b.bestToReserve(t, usable, reserved); e != nil {
			reserved[e] = true
		}
	}
	for _, e := range b.shard.executors {
		e.reserved = reserved[e]
	}
	b.shard.reserved = len(reserved)
}

// bestToReserve returns the executor that can be isolated for the task at the least cost: one
// that is reserved already, else the one with the fewest runs.
func (b *builder) bestToReserve(t *task, usable []*executorState, taken map[*executorState]bool) *executorState {
	return cheapestToIsolate(usable, func(e *executorState) bool {
		return !taken[e] && e.trials == 0 && t.step.allows(e, b.now) && t.step.def.Reservation().Fits(e.Capacity)
	})
}

// cheapestToIsolate returns the eligible executor that can be isolated at the least cost, or nil.
func cheapestToIsolate(executors []*executorState, eligible func(*executorState) bool) *executorState {
	var best *executorState
	for _, e := range executors {
		if eligible(e) && (best == nil || compareIsolation(e, best) < 0) {
			best = e
		}
	}
	return best
}

// compareIsolation orders executors by what their isolation costs.
func compareIsolation(x, y *executorState) int {
	notReserved := func(e *executorState) int {
		if e.reserved {
			return 0
		}
		return 1
	}
	return cmp.Or(
		cmp.Compare(x.longRunning, y.longRunning),
		cmp.Compare(notReserved(x), notReserved(y)),
		cmp.Compare(len(x.runs), len(y.runs)),
		cmp.Compare(x.ID, y.ID),
	)
}

// trialExecutor returns the executor on which the suspect can start without any other suspect of
// a crash, or nil. Suspects of a single crash may share one trial.
func (b *builder) trialExecutor(t *task, usable []*executorState, groupSize int) *executorState {
	needsEmpty := t.crashes.repeated() && len(usable) > 1 && b.now.Sub(t.crashes.waiting) < emptyExecutorPatience
	return cheapestToIsolate(usable, func(e *executorState) bool {
		apart := isolated(e, t, groupSize) && (len(e.runs) == 0 || !needsEmpty)
		return apart && t.step.allows(e, b.now) && t.step.def.Reservation().Fits(e.free())
	})
}

// isolated reports whether a crash of the executor after a start of the task could be blamed on
// nothing else that started there, except for other suspects of the same trial.
func isolated(e *executorState, t *task, groupSize int) bool {
	group := 0
	for _, r := range e.runs {
		if r.survived() {
			continue
		}
		shared := r.trial && r.phase == decided && !r.task.crashes.repeated() && !t.crashes.repeated()
		if !shared {
			return false
		}
		group++
	}
	return group < max(1, groupSize)
}
