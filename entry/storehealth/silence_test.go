package storehealth

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/platform/kv"
)

// Guards against a store that counts as silent while no call is made, or while it is as slow as before, and against one
// that is noticed only once several calls have failed.
func TestSilenceBeginsWithACallThatGetsNoResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(nil, func(bool, int) {})
		time.Sleep(time.Minute)
		assert.Assert(t, !s.Silent(), "no call")

		sent := s.noteSent()
		time.Sleep(minSilence - time.Millisecond)
		assert.Assert(t, !s.Silent())
		time.Sleep(time.Millisecond)
		assert.Assert(t, s.Silent())
		assert.Assert(t, s.needsProbe())
		s.beginProbe()
		assert.Assert(t, !s.needsProbe(), "one probe at a time")
		s.observe(sent, kv.ErrNotFound)
		assert.Assert(t, !s.Silent(), "a response")

		s.observeLatency(minSilence)
		sent = s.noteSent()
		time.Sleep(minSilence)
		assert.Assert(t, !s.Silent(), "a slow store")
		s.observeRead(sent, kv.ErrRateLimited)
		time.Sleep(time.Minute)
		assert.Assert(t, !s.Silent(), "an exceeded rate")

		for range unavailableFailures {
			sent = s.noteSent()
			time.Sleep(unavailableAfter)
			s.observe(sent, errors.New("no response"))
		}
		assert.Assert(t, s.Silent(), "unavailable")
	})
}
