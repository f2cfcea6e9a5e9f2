package capacity

import (
	"math"
	"slices"
)

// FailureDomain is what a pool is to survive the loss of.
type FailureDomain string

// The failure domains. The zero value reads as DomainZone.
const (
	DomainRack FailureDomain = "rack"
	DomainZone FailureDomain = "zone"
)

// ZoneDemand is a pool's demand in one availability zone.
type ZoneDemand struct {
	// Demand is in instances.
	Demand float64
	// Limit is how many instances there can serve the pool.
	Limit int
	// LargestRack is the most of those instances that share a rack.
	LargestRack int
}

// Spread returns how many instances a pool needs in each availability zone, so that
// what is left after the loss of the largest failure domain carries total, the
// demand of the whole pool in instances. Demand beyond a zone's own instances is
// served by the others, so that zones need not each round up; each keeps its own
// whole instances, and one where it has any demand, for when it is cut off. The sum
// is the smallest one for that; it falls short only where limits leave no choice.
func Spread(zones []ZoneDemand, total float64, domain FailureDomain) []int {
	if len(zones) == 0 {
		return nil
	}
	if domain == DomainRack || len(zones) == 1 {
		return spreadRacks(zones, total)
	}
	want := wholeInstances(total)
	return trim(fillEvenly(zones, want, remainingAfterZoneLoss), zones, want, remainingAfterZoneLoss)
}

// SizeWithoutPeers returns how many instances one of zones availability zones needs for a pool
// whose demand in the others is not known: its own, and its share of what the loss
// of another zone, or of its own largest rack, would leave to it.
func SizeWithoutPeers(zone ZoneDemand, zones int, domain FailureDomain) int {
	need := wholeInstances(zone.Demand)
	switch {
	case need == 0:
		return 0
	case domain == DomainRack || zones < 2:
		need += zone.LargestRack
	default:
		need = wholeInstances(zone.Demand * float64(zones) / float64(zones-1))
	}
	return min(need, zone.Limit)
}

func wholeInstances(demand float64) int { return int(math.Ceil(demand - roundingSlack)) }

// raise levels the zones up until enough of the sizes is left.
func fillEvenly(zones []ZoneDemand, want int, remaining func([]int) int) []int {
	maxLevel := 0
	for _, zone := range zones {
		maxLevel = max(maxLevel, zone.Limit)
	}
	level := 0
	for level < maxLevel && remaining(sizesAtLevel(zones, level)) < want {
		level++
	}
	return sizesAtLevel(zones, level)
}

// roundingSlack keeps sums of binary fractions from costing a whole instance.
const roundingSlack = 1e-9

// leastDemand is the demand below which a zone needs no instance of its own.
const minZoneDemand = 0.05

// own is what a zone keeps for when it is cut off.
func minimumSize(zone ZoneDemand) int {
	minimum := 0
	if zone.Demand > minZoneDemand {
		minimum = 1
	}
	return min(max(int(zone.Demand+roundingSlack), minimum), zone.Limit)
}

// levelled gives each zone its own demand and at least level instances.
func sizesAtLevel(zones []ZoneDemand, level int) []int {
	sizes := make([]int, len(zones))
	for i, zone := range zones {
		sizes[i] = max(minimumSize(zone), min(level, zone.Limit))
	}
	return sizes
}

// survivors is what the loss of the largest zone leaves.
func remainingAfterZoneLoss(sizes []int) int {
	sum := 0
	for _, size := range sizes {
		sum += size
	}
	return sum - slices.Max(sizes)
}

// trim takes back what the last level added beyond need.
func trim(sizes []int, zones []ZoneDemand, want int, remaining func([]int) int) []int {
	for i := range sizes {
		for sizes[i] > minimumSize(zones[i]) {
			sizes[i]--
			if remaining(sizes) < want {
				sizes[i]++
				break
			}
		}
	}
	return sizes
}

// spreadRacks leaves enough after the loss of the largest rack of any zone.
func spreadRacks(zones []ZoneDemand, total float64) []int {
	largestRack := 0
	for _, zone := range zones {
		largestRack = max(largestRack, zone.LargestRack)
	}
	remaining := func(sizes []int) int {
		sum := 0
		for _, size := range sizes {
			sum += size
		}
		return sum - largestRack
	}
	want := wholeInstances(total)
	if want == 0 {
		return make([]int, len(zones))
	}
	return trim(fillEvenly(zones, want, remaining), zones, want, remaining)
}
