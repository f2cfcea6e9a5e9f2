package shard

import "time"

// StopReason says why a run is stopped, for the log.
type StopReason string

// Reasons to stop a run.
const (
	StopCancelled  StopReason = "cancelled"   // its job was
	StopJobFailed  StopReason = "job-failed"  // another task failed too often
	StopEvacuated  StopReason = "evacuated"   // its executor is to be emptied
	StopStalled    StopReason = "stalled"     // tasks stand still there
	StopUnanswered StopReason = "unanswered"  // whether it began is not known
	StopDoneBefore StopReason = "done-before" // an earlier run of the task was done after all
	StopOrphan     StopReason = "not-started" // nobody of this term started it
)

// evacuateEvery is the least time between two searches after looks.
const evacuateInterval = 20 * time.Millisecond

// evacuate stops lasting runs on executors that are about to leave, as far as
// their steps may miss tasks, and runs that make room for other services.
func (s *Shard) evacuate(now time.Time) {
	s.evacuating, s.evacuateDue = false, false
	s.evacuatedAt = now
	for _, e := range s.leaving {
		s.evacuating = s.evacuating || e.hasLongRunning()
		for _, r := range e.sortedRuns() {
			if r.phase == confirmed && s.shouldEvacuate(r, now) {
				s.stop(r, StopEvacuated)
			}
		}
	}
}

// shouldLeave reports whether a run on an executor that is emptied is stopped rather
// than left to its end.
func (s *Shard) shouldEvacuate(r *run, now time.Time) bool {
	if r.task.step.def.LongRunning {
		return s.mayEvacuate(r, now)
	}
	return r.executor.evacuation == EvacuatePreempting && r.preemptible(now)
}

// shortRest is how much of a run may be left, by a careful estimate, for it to be let
// end: a stop and a look after it take half as long, and its work would be lost.
const minPreemptRemaining = 1 * time.Second

// yields reports whether the run makes room for another service: its job is late, and
// the run not about to end.
func (r *run) preemptible(now time.Time) bool {
	if r.stopping || r.task.step.def.Gang {
		return false
	}
	return r.task.remaining(now) > minPreemptRemaining && r.task.step.job.urgency(now) > urgencyInTime
}

// mayMove reports whether a lasting run may be taken away now.
func (s *Shard) mayEvacuate(r *run, now time.Time) bool {
	if r.stopping {
		return false
	}
	if r.executor.everDraining {
		return true // it ends soon in any case
	}
	unavailable := 0
	for _, t := range r.task.step.tasks {
		if !t.available(now) {
			unavailable++
		}
	}
	// A step that says nothing of missing tasks is moved one by one.
	return unavailable < max(1, r.task.step.def.MaxUnavailable)
}

// atWork reports whether the task was seen at work just now. An executor that does
// not answer may be gone, and its tasks with it.
func (t *task) available(now time.Time) bool {
	r := t.current
	return r != nil && !r.stopping && r.phase == confirmed && r.percent >= 100 &&
		r.executor.failedCalls == 0 && now.Sub(r.executor.lastResponse) < maxResponseAge
}
