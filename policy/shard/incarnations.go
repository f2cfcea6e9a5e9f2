package shard

import (
	"slices"
	"time"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/execution"
)

// An executor may crash and start again under its ID. Each incarnation has an executorState of its
// own, so that nothing that is true of one is taken for true of another. What calls to an earlier
// incarnation may still do to the present one is excluded by fencing it off: see
// docs/design/executor-incarnations.md.

const (
	// retiredMemory is how long a forgotten incarnation is remembered, since calls to it may be
	// carried out seconds later, and its entry may be listed late.
	retiredMemory = 1 * time.Minute
	// callExpiry is the time after which a call without a response can no longer be carried out.
	callExpiry = 13 * time.Second
	// maxClockDifference is by how much the wall clocks of an executor and an owner may differ.
	maxClockDifference = 5 * time.Second
	// clockSlack is by how much an executor's clock may differ from what is expected of the
	// incarnation beyond its drift and the age of the last reading.
	clockSlack = 50 * time.Millisecond
)

// RestartEvidence is how an owner has learned that an executor started again.
type RestartEvidence string

// The kinds of evidence.
const (
	RestartListed  RestartEvidence = "entry"    // its entry has a later birth
	RestartPolled  RestartEvidence = "poll"     // its response to a poll has a later birth
	RestartDoubted RestartEvidence = "clock"    // its clock is not that of the incarnation; a poll follows
	RestartStored  RestartEvidence = "progress" // stored progress names an incarnation that is not the listed one
)

// RestartNote describes an executor that started again, for the log.
type RestartNote struct {
	Executor cluster.ExecutorID
	Former   cluster.Birth
	Born     cluster.Birth // zero if only doubted
	Evidence RestartEvidence
	Runs     int // runs of the former incarnation whose fate is not known yet
}

// maxRestartNotes bounds the notes between two calls of TakeRestartNotes; further ones are dropped.
const maxRestartNotes = 64

// TakeRestartNotes returns the notes since the last call.
func (s *Shard) TakeRestartNotes() []RestartNote {
	notes := s.restartNotes
	s.restartNotes = nil
	return notes
}

func (s *Shard) noteRestart(n RestartNote) {
	if len(s.restartNotes) < maxRestartNotes {
		s.restartNotes = append(s.restartNotes, n)
	}
}

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

// retiredIncarnation is what is remembered of an executor whose state was dropped.
type retiredIncarnation struct {
	born  cluster.Birth
	token int64 // the highest token of a call to it or to earlier ones
	at    time.Time
}

// retire remembers an executor whose state is dropped.
func (s *Shard) retire(e *executorState, now time.Time) {
	s.retired[e.ID] = retiredIncarnation{born: e.Born, token: max(e.token, e.outdatedToken), at: now}
}

// forgetRetired drops what is remembered of executors for longer than retiredMemory.
func (s *Shard) forgetRetired(now time.Time) {
	for id, r := range s.retired {
		if now.Sub(r.at) > retiredMemory {
			delete(s.retired, id)
		}
	}
}

// add adds an executor of which there is no state.
func (s *Shard) add(listed cluster.Executor, now time.Time) *executorState {
	e := newExecutor(listed, now)
	if r, known := s.retired[listed.ID]; known && r.born != 0 {
		e.outdatedToken = r.token
		e.restarted = r.born != listed.Born
		delete(s.retired, listed.ID)
	}
	s.executors[listed.ID] = e
	s.sorted = nil
	return e
}

// applyEntry applies a listed entry. An entry of an incarnation that has ended, or one that does not
// say which it is about, is no executor to use.
func (s *Shard) applyEntry(listed cluster.Executor, now time.Time) {
	e := s.executors[listed.ID]
	switch {
	case e == nil:
		if s.retired[listed.ID].born > listed.Born {
			return
		}
		e = s.add(listed, now)
	case e.Incarnation().SucceededBy(listed.Incarnation()):
		e = s.succeed(e, listed, RestartListed, now)
	case e.Born != listed.Born && e.Born != 0:
		return
	}
	if listed.Draining && !e.everDraining {
		e.everDraining = true
	}
	e.Executor = listed
	e.listed = true
}

// succeed replaces an executor's state by that of its next incarnation. Runs of the former one stay
// until the next one, fenced off from calls to the former, shows which of them it has.
func (s *Shard) succeed(former *executorState, next cluster.Executor, evidence RestartEvidence, now time.Time) *executorState {
	s.noteRestart(RestartNote{
		Executor: next.ID, Former: former.Born, Born: next.Born, Evidence: evidence, Runs: len(former.runs),
	})
	e := newExecutor(next, now)
	e.cordon = former.cordon
	e.outdatedToken = max(former.token, former.outdatedToken)
	e.restarted = true
	e.former = former.former
	former.former = nil
	if len(former.runs) > 0 {
		e.former = append(e.former, former)
	}
	former.ended, former.superseded, former.supersededAt, former.listed = true, true, now, false
	clear(former.orphans)
	s.executors[next.ID] = e
	s.sorted = nil
	s.dirty = true
	s.updateLeaving()
	return e
}

