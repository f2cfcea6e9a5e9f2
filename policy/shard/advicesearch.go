package shard

import (
	"slices"
	"time"
)

const (
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

// AdviceNeed is the most urgent need for advice.
type AdviceNeed struct {
	// Configured is the time that a request takes by the operator's configuration.
	Configured time.Duration
	// Ahead is set if no step that needs advice has room now, so that none would start at once.
	Ahead bool

	step *step
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
	need := list[0]
	return AdviceNeed{Configured: configuredAdviceTime(need.job.Queue.Advice), Ahead: len(search.startable) == 0, step: need}, true
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

// noteAdviceRequested counts requests for steps with room since the last one for a step without.
func (s *Shard) noteAdviceRequested(st *step) {
	if len(s.adviceSearch.ahead) > 0 && s.adviceSearch.ahead[0] == st {
		s.adviceSearch.requests = 0
	} else {
		s.adviceSearch.requests++
	}
}
