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
	// window is the age up to which samples count for a call since which there are too few.
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
	// overdueFactor is the limit as a multiple of the time after which calls were abandoned, while hardly any is
	// answered: it doubles, as in RFC 6298, 5.5.
	overdueFactor = 2
	// silentShare is the maximum number of answered calls, as a share of the abandoned ones, that counts as
	// hardly any. Where a part of the servers is dead or cut off, the others answer more.
	silentShare = 0.25
)

// Bounds are the limits of a call: Base while calls are answered soon, and at most Max.
type Bounds struct {
	Base, Max time.Duration
}

// Limits holds the latest samples. The zero value has none. It is not safe for concurrent use.
type Limits struct {
	// immediate and waiting are the calls that the server answers at once, and those that wait there. The
	// latter say what sending took when they were sent, which may be long ago, so that the former show a queue
	// earlier.
	immediate, waiting ring
	// overdue are the calls that were abandoned.
	overdue ring
}

// Record adds the latency of a call that was answered now, without its wait at the server, which is zero for a
// call that was answered at once.
func (l *Limits) Record(latency, wait time.Duration, now time.Time) {
	samples := &l.immediate
	if wait > 0 {
		samples = &l.waiting
	}
	samples.add(sample{at: now, latency: latency})
}

// RecordOverdue adds a call that was abandoned now after the given time, without its wait at the server.
func (l *Limits) RecordOverdue(after time.Duration, now time.Time) {
	l.overdue.add(sample{at: now, latency: after})
}

// Limit returns how long a call may take by now that was sent at the given time. It may grow while the call is in
// progress.
func (l *Limits) Limit(b Bounds, sentAt, now time.Time) time.Duration {
	high := max(l.immediate.high(sentAt, now), l.waiting.high(sentAt, now))
	limit := max(factor*high, b.Base)
	if l.silent(now) {
		limit = max(limit, overdueFactor*l.overdue.high(now.Add(-window), now))
	}
	return min(limit, b.Max)
}

// silent reports whether hardly any call was answered lately. Calls that were sent at once over a link that is full
// already are all late. The first ones that are abandoned show whether it is the connections: others that
// are opened then are answered soon.
func (l *Limits) silent(now time.Time) bool {
	since := now.Add(-window)
	answered := len(l.immediate.since(since)) + len(l.waiting.since(since))
	overdue := len(l.overdue.since(since))
	return overdue >= minSamples && float64(answered) < silentShare*float64(overdue)
}

type sample struct {
	at      time.Time
	latency time.Duration
}

// ring holds the latest samples of one sort.
type ring struct {
	samples []sample
	next    int
}

func (r *ring) add(s sample) {
	if len(r.samples) < maxSamples {
		r.samples = append(r.samples, s)
		return
	}
	r.samples[r.next] = s
	r.next = (r.next + 1) % maxSamples
}

// high returns the quantile of the samples since the given time, or of those within the window if there are
// too few; zero if these are too few as well.
func (r *ring) high(since, now time.Time) time.Duration {
	latencies := r.since(since)
	if len(latencies) < minSamples {
		latencies = r.since(now.Add(-window))
	}
	if len(latencies) < minSamples {
		return 0
	}
	slices.Sort(latencies)
	return latencies[int(quantile*float64(len(latencies)-1))]
}

func (r *ring) since(t time.Time) []time.Duration {
	latencies := make([]time.Duration, 0, len(r.samples))
	for _, s := range r.samples {
		if !s.at.Before(t) {
			latencies = append(latencies, s.latency)
		}
	}
	return latencies
}