// identify compares the incarnation that has responded to a poll with that of the executor's
// state. It reports whether the response is about the latter; a later one replaces it.
func (s *Shard) identify(e *executorState, from cluster.Incarnation, now time.Time) bool {
	switch {
	case from.ID == "" || from == e.Incarnation():
		return true
	case e.Incarnation().SucceededBy(from):
		next := e.Executor
		next.Born, next.Draining, next.DrainRemaining = from.Born, false, 0
		s.succeed(e, next, RestartPolled, now)
		return false
	case e.Born == 0 && from.ID == e.ID:
		e.Born = from.Born
		return true
	default:
		e.failedCalls++
		e.pollAt = now.Add(pollRetry)
		return false
	}
}

// holder returns the state of the incarnation that stored progress names, which may be an earlier or
// a later one than the listed one.
func (s *Shard) holder(tp TaskProgress, now time.Time) *executorState {
	named := cluster.Incarnation{ID: tp.Executor, Born: tp.Born}
	unlisted := cluster.Executor{ID: tp.Executor, Born: tp.Born, Address: tp.Address}
	e := s.executors[named.ID]
	switch {
	case e == nil:
		return s.add(unlisted, now)
	case e.Incarnation().MayEqual(named):
		if e.Born == 0 {
			e.Born = named.Born
		}
		return e
	case e.Incarnation().SucceededBy(named):
		return s.succeed(e, unlisted, RestartStored, now)
	}
	for _, f := range e.former {
		if f.Born == named.Born {
			return f
		}
	}
	f := newExecutor(unlisted, now)
	f.ended, f.superseded, f.supersededAt = true, true, now
	e.former = append(e.former, f)
	e.restarted = true
	return f
}

// settleFormer decides what became of the runs of earlier incarnations, by the list of the present
// one, which no call to them can change any more: a start that reached it late has its run there, and
// the others ended with their incarnation.
func (s *Shard) settleFormer(e *executorState, response execution.PollResponse) {
	listed := map[execution.RunRef]bool{}
	for _, row := range response.Running {
		listed[row.RunRef] = true
	}
	for _, row := range response.Ended {
		listed[row.RunRef] = true
	}
	former := e.former
	e.former = nil
	for _, f := range former {
		for _, r := range f.sortedRuns() {
			if listed[r.ref()] {
				e.adopt(r)
			}
		}
		s.discardAll(f)
	}
}

// adopt moves a run from an earlier incarnation to this one, where its start has arrived.
func (e *executorState) adopt(r *run) {
	r.executor.removeRun(r)
	r.executor = e
	r.phase = unconfirmed
	r.startSends = max(1, r.startSends)
	r.inFlight, r.stopAcknowledged = false, false
	r.presentMs, r.startedAt, r.nextSend = 0, time.Time{}, time.Time{}
	e.addRun(r)
}

// expireFormer discards the runs of earlier incarnations once their leases have expired and no start
// of them can arrive at the present incarnation any more, if that one has not shown before what
// became of them.
func (s *Shard) expireFormer(e *executorState, now time.Time) {
	e.former = slices.DeleteFunc(e.former, func(f *executorState) bool {
		startsArrived := now.Sub(f.supersededAt) > callExpiry || !f.awaitsStarts()
		if !now.After(f.leaseBound) || !startsArrived {
			return false
		}
		s.discardAll(f)
		return true
	})
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

// formerRuns returns the number of runs of earlier incarnations whose fate is not known.
func (e *executorState) formerRuns() int {
	n := 0
	for _, f := range e.former {
		n += len(f.runs)
	}
	return n
}

// applyLatePoll applies a poll response of an incarnation that has ended since. The completions in it
// are true, but there is nobody left to acknowledge them to.
func (s *Shard) applyLatePoll(e *executorState, delivery Delivery, response execution.PollResponse, now time.Time) {
	if delivery != Responded || response.Refusal != execution.NotRefused || response.From.ID != "" && response.From != e.Incarnation() {
		return
	}
	for _, row := range response.Ended {
		s.applyCompletion(e, row, now)
	}
	e.pending = nil
}

// mayAcknowledge reports whether a poll may acknowledge completions. A start that is not known to
// have arrived at this incarnation may have arrived at a later one, which would forget the
// completion of that run unread if its number is among the acknowledged ones.
func (e *executorState) mayAcknowledge() bool {
	if e.Born == 0 {
		return true // the platform gives a restarted executor another ID
	}
	for _, r := range e.runs {
		if r.phase == unconfirmed && r.startSends > 0 {
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
		return r.phase == unconfirmed && r.startSends > 0 && r.lastSentAt.After(at)
	})
}

// leaseMayLast reports whether the run may be at work at a later incarnation, where its lease counts by
// another clock: its start was sent, has no response, and may have arrived there.
func (r *run) leaseMayLast(limits Limits, now time.Time) bool {
	sent := r.executor.Born != 0 && r.phase == unconfirmed && r.startSends > 0
	return sent && now.Sub(r.lastSentAt) <= maxLeaseTime(limits.MaxRunLease)
}
