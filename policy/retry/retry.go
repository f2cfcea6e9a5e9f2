// Package retry decides whether a failed attempt is repeated. The package is pure.
package retry

import (
	"math/rand/v2"
	"time"

	"github.com/tarragonreach/tarragonreach/api/verdict"
)

// Token is the cost of one retry in a Budget; a request earns a part of it.
const Token = 1000

// Budget bounds retries to a percentage of requests.
type Budget struct {
	Percent int   // retries for each hundred requests
	Burst   int64 // retries that may be saved up
}

// DefaultBudget keeps sends below 1.1 for each request.
func DefaultBudget() Budget { return Budget{Percent: 8, Burst: 50} }

// Full returns the tokens of a full budget.
func (b Budget) Full() int64 { return b.Burst * Token }

// Earn returns the tokens after one more request.
func (b Budget) Earn(tokens int64) int64 {
	return min(tokens+int64(b.Percent)*Token/100, b.Full())
}

// Spend returns the tokens after one retry, and false if they do not suffice.
func (b Budget) Spend(tokens int64) (int64, bool) {
	if tokens < Token {
		return tokens, false
	}
	return tokens - Token, true
}

// Attempt describes an attempt that failed.
type Attempt struct {
	Number        int  // of this request at this entry instance, from 1
	CallerAttempt int  // as the caller counts, from 1; zero means not given
	Repeatable    bool // the request is idempotent
	Replayable    bool // the body can be sent again
	Verdict       verdict.Verdict
	Code          verdict.Code
	TimeLeft      time.Duration
	RunTime       time.Duration // expected time of another attempt
}

// MaxAttempts is how often one request is sent at most.
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

// Decide returns None if the attempt may be repeated within the budget, else the
// reason against it.
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

// transient reports whether another executor may do better.
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

// Pause returns a jittered pause before a retry, at most a tenth of the time left.
func Pause(timeLeft time.Duration, rng *rand.Rand) time.Duration {
	bound := min(maxPause, timeLeft/10)
	if bound <= minPause {
		return 0
	}
	return minPause + time.Duration(rng.Int64N(int64(bound-minPause)))
}
