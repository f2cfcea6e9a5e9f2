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

// Spread returns how many instances the pool needs in each availability zone, so
// that what is left after the loss of the largest failure domain carries the whole
// demand. Instances that another zone lacks are added where they cost least. The
// sum is the smallest one for which each zone also carries its own demand; it falls
// short only where limits leave no other choice.
func Spread(zones []ZoneDemand, domain FailureDomain) []int {
	if domain == DomainRack || len(zones) < 2 {
		return spreadRacks(zones)
	}
	total := 0.0
	for _, zone := range zones {
		total += zone.Demand
	}
	want := int(math.Ceil(total - roundingSlack))
	top := 0
	for _, zone := range zones {
		top = max(top, zone.Limit)
	}
	level := 0
	for level < top && survivors(levelled(zones, level)) < want {
		level++
	}
	return trim(levelled(zones, level), zones, want)
}

// roundingSlack keeps sums of binary fractions from costing a whole instance.
const roundingSlack = 1e-9

func own(zone ZoneDemand) int {
	return min(int(math.Ceil(zone.Demand-roundingSlack)), zone.Limit)
}

// levelled gives each zone its own demand and at least level instances.
func levelled(zones []ZoneDemand, level int) []int {
	sizes := make([]int, len(zones))
	for i, zone := range zones {
		sizes[i] = max(own(zone), min(level, zone.Limit))
	}
	return sizes
}

// survivors is what the loss of the largest zone leaves.
func survivors(sizes []int) int {
	sum := 0
	for _, size := range sizes {
		sum += size
	}
	return sum - slices.Max(sizes)
}

// trim takes back what the last level added beyond need.
func trim(sizes []int, zones []ZoneDemand, want int) []int {
	for i := range sizes {
		for sizes[i] > own(zones[i]) {
			sizes[i]--
			if survivors(sizes) < want {
				sizes[i]++
				break
			}
		}
	}
	return sizes
}

// spreadRacks lets each zone survive the loss of its largest rack by itself.
func spreadRacks(zones []ZoneDemand) []int {
	sizes := make([]int, len(zones))
	for i, zone := range zones {
		if zone.Demand > 0 {
			need := int(math.Ceil(zone.Demand-roundingSlack)) + zone.LargestRack
			sizes[i] = min(need, zone.Limit)
		}
	}
	return sizes
}
