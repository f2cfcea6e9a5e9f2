package capacity

import (
	"math"
	"slices"
)

// FailureDomain is the unit whose loss a pool must survive.
type FailureDomain string

// The failure domains. The empty value counts as DomainZone.
const (
	DomainRack FailureDomain = "rack"
	DomainZone FailureDomain = "zone"
)

// ZoneDemand is a pool's demand in one availability zone.
type ZoneDemand struct {
	// Demand is in instances.
	Demand float64
	// Limit is the number of instances in the zone that can serve the pool.
	Limit int
	// LargestRack is the largest number of those instances that share a rack.
	LargestRack int
}

// Spread returns how many instances a pool needs in each availability zone so that,
// after the loss of the largest failure domain, the remaining ones can serve total, the
// demand of the whole pool in instances. Demand beyond a zone's own instances is served
// by other zones, so that not every zone has to round up. Each zone keeps the whole
// instances that its own demand fills, and at least one if its demand exceeds
// minZoneDemand, in case it is cut off from the others. The sum of the sizes is the
// smallest possible; it is insufficient only if the limits allow no more.
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

// SizeWithoutPeers returns how many instances a pool needs in one availability zone if
// its demand in the others is unknown; zones is the number of all zones. The size is
// enough for the zone's own demand plus its share of the demand of a lost zone. For
// DomainRack, or with a single zone, it adds the zone's largest rack instead.
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

// fillEvenly raises all zones to the lowest common level at which want instances remain
// after the loss.
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

// roundingSlack keeps floating-point errors in sums from adding a whole instance.
const roundingSlack = 1e-9

// minZoneDemand is the demand up to which a zone needs no instance of its own.
const minZoneDemand = 0.05

// minimumSize returns how many instances a zone keeps in case it is cut off.
func minimumSize(zone ZoneDemand) int {
	minimum := 0
	if zone.Demand > minZoneDemand {
		minimum = 1
	}
	return min(max(int(zone.Demand+roundingSlack), minimum), zone.Limit)
}

// sizesAtLevel returns the zones' minimum sizes, raised to level within their limits.
func sizesAtLevel(zones []ZoneDemand, level int) []int {
	sizes := make([]int, len(zones))
	for i, zone := range zones {
		sizes[i] = max(minimumSize(zone), min(level, zone.Limit))
	}
	return sizes
}

// remainingAfterZoneLoss returns the instances that remain after the loss of the largest
// zone.
func remainingAfterZoneLoss(sizes []int) int {
	sum := 0
	for _, size := range sizes {
		sum += size
	}
	return sum - slices.Max(sizes)
}

// trim removes instances above the minimum sizes as long as want instances remain after
// the loss.
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

// spreadRacks is Spread for the loss of the largest rack of any zone.
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
