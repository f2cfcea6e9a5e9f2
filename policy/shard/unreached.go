package shard

import (
	"maps"
	"time"

	"github.com/tarragonreach/tarragonreach/api/cluster"
)

// Unreached lists executors with inherited runs that the owners of one or more consecutive
// terms did not reach.
//
// An owner that finds an executor unreachable must wait until the leases there have expired.
// The list allows its successor to count that time from the first listed term instead of from
// its own takeover: no owner of a listed term has renewed a lease on the executor or started a
// run there, because an owner does neither before a write without the executor is durable.
type Unreached map[cluster.ExecutorID]UnreachedSince

// UnreachedSince is when an executor began to be unreached.
type UnreachedSince struct {
	// Term is the fencing token of the first term in which that was so.
	Term int64 `json:"term"`
	// AgeMs is how long ago that term had begun, at least, when the list was written.
	AgeMs int64 `json:"ageMs"`
}

// unreachedRefresh is the maximum time between two writes of a list that is not empty.
const unreachedRefresh = 1 * time.Second

// unreachedExecutors is the stored list of unreached executors, as of the last write.
type unreachedExecutors struct {
	stored   Unreached
	storedAt time.Time
	// termBegan returns when this instance first knew of the term with the given token.
	termBegan func(token int64) (time.Time, bool)
}

// RestoreUnreached loads the list that the previous owner stored. It must be called before
// the jobs are added.
func (s *Shard) RestoreUnreached(stored Unreached, termBegan func(token int64) (time.Time, bool)) {
	s.unreached = unreachedExecutors{stored: stored, termBegan: termBegan}
}

// listed reports whether the stored list contains the executor.
func (u *unreachedExecutors) listed(id cluster.ExecutorID) bool {
	_, listed := u.stored[id]
	return listed
}

// began returns when a listed term had certainly begun, by what its list says and by what
// this instance has observed.
func (u *unreachedExecutors) began(since UnreachedSince, now time.Time) time.Time {
	began := now.Add(-time.Duration(since.AgeMs) * time.Millisecond)
	if at, known := u.termBegan(since.Term); known && at.Before(began) {
		return at
	}
	return began
}

// due reports whether the list has to be written: it has changed, or its ages are old.
func (u *unreachedExecutors) due(list Unreached, now time.Time) bool {
	sameTerm := func(a, b UnreachedSince) bool { return a.Term == b.Term }
	return !maps.EqualFunc(list, u.stored, sameTerm) || len(list) > 0 && now.Sub(u.storedAt) >= unreachedRefresh
}

// unreachedExecutor is what an owner knows of an executor that it has not reached.
type unreachedExecutor struct {
	term  int64     // as UnreachedSince.Term; zero if the executor has no inherited runs
	began time.Time // when that term had certainly begun
}

// inheritLeases sets the time at which the leases of inherited runs have certainly expired
// unless this owner reaches the executor.
func (s *Shard) inheritLeases(e *executorState, now time.Time) {
	e.clockAt = now
	e.unreached = unreachedExecutor{term: s.token, began: now}
	if since, listed := s.unreached.stored[e.ID]; listed {
		e.unreached = unreachedExecutor{term: since.Term, began: s.unreached.began(since, now)}
	}
	e.extendLeaseBound(e.unreached.began, s.limits.MaxRunLease)
}

// currentlyUnreached returns the executors with inherited runs that have not responded to
// this owner and of which at least one poll has failed. It is nil if there are none.
func (s *Shard) currentlyUnreached(now time.Time) Unreached {
	var list Unreached
	for _, e := range s.executors {
		if e.unreached.term == 0 || e.polled || e.ended || e.failedCalls == 0 && !s.unreached.listed(e.ID) {
			continue
		}
		if list == nil {
			list = Unreached{}
		}
		list[e.ID] = UnreachedSince{Term: e.unreached.term, AgeMs: now.Sub(e.unreached.began).Milliseconds()}
	}
	return list
}
