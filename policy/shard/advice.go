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
	partial      bool                  // more executors are usable than the request names
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
	if t.fruitless > 0 {
		s.adviceCountsOf(n.step).Repeated++
	}
	return r
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
	if byExecutor == nil {
		return
	}
	s.noteResponse(r.step, len(byExecutor) > 0)
	if len(byExecutor) == 0 && r.partial {
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
