package shard

import (
	"slices"
	"time"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/job"
)

// SuspicionChange is the news that an executor became suspect, or that a successful run
// cleared the suspicion.
type SuspicionChange struct {
	Executor cluster.ExecutorID
	Cleared  bool
	Since    time.Time // when it became suspect
	// FailedJobs holds the jobs whose runs failed there in a row until then.
	FailedJobs []job.ID
}

// maxSuspicionChanges bounds the changes of one executor that wait for a report; older ones
// are dropped.
const maxSuspicionChanges = 4

// suspicions collects the changes of an executor's health for the next report.
type suspicions struct {
	failedJobs []job.ID  // as health.failures counts them
	since      time.Time // when the present suspicion began; zero without one
	changes    []SuspicionChange
}

// noteFailure records a failure that counts for the health of an executor that is not suspect.
func (s *suspicions) noteFailure(id job.ID) { s.failedJobs = append(s.failedJobs, id) }

// begin records that the executor became suspect.
func (s *suspicions) begin(now time.Time) {
	s.since = now
	s.add(false)
}

// end records a successful run, which clears the suspicion if there is one.
func (s *suspicions) end() {
	if !s.since.IsZero() {
		s.add(true)
	}
	s.since, s.failedJobs = time.Time{}, nil
}

func (s *suspicions) add(cleared bool) {
	s.changes = append(s.changes, SuspicionChange{Cleared: cleared, Since: s.since, FailedJobs: s.failedJobs})
	if excess := len(s.changes) - maxSuspicionChanges; excess > 0 {
		s.changes = slices.Delete(s.changes, 0, excess)
	}
}

// suspicionChanges returns the changes since the last report, at most maxReportChanges of
// them, by executor; later reports have the others.
func (s *Shard) suspicionChanges() []SuspicionChange {
	var list []SuspicionChange
	for _, e := range s.sortedExecutors() {
		pending := &e.health.suspicions.changes
		n := min(len(*pending), maxReportChanges-len(list))
		for _, change := range (*pending)[:n] {
			change.Executor = e.ID
			list = append(list, change)
		}
		*pending = slices.Delete(*pending, 0, n)
	}
	return list
}
