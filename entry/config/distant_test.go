package config

import (
	"context"
	"time"

	"github.com/tarragonreach/tarragonreach/platform"
)

// distantStore delays answers as long as requests, and notes when each revision
// took effect.
type distantStore struct {
	platform.Store
	b *bench
}

func (s distantStore) delayAnswer() { time.Sleep(s.b.store.Faults().Latency) }

// Create implements platform.Store.
func (s distantStore) Create(ctx context.Context, key string, value []byte, lease platform.LeaseID) (platform.Revision, error) {
	s.b.attempts.Add(1)
	created, err := s.Store.Create(ctx, key, value, lease)
	if revision, fault := revisionOfKey(key); err == nil && fault == nil {
		s.b.mu.Lock()
		s.b.since[revision] = time.Now()
		s.b.mu.Unlock()
		if s.b.effect != nil {
			s.b.effect(s.b)
		}
	}
	s.delayAnswer()
	return created, err
}

// List implements platform.Store.
func (s distantStore) List(ctx context.Context, prefix, after string, limit int) (platform.Page, error) {
	s.b.attempts.Add(1)
	page, err := s.Store.List(ctx, prefix, after, limit)
	s.delayAnswer()
	return page, err
}

// Watch implements platform.Store.
func (s distantStore) Watch(ctx context.Context, prefix string, after platform.Revision) (platform.Events, error) {
	s.b.attempts.Add(1)
	events, err := s.Store.Watch(ctx, prefix, after)
	if err == nil {
		s.delayAnswer()
	}
	return events, err
}
