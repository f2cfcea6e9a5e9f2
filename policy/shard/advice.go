package shard

import (
	"time"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/job"
)

const (
	// ticketMargin is how long before the end of its validity a ticket is no longer used,
	// so that a start with it arrives in time.
	ticketMargin = 300 * time.Millisecond
	// adviceRetry is the minimum time from an advice result to the next request for the step.
	adviceRetry = 300 * time.Millisecond
	// maxAdviceExecutors bounds the executors that one request names.
	maxAdviceExecutors = 30
	// adviceInterval is the minimum time between two searches for steps that need advice,
	// since each computes the start order.
	adviceInterval = 50 * time.Millisecond
)

// updateAdvised records whether the job's steps need advice.
func (s *Shard) updateAdvised(j *jobState) {
	if j.Queue.Advice == nil {
		delete(s.advised, j.ID)
		return
	}
	s.advised[j.ID] = true
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

// AdviceRequests returns the requests to send to the advice service now, most urgent first.
// Each is open until HandleAdvice.
func (s *Shard) AdviceRequests(now time.Time) []AdviceRequest {
	if len(s.advised) == 0 || now.Before(s.nextAdviceSearch) {
		return nil
	}
	s.nextAdviceSearch = now.Add(adviceInterval)
	var list []AdviceRequest
	for _, j := range s.startOrder(now) {
		if j.Queue.Advice == nil {
			continue
		}
		for _, o := range j.occurrences {
			for _, st := range o.steps {
				if r, wanted := s.adviceRequest(st, now); wanted {
					list = append(list, r)
				}
			}
		}
	}
	return list
}

// adviceRequest returns the request that the step needs now, if any. Requests for a step
// go through the candidates in turn.
func (s *Shard) adviceRequest(st *step, now time.Time) (AdviceRequest, bool) {
	t := &st.tickets
	if t.requested || now.Before(t.retryAt) || !s.lacksTickets(st, now) {
		return AdviceRequest{}, false
	}
	candidates := s.adviceCandidates(now)
	if len(candidates) == 0 {
		return AdviceRequest{}, false
	}
	r := AdviceRequest{Step: st.id, Queue: st.job.Queue.Name, step: st}
	for i := range min(len(candidates), maxAdviceExecutors) {
		e := candidates[(t.nextExecutor+i)%len(candidates)]
		r.Executors = append(r.Executors, e.ID)
		r.incarnations = append(r.incarnations, e.Incarnation())
	}
	r.partial = len(candidates) > len(r.Executors)
	t.nextExecutor = (t.nextExecutor + len(r.Executors)) % len(candidates)
	t.requested, t.requestedAt = true, now
	return r, true
}

// lacksTickets reports whether the step can't start tasks for lack of valid tickets.
func (s *Shard) lacksTickets(st *step, now time.Time) bool {
	if st.job.Queue.Advice == nil || st.blockers > 0 || st.tasksLeft == 0 {
		return false
	}
	return !now.Before(st.tickets.validUntil) || s.ticketsObsolete(&st.tickets)
}

// adviceCandidates returns the executors that requests name, by health and ID. Suspect ones
// are among them, since a trial run needs a ticket, too.
func (s *Shard) adviceCandidates(now time.Time) []*executorState {
	suspect := s.executorsWith(func(e *executorState) bool { return e.available(now) && e.health.suspect() })
	return append(s.usableExecutors(now), suspect...)
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
	r.step.tickets.requested = false
	r.step.tickets.retryAt = now.Add(adviceRetry)
	if byExecutor == nil || len(byExecutor) == 0 && r.partial {
		return
	}
	s.noteReplacedTickets(r.step)
	// A ticket is valid in one incarnation only.
	r.step.tickets.byExecutor = make(map[cluster.Incarnation]string, len(byExecutor))
	for _, executor := range r.incarnations {
		if ticket, found := byExecutor[executor.ID]; found {
			r.step.tickets.byExecutor[executor] = ticket
		}
	}
	r.step.tickets.used = false
	r.step.tickets.validUntil = sentAt.Add(validity - ticketMargin)
	s.dirty = true
}
