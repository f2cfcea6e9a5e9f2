package backend

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestBoundOfARequestSentBeforeAnyResponse checks how long a request waits that was sent
// before the executor had sent any response of its class.
func TestBoundOfARequestSentBeforeAnyResponse(t *testing.T) {
	const (
		minimum = time.Second
		half    = 5 * time.Second // of the time left
	)
	repeatable := Request{Repeatable: true}
	limited := Request{Repeatable: true, OverdueAfter: half}
	knownElsewhere := Request{Repeatable: true, OverdueAfter: half, RunTime: time.Millisecond}
	cases := []struct {
		name     string
		request  Request
		response time.Duration // to another request meanwhile; zero if there is none
		want     time.Duration
	}{
		{"nothing known", repeatable, 0, 0},
		{"nothing known, limited", limited, 0, 0},
		{"another response", repeatable, 500 * time.Millisecond, 2 * time.Second},
		{"another response, fast", repeatable, time.Millisecond, minimum},
		{"another response, limited", limited, 2 * time.Second, half},
		{"another response, slow class", limited, 3 * time.Second, 12 * time.Second},
		{"known at other executors", knownElsewhere, 0, half},
		{"known at other executors, response", knownElsewhere, time.Second, 4 * time.Second},
		{"known at other executors, short deadline", Request{Repeatable: true, OverdueAfter: 10 * time.Millisecond, RunTime: time.Millisecond}, 0, minimum},
		{"slow at other executors", Request{Repeatable: true, OverdueAfter: half, RunTime: 3 * time.Second}, 0, 0},
		{"not repeatable", Request{OverdueAfter: half, RunTime: time.Millisecond}, time.Second, 0},
	}
	for _, c := range cases {
		times := new(responseTimes)
		pending := newPendingResponse(times, &c.request)
		if c.response > 0 {
			times.observe(c.response)
		}
		assert.Equal(t, pending.overdueAfter(minimum, true), c.want, c.name)
	}
}

// TestBoundOfAWaitingRequestStays checks that the bound does not grow with the time after
// which another connection was found half-open.
func TestBoundOfAWaitingRequestStays(t *testing.T) {
	times := new(responseTimes)
	pending := newPendingResponse(times, &Request{Repeatable: true})
	times.observe(time.Second)
	before := pending.overdueAfter(time.Second, false)
	times.observe(before)
	assert.Equal(t, pending.overdueAfter(time.Second, false), before)
}

// TestBoundOfAKnownClassLeavesTimeForARetry checks requests that are sent after the
// executor has responded to their class.
func TestBoundOfAKnownClassLeavesTimeForARetry(t *testing.T) {
	const half = 5 * time.Second // of the time left
	cases := []struct {
		name       string
		repeatable bool
		slowest    time.Duration
		want       time.Duration
	}{
		{"fast class", true, time.Second, 4 * time.Second},
		{"slower class", true, 2 * time.Second, half},
		{"slow class", true, 3 * time.Second, 12 * time.Second},
		{"not repeatable", false, 2 * time.Second, 24 * time.Second},
	}
	for _, c := range cases {
		times := new(responseTimes)
		times.observe(c.slowest)
		pending := newPendingResponse(times, &Request{Repeatable: c.repeatable, OverdueAfter: half})
		assert.Equal(t, pending.overdueAfter(time.Second, false), c.want, c.name)
	}
}
