// Package calllimit decides how long calls may take, by the latency of those that were answered.
//
// Calls that share a congested link are all answered late. Abandoning them at a fixed limit repeats them, which
// congests the link further, and discards responses that are on their way. As with the retransmission timer of
// RFC 6298, the limit therefore follows the observed latency. It does so by a quantile of the latest samples
// instead of smoothed mean and deviation: the servers answer independently, and a few slow ones among them must
// not extend the limits of the others.
package calllimit

import (
	"slices"
	"time"
)

const (
	// window is the age up to which samples count.
	window = 2 * time.Second
	// maxSamples bounds the samples; the latest ones count.
	maxSamples = 256
	// minSamples is the minimum number of samples by which a limit is extended.
	minSamples = 8
	// quantile of the samples that the limit follows. Slow servers don't extend the limits as long as less than
	// a quarter of the responses are theirs.
	quantile = 0.75
	// factor is the limit as a multiple of that quantile. While a queue builds up, the calls that have been
	// answered are those that waited least.
	factor = 3
)

// Bounds are the limits of a call: Base while calls are answered soon, and at most Max.
type Bounds struct {
	Base, Max time.Duration
}

// Limits holds the latest samples. The zero value has none. It is not safe for concurrent use.
type Limits struct {
	samples []sample // a ring
	next    int
}

type sample struct {
	at      time.Time
	latency time.Duration
}

// Record adds the latency of a call that was answered now.
func (l *Limits) Record(latency time.Duration, now time.Time) {
	s := sample{at: now, latency: latency}
	if len(l.samples) < maxSamples {
		l.samples = append(l.samples, s)
		return
	}
	l.samples[l.next] = s
	l.next = (l.next + 1) % maxSamples
}

// Limit returns how long a call may take by now. For a call that is in progress it may have grown since the call
// was sent.
func (l *Limits) Limit(b Bounds, now time.Time) time.Duration {
	latencies := make([]time.Duration, 0, len(l.samples))
	for _, s := range l.samples {
		if now.Sub(s.at) <= window {
			latencies = append(latencies, s.latency)
		}
	}
	if len(latencies) < minSamples {
		return b.Base
	}
	slices.Sort(latencies)
	high := latencies[int(quantile*float64(len(latencies)-1))]
	return min(max(factor*high, b.Base), b.Max)
}
