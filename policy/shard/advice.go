package shard

import (
	"slices"
	"time"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/job"
)

const (
	// ticketMargin is how long before the end of its validity a ticket is no longer used,
	// so that a start with it arrives in time.
	ticketMargin = 300 * time.Millisecond
	// adviceRetry is the minimum time from an advice result to the next request for the step. It doubles with each
	// response in a row that can't be used, up to maxAdviceRetry, so that such steps don't take up the service.
	adviceRetry    = 300 * time.Millisecond
	maxAdviceRetry = 5 * time.Second
	// maxAdviceExecutors bounds the executors that one request names.
	maxAdviceExecutors = 30
	// maxAdviceAge is the share of the tickets' validity that a request may take by the operator's configuration:
	// it names fewer executors if necessary.
	maxAdviceAge = 0.25
	// adviceInterval is the minimum time between two searches for steps that need advice,
	// since each computes the start order.
	adviceInterval = 50 * time.Millisecond
	// maxAdviceSearch bounds the steps of each sort that a search returns, and maxAdviceChecks the checks of a step
	// against an executor in one search.
	maxAdviceSearch = 16
	maxAdviceChecks = 20_000
	// aheadInterval is the number of requests of which one is for a step that has no room yet, if there is one: it
	// needs tickets by the time it gets room, or others go first for ever.
	aheadInterval = 4
)

// updateAdvised records whether the job's steps need advice.
func (s *Shard) updateAdvised(j *jobState) {
	if j.Queue.Advice == nil {
		delete(s.advised, j.ID)
		return
	}
	s.advised[j.ID] = true
}

// AdviceNeed is the most urgent need for advice.
type AdviceNeed struct {
	// Configured is the time that a request takes by the operator's configuration.
	Configured time.Duration
	// Ahead is set if no step with this need has room now, so that none would start at once.
	Ahead bool

	step *step
}

// AdviceRequest is a request to the advice service for tickets for a step.
type AdviceRequest struct {
	Step      job.StepID
	Queue     string
	Executors []cluster.ExecutorID

	step         *step
	incarnations []cluster.Incarnation // of the executors when the request was made
	partial      bool                  // more executors are usable than the request names
}

// adviceSearch holds the steps that the last search for steps without tickets has found, most urgent first.
type adviceSearch struct {
	next      time.Time // earliest time of the next search
	startable []*step   // with room
	ahead     []*step   // without
	requests  int       // since the last one for a step without room
}

// AdviceNeed returns the need for which advice should be requested next, and whether there is one. A step needs
// advice if it lacks tickets and could start a task if it had some.
func (s *Shard) AdviceNeed(now time.Time) (AdviceNeed, bool) {
	if len(s.advised) == 0 {
		return AdviceNeed{}, false
	}
	search := &s.adviceSearch
	if !now.Before(search.next) {
		search.next = now.Add(adviceInterval)
		s.searchAdvice(now)
	}
	search.startable = s.dropSatisfied(search.startable, now)
	search.ahead = s.dropSatisfied(search.ahead, now)
	list := search.startable
	if len(list) == 0 || len(search.ahead) > 0 && search.requests >= aheadInterval-1 {
		list = search.ahead
	}
	if len(list) == 0 || !slices.ContainsFunc(s.sortedExecutors(), func(e *executorState) bool { return e.isAdviceCandidate(now) }) {
		return AdviceNeed{}, false
	}
	terms := list[0].job.Queue.Advice
	need := AdviceNeed{step: list[0], Ahead: len(search.startable) == 0}
	need.Configured = terms.Decision + terms.Each*time.Duration(adviceExecutors(terms))
	return need, true
}

// dropSatisfied removes the steps at the beginning of the list that need no request any more.
func (s *Shard) dropSatisfied(list []*step, now time.Time) []*step {
	for len(list) > 0 && !s.needsAdvice(list[0], now) {
		list = list[1:]
	}
	return list
}

// searchAdvice finds the steps that need advice.
func (s *Shard) searchAdvice(now time.Time) {
	search := &s.adviceSearch
	search.startable, search.ahead = nil, nil
	room := roomSearch{executors: s.adviceCandidates(now), checksLeft: maxAdviceChecks}
	if len(room.executors) == 0 {
		return
	}
	for _, j := range s.startOrder(now) {
		if j.Queue.Advice == nil {
			continue
		}
		for _, o := range j.occurrences {
			for _, st := range o.steps {
				if s.needsAdvice(st, now) {
					search.add(st, room.find(st))
				}
			}
		}
		if len(search.startable) >= maxAdviceSearch && len(search.ahead) > 0 {
			return
		}
	}
}

func (a *adviceSearch) add(st *step, hasRoom bool) {
	list := &a.ahead
	if hasRoom {
		list = &a.startable
	}
	if len(*list) < maxAdviceSearch {
		*list = append(*list, st)
	}
}

// roomSearch searches executors with room.
type roomSearch struct {
	executors  []*executorState
	checksLeft int // checks of a step against an executor still allowed
}

// find reports whether one of the executors has room for a task of the step, and may run it if the advice service
// permits that. It reports false if too many checks would be needed.
func (r *roomSearch) find(st *step) bool {
	need := st.def.Reservation()
	for _, e := range r.executors {
		if r.checksLeft == 0 {
			return false
		}
		r.checksLeft--
		if need.Fits(e.free()) && st.meets(e) {
			return true
		}
	}
	return false
}

// needsAdvice reports whether advice should be requested for a step now.
func (s *Shard) needsAdvice(st *step, now time.Time) bool {
	t := &st.tickets
	return !st.job.terminating() && !t.requested && !now.Before(t.retryAt) && s.lacksTickets(st, now)
}

