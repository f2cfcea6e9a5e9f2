package shard

import (
	"time"

	"github.com/tarragonreach/tarragonreach/api/job"
)

const (
	// overdueFactor is how many times its estimate a run may take before it is overdue. It
	// allows for the spread of task durations and for the slowdown far from the data.
	overdueFactor = 3.5
	// minOverdue is the minimum run time before a run is overdue.
	minOverdue = 1500 * time.Millisecond
	// minStalledJobs is how many jobs must have overdue runs on a stalled executor: the
	// estimate of a single job may be wrong.
	minStalledJobs = 2
	// stalledPause is how long a stalled executor gets no work.
	stalledPause = 3 * time.Second
)

// overdue reports whether the run has taken far longer than on a healthy executor.
func (r *run) overdue(now time.Time) bool {
	def := r.task.step.def
	if def.LongRunning || def.Gang || def.BestEffort || r.stopping || r.phase != confirmed || r.startedAt.IsZero() {
		return false
	}
	limit := max(minOverdue, time.Duration(overdueFactor*float64(def.Estimate)))
	return now.Sub(r.startedAt) > limit
}

// detectStall detects an executor on which tasks stall or run very slowly: at least half of
// its short runs, of several jobs, are overdue. The executor gets no work for stalledPause,
// and its overdue runs are stopped as far as other executors have capacity for their tasks.
func (s *Shard) detectStall(e *executorState, now time.Time) {
	if s.path.applyingLate {
		return // the runs may have ended since
	}
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
			r.task.avoid = e.Incarnation()
			s.stop(r, StopStalled)
		}
	}
}

// fitsElsewhere reports whether other executors have capacity for the run's task besides
// the tasks of runs that are being stopped for the same reason.
func (s *Shard) fitsElsewhere(r *run, now time.Time) bool {
	capacity := -s.countStops(StopStalled)
	for _, e := range s.usableExecutors(now) {
		if e != r.executor {
			capacity += fitCount(r.task.step.def.Reservation(), e.free())
		}
	}
	return capacity > 0
}

// countStops returns how many runs are being stopped for a reason.
func (s *Shard) countStops(reason StopReason) int {
	n := 0
	for _, e := range s.executors {
		for _, r := range e.runs {
			if r.stopping && r.stopReason == reason {
				n++
			}
		}
	}
	return n
}
