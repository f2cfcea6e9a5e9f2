package owner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A machine that was suspended finds its steady clock where it was: the age of the term is
// read before any lease is renewed.
func TestTermIsCheckedAfterASuspension(t *testing.T) {
	assert.Assert(t, !termCheckDue(5*time.Millisecond, 5*time.Millisecond))
	assert.Assert(t, termCheckDue(renewalCheckInterval, renewalCheckInterval))
	assert.Assert(t, termCheckDue(5*time.Millisecond, 6*time.Second))
	assert.Assert(t, termCheckDue(5*time.Millisecond, -6*time.Second)) // the time of day was set back
}
