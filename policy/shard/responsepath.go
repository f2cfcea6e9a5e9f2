package shard

import (
	"time"

	"github.com/tarragonreach/tarragonreach/api/execution"
)

// An executor that does not respond may be sound: its responses may be late on the way to this instance, whose own
// link is saturated, and list completions that are not known yet. The owner gives up the runs of such an executor
// only if its own observations say that the fault is not its own.

// LateResponseLimit is how long after the wait of a poll its response still counts; see HandleLatePollResult.
const LateResponseLimit = 10 * time.Second

const (
	// lateMemory is how long a late response shows that others may be late, too.
	lateMemory = 10 * time.Second
	// lateFactor is how much longer than the longest delay within lateMemory that of other responses may be.
	lateFactor = 2
	// minWitnesses is how many other executors must have responded in time for a lack of responses to be
	// the fault of the executor; fewer if fewer are usable.
	minWitnesses = 3
	// witnessInterval is the minimum time between two searches for witnesses, each of which polls minWitnesses
	// executors.
	witnessInterval = 500 * time.Millisecond
)

// responsePath is what the owner has observed of the way that responses take to this instance.
type responsePath struct {
	late       time.Duration // the longest delay of a response that came after the time limit of its call
	lateAt     time.Time     // when that one came
	searchedAt time.Time     // when witnesses were last searched
	mostFail   bool          // the calls to most of the listed executors fail
	// applyingLate is set while a late response is applied: what it lists has been so for a time that is not known,
	// so that nothing about the speed of its executor follows from it.
	applyingLate bool
}

// noteLate records a response that came after the time limit of its call, with its delay.
func (p *responsePath) noteLate(delay time.Duration, now time.Time) {
	if delay >= p.late || now.Sub(p.lateAt) > lateMemory {
		p.late, p.lateAt = delay, now
	}
}

// allowance returns how late a response may still come, by the late ones that came before.
func (p *responsePath) allowance(now time.Time) time.Duration {
	if p.lateAt.IsZero() || now.Sub(p.lateAt) > lateMemory {
		return 0
	}
	return min(lateFactor*p.late, LateResponseLimit)
}

// HandleLatePollResult handles the result of a poll after HandlePollResult was told that the poll exceeded its time
// limit. What a response lists counts as in one in time, and leases may be renewed again. The call counts as failed
// nevertheless: the executor gets no starts, whose responses would be late, too, and polls go on as after a failure.
func (s *Shard) HandleLatePollResult(poll Poll, delivery Delivery, response execution.PollResponse, now time.Time) {
	if delivery == Responded {
		s.path.noteLate(now.Sub(poll.expectedAt), now)
	}
	e := poll.target
	if s.executors[e.ID] != e {
		s.applyLatePoll(e, delivery, response, now)
		return
	}
	if delivery == Ambiguous || poll.SentAt.Before(e.clockSentAt) {
		return
	}
	if delivery == NotSent {
		e.undoRenewal(poll)
		s.settleAcknowledgement(e, poll)
		return
	}
	polling, failedCalls, pollAt := e.polling, e.failedCalls, e.pollAt // with later polls
	clockMs := e.clock(now)
	s.path.applyingLate = true
	s.handlePollResult(poll, delivery, response, now)
	s.path.applyingLate = false
	e.polling, e.failedCalls, e.pollAt = polling, failedCalls, pollAt
	e.keepClock(clockMs, now)
}

// noteClockInTime records that the clock of the executor has been read just now by a response in time, if it has.
func (e *executorState) noteClockInTime(now time.Time) {
	if e.clockAt.Equal(now) {
		e.clockInTimeAt = now
	}
}

// keepClock keeps the former bound of the executor's clock where it is higher than that of a late response, which is
// lower than the clock by the delay: leases that are counted from it would be shorter by that. The former bound counts
// for as long as that of an idle executor does.
func (e *executorState) keepClock(clockMs int64, now time.Time) {
	if e.clockAt.Equal(now) && now.Sub(e.clockInTimeAt) <= maxClockAge {
		e.clockMs = max(e.clockMs, clockMs)
	}
}

// mayRenewUnanswered reports whether leases may be renewed on an executor whose last poll got no response: it is
// probably sound, since responses come late at present or most executors do not respond, and its last one is not
// older than that explains. leaseBound includes these renewals.
func (s *Shard) mayRenewUnanswered(e *executorState, now time.Time) bool {
	age := now.Sub(e.lastResponse)
	if allowance := s.path.allowance(now); allowance > 0 {
		return age < min(maxResponseAge+allowance, s.limits.RunLease)
	}
	return s.path.mostFail && age < maxResponseAge
}

// updatePath records whether the calls to most of the listed executors fail.
func (s *Shard) updatePath() {
	failing, listed := 0, 0
	for _, e := range s.sortedExecutors() {
		if !e.listed || e.ended {
			continue
		}
		listed++
		if e.failedCalls > 0 {
			failing++
		}
	}
	s.path.mostFail = failing >= minWitnesses && 2*failing > listed
}

// noteInTime records that the executor has responded in time to a call that was sent at the given time.
func (e *executorState) noteInTime(sentAt time.Time) {
	if sentAt.After(e.inTimeSentAt) {
		e.inTimeSentAt = sentAt
	}
}

// atFault reports whether the lack of responses of an executor, all leases on which have expired, is not that of
// this instance: a response to any poll that was sent before the leases expired would have come by now, since
// responses of other executors to later calls have. Polls that were sent later show nothing that counts: the
// completion of a run that was first listed after the end of its lease does not.
func (s *Shard) atFault(e *executorState, now time.Time) bool {
	if e.Address == "" {
		return true // it can't be polled
	}
	if now.Before(e.responseExpectedAt.Add(s.path.allowance(now))) {
		return false
	}
	others, witnesses, usable := 0, 0, 0
	for _, other := range s.sortedExecutors() {
		if other == e {
			continue
		}
		if other.listed && !other.ended {
			others++
		}
		if other.mayWitness() {
			usable++
		}
		if !other.inTimeSentAt.Before(e.responseExpectedAt) {
			witnesses++
		}
	}
	if others == 0 {
		return true // its tasks start nowhere else, and there only after a response
	}
	return witnesses > 0 && witnesses >= min(minWitnesses, usable)
}

// mayWitness reports whether a poll of the executor can show that responses reach this instance.
func (e *executorState) mayWitness() bool {
	return e.listed && !e.ended && e.polled && e.failedCalls == 0
}

// searchWitnesses lets some executors be polled whose responses can show that an unresponsive one is at fault.
func (s *Shard) searchWitnesses(e *executorState, now time.Time) {
	if now.Sub(s.path.searchedAt) < witnessInterval {
		return
	}
	s.path.searchedAt = now
	wanted := minWitnesses
	for _, other := range s.sortedExecutors() {
		if wanted == 0 {
			return
		}
		if other != e && other.mayWitness() && other.inTimeSentAt.Before(e.responseExpectedAt) {
			other.witness = true
			wanted--
		}
	}
}
