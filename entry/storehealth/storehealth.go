// Package storehealth detects from the calls that an instance makes whether the store is
// available, so that callers can avoid calls that would hang.
package storehealth

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/tarragonreach/tarragonreach/entry/layout"
	"github.com/tarragonreach/tarragonreach/platform/backoff"
	"github.com/tarragonreach/tarragonreach/platform/kv"
)

const (
	// unavailableFailures is how many consecutive calls must have failed before the store
	// counts as unavailable.
	unavailableFailures = 4
	// unavailableAfter is the time without a response that must also have passed since the first of them
	// was sent.
	unavailableAfter = 600 * time.Millisecond
	// rateLimitedFor is how long the store's rate of reads or writes counts as exceeded after it refused
	// one for that. Rates are per second.
	rateLimitedFor = 1 * time.Second
)

// Store forwards calls to a client and observes their outcomes.
type Store struct {
	*kv.Client

	mu               sync.Mutex
	failures         int       // consecutive
	unansweredSince  time.Time // when the first call was sent since the last response; zero if none was
	failingSince     time.Time // when the first of the calls was sent that failed consecutively
	lastResponse     time.Time
	unavailableSince time.Time     // when the store began to count as unavailable; zero while it is available
	probedAt         time.Time     // when the store was last probed
	latency          time.Duration // smoothed latency of successful calls that read or write one key
	answeredSentAt   time.Time     // when the latest of the calls that were answered had been sent
	rateLimitedAt    time.Time     // when the store last refused a read for its rate
	writeLimitedAt   time.Time     // when the store last refused a write for its rate
	notify           func(unavailable bool, failures int)
	// outage is cancelled when the store is available again. Calls sent before then are
	// cancelled with it, since they never get a response.
	outage    context.Context
	endOutage context.CancelFunc
}

// New returns a store in front of client. notify is called when the store becomes
// unavailable and when it is available again, with the number of consecutive failures.
func New(client *kv.Client, notify func(unavailable bool, failures int)) *Store {
	s := &Store{Client: client, lastResponse: time.Now(), notify: notify}
	s.outage, s.endOutage = context.WithCancel(context.Background())
	return s
}

// errOutageOver is the cause of the cancellation of a call that hung through an outage.
var errOutageOver = errors.New("store available again; call from before the outage cancelled")

// untilRecovery returns a context for one call and a function that releases it. The context
// also ends when the store recovers from an outage while the call is in progress.
func (s *Store) untilRecovery(ctx context.Context) (context.Context, func()) {
	s.mu.Lock()
	outage := s.outage
	s.mu.Unlock()
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(outage, func() { cancel(errOutageOver) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// Unavailable reports since when the store is unavailable, and whether it is. It is available
// again as soon as any call gets a response.
func (s *Store) Unavailable() (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unavailableSince, !s.unavailableSince.IsZero()
}

// minSilence is how long the store must not have responded, while calls were made, to count as silent. It is
// several times the usual latency, also on small instances.
const minSilence = 300 * time.Millisecond

// Silent reports whether the store is unavailable, or has not responded for longer than usual though it was called. The
// latter alone is no reason to refuse callers: it may be a single call whose response is late.
func (s *Store) Silent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.unavailableSince.IsZero() || s.silent()
}

const (
	// recentResponse is how long a response of the store shows that it responds.
	recentResponse = 100 * time.Millisecond
	// respondTimeout bounds the read that Responds makes otherwise. It is several times the usual latency, and leaves
	// time for the way to the instance that asks, which takes a later response for none.
	respondTimeout = 200 * time.Millisecond
)

// Responds reports whether the store responds to this instance, by a response within recentResponse or by a read. An
// instance that makes few calls learns late by them that it gets no responses any more. While the store is silent, none is
// awaited.
func (s *Store) Responds(ctx context.Context) bool {
	s.mu.Lock()
	recent := within(s.lastResponse, recentResponse)
	s.mu.Unlock()
	if recent {
		return true
	}
	if s.Silent() {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, respondTimeout)
	defer cancel()
	sent := s.noteSent()
	_, err := s.Client.GetStale(ctx, probeKey)
	responded := err == nil || errors.Is(err, kv.ErrNotFound)
	if responded {
		s.observe(sent, nil) // a failure does not count: the store may be slow
	}
	return responded
}

// silent reports whether a call has had no response for longer than usual. The caller holds s.mu.
func (s *Store) silent() bool {
	return !s.unansweredSince.IsZero() && time.Since(s.unansweredSince) >= max(minSilence, latencyFactor*s.latency)
}

// noteSent records that a call is sent now, and returns when that is.
func (s *Store) noteSent() time.Time {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unansweredSince.IsZero() {
		s.unansweredSince = now
	}
	return now
}

// RateLimited reports whether the store has lately refused reads of this instance since its rate is
// exceeded. Stale reads don't count toward the rate.
func (s *Store) RateLimited() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rateLimited()
}

// rateLimited is RateLimited for callers that hold s.mu.
func (s *Store) rateLimited() bool { return within(s.rateLimitedAt, rateLimitedFor) }

// within reports whether a time, which is zero for never, is not longer ago than d.
func within(at time.Time, d time.Duration) bool { return !at.IsZero() && time.Since(at) < d }

const (
	// probeInterval is the time between two probes while the store is unavailable, and thus
	// bounds how late an instance detects that it is available again.
	probeInterval = 150 * time.Millisecond
	// probeTimeout bounds a probe. It is long enough for a slow store.
	probeTimeout = 900 * time.Millisecond
	// firstProbeTimeout bounds a probe while the store is not unavailable: that probes fail must not make a store
	// unavailable that is slower than usual.
	firstProbeTimeout = 2 * time.Second
)

// probeKey is the key that probes read; it need not exist.
var probeKey = layout.OwnerKey(layout.FleetDuty)

// Probe probes the store while it is silent or unavailable, until ctx ends. Without probes, an instance
// that makes few calls would detect late that it is available again. While the store refuses calls for
// its rates and answers nothing else, probes tell whether it refuses this instance altogether.
func (s *Store) Probe(ctx context.Context) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if s.needsProbe() {
			go s.probe(ctx) // in the background: a probe may hang
		}
	}
}

