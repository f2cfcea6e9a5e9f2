package dispatch

import (
	"time"

	"github.com/tarragonreach/tarragonreach/policy/health"
)

// Outcome is how an attempt ended.
type Outcome uint8

// The outcomes of an attempt.
const (
	Succeeded Outcome = iota // the executor responded
	Failed                   // counts against the executor
	Busy                     // the executor had no free slot
	Neutral                  // says nothing about the executor, such as a caller that disconnected
)

// OverdueFactor times the expected run time is how long a response may take before it is
// overdue, so that a timeout counts against the executor.
const OverdueFactor = 4

// MinAttemptFactor times the expected run time is the minimum time that a first attempt
// gets before it is abandoned for a retry, which happens only if the executor has
// completed no other request meanwhile.
const MinAttemptFactor = 6

// busyLimitDuration is how long the limit stays reduced after a busy response.
const busyLimitDuration = time.Second

// Release releases a slot and records how the attempt ended; took is its time in the
// slot. It grants free slots to waiters.
func (s *Service) Release(e *Executor, class string, outcome Outcome, took time.Duration, now time.Time) {
	switch outcome {
	case Succeeded:
		s.handleSuccess(e, class, took, now)
	case Failed:
		s.handleFailure(e, now)
	case Busy:
		s.handleBusy(e, now)
	}
	e.inFlight.Add(-1)
	if e.trial.Load() && e.State() != health.Healthy {
		e.trial.Store(false)
	}
	if s.waiting.Load() > 0 {
		s.mu.Lock()
		s.drain(now)
		s.mu.Unlock()
	}
}

func (s *Service) handleSuccess(e *Executor, class string, took time.Duration, now time.Time) {
	e.latency.Add(took)
	s.runTime.Add(took)
	s.classes.get(class).runTime.Add(took)
	e.successes.Add(1)
	e.lastSuccess.Store(now.UnixNano())
	if e.consecutiveFailures.Load() != 0 {
		e.consecutiveFailures.Store(0)
	}
	if e.State() == health.Healthy {
		return
	}
	s.applyDecision(e, now, func() health.Decision { return s.settings.Health.OnSuccess(e.member) })
}

func (s *Service) handleFailure(e *Executor, now time.Time) {
	e.failures.Add(1)
	e.consecutiveFailures.Add(1)
	pool := s.pool(e)
	s.applyDecision(e, now, func() health.Decision {
		return s.settings.Health.OnFailure(e.member, e.window(), pool, now)
	})
}

// handleBusy reduces the limit to the requests that the executor accepted: those in
// flight except the refused one, at least 1.
func (s *Service) handleBusy(e *Executor, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.busyLimit.Store(max(e.inFlight.Load()-1, 1))
	e.busyUntil.Store(now.Add(busyLimitDuration).UnixNano())
	e.refreshLimit(now)
}

// pool returns the number of executors and how many of them, other than e, are not healthy.
func (s *Service) pool(e *Executor) health.Pool {
	all := s.members.Load().all
	pool := health.Pool{Members: len(all)}
	for _, other := range all {
		if other != e && other.State() != health.Healthy {
			pool.Ejected++
		}
	}
	return pool
}

// applyDecision makes a decision on the executor's health and applies it, under the
// executor's lock.
func (s *Service) applyDecision(e *Executor, now time.Time, decision func() health.Decision) {
	e.mu.Lock()
	defer e.mu.Unlock()
	before := e.member.State
	d := decision()
	e.member = d.Member
	if d.Member.State == before {
		return
	}
	s.changeState(e, before, now)
}

// changeState applies the change to e.member.State; the executor's lock is held.
func (s *Service) changeState(e *Executor, before health.State, now time.Time) {
	if before == health.Probation {
		s.onProbation.Add(-1)
	}
	if e.member.State == health.Probation {
		s.onProbation.Add(1)
	}
	if e.member.State == health.Healthy {
		e.slowStart = now
		e.trial.Store(false)
	}
	e.resetWindow()
	e.refreshLimit(now)
	e.state.Store(uint32(e.member.State))
}
