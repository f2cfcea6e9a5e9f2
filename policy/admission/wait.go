package admission

import (
	"math"
	"time"

	"github.com/tarragonreach/tarragonreach/api/verdict"
)

// Load is what is known about a service when a request asks for admission.
type Load struct {
	Ahead    int           // waiters that go first
	Slots    int           // requests that run at once
	RunTime  time.Duration // mean time in a slot over all classes
	OwnTime  time.Duration // expected time in a slot of this request's class
	TimeLeft time.Duration // what is left of the request's timeout
}

// Wait estimates the time until the request gets a slot. Without a slot it is
// the longest duration.
func (l Load) Wait() time.Duration {
	if l.Slots <= 0 {
		return math.MaxInt64
	}
	return time.Duration(float64(l.RunTime) * float64(l.Ahead+1) / float64(l.Slots))
}

// Margin is how many times the estimate must fit into what is left of the timeout,
// since waits and run times vary. It lets a request be refused on arrival rather
// than after a wait in vain.
const Margin = 2

// Check refuses a request whose estimated wait and run time exceed what is left
// of its timeout. The error says when to come back.
func (l Load) Check() *verdict.Error {
	if l.Slots <= 0 || l.RunTime <= 0 {
		return nil // Nothing is known yet.
	}
	if Margin*(l.Wait()+l.OwnTime) <= l.TimeLeft {
		return nil
	}
	refusal := verdict.New(verdict.NotRun, verdict.CodeWaitExceedsTimeout,
		"the estimated wait exceeds what is left of the timeout")
	refusal.RetryAfter = l.RetryAfter()
	return refusal
}

// Bounds of the advice when to come back.
const (
	MinRetryAfter = time.Second
	MaxRetryAfter = 30 * time.Second
)

// RetryAfter returns when the present queue will have been served.
func (l Load) RetryAfter() time.Duration {
	return min(max(l.Wait(), MinRetryAfter), MaxRetryAfter)
}
