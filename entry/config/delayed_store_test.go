package config

import (
	"context"
	"time"

	"github.com/tarragonreach/tarragonreach/platform"
)

// delayedStore delays responses by the same latency as requests, and records when each
// revision took effect.
type delayedStore struct {
	platform.Store
	sim *simulation
}

func (s delayedStore) delayResponse() { time.Sleep(s.sim.store.Faults().Latency) }

// Create implements platform.Store.
func (s delayedStore) Create(ctx context.Context, key string, value []byte, lease platform.LeaseID) (platform.Revision, error) {
	s.sim.attempts.Add(1)
	created, err := s.Store.Create(ctx, key, value, lease)
	if revision, keyErr := revisionOfKey(key); err == nil && keyErr == nil {
		s.sim.mu.Lock()
		s.sim.reachableAt[revision] = time.Now()
		s.sim.mu.Unlock()
		if s.sim.onEffect != nil {
			s.sim.onEffect(s.sim)
		}
	}
	s.delayResponse()
	return created, err
}

// List implements platform.Store.
func (s delayedStore) List(ctx context.Context, prefix, after string, limit int) (platform.Page, error) {
	s.sim.attempts.Add(1)
	page, err := s.Store.List(ctx, prefix, after, limit)
	s.delayResponse()
	return page, err
}

// Watch implements platform.Store.
func (s delayedStore) Watch(ctx context.Context, prefix string, after platform.Revision) (platform.Events, error) {
	s.sim.attempts.Add(1)
	events, err := s.Store.Watch(ctx, prefix, after)
	if err == nil {
		s.delayResponse()
	}
	return events, err
}
