package advicequeue

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/policy/adviceflow"
)

var request = Request{Configured: 100 * time.Millisecond}

// Two owners on one instance share the service in turn: one with many requests must not keep the other waiting.
func TestOwnersTakeTurns(t *testing.T) {
	now := time.Unix(1000, 0)
	var q Queue
	busy, other := q.Join(), q.Join()
	var calls []*Call
	for {
		c, admitted := busy.Begin(request, now)
		if !admitted {
			break
		}
		calls = append(calls, c)
	}
	assert.Equal(t, len(calls), 2)
	_, admitted := other.Begin(request, now)
	assert.Assert(t, !admitted)
	calls[0].End(adviceflow.Answered, now)
	first, admitted := busy.Begin(request, now) // it has waited for longer
	assert.Assert(t, admitted)
	calls[1].End(adviceflow.Answered, now)
	_, admitted = busy.Begin(request, now)
	assert.Assert(t, !admitted, "it is the other owner's turn")
	_, admitted = other.Begin(request, now)
	assert.Assert(t, admitted)
	first.End(adviceflow.Answered, now)
}

// An owner whose term has ended while it waited must not keep the others from their turns.
func TestOwnerThatHasLeftHoldsNoTurn(t *testing.T) {
	now := time.Unix(1000, 0)
	var q Queue
	former, other := q.Join(), q.Join()
	a, _ := other.Begin(request, now)
	_, _ = other.Begin(request, now)
	_, admitted := former.Begin(request, now)
	assert.Assert(t, !admitted)
	former.Withdraw()
	a.End(adviceflow.Answered, now)
	_, admitted = other.Begin(request, now)
	assert.Assert(t, admitted)
}

// Requests for steps that can't start yet use only the time in which the service has nothing else to do.
func TestRequestsAheadGiveWay(t *testing.T) {
	now := time.Unix(1000, 0)
	var q Queue
	ahead, other := q.Join(), q.Join()
	early := Request{Configured: request.Configured, Class: adviceflow.Ahead}
	c, admitted := ahead.Begin(early, now)
	assert.Assert(t, admitted)
	_, admitted = ahead.Begin(early, now)
	assert.Assert(t, !admitted, "a second one ahead")
	d, admitted := other.Begin(request, now)
	assert.Assert(t, admitted)
	_, admitted = other.Begin(request, now)
	assert.Assert(t, !admitted)
	c.End(adviceflow.Answered, now)
	d.End(adviceflow.Answered, now)
	_, admitted = ahead.Begin(early, now)
	assert.Assert(t, !admitted, "another owner waits for its turn")
}

// LOST: an owner whose steps never start took every second call from another one. It must get some calls all the same.
func TestRepeatedRequestsGetABoundedShare(t *testing.T) {
	now := time.Unix(1000, 0)
	var q Queue
	repeated, other := q.Join(), q.Join()
	again := Request{Configured: time.Second, Class: adviceflow.Repeated} // one call at a time
	first := Request{Configured: time.Second}
	const calls = 40
	ofRepeated := 0
	var inFlight *Call
	for range calls {
		if c, admitted := repeated.Begin(again, now); admitted {
			inFlight = c
			ofRepeated++
		}
		if c, admitted := other.Begin(first, now); admitted {
			inFlight = c
		}
		_, admitted := repeated.Begin(again, now) // both wait for the next call
		_, admittedOther := other.Begin(first, now)
		assert.Assert(t, !admitted && !admittedOther)
		now = now.Add(time.Second)
		inFlight.End(adviceflow.Answered, now)
	}
	assert.Equal(t, ofRepeated, calls/4)
}
