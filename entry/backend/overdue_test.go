package backend

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestOverdueAfter(t *testing.T) {
	const minimum = time.Second
	cases := []struct {
		name         string
		slowest      time.Duration
		repeatable   bool
		corroborated bool
		want         time.Duration
	}{
		{"nothing observed", 0, true, true, 0},
		{"fast and repeatable", 10 * time.Millisecond, true, false, time.Second},
		{"fast, not repeatable", 10 * time.Millisecond, false, false, 3 * time.Second},
		{"fast, not repeatable, others half-open", 10 * time.Millisecond, false, true, time.Second},
		{"slow and repeatable", time.Minute, true, false, 4 * time.Minute},
		{"slow, not repeatable", time.Minute, false, false, 12 * time.Minute},
	}
	for _, c := range cases {
		assert.Equal(t, overdueAfter(minimum, c.slowest, c.repeatable, c.corroborated), c.want, c.name)
	}
}

// TestDefaultsReplaceHalfOpenConnectionsInTime bounds how long a half-open connection
// stays open under the default options: while it is unused, and while it carries a
// repeatable or an unrepeatable request of a fast class.
func TestDefaultsReplaceHalfOpenConnectionsInTime(t *testing.T) {
	const (
		bound        = 5 * time.Second
		fastResponse = DefaultMinOverdueAfter / overdueFactor
		detection    = DefaultSweepInterval + DefaultProbeTimeout
	)
	assert.Assert(t, DefaultIdleTimeout+DefaultSweepInterval <= bound)
	assert.Assert(t, overdueAfter(DefaultMinOverdueAfter, fastResponse, true, false)+detection <= bound)
	assert.Assert(t, overdueAfter(DefaultMinOverdueAfter, fastResponse, false, false)+detection <= bound)
}

func TestResponseTimesKeepADecayingMaximum(t *testing.T) {
	var times classTimes
	check := times.of("check")
	check.observe(time.Second)
	check.observe(10 * time.Millisecond)
	assert.Assert(t, check.load() > 900*time.Millisecond)
	for range 1000 {
		check.observe(10 * time.Millisecond)
	}
	assert.Assert(t, check.load() < 20*time.Millisecond)
	assert.Equal(t, times.of("batch").load(), time.Duration(0))
	assert.Equal(t, times.of("check"), check)
}
