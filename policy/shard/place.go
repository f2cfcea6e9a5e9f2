package shard

import (
	"cmp"
	"slices"
	"time"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/job"
)

// Penalties of a placement, in the unit of usedShare: 1 is a whole executor.
const (
	penaltyRepeatedFailure  = 1e6   // where the step repeatedly failed; exceeds all others
	penaltyRemoteData       = 100.0 // not on the rack that holds the task's data
	penaltyLastFailure      = 50.0  // on the executor where the task last failed
	penaltySameRack         = 10.0  // for each task of the same long-running step on the rack
	penaltyFirstLongRunning = 15.0  // a long-running task on an executor that has none
	penaltyBesideServing    = 5.0   // a best-effort task beside tasks that serve users
	penaltyHeld             = 4.0   // on an executor that is held for another step
	penaltyLostPlace        = 2.0   // for each place for a large task that the placement uses up
)

// place decides runs for the ready tasks of a step, as far as capacity allows. A gang
// is placed all or nothing.
func (b *builder) place(st *step, ready []*task) []*run {
	var runs []*run
	rack := b.rackFor(st)
	var gangTrials []*executorState
	if st.def.Gang {
		gangTrials = slices.Clone(b.trialCandidates())
	}
	for _, t := range ready {
		e := b.chooseExecutor(t, rack, gangTrials)
		if e == nil {
			if st.def.Gang {
				b.revert(runs)
				return nil
			}
			b.considerReservation(st)
			break
		}
		runs = append(runs, b.decide(t, e))
	}
	if st.def.Gang {
		alignRuns(runs)
	}
	if len(runs) == len(ready) {
		st.unplacedSince = time.Time{}
	}
	return runs
}

// revert removes runs that were decided in this batch.
func (b *builder) revert(runs []*run) {
	b.unplaceable, b.roomless = nil, nil // the capacity of the runs is free again
	for _, r := range runs {
		r.executor.removeRun(r)
		r.task.current = nil
		r.task.lastRun--
	}
}

// alignRuns gives all runs of a gang the same run number and checkpoint.
func alignRuns(runs []*run) {
	highest := 0
	for _, r := range runs {
		highest = max(highest, r.number)
	}
	for _, r := range runs {
		r.number, r.task.lastRun = highest, highest
		r.checkpoint = runs[0].checkpoint
	}
}

// decide creates a run of the task on the executor.
func (b *builder) decide(t *task, e *executorState) *run {
	lease := b.shard.limits.RunLease
	ahead := b.shard.takePrepared(t, e)
	if !ahead {
		t.lastRun++
	}
	r := &run{
		task: t, number: t.lastRun, executor: e, phase: decided,
		untilMs:    e.clock(b.now) + lease.Milliseconds(),
		checkpoint: t.checkpoint,
		ticket:     t.step.tickets.byExecutor[e.Incarnation()],
		throttle:   100, wantedThrottle: 100, writtenAhead: ahead,
	}
	e.extendLeaseBound(b.now, lease)
	t.current = r
	t.crashes.trial = false
	b.useHeld(t, e)
	e.addRun(r)
	return r
}

// chooseExecutor returns the best executor for the task, or nil: a healthy one, or else a
// suspect one for a trial run, or else, for a long-running task, a last resort. An executor
// on which the step repeatedly failed is chosen only if there is no other. The runs of a gang
// are one trial together, on gangTrials.
func (b *builder) chooseExecutor(t *task, rack string, gangTrials []*executorState) *executorState {
	best := b.healthyExecutor(t, rack)
	if b.suits(best, t) {
		return best
	}
	if t.mayBeTrial(b.now) {
		trials := gangTrials
		if !t.step.def.Gang {
			trials = b.trialCandidates()
		}
		trial, _ := b.bestOf(trials, t, rack)
		if b.suits(trial, t) {
			return trial
		}
		best = cmp.Or(best, trial)
	}
	resort := b.lastResort(t, rack)
	if b.suits(resort, t) {
		return resort
	}
	return cmp.Or(best, resort)
}

// suits reports whether there is an executor and the task's step has not repeatedly failed
// there.
func (b *builder) suits(e *executorState, t *task) bool {
	return e != nil && !t.step.failsOn(e.Incarnation(), b.now)
}

// healthyExecutor returns the best executor for the task among those without restriction, or
// nil.
func (b *builder) healthyExecutor(t *task, rack string) *executorState {
	if b.isUnplaceable(t.step) {
		return nil
	}
	b.refusedByHold, b.refusedBySlack = false, false
	best, fits := b.bestOf(b.usable(), t, rack)
	if !fits && !(b.refusedByHold && t.step.def.Gang) {
		b.noteUnplaceable(t.step)
	}
	if best == nil && b.refusedByHold {
		t.step.heldBackAt = b.now
	}
	return best
}

