package shard

import (
	"time"

	"github.com/tarragonreach/tarragonreach/api/cluster"
)

// Unreached lists executors with inherited runs that the owners of one or more consecutive
// terms did not reach. The value is the fencing token of the first of these terms.
//
// An owner that finds an executor unreachable must wait until the leases there have expired.
// The list allows its successor to count that time from the listed term instead of from its
// own takeover: no owner of a listed term has renewed a lease on the executor or started a
// run there, because an owner does neither before a write without the executor is durable.
type Unreached map[cluster.ExecutorID]int64

// unreachedExecutors is the stored list of unreached executors, as of the last write.
type unreachedExecutors struct {
	stored Unreached
	// termBegan returns the earliest time at which this instance knew of the term with the
	// given token.
	termBegan func(token int64) (time.Time, bool)
}

// RestoreUnreached loads the list that the previous owner stored. It must be called before
// the jobs are added.
func (s *Shard) RestoreUnreached(stored Unreached, termBegan func(token int64) (time.Time, bool)) {
	s.unreached = unreachedExecutors{stored, termBegan}
}

// listed reports whether the stored list contains the executor.
func (u *unreachedExecutors) listed(id cluster.ExecutorID) bool {
	_, listed := u.stored[id]
	return listed
}

// inheritLeases sets the time at which the leases of inherited runs have certainly expired
// unless this owner reaches the executor.
func (s *Shard) inheritLeases(e *executorState, now time.Time) {
	e.clockAt = now
	e.unreachedSince = s.token
	began := now
	if token, listed := s.unreached.stored[e.ID]; listed {
		e.unreachedSince = token
		if at, known := s.unreached.termBegan(token); known && at.Before(now) {
			began = at
		}
	}
	e.extendLeaseBound(began, s.limits.MaxRunLease)
}

// currentlyUnreached returns the executors with inherited runs that have not responded to
// this owner and of which at least one poll has failed. It is nil if there are none.
func (s *Shard) currentlyUnreached() Unreached {
	var list Unreached
	for _, e := range s.executors {
		if e.unreachedSince == 0 || e.polled || e.replaced || e.failedCalls == 0 && !s.unreached.listed(e.ID) {
			continue
		}
		if list == nil {
			list = Unreached{}
		}
		list[e.ID] = e.unreachedSince
	}
	return list
}
