package storehealth

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/platform/backoff"
	"github.com/tarragonreach/tarragonreach/platform/kv"
)

func TestStoreIsAwayAfterFailuresWithoutAnyAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var changes []bool
		s := New(nil, func(away bool, _ int) { changes = append(changes, away) })
		failure := errors.New("no answer")
		for range 10 { // failures within a moment are no outage
			s.observe(failure)
		}
		_, away := s.Unavailable()
		assert.Assert(t, !away)

		time.Sleep(awayAfter)
		s.observe(context.Canceled)
		_, away = s.Unavailable()
		assert.Assert(t, !away)
		s.observe(failure)
		_, away = s.Unavailable()
		assert.Assert(t, away)

		s.observe(kv.ErrNotFound) // an answer all the same
		_, away = s.Unavailable()
		assert.Assert(t, !away)
		assert.DeepEqual(t, changes, []bool{true, false})
	})
}

func TestOneAnswerInSeveralKeepsTheStoreThere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(nil, func(bool, int) {})
		for range 100 {
			time.Sleep(200 * time.Millisecond)
			s.observe(errors.New("no answer"))
			s.observe(errors.New("no answer"))
			s.observe(nil)
		}
		_, away := s.Unavailable()
		assert.Assert(t, !away)
	})
}

// A store that turns slow is waited for, instead of being asked again each time.
func TestFirstAttemptWaitsForASlowStore(t *testing.T) {
	s := New(nil, func(bool, int) {})
	assert.Equal(t, s.Timeout(1), backoff.DefaultTimeouts.First)
	s.observeLatency(4 * time.Millisecond)
	assert.Equal(t, s.Timeout(1), backoff.DefaultTimeouts.First)
	s.observeLatency(316 * time.Millisecond)
	assert.Assert(t, s.Timeout(1) > 400*time.Millisecond)
	assert.Equal(t, s.Timeout(9), 2*time.Second)
}

// The store is silent for a while: a call of that time never gets an answer, and is given
// up as soon as another one is answered. Calls that begin afterwards are not.
func TestHangingCallsEndWhenTheStoreIsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(nil, func(bool, int) {})
		before, release := s.untilBack(t.Context())
		defer release()
		time.Sleep(awayAfter)
		for range awayFailures {
			s.observe(errors.New("no answer"))
		}
		during, releaseDuring := s.untilBack(t.Context())
		defer releaseDuring()
		synctest.Wait()
		assert.NilError(t, before.Err())
		assert.NilError(t, during.Err())
		s.observe(nil)
		synctest.Wait()
		assert.ErrorIs(t, context.Cause(before), errBack)
		assert.ErrorIs(t, context.Cause(during), errBack)
		after, releaseAfter := s.untilBack(t.Context())
		defer releaseAfter()
		s.observe(nil)
		synctest.Wait()
		assert.NilError(t, after.Err())
	})
}

// An instance that makes no other call learns within a moment that the store is back,
// though its earlier calls hang.
func TestProbesFindOutThatTheStoreIsBack(t *testing.T) {
	var silent atomic.Bool
	silent.Store(true)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if silent.Load() {
			<-r.Context().Done()
			return
		}
		w.WriteHeader(http.StatusNotFound)
	}))
	defer server.Close()
	back := make(chan struct{})
	s := New(kv.New(strings.TrimPrefix(server.URL, "http://")), func(away bool, _ int) {
		if !away {
			close(back)
		}
	})
	s.answered = time.Now().Add(-awayAfter)
	for range awayFailures {
		s.observe(errors.New("no answer"))
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go s.Probe(ctx)
	time.Sleep(2 * probeEvery)
	silent.Store(false)
	<-back
}