// bestOf returns the executor of the list with the lowest placement cost for the task, or
// nil; fits reports whether any has capacity for it that is not held, whatever the step's
// constraints.
func (b *builder) bestOf(list []*executorState, t *task, rack string) (best *executorState, fits bool) {
	var bestCost float64
	need := t.step.def.Reservation()
	for _, e := range list {
		if !need.Fits(e.free()) {
			continue
		}
		if !b.mayUse(e, t.step) {
			b.refusedByHold = true
			b.refusedBySlack = b.refusedBySlack || !e.hold.reservation.firm
			continue
		}
		fits = true
		if !t.step.allows(e, b.now) || rack != "" && e.Rack() != rack {
			continue
		}
		cost := placementCost(t, e)
		if len(b.uneven.references) > 0 && !t.step.def.LongRunning {
			cost += b.unevenCost(t, need, e)
		}
		if t.step.failsOn(e.Incarnation(), b.now) {
			cost += penaltyRepeatedFailure
		}
		if best == nil || cost < bestCost {
			best, bestCost = e, cost
		}
	}
	return best, fits
}

// trialCandidates returns the suspect executors that may still be given a trial run in this
// batch.
func (b *builder) trialCandidates() []*executorState {
	if !b.trialsListed {
		b.trials = b.shard.trialExecutors(b.now)
		b.trialsListed = true
	}
	b.trials = slices.DeleteFunc(b.trials, func(e *executorState) bool { return !e.allowsTrial(b.now) })
	return b.trials
}

// mayBeTrial reports whether the task may use up an attempt on a suspect executor.
func (t *task) mayBeTrial(now time.Time) bool {
	return t.failures == 0 || !now.Before(t.retryAt.Add(retryOnSuspect))
}

// unplaceable is a need for which no executor had capacity. If there was some that is held for
// another step, runTime is how long the capacity was needed, and latestStart when the job had to start,
// if that counted; otherwise they are zero.
type unplaceable struct {
	need        job.Resources
	runTime     time.Duration
	latestStart time.Time
}

// noteUnplaceable records a step for which no executor has capacity; it replaces those that
// need more.
func (b *builder) noteUnplaceable(st *step) {
	failed := unplaceable{need: st.def.Reservation()}
	if b.refusedByHold {
		failed.runTime = b.backfillTime(st, st.def.Affinity != "")
		if b.refusedBySlack {
			failed.latestStart = b.latestStart(st)
		}
	}
	b.unplaceable = slices.DeleteFunc(b.unplaceable, func(other unplaceable) bool {
		return failed.need.Fits(other.need) && failed.runTime <= other.runTime && !failed.latestStart.After(other.latestStart)
	})
	b.unplaceable = append(b.unplaceable, failed)
}

// isUnplaceable reports whether no executor had capacity for the step's need, or for a
// smaller one, earlier in this batch: free capacity only shrinks while a batch is planned, and
// what is held stays so.
func (b *builder) isUnplaceable(st *step) bool {
	need := st.def.Reservation()
	for _, failed := range b.unplaceable {
		if !failed.need.Fits(need) {
			continue
		}
		if failed.runTime == 0 {
			return true
		}
		if st.reservation != nil || st.def.LongRunning || !failed.latestStart.IsZero() && failed.latestStart.After(b.latestStart(st)) {
			continue
		}
		if failed.runTime <= b.backfillTime(st, false) {
			st.heldBackAt = b.now
			return true
		}
	}
	return false
}

// usable returns the executors that may be given work, by ID.
func (b *builder) usable() []*executorState {
	if b.candidates == nil {
		b.candidates = b.shard.executorsWith(b.mayBeGivenWork)
	}
	return b.candidates
}

func (b *builder) mayBeGivenWork(e *executorState) bool { return e.acceptsWork(b.now) }

// acceptsWork reports whether the executor may be given tasks, other than trials, capacity aside.
func (e *executorState) acceptsWork(now time.Time) bool {
	return e.usable(now) && !e.reserved && e.trials == 0
}

// allows reports whether the executor meets the step's constraints, capacity aside.
func (s *step) allows(e *executorState, now time.Time) bool {
	return s.meets(e) && (s.job.Queue.Advice == nil || s.hasTicket(e.Incarnation(), now))
}

// meets reports whether the executor meets the step's constraints, capacity and tickets aside.
func (s *step) meets(e *executorState) bool {
	if s.def.RequiredLabel != "" && !slices.Contains(e.Labels, s.def.RequiredLabel) {
		return false
	}
	return s.def.MaxPerServer <= 0 || e.runsOf(s) < s.def.MaxPerServer
}