// mustLeave reports whether a task of a long-running step runs on an executor that it has to leave. Without a ticket
// for another one it would not be evacuated.
func (s *Shard) mustLeave(st *step) bool {
	return st.def.LongRunning && slices.ContainsFunc(s.leaving, func(e *executorState) bool { return e.runsOf(st) > 0 })
}

// lacksTickets reports whether the step has tasks that it can't start for lack of valid tickets.
func (s *Shard) lacksTickets(st *step, now time.Time) bool {
	if st.job.Queue.Advice == nil || st.blockers > 0 || st.tasksLeft == 0 {
		return false
	}
	if st.tasksLeft <= st.runs && !s.mustLeave(st) {
		return false
	}
	return !now.Before(st.tickets.validUntil) || s.ticketsObsolete(&st.tickets)
}

// RequestAdvice returns the request for a need that AdviceNeed has just returned. It is open until HandleAdvice or
// HandleUnusableAdvice. The requests for a step go through the executors in turn.
func (s *Shard) RequestAdvice(n AdviceNeed, now time.Time) AdviceRequest {
	t := &n.step.tickets
	candidates := s.adviceCandidates(now)
	r := AdviceRequest{Step: n.step.id, Queue: n.step.job.Queue.Name, step: n.step}
	for i := range min(len(candidates), adviceExecutors(n.step.job.Queue.Advice)) {
		e := candidates[(t.nextExecutor+i)%len(candidates)]
		r.Executors = append(r.Executors, e.ID)
		r.incarnations = append(r.incarnations, e.Incarnation())
	}
	r.partial = len(candidates) > len(r.Executors)
	t.nextExecutor = (t.nextExecutor + len(r.Executors)) % max(1, len(candidates))
	t.requested, t.requestedAt = true, now
	s.noteAdviceRequested(n.step)
	return r
}

// noteAdviceRequested counts requests for steps with room since the last one for a step without.
func (s *Shard) noteAdviceRequested(st *step) {
	if len(s.adviceSearch.ahead) > 0 && s.adviceSearch.ahead[0] == st {
		s.adviceSearch.requests = 0
	} else {
		s.adviceSearch.requests++
	}
}

// adviceExecutors returns how many executors a request names at most: as many as the service takes maxAdviceAge of
// the tickets' validity for.
func adviceExecutors(a *cluster.Advice) int {
	if a.Each <= 0 || a.Validity <= 0 {
		return maxAdviceExecutors
	}
	n := (time.Duration(maxAdviceAge*float64(a.Validity)) - a.Decision) / a.Each
	return int(min(max(n, 1), maxAdviceExecutors))
}

// adviceCandidates returns the executors that requests name, by health and ID. Suspect ones
// are among them, since a trial run needs a ticket, too.
func (s *Shard) adviceCandidates(now time.Time) []*executorState {
	suspect := s.executorsWith(func(e *executorState) bool { return e.isSuspectCandidate(now) })
	return append(s.usableExecutors(now), suspect...)
}

func (e *executorState) isAdviceCandidate(now time.Time) bool {
	return e.usable(now) || e.isSuspectCandidate(now)
}

// isSuspectCandidate reports whether a trial run may be placed there in time.
func (e *executorState) isSuspectCandidate(now time.Time) bool {
	return e.available(now) && e.health.suspect()
}

// ticketsObsolete reports whether there are tickets and none of their executors is listed
// any more.
func (s *Shard) ticketsObsolete(t *tickets) bool {
	for executor := range t.byExecutor {
		if e := s.executors[executor.ID]; e != nil && e.listed && e.Incarnation() == executor {
			return false
		}
	}
	return len(t.byExecutor) > 0
}

// HandleAdvice handles the result of a request: the tickets by executor, with their
// validity from sentAt on. A nil map means that there was no response.
func (s *Shard) HandleAdvice(r AdviceRequest, byExecutor map[cluster.ExecutorID]string, validity time.Duration, sentAt, now time.Time) {
	t := &r.step.tickets
	t.requested, t.unusableResponses = false, 0
	t.retryAt = now.Add(adviceRetry)
	if byExecutor == nil || len(byExecutor) == 0 && r.partial {
		return
	}
	s.noteReplacedTickets(r.step)
	// A ticket is valid in one incarnation only.
	t.byExecutor = make(map[cluster.Incarnation]string, len(byExecutor))
	for _, executor := range r.incarnations {
		if ticket, found := byExecutor[executor.ID]; found {
			t.byExecutor[executor] = ticket
		}
	}
	t.used = false
	t.validUntil = ticketsValidUntil(validity, sentAt, now)
	s.dirty = true
}

// ticketsValidUntil returns until when tickets that have just been received are used. The validity may count from any
// time since the request was sent. If the response took so long that they may have expired already, they are tried
// once all the same, since those of the next request may be as old.
func ticketsValidUntil(validity time.Duration, sentAt, now time.Time) time.Time {
	certain := sentAt.Add(validity - ticketMargin)
	tried := now.Add(min(validity, ticketMargin))
	if tried.After(certain) {
		return tried
	}
	return certain
}

// HandleUnusableAdvice handles a response to a request from which nothing can be concluded.
func (s *Shard) HandleUnusableAdvice(r AdviceRequest, now time.Time) {
	t := &r.step.tickets
	t.requested = false
	t.unusableResponses = min(t.unusableResponses+1, 10)
	t.retryAt = now.Add(min(adviceRetry<<t.unusableResponses, maxAdviceRetry))
}
