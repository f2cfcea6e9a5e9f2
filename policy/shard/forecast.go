package shard

import (
	"slices"
	"time"

	"github.com/tarragonreach/tarragonreach/api/job"
)

const (
	// endQuantile is the share of the runs of a kind that end within the run time that a waiting
	// task is expected to take.
	endQuantile = 0.7
	// releaseQuantile is the share of the runs of a kind that end by the time at which their capacity
	// is expected to be free. Room for a large task takes the ends of several runs.
	releaseQuantile = 0.9
	// stopTime is how long a run that is being stopped is expected to take up its capacity.
	stopTime = 500 * time.Millisecond
)

// expectedEnd returns when the run is expected to have ended; false if that is not known. It is
// computed once for each run, and again once it has run beyond it.
func (s *Shard) expectedEnd(r *run, now time.Time) (time.Time, bool) {
	def := r.task.step.def
	switch {
	case r.stopping:
		return now.Add(stopTime), true
	case def.LongRunning || r.throttle < 100:
		return time.Time{}, false
	case r.startedAt.IsZero():
		total := s.runTime(r.task.step, r.task.step.remoteFrom(r.executor), 0, releaseQuantile)
		return now.Add(total), total != unknownRunTime
	}
	if r.expectedEnd.After(now) {
		return r.expectedEnd, true
	}
	elapsed := now.Sub(r.startedAt)
	total := s.runTime(r.task.step, r.task.step.remoteFrom(r.executor), elapsed, releaseQuantile)
	if total == unknownRunTime {
		return time.Time{}, false
	}
	rest := total - elapsed
	if r.percent > 0 && r.percent < 100 {
		rest = rest * 100 / time.Duration(r.percent)
	}
	r.expectedEnd = now.Add(rest)
	return r.expectedEnd, true
}

// expectedRelease is capacity that is expected to become free.
type expectedRelease struct {
	at     time.Time
	amount job.Resources
}

// freeAt returns when the executor is expected to have room for the need, and what will be free then;
// false if that is not expected by the given time.
func (b *builder) freeAt(e *executorState, need job.Resources, by time.Time) (at time.Time, free job.Resources, ok bool) {
	free = e.free()
	b.releases = b.releases[:0]
	sum := free
	for _, r := range e.runOrder {
		end, known := b.shard.expectedEnd(r, b.now)
		if !known || end.After(by) {
			continue
		}
		amount := r.task.step.def.Reservation()
		sum = sum.Add(amount)
		b.releases = append(b.releases, expectedRelease{end, amount})
	}
	if !need.Fits(sum) {
		return at, free, false
	}
	slices.SortFunc(b.releases, func(x, y expectedRelease) int { return x.at.Compare(y.at) })
	at = b.now
	for _, release := range b.releases {
		if need.Fits(free) {
			break
		}
		at, free = release.at, free.Add(release.amount)
	}
	return at, free, true
}
