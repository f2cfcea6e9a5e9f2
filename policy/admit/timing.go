package admit

import "time"

const (
	// returnWindow is how long after the retry time a job counts as returned.
	returnWindow = 2 * time.Second
	// returnTolerance is how long before the retry time it counts already: clocks differ, and
	// callers round.
	returnTolerance = 250 * time.Millisecond
)

// Timing is how the arrival of a job relates to the time that its caller was retryAt.
type Timing uint8

// The cases.
const (
	TooEarly Timing = iota // before the retry time
	OnTime                 // as the caller was told
	TooLate                // later than the window
)

// TimingOf returns the case of a request that arrived at the given time.
func TimingOf(retryAt, arrived time.Time) Timing {
	switch {
	case arrived.Before(retryAt.Add(-returnTolerance)):
		return TooEarly
	case arrived.After(retryAt.Add(returnWindow)):
		return TooLate
	default:
		return OnTime
	}
}

// Early returns the decision on a job that comes back too early, given the one by what is known now:
// it is rejected until the retry time.
func Early(d Decision, retryAt, now time.Time) Decision {
	d.Rejected, d.Reason = true, ReasonEarly
	d.RetryAfter = max(1, (retryAt.Sub(now)+time.Second-1)/time.Second) * time.Second
	return d
}
