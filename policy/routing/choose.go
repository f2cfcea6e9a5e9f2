// Package routing chooses the executor for a request and allocates the slots of
// executors to entry instances. The package is pure.
package routing

import (
	"math/rand/v2"
	"time"
)

// Load is the state of one executor as seen by this entry instance.
type Load struct {
	InFlight int
	Limit    int           // requests that this entry instance may run there at once
	Latency  time.Duration // expected time of one request
	Ramp     float64       // from 0 exclusive to 1, below 1 during slow start
	Usable   bool          // false while ejected by outlier detection
}

// Free reports whether the executor can take another request.
func (l Load) Free() bool { return l.Usable && l.InFlight < l.Limit }

// Cost returns the expected time of another request in nanoseconds, raised with the
// utilisation of the executor's limit and during slow start.
func (l Load) Cost() float64 {
	utilisation := float64(l.InFlight+1) / float64(max(l.Limit, 1))
	return float64(max(l.Latency, time.Microsecond)) * (1 + utilisation) / l.Ramp
}

// Candidate is an executor that may be chosen.
type Candidate interface {
	comparable
	Load() Load
}

// Choose returns the cheaper of two random candidates with a free slot. If neither has
// one, it returns the cheapest free candidate of all. It never returns exclude.
func Choose[C Candidate](candidates []C, exclude C, rng *rand.Rand) (C, bool) {
	var none C
	if len(candidates) == 0 {
		return none, false
	}
	first := candidates[rng.IntN(len(candidates))]
	second := candidates[rng.IntN(len(candidates))]
	firstLoad, secondLoad := first.Load(), second.Load()
	firstFree := first != exclude && firstLoad.Free()
	secondFree := second != exclude && secondLoad.Free()
	switch {
	case firstFree && secondFree && secondLoad.Cost() < firstLoad.Cost():
		return second, true
	case firstFree:
		return first, true
	case secondFree:
		return second, true
	default:
		return Cheapest(candidates, exclude)
	}
}

// Cheapest returns the free candidate with the lowest cost, other than exclude.
func Cheapest[C Candidate](candidates []C, exclude C) (C, bool) {
	var best C
	var bestCost float64
	found := false
	for _, c := range candidates {
		load := c.Load()
		if c == exclude || !load.Free() {
			continue
		}
		if cost := load.Cost(); !found || cost < bestCost {
			best, bestCost, found = c, cost, true
		}
	}
	return best, found
}
