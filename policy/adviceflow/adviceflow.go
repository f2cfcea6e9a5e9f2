// Package adviceflow bounds the calls of one process to the advice service, which carries out one call of a
// machine at a time, in turn.
//
// The service also carries out calls that were given up. If more calls wait there than it carries out within their
// time limits, each is given up shortly before its turn and sent again, and the service works at its full rate for
// nobody. Calls that wait at the service are also decided by an order that may have changed, and their tickets age
// meanwhile. So only as many calls are sent as keep the service busy; the others wait at their owners. Turns shares the
// calls among the classes of steps that they are for.
package adviceflow

import "time"

const (
	// maxInFlight is the maximum number of calls in flight: one that is carried out, and one that waits, so that
	// the service is not idle between two calls.
	maxInFlight = 2
	// maxBacklog is the longest expected time of all calls in flight at which there is a second one. While calls
	// take longer, the idle time between two of them hardly counts, but the age of tickets does.
	maxBacklog = 500 * time.Millisecond
	// limitFactor is the time limit of a call as a multiple of its expected time.
	limitFactor = 4
	// minLimit and maxLimit bound the time limit of a call.
	minLimit = 500 * time.Millisecond
	maxLimit = 10 * time.Second
	// minPause and maxPause bound the pause after calls that the service has not taken or has failed; it doubles
	// with each of them in a row.
	minPause = 100 * time.Millisecond
	maxPause = 1 * time.Second
)

// Outcome is how a call ended.
type Outcome uint8

// The outcomes of a call.
const (
	Answered Outcome = iota
	// TimedOut is the outcome of a call that exceeded its limit. The service may still carry it out.
	TimedOut
	// Unserved is the outcome of a call that the service has refused, whatever it was about, or that did not reach
	// it.
	Unserved
)

// Call is a call in flight.
type Call struct {
	// Limit is how long the call may take.
	Limit time.Duration

	sentAt   time.Time
	expected time.Duration // time of the call itself, without those before it
	position int           // in the order of the calls in flight, from 1
}

// Flow is the state of the calls of one process. Its zero value has none. It is not safe for concurrent use.
type Flow struct {
	inFlight int
	backlog  time.Duration // expected time of all calls in flight
	// observed is the smoothed time of one call, and a lower bound of it after one that timed out.
	observed time.Duration
	unserved int // calls in a row
	resumeAt time.Time
}

// Idle reports whether no call is in flight.
func (f *Flow) Idle() bool { return f.inFlight == 0 }

// InFlight returns how many calls are in flight.
func (f *Flow) InFlight() int { return f.inFlight }

// Admits reports whether a call may be sent now that takes the given time by the operator's configuration.
func (f *Flow) Admits(configured time.Duration, now time.Time) bool {
	switch {
	case now.Before(f.resumeAt):
		return false
	case f.inFlight == 0:
		return true
	case f.unserved > 0:
		return false // one call is enough to find out whether the service has recovered
	default:
		return f.inFlight < maxInFlight && f.backlog+f.expected(configured) <= maxBacklog
	}
}

func (f *Flow) expected(configured time.Duration) time.Duration { return max(configured, f.observed) }

// Begin records that a call is sent now. End must follow.
func (f *Flow) Begin(configured time.Duration, now time.Time) Call {
	expected := f.expected(configured)
	f.inFlight++
	f.backlog += expected
	limit := min(max(limitFactor*f.backlog, minLimit), maxLimit)
	return Call{Limit: limit, sentAt: now, expected: expected, position: f.inFlight}
}

// End records how a call ended.
func (f *Flow) End(c Call, outcome Outcome, now time.Time) {
	f.inFlight--
	f.backlog -= c.expected
	each := now.Sub(c.sentAt) / time.Duration(c.position)
	switch outcome {
	case Answered:
		f.unserved = 0
		f.observed = (f.observed + each) / 2
	case TimedOut:
		f.observed = max(f.observed, each)
	case Unserved:
		pause := min(minPause<<min(f.unserved, 10), maxPause)
		f.unserved++
		f.resumeAt = now.Add(pause)
	}
}
