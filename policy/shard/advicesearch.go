package shard

import (
	"slices"
	"time"

	"github.com/tarragonreach/tarragonreach/policy/adviceflow"
)

const (
	// adviceInterval is the minimum time between two searches for steps that need advice,
	// since each computes the start order.
	adviceInterval = 50 * time.Millisecond
	// maxAdviceSearch bounds the steps of each class that a search returns.
	maxAdviceSearch = 16
	// maxAdviceChecks bounds the checks of a step against an executor in one search, and maxRepeatedChecks those for
	// steps whose last request brought no start.
	maxAdviceChecks   = 20_000
	maxRepeatedChecks = 5_000
	// askableInterval is the minimum time between two searches for executors that a repeated step may be asked for
	// with, if there was none.
	askableInterval = 1 * time.Second
)

// AdviceNeed is the most urgent need for advice.
type AdviceNeed struct {
	// Configured is the time that a request takes by the operator's configuration.
	Configured time.Duration
	// Class is the most urgent class of which a step needs advice.
	Class adviceflow.Class

	step  *step
	class adviceflow.Class // of the step
}

// adviceSearch holds the steps that the last search for steps without tickets has found.
type adviceSearch struct {
	next    time.Time                   // earliest time of the next search
	byClass [adviceflow.Classes][]*step // each in the order in which they are asked for
	turns   adviceflow.Turns
}

// AdviceNeed returns the need for which advice should be requested next, and whether there is one. A step needs
// advice if it lacks tickets and could start a task if it had some. Steps of a class are asked for in the order in which they
// may start, but repeated ones by the time of their last request.
func (s *Shard) AdviceNeed(now time.Time) (AdviceNeed, bool) {
	if len(s.advised) == 0 {
		return AdviceNeed{}, false
	}
	search := &s.adviceSearch
	if !now.Before(search.next) {
		search.next = now.Add(adviceInterval)
		s.searchAdvice(now)
	}
	most, waiting := adviceflow.Classes, [adviceflow.Classes]bool{}
	for class := range adviceflow.Classes {
		search.byClass[class] = s.dropSatisfied(search.byClass[class], now)
		if len(search.byClass[class]) > 0 {
			most, waiting[class] = min(most, class), true
		}
	}
	class, found := search.turns.Next(waiting)
	if !found {
		return AdviceNeed{}, false
	}
	st := search.byClass[class][0]
	return AdviceNeed{Configured: configuredAdviceTime(st.job.Queue.Advice), Class: most, step: st, class: class}, true
}

// dropSatisfied removes the steps at the beginning of the list that need no request any more.
func (s *Shard) dropSatisfied(list []*step, now time.Time) []*step {
	for len(list) > 0 && !(s.needsAdvice(list[0], now) && s.isAskable(list[0], now)) {
		list = list[1:]
	}
	return list
}

// isAskable reports whether there is an executor that a request for the step may name.
func (s *Shard) isAskable(st *step, now time.Time) bool {
	return slices.ContainsFunc(s.sortedExecutors(), func(e *executorState) bool {
		return e.isAdviceCandidate(now) && st.mayBeAdvised(e, now)
	})
}

// searchAdvice finds the steps that need advice.
func (s *Shard) searchAdvice(now time.Time) {
	search := &s.adviceSearch
	search.byClass = [adviceflow.Classes][]*step{}
	executors := s.adviceCandidates(now)
	if len(executors) == 0 {
		return
	}
	room := roomSearch{executors: executors, checksLeft: maxAdviceChecks, now: now}
	var repeated []*step
	for _, j := range s.startOrder(now) {
		if j.Queue.Advice == nil {
			continue
		}
		for _, o := range j.occurrences {
			for _, st := range o.steps {
				switch {
				case !s.needsAdvice(st, now):
				case st.tickets.repeated():
					repeated = append(repeated, st)
				case !search.isFull(adviceflow.Startable) || len(search.byClass[adviceflow.Ahead]) == 0:
					search.examine(st, &room, adviceflow.Startable)
				}
			}
		}
	}
	search.addRepeated(repeated, &roomSearch{executors: executors, checksLeft: maxRepeatedChecks, now: now})
}

// addRepeated adds steps whose last request brought no start, in the order in which they were last examined. One that
// there is no executor to ask for is examined again after askableInterval.
func (a *adviceSearch) addRepeated(steps []*step, room *roomSearch) {
	slices.SortStableFunc(steps, func(x, y *step) int { return x.tickets.examinedAt.Compare(y.tickets.examinedAt) })
	for _, st := range steps {
		if room.checksLeft <= 0 || a.isFull(adviceflow.Repeated) {
			return
		}
		if a.examine(st, room, adviceflow.Repeated) == nothingToAsk {
			st.tickets.examinedAt, st.tickets.retryAt = room.now, room.now.Add(askableInterval)
		}
	}
}

// examine adds a step to the steps of the given class if an executor has room for it, and to those of class Ahead if none
// has, and returns what it has found.
func (a *adviceSearch) examine(st *step, room *roomSearch, class adviceflow.Class) roomResult {
	result := room.find(st)
	switch result {
	case roomFound:
		a.add(st, class)
	case roomMissing:
		a.add(st, adviceflow.Ahead)
	}
	return result
}

func (a *adviceSearch) isFull(class adviceflow.Class) bool {
	return len(a.byClass[class]) >= maxAdviceSearch
}

func (a *adviceSearch) add(st *step, class adviceflow.Class) {
	if !a.isFull(class) {
		a.byClass[class] = append(a.byClass[class], st)
	}
}

// roomSearch searches executors with room.
type roomSearch struct {
	executors  []*executorState
	checksLeft int // checks of a step against an executor still allowed
	now        time.Time
}

// roomResult is the result of a search for room for a step.
type roomResult uint8

const (
	nothingToAsk roomResult = iota // no executor may run the step by what is known
	roomMissing                    // those that may run it have no room
	roomFound
)

// find searches an executor that has room for a task of the step, and may run it if the advice service permits that. It
// finds none if too many checks would be needed.
func (r *roomSearch) find(st *step) roomResult {
	need := st.def.Reservation()
	result := nothingToAsk
	for _, e := range r.executors {
		if r.checksLeft <= 0 {
			return roomMissing
		}
		r.checksLeft--
		if !st.mayBeAdvised(e, r.now) {
			continue
		}
		if need.Fits(e.free()) {
			return roomFound
		}
		result = roomMissing
	}
	return result
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
