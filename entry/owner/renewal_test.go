package owner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The monotonic clock does not count a suspension of the machine: after one, the age of the
// term is read before any lease is renewed.
func TestTermIsCheckedAfterASuspension(t *testing.T) {
	assert.Assert(t, !termCheckDue(5*time.Millisecond, 5*time.Millisecond))
	assert.Assert(t, termCheckDue(renewalCheckInterval, renewalCheckInterval))
	assert.Assert(t, termCheckDue(5*time.Millisecond, 6*time.Second))
	assert.Assert(t, termCheckDue(5*time.Millisecond, -6*time.Second)) // the wall clock was set back
}
