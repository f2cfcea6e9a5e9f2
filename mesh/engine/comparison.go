package engine

import "time"

// maxComparisonDoublings bounds the time between comparisons of the same states.
const maxComparisonDoublings = 5

// comparison limits how often a difference between two hashes costs a full
// comparison. States that stay different, such as between two versions of the
// program, are compared ever more seldom.
type comparison struct {
	own, peer uint64
	repeats   int
	next      time.Time
}

// due reports whether to compare now, and if so notes the comparison.
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
