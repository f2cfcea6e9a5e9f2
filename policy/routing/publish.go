package routing

import (
	"math"
	"time"
)

const (
	// heldFall is the part by which a load must fall below the demand told last before
	// it is told anew, and heldFallSlots the least such fall in slots.
	dampFallShare = 0.2
	dampFallSlots = 1.5
	// heldRise is how far a load may be above the demand told last, in slots.
	dampRiseSlots = 0.5
)

// DampDemand returns the demand to tell peers for a load in slots: the last one as long as
// the load is close to it, so that the division stays put under a steady load.
func DampDemand(last int, load float64) int {
	rise := load - float64(last)
	if last > 0 && load > 0 && rise <= dampRiseSlots && -rise <= max(dampFallSlots, dampFallShare*float64(last)) {
		return last
	}
	return int(math.Ceil(load))
}

// SummaryInterval is the time for which an entry instance keeps to a summary while its
// load changes little.
const SummaryInterval = 2 * time.Second

// ShouldPublish reports whether the demand told last is to be renewed at its age: after an
// interval, or as soon as the load differs from it by more than the headroom for
// chance bursts and the peers have heard of it.
func ShouldPublish(last int, load float64, age time.Duration) bool {
	if age >= SummaryInterval {
		return true
	}
	return age >= PropagationDelay && math.Abs(load-float64(last)) > float64(headroom(max(last, 1)))
}

// PropagationDelay is the time after which the peers of the own availability zone divide by
// a demand that they were told.
const PropagationDelay = 500 * time.Millisecond

// EffectiveDemand returns the demand that counts in an entry instance's own division, from the two
// that it told its peers last and the age of the last one. A demand that has grown
// counts once the peers have heard of it, one that has fallen at once.
func EffectiveDemand(previous, last Demand, age time.Duration) Demand {
	if previous.Slots < last.Slots && age < PropagationDelay {
		return previous
	}
	return last
}
