package dispatch

import (
	"time"

	"github.com/tarragonreach/tarragonreach/policy/health"
)

// Outcome is how an attempt ended.
type Outcome uint8

// The outcomes of an attempt.
const (
	Succeeded Outcome = iota // the executor answered
	Failed                   // counts against the executor
	Busy                     // the executor had no free slot
	Neutral                  // says nothing of the executor, such as a caller that left
)

// OverdueFactor is how many times the expected run time an answer may take before
// it is overdue, so that it counts against the executor.
const OverdueFactor = 4

// MinAttemptFactor is how many times the expected run time a first attempt must be
// given before it may be cut for a retry, if the executor has answered nothing else
// in the meantime.
const MinAttemptFactor = 6

// busyPause is how long a limit stays lowered after a busy answer.
const busyPause = time.Second

// Release gives a slot back and reports how the attempt ended; took is its time
// in the slot.
func (s *Service) Release(e *Executor, class string, outcome Outcome, took time.Duration, now time.Time) {
	switch outcome {
	case Succeeded:
		s.succeeded(e, class, took, now)
	case Failed:
		s.failed(e, now)
	case Busy:
		s.busy(e, now)
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

func (s *Service) succeeded(e *Executor, class string, took time.Duration, now time.Time) {
	e.latency.Add(took)
	s.runTime.Add(took)
	s.classes.get(class).runTime.Add(took)
	e.successes.Add(1)
	e.answered.Store(now.UnixNano())
	if e.consecutive.Load() != 0 {
		e.consecutive.Store(0)
	}
	if e.State() == health.Healthy {
		return
	}
	s.decide(e, now, func() health.Decision { return s.settings.Health.OnSuccess(e.member) })
}

func (s *Service) failed(e *Executor, now time.Time) {
	e.failures.Add(1)
	e.consecutive.Add(1)
	pool := s.pool(e)
	s.decide(e, now, func() health.Decision {
		return s.settings.Health.OnFailure(e.member, e.window(), pool, now)
	})
}

// busy lowers the limit to what the executor bore.
func (s *Service) busy(e *Executor, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.busyLimit.Store(max(e.inFlight.Load()-1, 1))
	e.busyUntil.Store(now.Add(busyPause).UnixNano())
	e.refreshLimit(now)
}

// pool counts the other executors that are out of service.
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

// decide takes a decision on the executor's health under its lock.
func (s *Service) decide(e *Executor, now time.Time, decision func() health.Decision) {
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

// changeState publishes a new state; the executor's lock is held.
func (s *Service) changeState(e *Executor, before health.State, now time.Time) {
	if before == health.Probation {
		s.unproved.Add(-1)
	}
	if e.member.State == health.Probation {
		s.unproved.Add(1)
	}
	if e.member.State == health.Healthy {
		e.since = now
		e.trial.Store(false)
	}
	e.resetWindow()
	e.refreshLimit(now)
	e.state.Store(uint32(e.member.State))
}
