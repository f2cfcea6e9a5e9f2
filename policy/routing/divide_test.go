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

func drawDivision(t *rapid.T) ([]ExecutorSlots, []Demand) {
	executors := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) ExecutorSlots {
		return ExecutorSlots{rapid.SampledFrom(zones).Draw(t, "zone"), rapid.IntRange(1, 9).Draw(t, "count")}
	}), 1, 12).Draw(t, "executors")
	n := rapid.IntRange(1, 9).Draw(t, "peers")
	var demands []Demand
	for i := range n {
		demands = append(demands, Demand{string(rune('a' + i)), rapid.SampledFrom(zones).Draw(t, "home"),
			rapid.IntRange(0, 60).Draw(t, "demand"), rapid.Bool().Draw(t, "known")})
	}
	return executors, demands
}

func TestDivideNeverOverlapsAndWastesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		executors, demands := drawDivision(t)
		slots := 0
		used := make([]int, len(executors))
		for _, d := range demands {
			part := AllocateSlots(executors, demands, d.Peer)
			assert.Assert(t, total(part) >= 1, "peer %s has no slot", d.Peer)
			for i := range part {
				used[i] += part[i]
			}
		}
		for _, e := range executors {
			slots += e.Count
		}
		if slots < len(demands) {
			return // Parts may overlap by the one slot that each has at least.
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
		parts := MaxMin(capacity, wants)
		assert.Equal(t, total(parts), min(capacity, total(wants)))
		for i := range parts {
			assert.Assert(t, parts[i] <= wants[i])
			for j := range parts {
				short := parts[i] < wants[i]
				assert.Assert(t, !short || parts[j] <= parts[i]+1, "%v of %v", parts, wants)
			}
		}
	})
}

func TestDivideMeetsDemandAtHomeFirst(t *testing.T) {
	executors := []ExecutorSlots{{"z1", 8}, {"z2", 8}}
	demands := []Demand{{"a", "z1", 20, true}, {"b", "z2", 2, true}}
	assert.DeepEqual(t, AllocateSlots(executors, demands, "a"), []int{8, 6})
	assert.DeepEqual(t, AllocateSlots(executors, demands, "b"), []int{0, 2})
}

// BenchmarkRequestPathDivide divides 500 executors of a service between 52 entry
// instances in 13 availability zones; the naive way gives even parts.
func BenchmarkRequestPathDivide(b *testing.B) {
	const executorCount, peerCount, zoneCount = 500, 52, 13
	executors := make([]ExecutorSlots, executorCount)
	for i := range executors {
		executors[i] = ExecutorSlots{fleet.AvailabilityZone(string(rune('a' + i%zoneCount))), 8}
	}
	demands := make([]Demand, peerCount)
	for i := range demands {
		demands[i] = Demand{Peer: string(rune('A' + i)), Zone: fleet.AvailabilityZone(string(rune('a' + i%zoneCount))), Slots: 10 * i, Known: true}
	}
	const rounds = 100
	measure := func(b *testing.B, divide func()) {
		for range b.N {
			began := time.Now()
			for range rounds {
				divide()
			}
			b.ReportMetric(float64(time.Since(began).Microseconds())/rounds, "us/division")
		}
		b.ReportMetric(0, "ns/op")
	}
	b.Run("policy", func(b *testing.B) { measure(b, func() { AllocateSlots(executors, demands, demands[3].Peer) }) })
	b.Run("naive", func(b *testing.B) {
		measure(b, func() {
			parts := make([]int, len(executors))
			for i, e := range executors {
				parts[i] = max(e.Count/len(demands), 1)
			}
		})
	})
}

// TestHeldDemandCoversTheLoad was red while a load could stay above the demand that
// was told: without headroom the queue then grows until requests are refused.
func TestHeldDemandCoversTheLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		last := rapid.IntRange(0, 100).Draw(t, "last")
		load := rapid.Float64Range(0, 100).Draw(t, "load")
		told := DampDemand(last, load)
		assert.Assert(t, float64(told) >= load-heldRise, "told %d for a load of %.2f", told, load)
		excess := max(1, heldFallSlots, heldFall*float64(told))
		assert.Assert(t, float64(told)-load <= excess, "told %d for a load of %.2f", told, load)
		assert.Equal(t, DampDemand(told, load), told, "the same load is told anew")
	})
}

func TestHold(t *testing.T) {
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

// TestSpillLeavesAllZonesEvenHeadroom was red while a spilled demand took all free slots
// of the first availability zone by name before those of the next.
func TestSpillLeavesAllZonesEvenHeadroom(t *testing.T) {
	executors := []ExecutorSlots{{"z1", 12}, {"z2", 12}, {"z3", 12}}
	demands := []Demand{
		{Peer: "a", Zone: "z1", Slots: 9, Known: true},
		{Peer: "b", Zone: "z2", Slots: 9, Known: true},
		{Peer: "c", Zone: "z3", Slots: 9, Known: true},
		{Peer: "homeless", Zone: "z4", Slots: 6, Known: true},
	}
	assert.DeepEqual(t, AllocateSlots(executors, demands, "homeless"), []int{2, 2, 2})
	assert.DeepEqual(t, AllocateSlots(executors, demands, "a"), []int{10, 0, 0})
	assert.DeepEqual(t, AllocateSlots(executors, demands, "c"), []int{0, 0, 10})
}

func TestDemandIsDue(t *testing.T) {
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
		assert.Equal(t, ShouldPublish(c.last, c.load, c.age), c.want, "told %d, load %.0f, age %s", c.last, c.load, c.age)
	}
}

func TestOwnDemandGrowsOncePeersHaveHeard(t *testing.T) {
	small, large := Demand{Slots: 2}, Demand{Slots: 9}
	assert.Equal(t, EffectiveDemand(small, large, 0), small)
	assert.Equal(t, EffectiveDemand(small, large, PropagationDelay), large)
	assert.Equal(t, EffectiveDemand(large, small, 0), small)
}
