package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// replayedOutage is what became of the callers that came during one outage.
type replayedOutage struct {
	lost       int           // used up their attempts
	meanReturn time.Duration // mean time from the outage's end to the accepted attempt
}

// replayOutage lets callers come evenly during an outage. Each makes up to five attempts, and
// comes back when the response says so.
func replayOutage(length time.Duration, after func(age time.Duration) time.Duration) replayedOutage {
	const callers, attempts = 1000, 5
	var r replayedOutage
	var total time.Duration
	for i := range callers {
		at := length * time.Duration(i) / callers
		for n := 1; at < length; n++ {
			if n == attempts {
				r.lost++
				at = length
				break
			}
			at += after(at)
		}
		total += at - length
	}
	r.meanReturn = total / callers
	return r
}

// Outages of a store: of those that last longer than callers who come back each second have
// attempts for, less than half as many callers are lost, and those that are not come back soon
// after the end.
func TestCallersOutlastAnOutage(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	byAge := func(age time.Duration) time.Duration { return AfterOutage(age, random.Float64()) }
	naive := func(time.Duration) time.Duration { return time.Second }
	for _, length := range []time.Duration{time.Second, 2 * time.Second, 4500 * time.Millisecond, 7 * time.Second, 9 * time.Second} {
		r, n := replayOutage(length, byAge), replayOutage(length, naive)
		assert.Assert(t, 2*r.lost <= n.lost, "%s: %d lost, naive %d", length, r.lost, n.lost)
		assert.Assert(t, r.meanReturn <= maxAfterOutage/2, "%s: %s", length, r.meanReturn)
	}
}

func TestAfterOutageIsBounded(t *testing.T) {
	for _, random := range []float64{0, 0.5, 0.999} {
		assert.Equal(t, AfterOutage(0, random), time.Second)
		assert.Equal(t, AfterOutage(time.Hour, random), maxAfterOutage)
	}
}
