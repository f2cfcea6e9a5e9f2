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

// slowStore is an empty store whose listings take a given time.
type slowStore struct {
	Store
	listingTime time.Duration
}

func (s slowStore) Get(context.Context, string) (kv.Item, error) { return kv.Item{}, kv.ErrNotFound }

func (s slowStore) All(ctx context.Context, _ string, _ kv.Consistency) ([]kv.Item, kv.Revision, error) {
	return nil, 1, backoff.Sleep(ctx, s.listingTime)
}

// The records of a large backlog take long to list. An overall timeout of the listing would
// make the takeover of such a shard impossible for every instance.
func TestShardWithSlowListingIsTakenOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := testOwner()
		o.Store = slowStore{listingTime: 20 * time.Second}
		assert.NilError(t, o.load(t.Context()))
	})
}
