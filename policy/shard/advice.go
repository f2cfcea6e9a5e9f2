package shard

import (
	"slices"
	"time"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/job"
	"github.com/tarragonreach/tarragonreach/policy/adviceflow"
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
	// maxConfiguredAdvice bounds the configured times of the advice service, which may have any value.
	maxConfiguredAdvice = 1 * time.Minute
	// maxAdviceAge is the share of the tickets' validity that a request may take by the operator's configuration:
	// it names fewer executors if necessary.
	maxAdviceAge = 0.25
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
}

// AdviceResponse is a response to an AdviceRequest.
type AdviceResponse struct {
	// Tickets holds the tickets by executor. The advice service does not permit the others that the request named.
	Tickets map[cluster.ExecutorID]string
	// Incomplete is set if a part of the response can't be read: then nothing is known of executors without a ticket.
	Incomplete bool
	// Validity is how long the tickets are valid.
	Validity time.Duration
	// SentAt is when the request was sent.
	SentAt time.Time
}

// AdviceFailure is why a request has no response that can be used.
type AdviceFailure uint8

// The failures.
const (
	// AdviceNotServed is the failure of a request that the service has not taken.
	AdviceNotServed AdviceFailure = iota
	// AdviceNoResponse is the failure of a request to which the service, which may have taken it, has not responded.
	AdviceNoResponse
	// AdviceUnusable is the failure of a request to whose response nothing can be concluded about the step.
	AdviceUnusable
)

// RequestAdvice returns the request for a need that AdviceNeed has just returned. It is open until HandleAdvice or
// HandleAdviceFailure.
func (s *Shard) RequestAdvice(n AdviceNeed, now time.Time) AdviceRequest {
	r := AdviceRequest{Step: n.step.id, Queue: n.step.job.Queue.Name, step: n.step}
	for _, e := range s.executorsToAskFor(n.step, now) {
		r.Executors = append(r.Executors, e.ID)
		r.incarnations = append(r.incarnations, e.Incarnation())
	}
	s.noteRequest(n)
	t := &n.step.tickets
	t.requested, t.requestedAt, t.examinedAt = true, now, now
	t.hadRoom = n.class != adviceflow.Ahead
	s.adviceSearch.turns.Took(n.class)
	return r
}

// executorsToAskFor returns the executors that the next request for a step names: some of which it isn't known that they
// may not run it. The requests for a step go through these in turn.
func (s *Shard) executorsToAskFor(st *step, now time.Time) []*executorState {
	t := &st.tickets
	s.dropOutdatedRefusals(t)
	candidates := slices.DeleteFunc(s.adviceCandidates(now), func(e *executorState) bool { return !st.mayBeAdvised(e, now) })
	named := make([]*executorState, min(len(candidates), adviceExecutors(st.job.Queue.Advice)))
	for i := range named {
		named[i] = candidates[(t.nextExecutor+i)%len(candidates)]
	}
	t.nextExecutor = (t.nextExecutor + len(named)) % max(1, len(candidates))
	return named
}

// mayBeAdvised reports whether a request for the step may name the executor.
func (st *step) mayBeAdvised(e *executorState, now time.Time) bool {
	return st.meets(e) && st.tickets.mayGet(e.Incarnation(), now)
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

// configuredAdviceTime returns how long a request takes by the operator's configuration.
func configuredAdviceTime(a *cluster.Advice) time.Duration {
	return min(a.Decision, maxConfiguredAdvice) + min(a.Each, maxConfiguredAdvice)*time.Duration(adviceExecutors(a))
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

// HandleAdvice handles the response to a request.
func (s *Shard) HandleAdvice(r AdviceRequest, response AdviceResponse, now time.Time) {
	t := &r.step.tickets
	t.requested, t.unusableResponses = false, 0
	t.retryAt = now.Add(adviceRetry)
	if !response.Incomplete {
		t.noteRefusals(r.incarnations, response.Tickets, now)
	}
	if len(response.Tickets) == 0 {
		t.result = adviceDenied
		s.adviceCountsOf(r.step).Denied++
		return
	}
	s.noteReplacedTickets(r.step)
	t.set(r.incarnations, response.Tickets, ticketsValidUntil(response.Validity, response.SentAt, now))
	s.dirty = true
}

// HandleAdviceFailure handles that a request has no response that can be used.
func (s *Shard) HandleAdviceFailure(r AdviceRequest, failure AdviceFailure, now time.Time) {
	t := &r.step.tickets
	t.requested = false
	t.retryAt = now.Add(adviceRetry)
	if failure == AdviceNotServed {
		return
	}
	t.result = adviceUnusable // the step may be the reason, so that others must not wait for it
	if failure == AdviceUnusable {
		t.unusableResponses = min(t.unusableResponses+1, 10)
		t.retryAt = now.Add(min(adviceRetry<<t.unusableResponses, maxAdviceRetry))
	}
}
