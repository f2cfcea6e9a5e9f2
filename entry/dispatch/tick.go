package dispatch

import (
	"time"

	"github.com/tarragonreach/tarragonreach/policy/health"
)

// TickInterval is how often Tick is due.
const TickInterval = 50 * time.Millisecond

// Tick updates load averages, ends ejections, advances slow starts and grants the slots
// that become free.
func (s *Service) Tick(now time.Time) {
	s.classes.update(now)
	usable := 0
	capacity := 0
	all := s.members.Load().all
	for _, e := range all {
		s.applyDecision(e, now, func() health.Decision { return s.settings.Health.OnTick(e.member, now) })
		s.refresh(e, now)
		if e.State() == health.Healthy {
			usable++
			capacity += e.Limit()
		}
	}
	if usable == 0 && len(all) > 0 {
		s.readmitAll(all, now)
	}
	s.recountOnProbation(all)
	s.capacity.Store(int64(capacity))
	if s.waiting.Load() == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(all) == 0 {
		s.refuseAll()
		return
	}
	s.drain(now)
}

// refuseAll refuses every waiter of a service without executors; the lock is held.
func (s *Service) refuseAll() {
	for _, w := range s.retries {
		w.isRetry = false
		s.waiting.Add(-1)
		w.Deliver(Grant{Err: noBackendServer()})
	}
	s.retries = nil
	for next := s.queue.Pop(); next != nil; next = s.queue.Pop() {
		s.waiting.Add(-1)
		next.Value.Deliver(Grant{Err: noBackendServer()})
	}
}

func (s *Service) refresh(e *Executor, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.refreshLimit(now)
}

// readmitAll marks every executor healthy, because an ejected one is better than none.
func (s *Service) readmitAll(all []*Executor, now time.Time) {
	for _, e := range all {
		s.applyDecision(e, now, func() health.Decision {
			member := e.member
			member.State = health.Healthy
			return health.Decision{Member: member, Reason: health.Recovered}
		})
	}
}

// DecayWindows halves the weight of the outcomes so far in every executor's health
// window. It must be called at regular intervals.
func (s *Service) DecayWindows() {
	for _, e := range s.members.Load().all {
		e.decayWindow()
	}
}
