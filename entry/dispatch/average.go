package dispatch

import (
	"math"
	"sync/atomic"
	"time"
)

// averageWeight is the weight of a new value in an Average.
const averageWeight = 0.05

// Average is an exponentially weighted moving average of durations. The zero value is
// empty. It is safe for concurrent use.
type Average struct{ bits atomic.Uint64 }

// Value returns the average, or zero if no value has been added.
func (a *Average) Value() time.Duration { return time.Duration(math.Float64frombits(a.bits.Load())) }

// Add adds a value to the average.
func (a *Average) Add(d time.Duration) {
	for {
		old := a.bits.Load()
		average := math.Float64frombits(old)
		next := average + averageWeight*(float64(d)-average)
		if old == 0 {
			next = float64(d)
		}
		if a.bits.CompareAndSwap(old, math.Float64bits(next)) {
			return
		}
	}
}
