package routing

import (
	"testing"
	"time"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	_ "github.com/tarragonreach/tarragonreach/api/rapidseed"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var zones = []fleet.AvailabilityZone{"z1", "z2", "z3"}

func drawAllocationInput(t *rapid.T) ([]ExecutorSlots, []Demand) {
	executors := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) ExecutorSlots {
		return ExecutorSlots{rapid.SampledFrom(zones).Draw(t, "zone"), rapid.IntRange(1, 9).Draw(t, "count")}
	}), 1, 12).Draw(t, "executors")
	n := rapid.IntRange(1, 9).Draw(t, "peers")
	var demands []Demand
	for i := range n {
		demands = append(demands, Demand{string(rune('a' + i)), rapid.SampledFrom(zones).Draw(t, "peerZone"),
			rapid.IntRange(0, 60).Draw(t, "demand"), rapid.Bool().Draw(t, "known")})
	}
	return executors, demands
}

func TestAllocationsAreDisjointAndUseAllSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		executors, demands := drawAllocationInput(t)
		slots := 0
		used := make([]int, len(executors))
		for _, d := range demands {
			allocation := AllocateSlots(executors, demands, d.Peer)
			assert.Assert(t, total(allocation) >= 1, "peer %s has no slot", d.Peer)
			for i := range allocation {
				used[i] += allocation[i]
			}
		}
		for _, e := range executors {
			slots += e.Count
		}
		if slots < len(demands) {
			return // Allocations may overlap, since each peer gets at least one slot.
		}
		for i, e := range executors {
			assert.Equal(t, used[i], e.Count, "executor %d", i)
		}
	})
}

func TestMaxMinIsFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		wants := rapid.SliceOfN(rapid.IntRange(0, 20), 1, 8).Draw(t, "wants")
		capacity := rapid.IntRange(0, 100).Draw(t, "capacity")
		shares := MaxMin(capacity, wants)
		assert.Equal(t, total(shares), min(capacity, total(wants)))
		for i := range shares {
			assert.Assert(t, shares[i] <= wants[i])
			for j := range shares {
				short := shares[i] < wants[i]
				assert.Assert(t, !short || shares[j] <= shares[i]+1, "%v of %v", shares, wants)
			}
		}
	})
}

func TestAllocateSlotsMeetsDemandInOwnZoneFirst(t *testing.T) {
	executors := []ExecutorSlots{{"z1", 8}, {"z2", 8}}
	demands := []Demand{{"a", "z1", 20, true}, {"b", "z2", 2, true}}
	assert.DeepEqual(t, AllocateSlots(executors, demands, "a"), []int{8, 6})
	assert.DeepEqual(t, AllocateSlots(executors, demands, "b"), []int{0, 2})
}

// BenchmarkRequestPathAllocateSlots allocates the slots of 500 executors to 52 entry
// instances in 13 availability zones; the naive variant allocates equal shares.
func BenchmarkRequestPathAllocateSlots(b *testing.B) {
	const executorCount, peerCount, zoneCount = 500, 52, 13
	executors := make([]ExecutorSlots, executorCount)
	for i := range executors {
		executors[i] = ExecutorSlots{fleet.AvailabilityZone(string(rune('a' + i%zoneCount))), 8}
	}
	demands := make([]Demand, peerCount)
	for i := range demands {
		demands[i] = Demand{Peer: string(rune('A' + i)), Zone: fleet.AvailabilityZone(string(rune('a' + i%zoneCount))), Slots: 10 * i, Known: true}
	}
	const repeats = 100
	measure := func(b *testing.B, allocate func()) {
		for range b.N {
			start := time.Now()
			for range repeats {
				allocate()
			}
			b.ReportMetric(float64(time.Since(start).Microseconds())/repeats, "us/allocation")
		}
		b.ReportMetric(0, "ns/op")
	}
	b.Run("policy", func(b *testing.B) { measure(b, func() { AllocateSlots(executors, demands, demands[3].Peer) }) })
	b.Run("naive", func(b *testing.B) {
		measure(b, func() {
			shares := make([]int, len(executors))
			for i, e := range executors {
				shares[i] = max(e.Count/len(demands), 1)
			}
		})
	})
}

// TestDampedDemandCoversTheLoad guards against a published demand that stays below the
// load: without headroom, the queue then grows until requests are refused.
func TestDampedDemandCoversTheLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		last := rapid.IntRange(0, 100).Draw(t, "last")
		load := rapid.Float64Range(0, 100).Draw(t, "load")
		published := DampDemand(last, load)
		assert.Assert(t, float64(published) >= load-dampRiseSlots, "published %d for a load of %.2f", published, load)
		excess := max(1, dampFallSlots, dampFallShare*float64(published))
		assert.Assert(t, float64(published)-load <= excess, "published %d for a load of %.2f", published, load)
		assert.Equal(t, DampDemand(published, load), published, "the same load changes the published demand")
	})
}

func TestDampDemand(t *testing.T) {
	for _, c := range []struct {
		last int
		load float64
		want int
	}{
		{0, 0, 0}, {0, 0.3, 1}, {3, 0, 0}, {4, 4.4, 4}, {4, 4.6, 5}, {9, 9.6, 10},
		{5, 3.6, 5}, {5, 3.4, 4}, {50, 41, 50}, {50, 39.5, 40}, {50, 50.6, 51},
	} {
		assert.Equal(t, DampDemand(c.last, c.load), c.want, "last %d, load %.1f", c.last, c.load)
	}
}

// TestSpillLeavesAllZonesEvenHeadroom guards against a spilled demand that takes all
// free slots of the first availability zone by name before those of the next.
func TestSpillLeavesAllZonesEvenHeadroom(t *testing.T) {
	executors := []ExecutorSlots{{"z1", 12}, {"z2", 12}, {"z3", 12}}
	demands := []Demand{
		{Peer: "a", Zone: "z1", Slots: 9, Known: true},
		{Peer: "b", Zone: "z2", Slots: 9, Known: true},
		{Peer: "c", Zone: "z3", Slots: 9, Known: true},
		{Peer: "remote", Zone: "z4", Slots: 6, Known: true},
	}
	assert.DeepEqual(t, AllocateSlots(executors, demands, "remote"), []int{2, 2, 2})
	assert.DeepEqual(t, AllocateSlots(executors, demands, "a"), []int{10, 0, 0})
	assert.DeepEqual(t, AllocateSlots(executors, demands, "c"), []int{0, 0, 10})
}

func TestShouldPublish(t *testing.T) {
	for _, c := range []struct {
		last int
		load float64
		age  time.Duration
		want bool
	}{
		{4, 4, SummaryInterval, true}, {4, 7, PropagationDelay, false}, {4, 9, PropagationDelay, true},
		{4, 9, PropagationDelay - 1, false}, {58, 45, PropagationDelay, false}, {58, 40, PropagationDelay, true},
		{0, 1, PropagationDelay, false}, {0, 3, PropagationDelay, true},
	} {
		assert.Equal(t, ShouldPublish(c.last, c.load, c.age), c.want, "published %d, load %.0f, age %s", c.last, c.load, c.age)
	}
}

func TestEffectiveDemandGrowsAfterPropagationDelay(t *testing.T) {
	small, large := Demand{Slots: 2}, Demand{Slots: 9}
	assert.Equal(t, EffectiveDemand(small, large, 0), small)
	assert.Equal(t, EffectiveDemand(small, large, PropagationDelay), large)
	assert.Equal(t, EffectiveDemand(large, small, 0), small)
}
