package admission

import (
	"math"
	"time"

	"github.com/tarragonreach/tarragonreach/api/verdict"
)

// Load is what is known about a service when a request asks for admission.
type Load struct {
	Ahead               time.Duration // slot time of the waiters that go first
	Slots               int           // requests that run at once
	HigherPrioritySlots float64       // slots that go to requests of higher priority still to come
	MeanRunTime         time.Duration // mean time in a slot over all classes
	ExpectedRunTime     time.Duration // expected time in a slot of this request's class
	TimeLeft            time.Duration // what is left of the request's timeout
}

// Wait estimates the time until the request gets a slot. Without a slot it is
// the longest duration.
func (l Load) Wait() time.Duration {
	if l.Slots <= 0 {
		return math.MaxInt64
	}
	left := max(float64(l.Slots)-l.HigherPrioritySlots, LowestLevelShare*float64(l.Slots))
	return time.Duration(float64(l.Ahead+l.MeanRunTime) / left)
}

// MaxWaitShare is the part of a request's timeout that it may spend waiting. The
// rest covers run times far above the expected one, and lets a request be refused
// on arrival rather than after a wait in vain.
const MaxWaitShare = 1.0 / 3

// Check refuses a request whose estimated wait is too long for what is left of its
// timeout. The error says when to come back.
func (l Load) Check() *verdict.Error {
	if l.Slots <= 0 || l.MeanRunTime <= 0 {
		return nil // Nothing is known yet.
	}
	wait := l.Wait()
	if float64(wait) <= MaxWaitShare*float64(l.TimeLeft) && wait+l.ExpectedRunTime <= l.TimeLeft {
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
