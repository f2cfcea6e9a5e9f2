package shard

import "time"

// StopReason is why a run is stopped, for the log.
type StopReason string

// Reasons to stop a run.
const (
	StopCancelled  StopReason = "cancelled"   // its job was cancelled
	StopJobFailed  StopReason = "job-failed"  // a task of its job failed too often
	StopEvacuated  StopReason = "evacuated"   // its executor is evacuated
	StopStalled    StopReason = "stalled"     // tasks stall on its executor
	StopUnanswered StopReason = "unanswered"  // it is not known whether it started
	StopNoCapacity StopReason = "no-room"     // its executor shrank before the start was confirmed
	StopDoneBefore StopReason = "done-before" // an earlier run completed the task
	StopOrphan     StopReason = "not-started" // an orphan: this owner did not start it
	// StopOrphanElsewhere is the reason for a run that is not known to have started: an orphan of
	// its task is still at work.
	StopOrphanElsewhere StopReason = "orphan-elsewhere"
)

// evacuateInterval is the minimum time before a poll result triggers another search for
// runs to evacuate.
const evacuateInterval = 20 * time.Millisecond

// evacuate stops long-running runs on cordoned or draining executors, as far as
// mayEvacuate allows, and preempts runs of late jobs for other services.
func (s *Shard) evacuate(now time.Time) {
	s.evacuating, s.evacuateDue = false, false
	s.evacuatedAt = now
	if len(s.leaving) == 0 {
		return
	}
	d := &destinations{shard: s, now: now}
	for _, e := range s.leaving {
		s.evacuating = s.evacuating || e.hasLongRunning()
		for _, r := range e.sortedRuns() {
			if r.phase == confirmed && s.shouldEvacuate(r, d, now) {
				s.stop(r, StopEvacuated)
			}
		}
	}
}

// shouldEvacuate reports whether a run on a leaving executor is stopped now rather than
// left to complete.
func (s *Shard) shouldEvacuate(r *run, d *destinations, now time.Time) bool {
	if r.task.step.def.LongRunning {
		return s.mayEvacuate(r, d, now)
	}
	return r.executor.cordon.Evacuation == EvacuatePreempting && r.preemptible(now)
}

// minPreemptRemaining is the estimated remaining time, with a margin, up to which a run
// is left to complete: stopping it, including the poll that shows the stop, takes half of
// that time and would lose its work.
const minPreemptRemaining = 1 * time.Second

// preemptible reports whether the run may be preempted for another service: its job is
// late, and the run is not about to complete.
func (r *run) preemptible(now time.Time) bool {
	if r.stopping || r.task.step.def.Gang {
		return false
	}
	return r.task.remaining(now) > minPreemptRemaining && r.task.step.job.urgency(now) > urgencyInTime
}

// mayEvacuate reports whether a long-running run may be stopped now.
func (s *Shard) mayEvacuate(r *run, d *destinations, now time.Time) bool {
	if r.stopping {
		return false
	}
	if r.executor.everDraining {
		return true // the executor stops it soon in any case
	}
	unavailable := 0
	for _, t := range r.task.step.tasks {
		if !t.available(now) {
			unavailable++
		}
	}
	// The tasks of a step without MaxUnavailable are moved one by one.
	return unavailable < max(1, r.task.step.def.MaxUnavailable) && d.take(r.task.step)
}

// destinations are the executors on which evacuated tasks may start again. They are looked up
// when the first task needs one.
type destinations struct {
	shard     *Shard
	now       time.Time
	known     bool
	executors []*executorState
	taken     int // tasks that are being evacuated and need a destination
}

// take reports whether there is capacity for a task of the step besides the tasks that are
// being evacuated, and counts it among them if so.
func (d *destinations) take(st *step) bool {
	if !d.known {
		d.executors = d.shard.usableExecutors(d.now)
		d.taken = d.shard.countStops(StopEvacuated)
		d.known = true
	}
	capacity := 0
	for _, e := range d.executors {
		if st.allows(e, d.now) {
			capacity += st.capacityOn(e, e.free())
		}
		if capacity > d.taken {
			d.taken++
			return true
		}
	}
	return false
}

// available reports whether the task was recently seen running at full speed. If its
// executor does not respond, the executor and the task may be lost.
func (t *task) available(now time.Time) bool {
	r := t.current
	return r != nil && !r.stopping && r.phase == confirmed && r.percent >= 100 &&
		!r.executor.ended && r.executor.failedCalls == 0 && now.Sub(r.executor.lastResponse) < maxResponseAge
}
