package shard

import (
	"slices"
	"time"
)

// Any writer may list executors that no one stands behind. Polls of executors that have not responded to
// this owner are therefore bounded in number, so that they leave descriptors and memory to the others.
const (
	// maxFirstContacts bounds the polls in flight to executors that were not polled before.
	maxFirstContacts = 512
	// maxFailedContacts bounds the polls in flight to those of which each poll has failed so far.
	maxFailedContacts = 64
	// maxLongContacts bounds those of the latter whose response may be long. What a sound executor has to
	// say of runs that this owner does not know may be long as well, such as those of jobs that have become
	// final, so that its polls would otherwise all fail.
	maxLongContacts = 8
)

// contacts selects the executors that have not responded yet and may be polled now.
type contacts struct {
	due             []*executorState
	first, repeated int // polls in flight
	long            int // those of them whose response may be long
}

// uncontacted reports whether it has not responded to this owner and nothing is known to run there.
func (e *executorState) uncontacted() bool {
	return !e.polled && len(e.runs) == 0 && len(e.former) == 0
}

// countInFlight counts the poll of an executor that is in flight.
func (c *contacts) countInFlight(e *executorState) {
	if e.failedCalls > 0 {
		c.repeated++
	} else {
		c.first++
	}
}

// countLong counts the poll of an executor that is in flight if its response may be long.
func (c *contacts) countLong(e *executorState) {
	if e.longResponse {
		c.long++
	}
}

// allowLong returns those of the executors polled now whose responses may be long, as far as the bound
// allows: their polls have failed, perhaps since the response was too long. Those that had no such poll for
// the longest time come first, so that none starves.
func (c *contacts) allowLong(polled []*executorState, now time.Time) map[*executorState]bool {
	var failed []*executorState
	for _, e := range polled {
		if e.failedCalls > 0 {
			failed = append(failed, e)
		}
	}
	slices.SortStableFunc(failed, func(a, b *executorState) int { return a.longAllowedAt.Compare(b.longAllowedAt) })
	long := map[*executorState]bool{}
	for _, e := range failed[:min(len(failed), max(0, maxLongContacts-c.long))] {
		long[e] = true
		e.longAllowedAt = now
	}
	return long
}

// allowed returns those that are due for the longest time, as far as the bounds allow.
func (c *contacts) allowed() []*executorState {
	if len(c.due) == 0 || c.first >= maxFirstContacts && c.repeated >= maxFailedContacts {
		return nil
	}
	slices.SortStableFunc(c.due, func(a, b *executorState) int { return a.pollAt.Compare(b.pollAt) })
	var allowed []*executorState
	for _, e := range c.due {
		if e.failedCalls > 0 && c.repeated >= maxFailedContacts || e.failedCalls == 0 && c.first >= maxFirstContacts {
			continue
		}
		c.countInFlight(e)
		allowed = append(allowed, e)
	}
	return allowed
}
