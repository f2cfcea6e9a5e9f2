package calllimit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var bounds = Bounds{Base: 600 * time.Millisecond, Max: 2500 * time.Millisecond}

func TestLimitFollowsTheLatency(t *testing.T) {
	begin := time.Unix(1000, 0)
	for name, c := range map[string]struct {
		latencies func(i int) time.Duration
		n         int
		age       time.Duration
		want      time.Duration
	}{
		"no samples":                     {want: bounds.Base},
		"good link":                      {n: 400, latencies: func(int) time.Duration { return 30 * time.Millisecond }, want: bounds.Base},
		"a fifth of the servers is slow": {n: 400, latencies: func(i int) time.Duration { return time.Duration(20+i%5/4*500) * time.Millisecond }, want: bounds.Base},
		"all calls are late":             {n: 400, latencies: func(int) time.Duration { return 400 * time.Millisecond }, want: 1200 * time.Millisecond},
		"bounded":                        {n: 400, latencies: func(int) time.Duration { return 2 * time.Second }, want: bounds.Max},
		"samples are old":                {n: 400, latencies: func(int) time.Duration { return 400 * time.Millisecond }, age: 3 * time.Second, want: bounds.Base},
		"few samples":                    {n: minSamples - 1, latencies: func(int) time.Duration { return 400 * time.Millisecond }, want: bounds.Base},
	} {
		t.Run(name, func(t *testing.T) {
			var l Limits
			for i := range c.n {
				l.Record(c.latencies(i), 0, begin)
			}
			assert.Equal(t, l.Limit(bounds, begin.Add(c.age), begin.Add(c.age)), c.want)
		})
	}
}

// Calls are sent at once over a link that carries one after the other: none of them may exceed its limit while
// others are answered, be they as many as the highest limit allows.
func TestQueueThatBuildsUpExceedsNoLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sent := time.Unix(1000, 0)
		each := time.Duration(rapid.IntRange(1, 50).Draw(t, "ms each")) * time.Millisecond
		var l Limits
		for i := range maxSamples { // before, the link was idle, and polls went on to be answered soon
			l.Record(5*time.Millisecond, 0, sent.Add(-time.Duration(i)*time.Millisecond))
		}
		for waited := each; waited < bounds.Max; waited += each {
			now := sent.Add(waited)
			if limit := l.Limit(bounds, sent, now); waited > limit {
				t.Fatalf("a call is abandoned after %s: limit %s", waited, limit)
			}
			l.Record(waited, 0, now)
			l.Record(5*time.Millisecond, time.Second, now)
		}
	})
}

// An owner that took over called all executors at once over a link that was full of other transfers: each call
// exceeded its limit, so that there was no latency to go by, and all were repeated again and again.
func TestLimitGrowsWhileNoCallIsAnswered(t *testing.T) {
	now := time.Unix(1000, 0)
	var l Limits
	for _, want := range []time.Duration{600 * time.Millisecond, 1200 * time.Millisecond, 2400 * time.Millisecond, bounds.Max} {
		limit := l.Limit(bounds, now, now)
		assert.Equal(t, limit, want)
		now = now.Add(limit)
		for range 100 {
			l.RecordOverdue(limit, now)
		}
	}
	for range 100 {
		l.Record(5*time.Millisecond, 0, now)
	}
	assert.Equal(t, l.Limit(bounds, now, now), bounds.Base)
}

// A third of the servers is dead: the limits must not grow, so that this is found out soon.
func TestLimitStaysWhileAPartOfTheServersIsSilent(t *testing.T) {
	now := time.Unix(1000, 0)
	var l Limits
	for i := range 100 {
		if i%3 == 0 {
			l.RecordOverdue(bounds.Base, now)
		} else {
			l.Record(5*time.Millisecond, time.Second, now)
		}
	}
	assert.Equal(t, l.Limit(bounds, now, now), bounds.Base)
}
