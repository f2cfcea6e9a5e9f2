package routing

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// fakeExecutor is a candidate with a fixed load.
type fakeExecutor struct{ load Load }

func (f *fakeExecutor) Load() Load { return f.load }

func drawCandidates(t *rapid.T) []*fakeExecutor {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) *fakeExecutor {
		return &fakeExecutor{Load{
			InFlight: rapid.IntRange(0, 8).Draw(t, "inFlight"),
			Limit:    rapid.IntRange(0, 8).Draw(t, "limit"),
			Latency:  time.Duration(rapid.IntRange(0, 1000).Draw(t, "latency")) * time.Millisecond,
			Ramp:     rapid.SampledFrom([]float64{0.1, 0.5, 1}).Draw(t, "ramp"),
			Usable:   rapid.Bool().Draw(t, "usable"),
		}}
	}), 1, 12).Draw(t, "candidates")
}

// countCheaper counts the free candidates that cost less than chosen, and all free ones.
func countCheaper(candidates []*fakeExecutor, exclude, chosen *fakeExecutor) (cheaper, free int) {
	for _, c := range candidates {
		if c == exclude || !c.load.Free() {
			continue
		}
		free++
		if c.load.Cost() < chosen.load.Cost() {
			cheaper++
		}
	}
	return cheaper, free
}

func TestChooseAgreesWithBruteForce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		candidates := drawCandidates(t)
		exclude := rapid.SampledFrom(candidates).Draw(t, "exclude")
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		chosen, found := Choose(candidates, exclude, rng)
		anyFree := slices.ContainsFunc(candidates, func(c *fakeExecutor) bool { return c != exclude && c.load.Free() })
		assert.Equal(t, found, anyFree, "Choose must find a free executor if there is one")
		if !found {
			return
		}
		assert.Assert(t, chosen != exclude && chosen.load.Free())
		cheapest, _ := Cheapest(candidates, exclude)
		cheaper, _ := countCheaper(candidates, exclude, cheapest)
		assert.Equal(t, cheaper, 0)
	})
}

func TestTwoRandomChoicesAreCloseToTheCheapest(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	candidates := make([]*fakeExecutor, 10)
	for i := range candidates {
		candidates[i] = &fakeExecutor{Load{Limit: 8, InFlight: i % 5, Latency: time.Duration(i+1) * time.Millisecond, Ramp: 1, Usable: true}}
	}
	sum := 0
	for range 10_000 {
		chosen, _ := Choose(candidates, nil, rng)
		cheaper, _ := countCheaper(candidates, nil, chosen)
		sum += cheaper
	}
	// The mean rank of the better of two draws among ten is below 3, that of a single draw 4.5.
	assert.Assert(t, sum < 30_000, "mean rank %v", float64(sum)/10_000)
}

func TestRampRisesDuringSlowStart(t *testing.T) {
	assert.Equal(t, Ramp(0), minRamp)
	assert.Equal(t, Ramp(SlowStart/2), 0.5)
	assert.Equal(t, Ramp(SlowStart), 1.0)
	assert.Equal(t, RampedLimit(8, minRamp), 1)
	assert.Equal(t, RampedLimit(8, 0.5), 4)
	assert.Equal(t, RampedLimit(0, 0.5), 0)
}
