package linkshare

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestInterval(t *testing.T) {
	assert.Equal(t, Rate(250_000).Interval(50_000, 0.1), 2*time.Second)
	assert.Equal(t, Rate(125e6).Interval(50_000, 0.1), 4*time.Millisecond)
	assert.Equal(t, Rate(0).Interval(50_000, 0.1), time.Duration(0)) // not limited
}
