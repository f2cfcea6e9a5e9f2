package admission

import (
	"math"
	"time"

	"github.com/tarragonreach/tarragonreach/api/verdict"
)

// Load describes the state of a service when a request arrives for admission.
type Load struct {
	Ahead               time.Duration // total slot time of the waiters that are served first
	Slots               int           // requests that can run at once
	HigherPrioritySlots float64       // mean slots taken by arriving requests of higher priority
	MeanRunTime         time.Duration // mean time in a slot over all classes
	ExpectedRunTime     time.Duration // expected time in a slot of this request's class
	TimeLeft            time.Duration // rest of the request's timeout
}

// Wait estimates the time until the request gets a slot. If the service has no slots,
// it returns the maximum duration.
func (l Load) Wait() time.Duration {
	if l.Slots <= 0 {
		return math.MaxInt64
	}
	available := max(float64(l.Slots)-l.HigherPrioritySlots, LowestLevelShare*float64(l.Slots))
	return time.Duration(float64(l.Ahead+l.MeanRunTime) / available)
}

// MaxWaitShare is the share of its remaining timeout that a request may spend waiting.
// The rest covers run times far above the expected one; the limit also refuses a
// request on arrival instead of letting it wait until it times out.
const MaxWaitShare = 1.0 / 3

// Check returns an error if the estimated wait exceeds MaxWaitShare of the time left, or
// if the request could not complete within the time left. The error carries the time after
// which to retry. Without measurements, Check accepts every request.
func (l Load) Check() *verdict.Error {
	if l.Slots <= 0 || l.MeanRunTime <= 0 {
		return nil // no measurements yet
	}
	wait := l.Wait()
	if float64(wait) <= MaxWaitShare*float64(l.TimeLeft) && wait+l.ExpectedRunTime <= l.TimeLeft {
		return nil
	}
	refusal := verdict.New(verdict.NotRun, verdict.CodeWaitExceedsTimeout,
		"the estimated wait is too long for the remaining timeout")
	refusal.RetryAfter = l.RetryAfter()
	return refusal
}

// Bounds of RetryAfter.
const (
	MinRetryAfter = time.Second
	MaxRetryAfter = 30 * time.Second
)

// RetryAfter returns the estimated time until the current queue is served, within
// MinRetryAfter and MaxRetryAfter.
func (l Load) RetryAfter() time.Duration {
	return min(max(l.Wait(), MinRetryAfter), MaxRetryAfter)
}
