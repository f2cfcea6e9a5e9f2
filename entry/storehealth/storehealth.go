// Package storehealth tells from the calls that an instance makes anyway whether
// the store answers it, so that a call which would hang need not be made.
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
	// awayFailures is how many calls in a row must fail for the store to be away.
	awayFailures = 4
	// awayAfter is how long no call must have succeeded.
	awayAfter = 600 * time.Millisecond
)

// Store passes calls on and watches their outcomes.
type Store struct {
	*kv.Client

	mu       sync.Mutex
	failures int // in a row
	answered time.Time
	since    time.Time     // when the store went away; zero while it is there
	latency  time.Duration // of writes that were answered, smoothed
	notify   func(away bool, failures int)
	// outage ends when the store is back; calls that hang since before then are given
	// up, for they never get an answer.
	outage    context.Context
	endOutage context.CancelFunc
}

// New returns a store in front of client. notify is called when the store goes away
// and when it is back.
func New(client *kv.Client, notify func(away bool, failures int)) *Store {
	s := &Store{Client: client, answered: time.Now(), notify: notify}
	s.outage, s.endOutage = context.WithCancel(context.Background())
	return s
}

// errBack is why a call that hung through an outage was given up.
var errBack = errors.New("the store is back and this call has hung since before")

// untilBack returns a context for one call, which ends when the store comes back from
// an outage that the call has seen, and a function that releases it.
func (s *Store) untilBack(ctx context.Context) (context.Context, func()) {
	s.mu.Lock()
	outage := s.outage
	s.mu.Unlock()
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(outage, func() { cancel(errBack) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// Unavailable reports whether the store has not answered for a while, and since when. It
// is there again as soon as any call is answered.
func (s *Store) Unavailable() (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.since, !s.since.IsZero()
}

const (
	// probeEvery is the time between two probes while the store is away: so late an
	// instance notices that it is back.
	probeEvery = 150 * time.Millisecond
	// probeTimeout bounds a probe. It leaves room for a store that is slow.
	probeTimeout = 900 * time.Millisecond
	// probeKey is read; whether it exists does not matter.
	probeKey = layout.OwnersPrefix + "fleet"
)

// Probe asks the store, while it is away, whether it is back, until ctx ends. An
// instance that has little to ask of the store would learn so late otherwise.
func (s *Store) Probe(ctx context.Context) {
	ticker := time.NewTicker(probeEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if _, away := s.Unavailable(); away {
			go s.probe(ctx) // not waited for: a probe may hang
		}
	}
}

func (s *Store) probe(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	_, _ = s.Get(ctx, probeKey) // Get notes the outcome
}

// observe notes the outcome of a call.
func (s *Store) observe(err error) {
	if errors.Is(err, context.Canceled) {
		return // the caller went away; it says nothing about the store
	}
	answered := err == nil || errors.Is(err, kv.ErrNotFound) || errors.Is(err, kv.ErrLeaseLost) || errors.Is(err, kv.ErrCompacted)
	s.mu.Lock()
	defer s.mu.Unlock()
	if answered {
		s.back()
		return
	}
	s.failures++
	if s.since.IsZero() && s.failures >= awayFailures && time.Since(s.answered) >= awayAfter {
		s.since = time.Now()
		s.notify(true, s.failures)
	}
}

func (s *Store) back() {
	if !s.since.IsZero() {
		s.notify(false, s.failures)
		s.endOutage()
		s.outage, s.endOutage = context.WithCancel(context.Background())
	}
	s.failures = 0
	s.since = time.Time{}
	s.answered = time.Now()
}

const (
	// latencyFactor is how many times the usual latency the first attempt waits.
	latencyFactor = 3
	// latencyWeight is the weight of the latest write in the usual latency. It is
	// large, since the store turns slow at once.
	latencyWeight = 0.5
)

// Timeout bounds an attempt of a write, counted from 1: a little more than the store
// usually takes, and twice as long each time.
func (s *Store) Timeout(attempt int) time.Duration {
	s.mu.Lock()
	usual := s.latency
	s.mu.Unlock()
	timeouts := backoff.DefaultTimeouts
	timeouts.First = min(max(timeouts.First, latencyFactor*usual), timeouts.Cap)
	return timeouts.ForAttempt(attempt)
}

func (s *Store) observeLatency(took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latency += time.Duration(latencyWeight * float64(took-s.latency))
}

// Get implements the store.
func (s *Store) Get(ctx context.Context, key string) (kv.Item, error) {
	ctx, release := s.untilBack(ctx)
	defer release()
	item, err := s.Client.Get(ctx, key)
	s.observe(err)
	return item, err
}

// Watch implements the store. A watch without an answer counts for nothing: watches
// may be silent while the store answers other calls.
func (s *Store) Watch(ctx context.Context, prefix string, after kv.Revision, wait time.Duration) (kv.Events, error) {
	ctx, release := s.untilBack(ctx)
	defer release()
	events, err := s.Client.Watch(ctx, prefix, after, wait)
	if err == nil {
		s.observe(nil)
	}
	return events, err
}

// Txn implements the store.
func (s *Store) Txn(ctx context.Context, t kv.Txn) (kv.TxnResult, error) {
	ctx, release := s.untilBack(ctx)
	defer release()
	begun := time.Now()
	result, err := s.Client.Txn(ctx, t)
	s.observe(err)
	if err == nil {
		s.observeLatency(time.Since(begun))
	}
	return result, err
}

// KeepAlive implements the store.
func (s *Store) KeepAlive(ctx context.Context, id kv.LeaseID) error {
	ctx, release := s.untilBack(ctx)
	defer release()
	err := s.Client.KeepAlive(ctx, id)
	s.observe(err)
	return err
}
