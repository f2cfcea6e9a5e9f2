package capacity

import (
	"cmp"
	"math"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 9, 1, 0, 0, 0, 0, time.UTC)

func TestQuantileAgreesWithSortedSamples(t *testing.T) {
	type sample struct{ demand, weight float64 }
	rapid.Check(t, func(rt *rapid.T) {
		e, now := NewEstimator(time.Hour), start
		var samples []sample
		for range rapid.IntRange(1, 60).Draw(rt, "samples") {
			now = now.Add(time.Duration(rapid.IntRange(1, 600).Draw(rt, "minutes")) * time.Minute)
			demand := rapid.Float64Range(0, 500).Draw(rt, "demand")
			e.Observe(demand, time.Minute, now)
			samples = append(samples, sample{demand, math.Exp2(now.Sub(start).Hours())})
		}
		slices.SortFunc(samples, func(a, b sample) int { return cmp.Compare(a.demand, b.demand) })
		total := 0.0
		for _, s := range samples {
			total += s.weight
		}
		share := rapid.Float64Range(0.05, 0.95).Draw(rt, "share")
		got, below, upTo := e.Quantile(share), 0.0, 0.0
		for _, s := range samples {
			if s.demand*bucketGrowth < got-smallestDemand {
				below += s.weight
			}
			if s.demand <= got+smallestDemand {
				upTo += s.weight
			}
		}
		if below > (share+0.001)*total || upTo < (share-0.001)*total {
			rt.Fatalf("quantile %g is %g: weight %g below it, %g up to it, of %g", share, got, below, upTo, total)
		}
	})
}

// bruteForceSpread returns the smallest sufficient sum over all sizes, -1 if none is
// sufficient.
func bruteForceSpread(zones []ZoneDemand, want int) int {
	best, sizes := -1, make([]int, len(zones))
	var try func(int)
	try = func(i int) {
		if i < len(zones) {
			for sizes[i] = minimumSize(zones[i]); sizes[i] <= zones[i].Limit; sizes[i]++ {
				try(i + 1)
			}
			return
		}
		if sum := sum(sizes); remainingAfterZoneLoss(sizes) >= want && (best < 0 || sum < best) {
			best = sum
		}
	}
	try(0)
	return best
}

func sum(sizes []int) int {
	total := 0
	for _, size := range sizes {
		total += size
	}
	return total
}

func TestSpreadIsTheSmallestThatSurvivesAZoneLoss(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		zones := make([]ZoneDemand, rapid.IntRange(2, 4).Draw(rt, "zones"))
		demand := 0.0
		for i := range zones {
			zones[i] = ZoneDemand{
				Demand: rapid.Float64Range(0, 5).Draw(rt, "demand"),
				Limit:  rapid.IntRange(0, 8).Draw(rt, "limit"),
			}
			demand += rapid.Float64Range(0.5, 1).Draw(rt, "share of the total") * zones[i].Demand
		}
		want := int(math.Ceil(demand - roundingSlack))
		sizes := Spread(zones, demand, DomainZone)
		if minimum := bruteForceSpread(zones, want); minimum >= 0 && (sum(sizes) != minimum || remainingAfterZoneLoss(sizes) < want) {
			rt.Fatalf("spread %v of %+v, smallest sum %d", sizes, zones, minimum)
		}
	})
}

func TestSpreadOverRacksAddsTheLargestRack(t *testing.T) {
	zones := []ZoneDemand{{Demand: 2.5, Limit: 9, LargestRack: 2}, {Demand: 4, Limit: 5, LargestRack: 1}, {Limit: 4, LargestRack: 2}}
	sizes := Spread(zones, 6.5, DomainRack)
	assert.Equal(t, sum(sizes), 7+2)
	assert.Assert(t, sizes[0] >= 2 && sizes[1] >= 4, "%v", sizes)
}

func TestSizeWithoutPeersCoversALostZone(t *testing.T) {
	zone := ZoneDemand{Demand: 6, Limit: 20, LargestRack: 2}
	assert.Equal(t, SizeWithoutPeers(zone, 4, DomainZone), 8)
	assert.Equal(t, SizeWithoutPeers(zone, 1, DomainZone), 8)
	assert.Equal(t, SizeWithoutPeers(zone, 4, DomainRack), 8)
	assert.Equal(t, SizeWithoutPeers(ZoneDemand{Limit: 20, LargestRack: 2}, 4, DomainZone), 0)
	zone.Limit = 7
	assert.Equal(t, SizeWithoutPeers(zone, 4, DomainZone), 7)
}

func TestHistoryFollowsUpQuicklyAndDownSlowly(t *testing.T) {
	var h History
	hysteresis := Hysteresis{UpAfter: time.Minute, DownAfter: 10 * time.Minute, JumpShare: 0.5}
	at := func(minutes int) time.Time { return start.Add(time.Duration(minutes) * time.Minute) }
	assert.Equal(t, h.Update(10, at(0), hysteresis), 10)
	assert.Equal(t, h.Update(11, at(0), hysteresis), 10, "a small rise must persist")
	assert.Equal(t, h.Update(11, at(1), hysteresis), 11)
	assert.Equal(t, h.Update(20, at(1), hysteresis), 20, "a jump takes effect at once")
	assert.Equal(t, h.Update(4, at(2), hysteresis), 20)
	assert.Equal(t, h.Update(8, at(5), hysteresis), 20)
	assert.Equal(t, h.Update(4, at(12), hysteresis), 8, "lowered to the highest estimate of the last DownAfter")
	assert.Equal(t, h.IdleDays(15, start, at(5+24*60)), 2.0)
	assert.Equal(t, h.IdleDays(8, start, at(12)), 0.0)
}

func TestApportionIsCompleteAndProportional(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		weights := rapid.SliceOfN(rapid.IntRange(0, 50), 1, 13).Draw(rt, "weights")
		total := rapid.IntRange(0, 100).Draw(rt, "total")
		shares, all := Apportion(total, weights), sum(weights)
		if all > 0 && sum(shares) != total {
			rt.Fatalf("%v sums to %d, want %d", shares, sum(shares), total)
		}
		for i, share := range shares {
			if all > 0 && math.Abs(float64(share)-float64(total*weights[i])/float64(all)) >= 1 {
				rt.Fatalf("share %d of %v is not in proportion to %v", i, shares, weights)
			}
		}
	})
}
