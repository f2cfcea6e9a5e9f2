package config

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/object"
	"github.com/tarragonreach/tarragonreach/platform"
	"github.com/tarragonreach/tarragonreach/platform/memory"
)

// pausedStore runs hook before the first create, as if the process paused there.
type pausedStore struct {
	platform.Store
	once sync.Once
	hook func()
}

// Create implements platform.Store.
func (s *pausedStore) Create(ctx context.Context, key string, value []byte, lease platform.LeaseID) (platform.Revision, error) {
	s.once.Do(s.hook)
	return s.Store.Create(ctx, key, value, lease)
}

// acceptMany accepts count changes and makes the log compact often.
func acceptMany(t *testing.T, log *Log, count int) {
	log.retainedRevisions, log.compactEvery = 3, 2
	for i := range count {
		name := fmt.Sprintf("tenant-%d", i%3)
		_, err := log.Accept(t.Context(), putTenant(fmt.Sprint(i), name, i, log.follower.Current()))
		assert.NilError(t, err)
	}
}

func TestProcessPausedDuringCompactionGetsNewRevision(t *testing.T) {
	store := memory.New(time.Now)
	_, otherLog := newFollowerAndLog(store)
	paused := &pausedStore{Store: store, hook: func() { acceptMany(t, otherLog, 20) }}
	log := NewLog(paused, NewFollower(paused, Options{}), LogOptions{})
	log.retainedRevisions = 3

	revision, err := log.Accept(t.Context(), putTenant("late", "own", 1, log.follower.Current()))
	assert.NilError(t, err)
	assert.Equal(t, revision, object.Revision(21), "the change does not get the compacted revision 1")
	_, err = store.Get(t.Context(), logKey(1))
	assert.ErrorIs(t, err, platform.ErrNotFound, "the entry created at the compacted revision was deleted")
}

func TestCreateArrivingAfterCompactionHasNoEffect(t *testing.T) {
	store := memory.New(time.Now)
	stale, _ := newFollowerAndLog(store)
	_, log := newFollowerAndLog(store)
	acceptMany(t, log, 20)
	for revision := object.Revision(1); revision <= 2; revision++ {
		late := fmt.Appendf(nil, `{"revision":%d,"id":"late","at":"2026-01-01T00:00:00Z","delete":[{"kind":"Tenant","name":"tenant-1"}]}`, revision)
		_, err := store.Create(t.Context(), logKey(revision), late, 0)
		assert.NilError(t, err)
	}
	for _, follower := range []*Follower{stale, NewFollower(store, Options{}), log.follower} {
		_, err := follower.refresh(t.Context())
		assert.NilError(t, err)
		assert.DeepEqual(t, mustEncode(t, follower), mustEncode(t, log.follower))
	}
	assert.NilError(t, log.Compact(t.Context()))
	page, err := store.List(t.Context(), logPrefix, "", 1)
	assert.NilError(t, err)
	assert.Assert(t, page.Entries[0].Key > logKey(2), "the next compaction deletes the late entries")
}
