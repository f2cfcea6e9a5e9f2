package fleetduty

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/job"
	"github.com/tarragonreach/tarragonreach/entry/layout"
)

// The time of day of an owner was far behind when a job became final, or that of the holder is far ahead: the
// state must not be removed before the time for which callers may ask, or they learn that there is no such job.
func TestSteppedClockRemovesTheStateOfAJobThatHasJustBecomeFinal(t *testing.T) {
	const oldJob, newJob = job.ID("00000000000000aa"), job.ID("00000000000000ab")
	s := newTestStore(t)
	h := newTestHolder(s)
	h.RetainFinal = time.Minute
	put := func(id job.ID) {
		value, err := layout.Encode(layout.State{Service: "a", Queue: "q", State: job.Completed, FinalAt: time.Now().Add(-40 * time.Minute)})
		assert.NilError(t, err)
		s.standIn.Put(layout.JobKey(id), value)
	}
	cleanUp := func() {
		h.cleanUp(t.Context())
		(<-h.events)()
	}
	stored := func(id job.ID) bool {
		_, found := s.standIn.Get(layout.JobKey(id))
		return found
	}
	put(oldJob)
	cleanUp()
	cleanUp()
	assert.Assert(t, stored(oldJob))

	for i := range h.revisions {
		h.revisions[i].at = h.revisions[i].at.Add(-retainFactor * h.RetainFinal)
	}
	put(newJob)
	cleanUp()
	assert.Assert(t, !stored(oldJob))
	assert.Assert(t, stored(newJob))
	assert.Equal(t, len(h.revisions), 2) // what is older than needed is forgotten
}

// UNASKED: a withdrawal must outlast each write of the submission that it cancels, also where final states are kept for
// a short time only, and is removed afterwards.
func TestWithdrawalIsRemovedOnceNoWriteCanFollow(t *testing.T) {
	s := newTestStore(t)
	h := newTestHolder(s)
	h.RetainFinal = time.Second
	key := layout.WithdrawalKey("00000000000000aa", "north", "q")
	put := func(age time.Duration) {
		value, err := layout.Encode(layout.Withdrawal{At: time.Now().Add(-age)})
		assert.NilError(t, err)
		s.standIn.Put(key, value)
	}
	cleanUp := func() {
		h.cleanUp(t.Context())
		(<-h.events)()
	}
	// later lets the holder's clock advance.
	later := func(d time.Duration) {
		for i := range h.revisions {
			h.revisions[i].at = h.revisions[i].at.Add(-d)
		}
	}
	stored := func() bool {
		_, found := s.standIn.Get(key)
		return found
	}
	put(minRetention - 10*time.Second)
	cleanUp()
	later(minRetention)
	cleanUp()
	assert.Assert(t, stored(), "removed too early")
	put(2 * minRetention) // renewed by an instance whose clock is behind
	cleanUp()
	assert.Assert(t, stored(), "removed though it has just been written")
	later(minRetention)
	cleanUp()
	assert.Assert(t, !stored(), "kept")
}