// placementCost returns a cost that is lower for better executors: near the task's data,
// not where the task last failed, and for long-running tasks on few executors but on
// other racks than the rest of the step. Otherwise the fullest executor is best, so that
// others stay empty and can move to another service. For a task that serves users, and
// among executors that run such tasks, the emptiest one is best, since other work slows
// these tasks down.
func placementCost(t *task, e *executorState) float64 {
	def := t.step.def
	serving := e.serving > 0
	cost := -usedShare(e.used, e.Capacity)
	if serving || def.TargetLatency > 0 {
		cost = usedShare(e.used, e.Capacity)
	}
	if def.Affinity != "" && e.Rack() != def.Affinity {
		cost += penaltyRemoteData
	}
	if t.avoid == e.Incarnation() {
		cost += penaltyLastFailure
	}
	if def.LongRunning {
		cost += penaltySameRack * float64(tasksOnRack(t.step, e.Rack()))
		if !e.hasLongRunning() {
			cost += penaltyFirstLongRunning
		}
	}
	if def.BestEffort && serving {
		cost += penaltyBesideServing
	}
	return cost
}

// unevenCost returns the part of the placement cost that counts only where some tasks need far
// more than others.
func (b *builder) unevenCost(t *task, need job.Resources, e *executorState) float64 {
	cost := b.uneven.fragmentationCost(need, e.free(), e.Capacity)
	if e.hold != nil && e.hold.reservation.step != t.step {
		cost += penaltyHeld
	}
	return cost
}

// usedShare returns the larger of the used shares of processor and memory.
func usedShare(used, capacity job.Resources) float64 {
	share := 0.0
	if capacity.MilliCPU > 0 {
		share = float64(used.MilliCPU) / float64(capacity.MilliCPU)
	}
	if capacity.MemoryMB > 0 {
		share = max(share, float64(used.MemoryMB)/float64(capacity.MemoryMB))
	}
	return share
}

// tasksOnRack returns how many tasks of the step have a run on the rack.
func tasksOnRack(st *step, rack string) int {
	n := 0
	for _, t := range st.tasks {
		if t.current != nil && t.current.executor.Rack() == rack {
			n++
		}
	}
	return n
}

// rackFor returns the rack for all tasks of a step with SameRack, or "" if the step has no
// such constraint or no rack has capacity for all of them.
func (b *builder) rackFor(st *step) string {
	if !st.def.SameRack {
		return ""
	}
	for _, t := range st.tasks {
		if t.current != nil {
			return b.rackBeside(st, t.current.executor.Rack())
		}
	}
	capacity := map[string]int{}
	best := ""
	for _, e := range b.usable() {
		rack := e.Rack()
		capacity[rack] += b.capacityFor(st, e)
		if capacity[rack] >= st.def.Count && best == "" {
			best = rack
		}
	}
	return best
}

// rackBeside returns the rack of the step's other tasks. For a long-running step it
// returns "" if that rack is full, since the tasks there may never end.
func (b *builder) rackBeside(st *step, rack string) string {
	full := !slices.ContainsFunc(b.usable(), func(e *executorState) bool {
		return e.Rack() == rack && b.capacityFor(st, e) > 0
	})
	if full && st.def.LongRunning {
		return ""
	}
	return rack
}

// capacityFor returns how many further tasks of the step may be placed on the executor; none
// where the step repeatedly failed.
func (b *builder) capacityFor(st *step, e *executorState) int {
	if !st.allows(e, b.now) || st.failsOn(e.Incarnation(), b.now) {
		return 0
	}
	return st.capacityOn(e, e.free())
}

// capacityOn returns how many further tasks of the step fit into the free capacity of an
// executor that the step allows.
func (s *step) capacityOn(e *executorState, free job.Resources) int {
	n := fitCount(s.def.Reservation(), free)
	if limit := s.def.MaxPerServer; limit > 0 {
		n = min(n, limit-e.runsOf(s))
	}
	return n
}

// fitCount returns how many tasks fit into the free capacity.
func fitCount(need, free job.Resources) int {
	n := int64(job.MaxTasks)
	if need.MilliCPU > 0 {
		n = min(n, free.MilliCPU/need.MilliCPU)
	}
	if need.MemoryMB > 0 {
		n = min(n, free.MemoryMB/need.MemoryMB)
	}
	if need.GPU > 0 {
		n = min(n, free.GPU/need.GPU)
	}
	return int(max(0, n))
}

// hasTicket reports whether the step has a valid advice ticket for the executor.
func (s *step) hasTicket(executor cluster.Incarnation, now time.Time) bool {
	return s.tickets.byExecutor[executor] != "" && now.Before(s.tickets.validUntil)
}
