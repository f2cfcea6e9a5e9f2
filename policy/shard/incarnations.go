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

// retiredMemory is how long a forgotten incarnation is remembered, since calls to it may be carried
// out seconds later, and its entry may be listed late.
const retiredMemory = 1 * time.Minute

// RestartEvidence is how an owner has learned that an executor started again.
type RestartEvidence string

// The kinds of evidence.
const (
	RestartListed  RestartEvidence = "entry"    // its entry has a later birth
	RestartPolled  RestartEvidence = "poll"     // its response to a poll has a later birth
	RestartDoubted RestartEvidence = "clock"    // its clock is not that of the incarnation; a poll follows
	RestartStored  RestartEvidence = "progress" // stored progress names an incarnation that is not the listed one
	// RestartDisproved: it did not start again, though an entry said so. Former is the birth in the entry.
	RestartDisproved RestartEvidence = "entry-disproved"
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

// retiredIncarnation is what is remembered of an executor whose state was dropped.
type retiredIncarnation struct {
	known bool          // it had a birth
	born  cluster.Birth // the latest one that more than an entry states; zero if there is none
	token int64         // the highest token of a call to it or to earlier ones
	at    time.Time
}

// retire remembers an executor whose state is dropped.
func (s *Shard) retire(e *executorState, now time.Time) {
	s.retired[e.ID] = retiredIncarnation{known: e.Born != 0, born: e.provenBorn(), token: max(e.token, e.outdatedToken), at: now}
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
	if r := s.retired[listed.ID]; r.known {
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
		_, known := s.retired[listed.ID]
		e = s.add(listed, now)
		e.claimed = listed.Born != 0
		if !known && s.mayBeOfAnotherService(e, now) {
			e.pollAt = now.Add(ownEntryTime)
		}
	case e.hasDisproved(listed.Born):
		e.listed = e.entered
		return
	case e.Incarnation().SucceededBy(listed.Incarnation()):
		e = s.succeed(e, listed, RestartListed, now)
		e.claimed = true
	case e.claimed && listed.Born < e.Born:
		e.contradict(listed, now)
		return
	case e.Born == 0:
		e.claimed = listed.Born != 0
	case e.Born != listed.Born:
		return
	}
	e.enter(listed, now)
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
	if e.replaced = former; former.claimed {
		e.replaced = former.replaced
	}
	former.supersede(now)
	s.executors[next.ID] = e
	s.sorted = nil
	s.dirty = true
	s.updateLeaving()
	return e
}

// supersede notes that there is a later incarnation. The executor gets no calls any more, and its runs
// are settled with the later one.
func (e *executorState) supersede(now time.Time) {
	e.ended, e.listed, e.supersededAt = true, false, now
	clear(e.orphans)
}

// superseded reports whether there is a later incarnation.
func (e *executorState) superseded() bool { return !e.supersededAt.IsZero() }

// identify compares the incarnation that has responded to a poll with that of the executor's
// state. It returns the state that the response is about, or nil; a later incarnation replaces the state.
func (s *Shard) identify(e *executorState, poll Poll, from cluster.Incarnation, now time.Time) *executorState {
	switch {
	case from.ID == "" || from == e.Incarnation():
		e.claimed, e.replaced = false, nil
		return e
	case e.Incarnation().SucceededBy(from):
		next := e.Executor
		next.Born, next.Draining, next.DrainRemaining = from.Born, false, 0
		s.succeed(e, next, RestartPolled, now).replaced = nil
		return nil
	case e.Born == 0 && from.ID == e.ID:
		e.Born = from.Born
		return e
	}
	if proven := s.disprove(e, poll, from, now); proven != nil {
		return proven
	}
	e.failedCalls++
	e.pollAt = now.Add(pollRetry)
	return nil
}

// holder returns the state of the incarnation that stored progress names, which may be an earlier or
// a later one than the listed one.
func (s *Shard) holder(tp TaskProgress, now time.Time) *executorState {
	named := cluster.Incarnation{ID: tp.Executor, Born: tp.Born}
	unlisted := cluster.Executor{ID: tp.Executor, Born: tp.Born, Address: tp.Address}
	e := s.executors[named.ID]
	switch {
	case e == nil:
		e = s.add(unlisted, now)
		e.proveAddress(tp.Address)
		return e
	case e.Incarnation().MayEqual(named):
		if e.Born == 0 {
			e.Born = named.Born
		}
		if e.Born == named.Born {
			e.claimed, e.replaced = false, nil
		}
		e.proveAddress(tp.Address)
		return e
	case e.Incarnation().SucceededBy(named):
		e = s.succeed(e, unlisted, RestartStored, now)
		e.replaced = nil
		e.proveAddress(tp.Address)
		return e
	}
	for _, f := range e.former {
		if f.Born == named.Born {
			return f
		}
	}
	f := newExecutor(unlisted, now)
	f.proveAddress(tp.Address)
	f.supersede(now)
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
	r.expectedEnd = time.Time{}
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
