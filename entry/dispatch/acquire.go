package dispatch

import (
	"slices"
	"time"

	"github.com/tarragonreach/tarragonreach/api/verdict"
	"github.com/tarragonreach/tarragonreach/policy/admission"
)

// Acquire requests a slot. It returns a Grant with an executor or a refusal, unless queued
// is true: then w.Deliver receives the Grant later.
func (s *Service) Acquire(w *Waiter, now time.Time) (grant Grant, queued bool) {
	if w.Request.Exclude == nil {
		r := &w.Request
		s.classes.get(r.Class).recordArrival(r.Priority, s.RunTime(r.Class))
	}
	if len(s.members.Load().all) == 0 {
		return Grant{Err: noBackendServer()}, false
	}
	if s.waiting.Load() == 0 || w.Request.Exclude != nil {
		if e := s.pickFor(w); e != nil {
			return Grant{Executor: e}, false
		}
	}
	return s.enqueue(w, now)
}

// pickFor takes a slot for the waiter, or returns nil if none is free. For a repeatable
// request it prefers a trial of an executor on probation, because a failed trial costs
// the caller nothing.
func (s *Service) pickFor(w *Waiter) *Executor {
	if w.Request.Repeatable && w.Request.Exclude == nil {
		if e := s.pickTrial(nil); e != nil {
			return e
		}
	}
	return s.pick(w.Request.Exclude)
}

func noBackendServer() *verdict.Error {
	return refuse(verdict.CodeNoBackendServer, "the service has no backend server that accepts requests", admission.MinRetryAfter)
}

func (s *Service) enqueue(w *Waiter, now time.Time) (Grant, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var refusal *verdict.Error
	if w.Request.Exclude != nil {
		refusal = s.enqueueRetry(w)
	} else {
		refusal = s.enqueueFirst(w, now)
	}
	if refusal != nil {
		return Grant{Err: refusal}, false
	}
	s.waiting.Add(1)
	s.drain(now) // A slot released before the waiter was counted would otherwise stay free.
	return Grant{}, true
}

func (s *Service) enqueueRetry(w *Waiter) *verdict.Error {
	m := s.members.Load()
	onlyExcluded := len(m.all) == 1 && m.all[0] == w.Request.Exclude
	if onlyExcluded {
		return refuse(verdict.CodeNoBackendServer, "the service has no other backend server to try", admission.MinRetryAfter)
	}
	if len(s.retries) >= maxRetryQueue {
		return refuse(verdict.CodeQueueFull, "too many retries are queued already", admission.MinRetryAfter)
	}
	w.isRetry = true
	s.retries = append(s.retries, w)
	return nil
}

func (s *Service) enqueueFirst(w *Waiter, now time.Time) *verdict.Error {
	r := &w.Request
	w.queued.Value = w
	w.queued.Priority, w.queued.Tenant, w.queued.Weight = r.Priority, r.Tenant, r.Weight
	w.queued.Cost = s.RunTime(r.Class)
	load := s.load(w, now)
	if err := load.Check(); err != nil {
		return err
	}
	displaced, accepted := s.queue.Push(&w.queued)
	if !accepted {
		return refuse(verdict.CodeQueueFull, "the queue of the service is full", load.RetryAfter())
	}
	if displaced != nil {
		s.waiting.Add(-1)
		refusal := refuse(verdict.CodeQueueFull, "displaced from the queue by requests of a higher priority", load.RetryAfter())
		displaced.Value.Deliver(Grant{Err: refusal})
	}
	return nil
}

// load returns the load of the service for the admission policy; the lock is held.
func (s *Service) load(w *Waiter, now time.Time) admission.Load {
	r := &w.Request
	return admission.Load{
		Ahead:               s.queue.Ahead(&w.queued) + time.Duration(len(s.retries))*s.runTime.Value(),
		Slots:               s.Capacity(),
		HigherPrioritySlots: s.classes.load(int64(r.Priority)),
		MeanRunTime:         s.runTime.Value(),
		ExpectedRunTime:     w.queued.Cost,
		TimeLeft:            r.Deadline.Sub(now),
	}
}

// Cancel removes a queued waiter and reports whether it was still queued. If not,
// w.Deliver has been called.
func (s *Service) Cancel(w *Waiter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	removed := false
	if w.isRetry {
		removed = s.removeRetry(w)
	} else {
		removed = s.queue.Remove(&w.queued)
	}
	if removed {
		s.waiting.Add(-1)
	}
	return removed
}

func (s *Service) removeRetry(w *Waiter) bool {
	at := slices.Index(s.retries, w)
	if at < 0 {
		return false
	}
	s.retries = slices.Delete(s.retries, at, at+1)
	w.isRetry = false
	return true
}

// drain grants free slots to waiters; the lock is held.
func (s *Service) drain(now time.Time) {
	s.drainRetries()
	for s.queue.Len() > 0 {
		e := s.pick(nil)
		if e == nil {
			return
		}
		w := s.nextInTime(now)
		if w == nil {
			e.inFlight.Add(-1)
			return
		}
		if trial := s.trialFor(w); trial != nil {
			e.inFlight.Add(-1)
			e = trial
		}
		w.Deliver(Grant{Executor: e})
	}
}

func (s *Service) trialFor(w *Waiter) *Executor {
	if !w.Request.Repeatable {
		return nil
	}
	return s.pickTrial(nil)
}

// drainRetries grants free slots to retries. They are served before the queue, since
// they have waited longest.
func (s *Service) drainRetries() {
	remaining := s.retries[:0]
	for _, w := range s.retries {
		e := s.pick(w.Request.Exclude)
		if e == nil {
			remaining = append(remaining, w)
			continue
		}
		w.isRetry = false
		s.waiting.Add(-1)
		w.Deliver(Grant{Executor: e})
	}
	clear(s.retries[len(remaining):])
	s.retries = remaining
}

// nextInTime pops the next waiter whose request can still complete before its deadline
// and refuses those before it. It returns nil if there is none.
func (s *Service) nextInTime(now time.Time) *Waiter {
	for {
		next := s.queue.Pop()
		if next == nil {
			return nil
		}
		s.waiting.Add(-1)
		w := next.Value
		left := w.Request.Deadline.Sub(now)
		if left >= s.RunTime(w.Request.Class) {
			return w
		}
		refusal := refuse(verdict.CodeWaitExceedsTimeout, "the request waited too long to complete within its timeout", admission.MinRetryAfter)
		w.Deliver(Grant{Err: refusal})
	}
}
