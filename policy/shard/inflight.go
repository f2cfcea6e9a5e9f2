package shard

import (
	"slices"
	"time"
)

// A call to an incarnation of an executor may be carried out by a later one, seconds after it was sent.
// What is here keeps such calls from doing harm, and tells what they may have done.

const (
	// callExpiry is the time after which a call without a response can no longer be carried out.
	callExpiry = 13 * time.Second
	// maxClockDifference is by how much the wall clocks of an executor and an owner may differ.
	maxClockDifference = 5 * time.Second
	// clockSlack is by how much an executor's clock may differ from what is expected of the
	// incarnation beyond its drift and the age of the last reading.
	clockSlack = 50 * time.Millisecond
)

// NoteRevision records the revision of a write of this term. As a fencing token it is above that of
// every call sent before, and below those of later terms.
func (s *Shard) NoteRevision(revision int64) {
	s.latestToken = max(s.latestToken, revision)
	s.tokenWanted = false
}

// hasToken reports whether the executor may be called. Calls to an incarnation that follows
// another one need a fencing token above those of the calls to the latter, which may still be on
// their way. If no write has brought one yet, the next batch does.
func (s *Shard) hasToken(e *executorState) bool {
	if e.token == 0 && s.latestToken > e.outdatedToken {
		e.token = s.latestToken
	}
	if e.token == 0 {
		s.tokenWanted, s.dirty = true, true
	}
	return e.token != 0
}

// hasStartToken reports whether a start may be sent to the executor. If it arrives at a later
// incarnation, it must also fence off the acknowledgements sent before: one of them would otherwise let
// that incarnation forget the completion of the run unread. So its fencing token is above theirs.
func (s *Shard) hasStartToken(e *executorState) bool {
	if e.Born == 0 || e.token > e.ackToken {
		return true
	}
	if s.latestToken > e.ackToken {
		e.token = s.latestToken
		return true
	}
	s.tokenWanted, s.dirty = true, true
	return false
}

// awaitsStarts reports whether a start that was sent to the executor may still be on its way.
func (e *executorState) awaitsStarts() bool {
	return slices.ContainsFunc(e.runOrder, func(r *run) bool {
		return r.phase == inherited || r.inFlight || r.unanswered
	})
}

// bornLately reports whether calls to an earlier incarnation, of which this owner need not know, may
// have reached this one.
func (e *executorState) bornLately(now time.Time) bool {
	return e.Born != 0 && now.Sub(time.UnixMilli(int64(e.Born))) < callExpiry+maxClockDifference
}

// mayAcknowledge reports whether a poll may acknowledge completions. A start that is not known to
// have arrived at this incarnation may have arrived at a later one, which would forget the
// completion of that run unread if its number is among the acknowledged ones.
func (e *executorState) mayAcknowledge() bool {
	if e.Born == 0 {
		return true // the platform gives a restarted executor another ID
	}
	for _, r := range e.runs {
		if r.awaitsConfirmation() {
			return false
		}
	}
	return true
}

// expectsClock reports whether the reply to a command, sent and read at the given times, can be of
// this incarnation, by its clock. A reply does not say which one it is from.
func (e *executorState) expectsClock(clockMs int64, sentAt, now time.Time) bool {
	if e.Born == 0 || !e.polled || clockMs == 0 {
		return true
	}
	drifted := func(d time.Duration, rate float64) int64 { return int64(rate * float64(d.Milliseconds())) }
	since := sentAt.Sub(e.clockAt)
	earliest := e.clockMs + drifted(since, 1-clockDrift)
	if since < 0 {
		earliest = e.clockMs + drifted(since, 1+clockDrift)
	}
	latest := e.clockMs + drifted(now.Sub(e.clockSentAt), 1+clockDrift)
	slack := clockSlack.Milliseconds()
	return clockMs >= earliest-slack && clockMs <= latest+slack
}

// doubt notes that a reply seems to come from another incarnation: the next poll, sent at once, shows
// which one is there. Until then nothing new is started there.
func (s *Shard) doubt(e *executorState, now time.Time) {
	s.noteRestart(RestartNote{Executor: e.ID, Former: e.Born, Evidence: RestartDoubted, Runs: len(e.runs)})
	e.doubtedAt = now
	e.missingLists = 0
	e.failedCalls++
	e.pollAnew(now)
}

// pollAnew lets the next poll be sent at once, whether or not another one is pending: that one may have
// been sent to an earlier incarnation.
func (e *executorState) pollAnew(now time.Time) {
	if e.Born == 0 {
		return
	}
	e.polling = false
	e.pollAt = now
}

// awaitsPoll reports whether the last call has failed, so that the executor may have started again:
// nothing is started there before it has responded to a call.
func (e *executorState) awaitsPoll() bool { return e.Born != 0 && e.failedCalls > 0 }

// doubted reports whether a reply since the last poll response seems to come from another
// incarnation.
func (e *executorState) doubted() bool { return !e.doubtedAt.IsZero() }

// mayHaveArrivedSince reports whether a start that was sent after the given time, or whose result is
// not known, may have arrived at a later incarnation of the executor.
func (e *executorState) mayHaveArrivedSince(at time.Time) bool {
	return e.Born != 0 && slices.ContainsFunc(e.runOrder, func(r *run) bool {
		return r.awaitsConfirmation() && r.lastSentAt.After(at)
	})
}

// leaseMayLast reports whether the run may be at work at a later incarnation, where its lease counts by
// another clock: its start was sent, has no response, and may have arrived there.
func (r *run) leaseMayLast(limits Limits, now time.Time) bool {
	return r.executor.Born != 0 && r.awaitsConfirmation() && now.Sub(r.lastSentAt) <= maxLeaseTime(limits.MaxRunLease)
}
