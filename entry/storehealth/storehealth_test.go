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
	"github.com/tarragonreach/tarragonreach/platform/call"
	"github.com/tarragonreach/tarragonreach/platform/kv"
)

func TestStoreIsUnavailableAfterFailuresWithoutAnyResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var changes []bool
		s := New(nil, func(unavailable bool, _ int) { changes = append(changes, unavailable) })
		failure := errors.New("no response")
		for range 10 { // many failures within a short time are no outage
			s.observe(time.Now(), failure)
		}
		_, unavailable := s.Unavailable()
		assert.Assert(t, !unavailable)

		time.Sleep(unavailableAfter)
		s.observe(time.Now(), context.Canceled)
		_, unavailable = s.Unavailable()
		assert.Assert(t, !unavailable)
		s.observe(time.Now(), failure)
		_, unavailable = s.Unavailable()
		assert.Assert(t, unavailable)

		s.observe(time.Now(), kv.ErrNotFound) // counts as a response
		_, unavailable = s.Unavailable()
		assert.Assert(t, !unavailable)
		assert.DeepEqual(t, changes, []bool{true, false})
	})
}

func TestOneResponseInSeveralKeepsTheStoreAvailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(nil, func(bool, int) {})
		for range 100 {
			time.Sleep(200 * time.Millisecond)
			s.observe(time.Now(), errors.New("no response"))
			s.observe(time.Now(), errors.New("no response"))
			s.observe(time.Now(), nil)
		}
		_, unavailable := s.Unavailable()
		assert.Assert(t, !unavailable)
	})
}

// When the store becomes slow, the timeout of the first attempt rises, so that calls need no
// second attempt.
func TestFirstAttemptWaitsForASlowStore(t *testing.T) {
	s := New(nil, func(bool, int) {})
	assert.Equal(t, s.Timeout(1), backoff.DefaultTimeouts.First)
	s.observeLatency(4 * time.Millisecond)
	assert.Equal(t, s.Timeout(1), backoff.DefaultTimeouts.First)
	s.observeLatency(316 * time.Millisecond)
	assert.Assert(t, s.Timeout(1) > 400*time.Millisecond)
	assert.Equal(t, s.Timeout(9), 2*time.Second)
}

// Calls sent before the end of an outage never get a response. They are cancelled as soon as
// another call gets one; later calls are not.
func TestHangingCallsEndWhenTheStoreRecovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(nil, func(bool, int) {})
		before, release := s.untilRecovery(t.Context())
		defer release()
		sent := time.Now()
		time.Sleep(unavailableAfter)
		for range unavailableFailures {
			s.observe(sent, errors.New("no response"))
		}
		during, releaseDuring := s.untilRecovery(t.Context())
		defer releaseDuring()
		synctest.Wait()
		assert.NilError(t, before.Err())
		assert.NilError(t, during.Err())
		s.observe(time.Now(), nil)
		synctest.Wait()
		assert.ErrorIs(t, context.Cause(before), errOutageOver)
		assert.ErrorIs(t, context.Cause(during), errOutageOver)
		after, releaseAfter := s.untilRecovery(t.Context())
		defer releaseAfter()
		s.observe(time.Now(), nil)
		synctest.Wait()
		assert.NilError(t, after.Err())
	})
}

// An instance that makes no other calls detects within a short time that the store is
// available again, even if its earlier calls hang.
func TestProbesDetectThatTheStoreHasRecovered(t *testing.T) {
	var unresponsive atomic.Bool
	unresponsive.Store(true)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if unresponsive.Load() {
			<-r.Context().Done()
			return
		}
		w.WriteHeader(http.StatusNotFound)
	}))
	defer server.Close()
	recovered := make(chan struct{})
	s := New(kv.New(strings.TrimPrefix(server.URL, "http://")), func(unavailable bool, _ int) {
		if !unavailable {
			close(recovered)
		}
	})
	s.lastResponse = time.Now().Add(-unavailableAfter)
	for range unavailableFailures {
		s.observe(s.lastResponse, errors.New("no response"))
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go s.Probe(ctx)
	time.Sleep(2 * probeInterval)
	unresponsive.Store(false)
	<-recovered
}

// An exceeded rate of reads, which all instances share, must not count as an outage: submissions would be
// refused and callers sent elsewhere. Refused stale reads, which count toward no rate, must.
func TestExceededRateIsTakenForAnOutage(t *testing.T) {
	rateLimited := call.RefusedFor(call.Response{Status: http.StatusTooManyRequests}, kv.ErrRateLimited)
	for read, want := range map[kv.Consistency]bool{kv.Linearizable: false, kv.Stale: true} {
		synctest.Test(t, func(t *testing.T) {
			s := New(kv.New("unused:1"), func(bool, int) {})
			assert.Assert(t, !s.RateLimited())
			for range 20 {
				time.Sleep(probeInterval)
				s.observeOf(read, time.Now(), rateLimited)
				assert.Assert(t, s.RateLimited())
				assert.Assert(t, s.needsProbe())
			}
			_, unavailable := s.Unavailable()
			assert.Equal(t, unavailable, want)
			s.observeOf(kv.Stale, time.Now(), nil)
			_, unavailable = s.Unavailable()
			assert.Assert(t, !unavailable)
			assert.Assert(t, !s.needsProbe())
			time.Sleep(rateLimitedFor)
			assert.Assert(t, !s.RateLimited())
		})
	}
}

// An instance that made no call for a while must not take a few lost responses for an outage; a response
// that comes later than the timeouts of these calls must not be lost as well.
func TestCallsAfterAPauseAreTakenForAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(nil, func(bool, int) {})
		time.Sleep(time.Minute)
		for range unavailableFailures {
			s.observe(time.Now(), errors.New("no response"))
		}
		_, unavailable := s.Unavailable()
		assert.Assert(t, !unavailable)
		assert.Assert(t, s.Timeout(1) > 400*time.Millisecond)
		s.observe(time.Now(), nil)
		assert.Equal(t, s.Timeout(1), backoff.DefaultTimeouts.First)
	})
}

// An exceeded rate of writes, which all instances share, must not count as an outage while the store answers
// reads: status requests would be refused as well. A store that refuses this instance everything is one.
func TestExceededRateOfWritesIsTakenForAnOutage(t *testing.T) {
	var refusesAll atomic.Bool
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if refusesAll.Load() || r.URL.Path == "/kv-txn" {
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
		w.WriteHeader(http.StatusNotFound)
	}))
	defer server.Close()
	s := New(kv.New(strings.TrimPrefix(server.URL, "http://")), func(bool, int) {})
	s.lastResponse = time.Now().Add(-unavailableAfter)
	for range 2 * unavailableFailures {
		_, err := s.Txn(t.Context(), kv.Txn{Deletes: []string{"a"}})
		assert.ErrorIs(t, err, kv.ErrRateLimited)
	}
	_, unavailable := s.Unavailable()
	assert.Assert(t, !unavailable)
	assert.Assert(t, s.needsProbe())
	assert.Assert(t, !s.RateLimited()) // reads are answered
	s.probe(t.Context())
	assert.Assert(t, !s.needsProbe())

	refusesAll.Store(true)
	s.lastResponse = time.Now().Add(-unavailableAfter)
	for !unavailable {
		_, err := s.Txn(t.Context(), kv.Txn{Deletes: []string{"a"}})
		assert.ErrorIs(t, err, kv.ErrRateLimited)
		assert.Assert(t, s.needsProbe())
		s.probe(t.Context())
		_, unavailable = s.Unavailable()
	}
}
