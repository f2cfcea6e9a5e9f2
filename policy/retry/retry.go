// Package retry decides whether a failed attempt is repeated. The package is pure.
package retry

import (
	"math/rand/v2"
	"time"

	"github.com/tarragonreach/tarragonreach/api/verdict"
)

// Token is the cost of one retry in a Budget. Each request earns a fraction of it.
const Token = 1000

// Budget bounds retries to a percentage of requests.
type Budget struct {
	Percent int   // retries per hundred requests
	Burst   int64 // maximum number of retries that may be saved up
}

// DefaultBudget keeps the mean number of attempts below 1.1 per request.
func DefaultBudget() Budget { return Budget{Percent: 8, Burst: 50} }

// Full returns the tokens of a full budget.
func (b Budget) Full() int64 { return b.Burst * Token }

// Earn returns the tokens after one more request.
func (b Budget) Earn(tokens int64) int64 {
	return min(tokens+int64(b.Percent)*Token/100, b.Full())
}

// Spend returns the tokens after one retry. If there are too few, it returns them
// unchanged and false.
func (b Budget) Spend(tokens int64) (int64, bool) {
	if tokens < Token {
		return tokens, false
	}
	return tokens - Token, true
}

// Attempt describes an attempt that failed.
type Attempt struct {
	Number        int  // attempt of the request at this entry instance, from 1
	CallerAttempt int  // attempt as counted by the caller, from 1; zero if not given
	Repeatable    bool // the request is idempotent
	Replayable    bool // the body can be sent again
	Verdict       verdict.Verdict
	Code          verdict.Code
	TimeLeft      time.Duration
	RunTime       time.Duration // expected time of another attempt
}

// MaxAttempts is the maximum number of attempts of one request.
const MaxAttempts = 2

// Refusal is the reason why an attempt is not repeated.
type Refusal string

// The reasons against a retry.
const (
	None             Refusal = ""
	AlreadyRetried   Refusal = "already-retried"
	NotRepeatable    Refusal = "not-repeatable"
	BodyConsumed     Refusal = "body-consumed"
	NoTimeLeft       Refusal = "no-time-left"
	NotWorthRetrying Refusal = "not-worth-retrying"
	BudgetExhausted  Refusal = "budget-exhausted"
)

// Decide returns None if the attempt may be repeated, subject to the Budget, and the
// reason against it otherwise.
func Decide(a Attempt) Refusal {
	switch {
	case !transient(a.Code):
		return NotWorthRetrying
	case a.Number >= MaxAttempts || a.CallerAttempt > 1:
		return AlreadyRetried
	case a.Verdict != verdict.NotRun && !a.Repeatable:
		return NotRepeatable
	case !a.Replayable:
		return BodyConsumed
	case a.TimeLeft <= a.RunTime:
		return NoTimeLeft
	default:
		return None
	}
}

// transient reports whether a retry on another executor may succeed.
func transient(code verdict.Code) bool {
	switch code {
	case verdict.CodeConnectFailed, verdict.CodeBackendServerBusy, verdict.CodeBackendServerLeaving,
		verdict.CodeConnectionLost, verdict.CodeResponseTruncated, verdict.CodeResponseMismatched, verdict.CodeTimeout:
		return true
	default:
		return false
	}
}

// Bounds of the pause before a retry.
const (
	minPause = time.Millisecond
	maxPause = 25 * time.Millisecond
)

// Pause returns a jittered pause before a retry, at most a tenth of the time left, and 0
// if a tenth is minPause or less.
func Pause(timeLeft time.Duration, rng *rand.Rand) time.Duration {
	bound := min(maxPause, timeLeft/10)
	if bound <= minPause {
		return 0
	}
	return minPause + time.Duration(rng.Int64N(int64(bound-minPause)))
}
