// Package health decides when a failing executor is ejected and when it returns. It does
// no I/O and keeps no state.
package health

import "time"

// State determines how many requests an executor gets.
type State uint8

// The states of an executor.
const (
	Healthy   State = iota // gets its share of requests
	Ejected                // gets no requests
	Probation              // gets one request at a time until ReturnSuccesses succeed in a row
)

// Settings are the thresholds of ejection.
type Settings struct {
	ConsecutiveFailures int           // failures in a row that eject an executor
	FailureRatio        float64       // share of failures in a window that ejects it
	MinRequests         int           // minimum number of requests in a window for FailureRatio to apply
	BaseEjection        time.Duration // length of the first ejection; each further one doubles it
	MaxEjection         time.Duration
	MaxEjectedShare     float64 // share of a service's executors that may be ejected
	ReturnSuccesses     int     // successes in a row on probation that end it
}

// DefaultSettings returns settings with which an executor is back in service within 30 s
// of its recovery.
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

// Pool counts the executors of the service.
type Pool struct {
	Members int
	Ejected int // ejected or on probation, without the executor under decision
}

// mayEject reports whether one more executor may be ejected.
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
	Ejections int       // in close succession; OnTick resets it
	Successes int       // in a row on probation
}

// Reason is why a member changed or did not.
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

// OnFailure returns the decision after a failed attempt.
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

// eject ejects a member. The period doubles with each ejection up to MaxEjection. While so
// many executors are ejected that this one is unlikely to be the cause, the period is
// BaseEjection and the ejection doesn't count.
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

// OnSuccess returns the decision after a successful attempt.
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

// OnTick ends an ejection whose time is over, and resets the count of ejections of a
// member whose last ejection ended more than 2*MaxEjection ago.
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
