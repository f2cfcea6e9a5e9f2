package engine

import "time"

// maxComparisonDoublings bounds the backoff between comparisons of the same two states.
const maxComparisonDoublings = 5

// comparison limits how often a difference between two hashes causes a full comparison.
// Comparisons of the same two states back off exponentially, since the states may stay
// different, such as between two versions of the program.
type comparison struct {
	own, peer uint64
	repeats   int
	next      time.Time
}

// due reports whether to compare now, and if so records the comparison.
func (c *comparison) due(own, peer uint64, period time.Duration, now time.Time) bool {
	if own == peer || now.Before(c.next) {
		return false
	}
	if own == c.own && peer == c.peer {
		c.repeats = min(c.repeats+1, maxComparisonDoublings)
	} else {
		c.repeats = 0
	}
	c.own, c.peer = own, peer
	c.next = now.Add(period << c.repeats)
	return true
}
