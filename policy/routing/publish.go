package routing

import (
	"math"
	"time"
)

const (
	// dampFallShare is the share of the last published demand by which the load must
	// fall before a new demand is published; dampFallSlots is the minimum fall in slots.
	dampFallShare = 0.2
	dampFallSlots = 1.5
	// dampRiseSlots is how far the load may exceed the last published demand, in slots.
	dampRiseSlots = 0.5
)

// DampDemand returns the demand to publish for a load in slots. It keeps the last
// published demand while the load is close to it, so that the allocation is stable
// under a steady load.
func DampDemand(last int, load float64) int {
	rise := load - float64(last)
	if last > 0 && load > 0 && rise <= dampRiseSlots && -rise <= max(dampFallSlots, dampFallShare*float64(last)) {
		return last
	}
	return int(math.Ceil(load))
}

// SummaryInterval is the interval at which an entry instance publishes its demand while
// its load changes little.
const SummaryInterval = 2 * time.Second

// ShouldPublish reports whether to publish a new demand, given the last published one
// and its age: after SummaryInterval, or once PropagationDelay has passed if the load
// differs from it by more than the headroom for random bursts.
func ShouldPublish(last int, load float64, age time.Duration) bool {
	if age >= SummaryInterval {
		return true
	}
	return age >= PropagationDelay && math.Abs(load-float64(last)) > float64(headroom(max(last, 1)))
}

// PropagationDelay is the time after which peers in the same availability zone allocate
// by a published demand.
const PropagationDelay = 500 * time.Millisecond

// EffectiveDemand returns the demand that an entry instance uses for itself in its own
// allocation, from its last two published demands and the age of the last one. A higher
// demand takes effect after PropagationDelay, when peers act on it; a lower one takes
// effect at once.
func EffectiveDemand(previous, last Demand, age time.Duration) Demand {
	if previous.Slots < last.Slots && age < PropagationDelay {
		return previous
	}
	return last
}
