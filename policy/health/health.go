// Package health decides when a failing executor is ejected and when it returns.
// The package is pure.
package health

import "time"

// State says how an executor is used.
type State uint8

// The states of an executor.
const (
	Healthy   State = iota // takes its share
	Ejected                // takes nothing
	Probation              // takes one request at a time until it has proved itself
)

// Settings are the thresholds of ejection.
type Settings struct {
	ConsecutiveFailures int           // in a row that eject an executor
	FailureRatio        float64       // of a window's requests that ejects it
	MinRequests         int           // of a window before the ratio counts
	BaseEjection        time.Duration // the first ejection; each further one doubles it
	MaxEjection         time.Duration
	MaxEjectedShare     float64 // of a service's executors, at most
	ReturnSuccesses     int     // in a row on probation that return it to service
}

// DefaultSettings return an executor within 30 s of its recovery.
func DefaultSettings() Settings {
	return Settings{
		ConsecutiveFailures: 5,
		FailureRatio:        0.5,
		MinRequests:         10,
		BaseEjection:        time.Second,
		MaxEjection:         16 * time.Second,
		MaxEjectedShare:     0.5,
		ReturnSuccesses:     3,
	}
}

// Pool is the state of all executors of the service.
type Pool struct {
	Members int
	Ejected int // ejected or on probation, this one not counted
}

// hasRoom reports whether one more executor may be ejected.
func (s Settings) mayEject(p Pool) bool {
	return float64(p.Ejected+1) <= s.MaxEjectedShare*float64(p.Members)
}

// Window counts the recent outcomes of an executor.
type Window struct {
	Successes   int
	Failures    int
	Consecutive int // failures since the last success
}

// Member is the health of one executor.
type Member struct {
	State     State
	Until     time.Time // end of the ejection
	Ejections int       // that followed each other closely
	Successes int       // in a row on probation
}

// Reason says why a member changed or did not.
type Reason string

// The reasons of a Decision.
const (
	Unchanged           Reason = ""
	ConsecutiveFailures Reason = "consecutive-failures"
	FailureRatio        Reason = "failure-ratio"
	FailedProbation     Reason = "failed-probation"
	ShareReached        Reason = "ejected-share-reached"
	EjectionOver        Reason = "ejection-over"
	Recovered           Reason = "recovered"
)

// Decision is a member's next state and the reason for it.
type Decision struct {
	Member Member
	Reason Reason
}

// OnFailure decides after a failed attempt.
func (s Settings) OnFailure(m Member, w Window, p Pool, now time.Time) Decision {
	switch {
	case m.State == Ejected:
		return Decision{m, Unchanged}
	case m.State == Probation:
		return Decision{s.eject(m, p, now), FailedProbation}
	case !s.failing(w):
		return Decision{m, Unchanged}
	case !s.mayEject(p):
		return Decision{m, ShareReached}
	case w.Consecutive >= s.ConsecutiveFailures:
		return Decision{s.eject(m, p, now), ConsecutiveFailures}
	default:
		return Decision{s.eject(m, p, now), FailureRatio}
	}
}

func (s Settings) failing(w Window) bool {
	if w.Consecutive >= s.ConsecutiveFailures {
		return true
	}
	total := w.Successes + w.Failures
	return total >= s.MinRequests && float64(w.Failures) >= s.FailureRatio*float64(total)
}

// eject doubles the period with each ejection, except while so many executors
// fail that the cause is not this one.
func (s Settings) eject(m Member, p Pool, now time.Time) Member {
	period := s.BaseEjection
	correlated := p.Ejected > 0 && !s.mayEject(Pool{Members: p.Members, Ejected: p.Ejected + 1})
	if !correlated {
		period = min(s.BaseEjection<<min(m.Ejections, 10), s.MaxEjection)
		m.Ejections++
	}
	m.State = Ejected
	m.Until = now.Add(period)
	m.Successes = 0
	return m
}

// OnSuccess decides after a good attempt.
func (s Settings) OnSuccess(m Member) Decision {
	if m.State != Probation {
		return Decision{m, Unchanged}
	}
	m.Successes++
	if m.Successes < s.ReturnSuccesses {
		return Decision{m, Unchanged}
	}
	m.State = Healthy
	m.Successes = 0
	return Decision{m, Recovered}
}

// OnTick ends an ejection whose time is over and forgets old ejections.
func (s Settings) OnTick(m Member, now time.Time) Decision {
	switch {
	case m.State == Ejected && !now.Before(m.Until):
		m.State = Probation
		return Decision{m, EjectionOver}
	case m.State == Healthy && m.Ejections > 0 && now.Sub(m.Until) > 2*s.MaxEjection:
		m.Ejections = 0
	}
	return Decision{m, Unchanged}
}
