package shard

import (
	"time"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/execution"
	"github.com/tarragonreach/tarragonreach/api/job"
)

// Poll is one poll of an executor.
type Poll struct {
	Executor cluster.Executor
	Request  execution.PollRequest
	SentAt   time.Time
	// LateResponseCounts is set if a response after the time limit of the poll is of use. That of an executor which
	// has never responded, and where nothing is known to run, isn't: any number of those may be listed.
	LateResponseCounts bool

	target           *executorState
	leaseBoundBefore time.Time // the executor's leaseBound before this poll
	leaseBoundAfter  time.Time
	expectedAt       time.Time // when the executor responds at the latest
}

// Polls returns the polls to send now. Each is in flight until HandlePollResult.
func (s *Shard) Polls(now time.Time) []Poll {
	if s.fenced {
		return nil
	}
	s.updatePath()
	var due []*executorState
	var unknown contacts
	for _, e := range s.sortedExecutors() {
		switch {
		case e.polling && e.uncontacted():
			unknown.countInFlight(e)
			unknown.countLong(e)
		case !s.pollDue(e, now):
		case e.uncontacted():
			unknown.due = append(unknown.due, e)
		default:
			due = append(due, e)
		}
	}
	var list []Poll
	for _, e := range due {
		list = append(list, s.newPoll(e, true, now))
	}
	allowed := unknown.allowed()
	long := unknown.allowLong(allowed, now)
	for _, e := range allowed {
		list = append(list, s.newPoll(e, long[e], now))
	}
	return list
}

func (s *Shard) pollDue(e *executorState, now time.Time) bool {
	return !e.polling && !e.ended && e.Address != "" && !now.Before(e.pollAt) && e.wantsPoll(now) && s.hasToken(e)
}

// newPoll returns a poll that is sent now; its response may be long if allowed.
func (s *Shard) newPoll(e *executorState, longResponse bool, now time.Time) Poll {
	e.polling, e.longResponse = true, longResponse
	poll := Poll{Executor: e.Executor, SentAt: now, LateResponseCounts: !e.uncontacted(), target: e, leaseBoundBefore: e.leaseBound}
	poll.Executor.Address = e.pollAddress()
	poll.Request = s.pollRequest(e, now)
	poll.Request.LongResponse = longResponse
	if poll.Request.AckedThrough > 0 {
		e.noteAcknowledgement(poll.Request.Token)
	}
	poll.leaseBoundAfter = e.leaseBound
	poll.expectedAt = now.Add(poll.Request.Wait)
	if !now.After(e.leaseBound) {
		e.responseExpectedAt = poll.expectedAt
	}
	e.witness = false
	return poll
}

// wantsPoll reports whether there is a state to fetch from the executor or an
// acknowledgement to send to it.
func (e *executorState) wantsPoll(now time.Time) bool {
	switch {
	case len(e.pending) > 0:
		// The executor would respond with the same completions at once until they are
		// acknowledged.
		return now.Sub(e.lastResponse) > ackDelay
	case !e.polled || e.failedCalls > 0:
		// A restarted executor is fenced off at once from calls to its former incarnation.
		return e.listed || e.restarted || len(e.runs) > 0
	case len(e.orphans) > 0:
		return true
	case e.durableSequence > e.ackedSequence && len(e.runs) == 0:
		return now.Sub(e.lastResponse) > ackDelay
	case e.witness || now.Sub(e.clockAt) > maxClockAge:
		return true
	}
	for _, r := range e.runs {
		if r.phase != decided {
			return true
		}
	}
	return false
}

