package adviceflow

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "github.com/tarragonreach/tarragonreach/api/rapidseed"
)

// server carries out one call at a time, in turn, also those that were given up.
type server struct {
	each      time.Duration
	busyUntil time.Time
}

func (s *server) call(now time.Time) (answeredAt time.Time) {
	if s.busyUntil.Before(now) {
		s.busyUntil = now
	}
	s.busyUntil = s.busyUntil.Add(s.each)
	return s.busyUntil
}

type pendingCall struct {
	Call
	endsAt  time.Time
	outcome Outcome
}

// replay sends calls for the given time whenever the flow admits one, and returns how many were answered and given
// up, and the age of the oldest response.
func replay(f *Flow, s *server, configured time.Duration, pending []pendingCall, from time.Time, d time.Duration) (answered, timedOut int, oldest time.Duration, rest []pendingCall) {
	for now := from; now.Before(from.Add(d)); now = now.Add(time.Millisecond) {
		for len(pending) > 0 && !now.Before(pending[0].endsAt) {
			c := pending[0]
			pending = pending[1:]
			f.End(c.Call, c.outcome, now)
			if c.outcome == Answered {
				answered++
				oldest = max(oldest, now.Sub(c.sentAt))
			} else {
				timedOut++
			}
		}
		for f.Admits(configured, now) {
			c := pendingCall{Call: f.Begin(configured, now)}
			c.endsAt, c.outcome = s.call(now), Answered
			if limit := now.Add(c.Limit); c.endsAt.After(limit) {
				c.endsAt, c.outcome = limit, TimedOut
			}
			pending = append(pending, c)
		}
	}
	return answered, timedOut, oldest, pending
}

// However slow the service is, and whatever the configuration says of it, it must soon work for calls that are
// answered only, at nearly its full rate, and answer them at an age at which they are of use.
func TestServiceWorksForCallsThatAreAnswered(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &server{each: time.Duration(rapid.IntRange(5, 2500).Draw(t, "ms of a call")) * time.Millisecond}
		configured := time.Duration(rapid.IntRange(0, 500).Draw(t, "configured ms")) * time.Millisecond
		now := time.Unix(1000, 0)
		s.busyUntil = now.Add(time.Duration(rapid.IntRange(0, 32).Draw(t, "calls of an earlier process")) * s.each)
		f := &Flow{}
		// Meanwhile the calls that are given up add to the backlog, one for each limit.
		backlog := s.busyUntil.Sub(now)
		learning := time.Duration(float64(backlog)/(1-s.each.Seconds()/maxLimit.Seconds())) + 30*time.Second
		_, _, _, pending := replay(f, s, configured, nil, now, learning)
		const period = 60 * time.Second
		answered, timedOut, oldest, _ := replay(f, s, configured, pending, now.Add(learning), period)
		assert.Equal(t, timedOut, 0)
		assert.Assert(t, float64(answered) >= 0.9*period.Seconds()/s.each.Seconds()-2, "%d answered", answered)
		assert.Assert(t, oldest <= max(maxBacklog+s.each, s.each+time.Millisecond), "a response is %v old", oldest)
	})
}

// A connection that went silent must not keep later calls from being answered, nor extend their limits for long.
func TestSilentConnectionCostsOneLimit(t *testing.T) {
	const each = 100 * time.Millisecond
	now := time.Unix(1000, 0)
	f := &Flow{}
	silent := f.Begin(each, now)
	assert.Equal(t, silent.Limit, minLimit)
	now = now.Add(silent.Limit)
	f.End(silent, TimedOut, now)
	for range 6 {
		assert.Assert(t, f.Admits(each, now))
		c := f.Begin(each, now)
		now = now.Add(each)
		f.End(c, Answered, now)
	}
	assert.Assert(t, f.Admits(each, now))
	f.Begin(each, now)
	assert.Assert(t, f.Admits(each, now), "the service is idle between two calls")
}

// While the service refuses calls, one at a time is sent, after pauses that grow up to a bound.
func TestPausesWhileTheServiceServesNobody(t *testing.T) {
	now := time.Unix(1000, 0)
	f := &Flow{}
	for _, want := range []time.Duration{minPause, 2 * minPause, 4 * minPause, 8 * minPause, maxPause, maxPause} {
		c := f.Begin(0, now)
		assert.Assert(t, f.unserved == 0 || !f.Admits(0, now), "two trials at a time")
		f.End(c, Unserved, now)
		assert.Assert(t, !f.Admits(0, now.Add(want-1)))
		now = now.Add(want)
		assert.Assert(t, f.Admits(0, now))
	}
	f.End(f.Begin(0, now), Answered, now)
	f.Begin(0, now)
	assert.Assert(t, f.Admits(0, now))
}
