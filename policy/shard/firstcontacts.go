package shard

import "slices"

// Any writer may list executors that no one stands behind. Polls of executors that have not responded to
// this owner are therefore bounded in number, so that they leave descriptors and memory to the others.
const (
	// maxFirstContacts bounds the polls in flight to executors that were not polled before.
	maxFirstContacts = 512
	// maxFailedContacts bounds the polls in flight to those of which each poll has failed so far.
	maxFailedContacts = 64
)

// contacts selects the executors that have not responded yet and may be polled now.
type contacts struct {
	due             []*executorState
	first, repeated int // polls in flight
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