func (s *Shard) pollRequest(e *executorState, now time.Time) execution.PollRequest {
	request := execution.PollRequest{Token: e.token}
	if e.mayAcknowledge() && (!s.preparesStarts() || e.durableSequence > e.ackedSequence) {
		request.AckedThrough = e.durableSequence
	}
	if !e.polled || e.renewalPaused && !s.mayRenewUnanswered(e, now) || s.renewalDisabled || s.unreached.listed(e.ID) {
		return request
	}
	if len(e.runs) > 0 {
		request.UntilMs = e.clock(now) + s.limits.RunLease.Milliseconds()
		e.extendLeaseBound(now, s.limits.RunLease)
	}
	if len(e.pending) == 0 && len(e.orphans) == 0 && e.failedCalls == 0 {
		request.Wait = e.pollWait()
	}
	if e.witness {
		request.Wait = 0
	}
	if e.trials > 0 {
		request.Wait = min(request.Wait, survivalTime)
	}
	if s.evacuating {
		request.Wait = min(request.Wait, evacuationPollWait)
	}
	return request
}

// pollWait returns how long the next poll waits for a completion. A run whose stop was
// acknowledged may disappear without a completion: the poll must not wait then, since no
// completion would end the wait.
func (e *executorState) pollWait() time.Duration {
	wait := time.Duration(0)
	for _, r := range e.runs {
		switch {
		case r.stopAcknowledged:
			return 0
		case r.phase == decided:
		case r.task.step.def.TargetLatency > 0 && e.hasBestEffort():
			wait = throttlePollWait
		case wait == 0:
			wait = pollWait
		}
	}
	return wait
}

// HandlePollResult handles the result of a poll.
func (s *Shard) HandlePollResult(poll Poll, delivery Delivery, response execution.PollResponse, now time.Time) {
	if delivery == Responded {
		poll.target.noteInTime(poll.SentAt)
	}
	s.handlePollResult(poll, delivery, response, now)
	poll.target.noteClockInTime(now)
}

func (s *Shard) handlePollResult(poll Poll, delivery Delivery, response execution.PollResponse, now time.Time) {
	e := poll.target
	if s.executors[e.ID] != e {
		s.applyLatePoll(e, delivery, response, now)
		return
	}
	if poll.SentAt.Before(e.clockSentAt) {
		return // a later poll has been answered, and shows more
	}
	e.polling = false
	delivery = e.deliveryAt(poll.Executor.Address, delivery, response.Refusal)
	if delivery == NotSent {
		e.undoRenewal(poll)
		s.settleAcknowledgement(e, poll)
	}
	responded := delivery == Responded && response.Refusal == execution.NotRefused
	if !responded && !e.mayBeAt(poll.Executor.Address) {
		return // the next poll goes to another address
	}
	if responded {
		if e = s.identify(e, poll, response.From, now); e == nil {
			return
		}
		e.proveAddress(poll.Executor.Address)
	}
	e.recordCall(delivery, response.Refusal, now)
	s.dirty = true
	e.markDue()
	switch {
	case delivery != Responded:
		e.notePollFailure(poll, now)
	case response.Refusal == execution.RefusedFenced && poll.Request.Token < e.token:
		e.undoRenewal(poll) // a later call of this owner has overtaken and fenced it off
		e.pollAt = now
	case response.Refusal == execution.RefusedFenced:
		s.fenced = true
	case response.Refusal == execution.RefusedWrongExecutor:
		s.discardAll(e)
	case response.Refusal != execution.NotRefused:
		e.notePollFailure(poll, now)
	default:
		s.applyPollResponse(e, poll, response, now)
	}
}

// notePollFailure records a poll that the executor did not carry out, as far as is known. No lease is
// renewed until one succeeds, so that leaseBound is not extended meanwhile, but see mayRenewUnanswered.
func (e *executorState) notePollFailure(poll Poll, now time.Time) {
	e.failedCalls++
	e.lastFailedPoll = poll.SentAt
	e.renewalPaused = true
	e.pollAt = now.Add(min(time.Duration(e.failedCalls)*pollRetry, maxPollRetry))
}

// undoRenewal takes back what a poll that was certainly not carried out has added to leaseBound.
func (e *executorState) undoRenewal(poll Poll) {
	if e.leaseBound.Equal(poll.leaseBoundAfter) {
		e.leaseBound = poll.leaseBoundBefore
	}
}

