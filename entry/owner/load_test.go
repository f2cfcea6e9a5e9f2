package owner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/platform/backoff"
	"github.com/tarragonreach/tarragonreach/platform/kv"
)

// slowStore takes long to list a prefix, and keeps nothing.
type slowStore struct {
	Store
	listing time.Duration
}

func (s slowStore) Get(context.Context, string) (kv.Item, error) { return kv.Item{}, kv.ErrNotFound }

func (s slowStore) All(ctx context.Context, _ string, _ kv.Consistency) ([]kv.Item, kv.Revision, error) {
	return nil, 1, backoff.Sleep(ctx, s.listing)
}

// The records of a long backlog take long to read; the shard is taken over all the same,
// or else nobody ever could.
func TestLongShardIsTakenOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := testOwner()
		o.Store = slowStore{listing: 20 * time.Second}
		assert.NilError(t, o.load(t.Context()))
	})
}
