package shard

import (
	"time"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/job"
)

const (
	// ticketMargin is how long before its end a ticket is no longer used, so that a
	// start under it arrives in time.
	ticketMargin = 300 * time.Millisecond
	// adviceRetry spaces questions about a step without an answer.
	adviceRetry = 300 * time.Millisecond
	// adviceExecutors is how many executors one question names.
	maxAdviceExecutors = 30
	// questionsEvery is the least time between two searches for steps that need advice,
	// each of which puts the jobs in order.
	adviceInterval = 50 * time.Millisecond
)

// noteAdvice notes whether the job's steps need advice.
func (s *Shard) updateAdvised(j *jobState) {
	if j.Queue.Advice == nil {
		delete(s.advised, j.ID)
		return
	}
	s.advised[j.ID] = true
}

// AdviceRequest asks the advice service about a step.
type AdviceRequest struct {
	Step      job.StepID
	Executors []cluster.ExecutorID

	step    *step
	partial bool // there are executors that it does not name
}

// AdviceRequests returns what to ask the advice service now, most urgent first. Each is
// open until QuestionAnswered.
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

func (s *Shard) adviceRequest(st *step, now time.Time) (AdviceRequest, bool) {
	t := &st.tickets
	if st.blockers > 0 || st.tasksLeft == 0 || t.requested || now.Before(t.retryAt) {
		return AdviceRequest{}, false
	}
	if now.Before(t.validUntil) && !s.ticketsObsolete(t) {
		return AdviceRequest{}, false
	}
	usable := s.usableExecutors(now)
	if len(usable) == 0 {
		return AdviceRequest{}, false
	}
	r := AdviceRequest{Step: st.id, step: st}
	for i := range min(len(usable), maxAdviceExecutors) {
		r.Executors = append(r.Executors, usable[(t.nextExecutor+i)%len(usable)].ID)
	}
	r.partial = len(usable) > len(r.Executors)
	t.nextExecutor = (t.nextExecutor + len(r.Executors)) % len(usable)
	t.requested = true
	return r, true
}

// lost reports whether none of the executors that the tickets are for is listed any more.
func (s *Shard) ticketsObsolete(t *tickets) bool {
	for id := range t.byExecutor {
		if e := s.executors[id]; e != nil && e.listed {
			return false
		}
	}
	return len(t.byExecutor) > 0
}

// HandleAdvice takes in the tickets for a step, valid for a time from sentAt;
// nil tickets mean that no answer came.
func (s *Shard) HandleAdvice(r AdviceRequest, byExecutor map[cluster.ExecutorID]string, validity time.Duration, sentAt, now time.Time) {
	r.step.tickets.requested = false
	r.step.tickets.retryAt = now.Add(adviceRetry)
	if byExecutor == nil || len(byExecutor) == 0 && r.partial {
		return
	}
	r.step.tickets.byExecutor = byExecutor
	r.step.tickets.validUntil = sentAt.Add(validity - ticketMargin)
	s.dirty = true
}