func (s *Store) needsProbe() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.unavailableSince.IsZero() || s.silent() && !within(s.probedAt, minSilence) ||
		s.anyRateLimited() && time.Since(s.lastResponse) >= probeInterval
}

// anyRateLimited reports whether the store has lately refused calls for its rates. The caller holds s.mu.
func (s *Store) anyRateLimited() bool {
	return s.rateLimited() || within(s.writeLimitedAt, rateLimitedFor)
}

// beginProbe records that the store is probed, and returns the timeout.
func (s *Store) beginProbe() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.probedAt = time.Now()
	if s.unavailableSince.IsZero() && !s.anyRateLimited() {
		return firstProbeTimeout
	}
	return probeTimeout
}

// probe reads a key, and observes the outcome. The read is stale while others would be refused.
func (s *Store) probe(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.beginProbe())
	defer cancel()
	read := s.Get
	if s.RateLimited() {
		read = s.GetStale
	}
	_, _ = read(ctx, probeKey)
}

// observeRead records the outcome of a read that counts toward the store's rate. That the rate of all
// instances is exceeded doesn't mean that the store is unavailable to this one, nor that it isn't.
func (s *Store) observeRead(sent time.Time, err error) {
	if !errors.Is(err, kv.ErrRateLimited) {
		s.observe(sent, err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rateLimitedAt = time.Now()
	s.unansweredSince = time.Time{}
}

// observeWrite records the outcome of a write. As for reads, that the rate of all instances is exceeded
// says nothing about the store's availability; a read does.
func (s *Store) observeWrite(sent time.Time, err error) {
	if !errors.Is(err, kv.ErrRateLimited) {
		s.observe(sent, err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writeLimitedAt = time.Now()
	s.unansweredSince = time.Time{}
}

// observeOf records the outcome of a read of the given consistency. No rate is a reason to refuse a stale
// one, so that its refusal also counts as a failure.
func (s *Store) observeOf(read kv.Consistency, sent time.Time, err error) {
	if read == kv.Stale {
		s.observe(sent, err)
	}
	if read == kv.Linearizable || errors.Is(err, kv.ErrRateLimited) {
		s.observeRead(sent, err)
	}
}

// observe records the outcome of a call that was sent at the given time.
func (s *Store) observe(sent time.Time, err error) {
	if errors.Is(err, context.Canceled) {
		return // cancelled by the caller, which says nothing about the store
	}
	responded := err == nil || errors.Is(err, kv.ErrNotFound) || errors.Is(err, kv.ErrLeaseLost) || errors.Is(err, kv.ErrCompacted)
	s.mu.Lock()
	defer s.mu.Unlock()
	if responded {
		s.recordResponse(sent)
		return
	}
	if errors.Is(err, context.DeadlineExceeded) {
		s.CloseIdle() // they may have gone silent like the one of this call
	}
	if s.failures == 0 || sent.Before(s.failingSince) {
		s.failingSince = sent
	}
	s.failures++
	if s.unavailableSince.IsZero() && s.failures >= unavailableFailures && s.silentFor() >= unavailableAfter {
		s.unavailableSince = time.Now()
		s.notify(true, s.failures)
	}
}

// silentFor returns how long calls have had no response. A time without calls does not count. The caller
// holds s.mu.
func (s *Store) silentFor() time.Duration {
	return min(time.Since(s.failingSince), time.Since(s.lastResponse))
}

// recordResponse records that a call that was sent at the given time got a response, and ends
// an outage. The caller holds s.mu.
func (s *Store) recordResponse(sent time.Time) {
	if sent.After(s.answeredSentAt) {
		s.answeredSentAt = sent
	}
	if !s.unavailableSince.IsZero() {
		s.notify(false, s.failures)
		s.endOutage()
		s.outage, s.endOutage = context.WithCancel(context.Background())
	}
	s.failures = 0
	s.unansweredSince = time.Time{}
	s.unavailableSince = time.Time{}
	s.lastResponse = time.Now()
}

const (
	// latencyFactor is the minimum timeout of the first attempt, as a multiple of the usual
	// latency.
	latencyFactor = 3
	// latencyWeight is the weight of the latest call in the usual latency. It is large,
	// since the store may become slow from one call to the next.
	latencyWeight = 0.5
	// skippedAttempts is how many of the shortest timeouts are skipped after unavailableFailures calls
	// in a row without a response: the store may have become slower than these timeouts, which would
	// lose its responses until it counts as unavailable.
	skippedAttempts = 2
)

// Timeout returns the timeout of an attempt of a call, counted from 1. The first one is at
// least latencyFactor times the usual latency, and each further one is twice as long as the
// one before, all up to the cap of backoff.DefaultTimeouts.
func (s *Store) Timeout(attempt int) time.Duration {
	s.mu.Lock()
	usual, failures := s.latency, s.failures
	s.mu.Unlock()
	if failures >= unavailableFailures {
		attempt += skippedAttempts
	}
	timeouts := backoff.DefaultTimeouts
	timeouts.First = min(max(timeouts.First, latencyFactor*usual), timeouts.Cap)
	return timeouts.ForAttempt(attempt)
}

func (s *Store) observeLatency(took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latency += time.Duration(latencyWeight * float64(took-s.latency))
}

// Get reads a key like kv.Client and observes the outcome.
func (s *Store) Get(ctx context.Context, key string) (kv.Item, error) {
	ctx, release := s.untilRecovery(ctx)
	defer release()
	sent := s.noteSent()
	item, err := s.Client.Get(ctx, key)
	s.observeOf(kv.Linearizable, sent, err)
	if err == nil {
		s.observeLatency(time.Since(sent))
	}
	return item, err
}

// GetStale reads a key like kv.Client and observes the outcome.
func (s *Store) GetStale(ctx context.Context, key string) (kv.Item, error) {
	ctx, release := s.untilRecovery(ctx)
	defer release()
	sent := time.Now()
	item, err := s.Client.GetStale(ctx, key)
	s.observeOf(kv.Stale, sent, err)
	return item, err
}

// Watch implements follow.Store. A failed watch does not count as a failure: watches may get
// no response while the store responds to other calls.
func (s *Store) Watch(ctx context.Context, prefix string, after kv.Revision, wait time.Duration) (kv.Events, error) {
	ctx, release := s.untilRecovery(ctx)
	defer release()
	sent := time.Now()
	events, err := s.Client.Watch(ctx, prefix, after, wait)
	if err == nil {
		s.observe(sent, nil)
	}
	return events, err
}

// Txn makes a transaction like kv.Client and observes its outcome and latency.
func (s *Store) Txn(ctx context.Context, t kv.Txn) (kv.TxnResult, error) {
	ctx, release := s.untilRecovery(ctx)
	defer release()
	start := s.noteSent()
	result, err := s.Client.Txn(ctx, t)
	s.observeWrite(start, err)
	if err == nil {
		s.observeLatency(time.Since(start))
	}
	return result, err
}

// KeepAlive renews a lease like kv.Client and observes the outcome.
func (s *Store) KeepAlive(ctx context.Context, id kv.LeaseID) error {
	ctx, release := s.untilRecovery(ctx)
	defer release()
	sent := s.noteSent()
	err := s.Client.KeepAlive(ctx, id)
	s.observeRead(sent, err)
	return err
}
