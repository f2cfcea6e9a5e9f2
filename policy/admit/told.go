package admit

import "time"

const (
	// returnWindow is how long after the told time a job counts as returned.
	returnWindow = 2 * time.Second
	// returnTolerance is how long before the told time it counts already: clocks differ, and
	// callers round.
	returnTolerance = 250 * time.Millisecond
)

// Return is how the arrival of a job relates to the time that its caller was told.
type Return uint8

// The cases.
const (
	TooEarly Return = iota // before the told time
	InWindow               // as told
	TooLate                // later than the window
)

// ReturnOf returns the case of a request that arrived at the given time.
func ReturnOf(told, arrived time.Time) Return {
	switch {
	case arrived.Before(told.Add(-returnTolerance)):
		return TooEarly
	case arrived.After(told.Add(returnWindow)):
		return TooLate
	default:
		return InWindow
	}
}

// Early returns the decision on a job that comes back too early, given the one by what is known now:
// it is rejected until the told time.
func Early(d Decision, told, now time.Time) Decision {
	d.Rejected, d.Reason = true, ReasonEarly
	d.RetryAfter = max(1, (told.Sub(now)+time.Second-1)/time.Second) * time.Second
	return d
}
