package shard

import (
	"time"

	"github.com/tarragonreach/tarragonreach/api/job"
)

const (
	// overdueFactor is how many times its estimate a run takes before it is overdue:
	// beyond the spread of tasks, and the loss of those far from their data.
	overdueFactor = 3.5
	// overdueLeast is the least time after which a run is overdue.
	minOverdue = 1500 * time.Millisecond
	// stalledJobs is how many jobs must have overdue runs on an executor: one job's
	// estimate may be wrong.
	minStalledJobs = 2
	// stalledTime is how long a stalled executor gets no work.
	stalledPause = 3 * time.Second
)

// overdue reports whether the run takes far longer than a sound executor would need.
func (r *run) overdue(now time.Time) bool {
	def := r.task.step.def
	if def.LongRunning || def.Gang || def.BestEffort || r.stopping || r.phase != confirmed || r.startedAt.IsZero() {
		return false
	}
	limit := max(minOverdue, time.Duration(overdueFactor*float64(def.Estimate)))
	return now.Sub(r.startedAt) > limit
}

// judgePace notices an executor on which tasks stand still or crawl: half of its runs,
// of several jobs, are overdue. It gets no work for a while, and its overdue runs are
// stopped as far as others have room for them.
func (s *Shard) detectStall(e *executorState, now time.Time) {
	var overdue []*run
	jobs := map[job.ID]bool{}
	shortRuns := 0
	for _, r := range e.runs {
		if !r.task.step.def.LongRunning {
			shortRuns++
		}
		if r.overdue(now) {
			overdue = append(overdue, r)
			jobs[r.task.id.Job] = true
		}
	}
	if len(jobs) < minStalledJobs || 2*len(overdue) < shortRuns {
		return
	}
	sortRuns(overdue)
	e.stalledUntil = now.Add(stalledPause)
	for _, r := range overdue {
		if s.fitsElsewhere(r, now) {
			r.task.avoid = e.ID
			s.stop(r, StopStalled)
		}
	}
}

// fitsElsewhere reports whether another executor has room for the run's task beside
// those that were stopped for the same reason and are not placed yet.
func (s *Shard) fitsElsewhere(r *run, now time.Time) bool {
	capacity := -s.countStallStops()
	for _, e := range s.usableExecutors(now) {
		if e != r.executor {
			capacity += fitCount(r.task.step.def.Reservation(), e.free())
		}
	}
	return capacity > 0
}

// leavingStalled counts the runs that are being stopped on stalled executors.
func (s *Shard) countStallStops() int {
	n := 0
	for _, e := range s.executors {
		for _, r := range e.runs {
			if r.stopping && r.stopReason == StopStalled {
				n++
			}
		}
	}
	return n
}