// applyPollResponse applies the runs and completions that an executor lists.
func (s *Shard) applyPollResponse(e *executorState, poll Poll, response execution.PollResponse, now time.Time) {
	if !e.polled {
		// The poll has fenced off earlier owners, and this one has renewed nothing there yet.
		e.leaseBound = now.Add(maxLeaseTime(s.limits.RunLease))
		if e.restarted || e.bornLately(now) {
			// A call to an earlier incarnation may have arrived, with an end by another clock.
			e.leaseBound = now.Add(maxLeaseTime(s.limits.MaxRunLease))
		}
	}
	if len(e.former) > 0 && len(response.Ended) < execution.MaxEnded {
		s.settleFormer(e, response)
	}
	e.failedCalls, e.renewalPaused, e.polled, e.doubtedAt = 0, false, true, time.Time{}
	e.clockMs, e.clockAt, e.clockSentAt, e.lastResponse = response.ClockMs, now, poll.SentAt, now
	e.ackedSequence = max(e.ackedSequence, poll.Request.AckedThrough)
	s.settleAcknowledgement(e, poll)
	e.pollAt = now
	if len(response.Ended) > 0 {
		e.pollAt = now.Add(pollPause)
	}
	if e.pollWait() == 0 {
		e.pollAt = now.Add(pollPause)
	}
	listed := map[execution.RunRef]bool{}
	for _, row := range response.Ended {
		listed[row.RunRef] = true
		if row.Sequence > e.appliedSequence {
			e.appliedSequence = row.Sequence
			s.applyCompletion(e, row, now)
		}
	}
	clear(e.orphans)
	for _, row := range response.Running {
		listed[row.RunRef] = true
		s.applyRunning(e, row, now)
	}
	s.noteAlive(e, response.ClockMs)
	if len(response.Ended) < execution.MaxEnded {
		s.discardAbsent(e, poll.SentAt, listed, now)
	}
	e.advanceDurable()
	if e.cordoned() && len(e.runs) == 0 {
		s.loadUrgent = true
	}
	s.throttle(e, now)
	s.detectStall(e, now)
	s.evacuateDue = true
}

func (s *Shard) applyRunning(e *executorState, row execution.Running, now time.Time) {
	r := e.runs[row.Task]
	if r == nil || r.number != row.Run {
		e.orphans[orphanKey{row.Task, row.Run}] = &orphan{}
		s.awaitOrphan(row.Task, now)
		return
	}
	if r.phase != confirmed && !r.stopping {
		r.confirm(now)
	}
	if r.startedAt.IsZero() {
		r.startedAt = now
	}
	if r.presentMs == 0 {
		r.presentMs = e.clockMs
	}
	r.percent, r.usage = row.Percent, row.Usage
	if row.Checkpoint != "" && r.task.step.def.Checkpointing {
		r.task.checkpoint = row.Checkpoint
	}
}

// awaitOrphan lets a task wait until a run of it that an executor lists, but that is not expected
// there, has been stopped.
func (s *Shard) awaitOrphan(id job.TaskID, now time.Time) {
	t := s.taskOf(id)
	if t == nil {
		return
	}
	t.delayRetry(now.Add(orphanStopTime))
	if r := t.current; r != nil && (r.phase == decided || r.phase == unconfirmed) {
		s.stop(r, StopOrphanElsewhere)
	}
}

// discardAbsent discards the runs that the response lists neither as running nor as
// ended, if its poll was sent after they were confirmed or their earlier owner was
// fenced off, or if their starts are refused as too late if they arrive now.
func (s *Shard) discardAbsent(e *executorState, sentAt time.Time, listed map[execution.RunRef]bool, now time.Time) {
	for _, r := range e.sortedRuns() {
		if listed[r.ref()] {
			continue
		}
		tooLate := r.phase == unconfirmed && r.untilMs > 0 && e.clockMs >= r.untilMs
		certain := tooLate || r.phase == inherited || r.phase == confirmed && sentAt.After(r.confirmedAt)
		switch {
		case certain && r.mayBeUnsent():
			s.discard(r, GivenUpPrepared)
		case certain:
			s.discard(r, GivenUpAbsent)
		}
	}
}
