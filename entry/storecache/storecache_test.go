package storecache

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/platform"
	"github.com/tarragonreach/tarragonreach/platform/memory"
)

func TestCacheFollowsWritesAndDeletions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		store := memory.New(time.Now)
		c := New(store, "jobs/")
		go c.Run(ctx)
		synctest.Wait()
		first, err := store.Create(ctx, "jobs/a", []byte("1"), 0)
		assert.NilError(t, err)
		_, err = store.Create(ctx, "other/b", []byte("1"), 0)
		assert.NilError(t, err)
		time.Sleep(time.Second)
		assert.Equal(t, len(c.Entries()), 1)
		assert.NilError(t, store.Delete(ctx, "jobs/a", first))
		time.Sleep(time.Second)
		assert.Equal(t, len(c.Entries()), 0)
		cancel()
		synctest.Wait()
	})
}

func TestCacheRecoversFromAWatchWithoutEventsAndAnOutage(t *testing.T) {
	for _, faults := range []memory.Faults{{LostWatchEvents: true}, {Down: true}} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			store := memory.New(time.Now)
			c := New(store, "jobs/")
			go c.Run(ctx)
			synctest.Wait()
			store.SetFaults(faults)
			time.Sleep(time.Minute)
			store.SetFaults(memory.Faults{})
			_, err := store.Create(ctx, "jobs/a", []byte("1"), 0)
			assert.NilError(t, err)
			time.Sleep(3 * watchWait)
			assert.Equal(t, len(c.Entries()), 1, "%+v", faults)
			cancel()
			synctest.Wait()
		})
	}
}

func TestListingKeepsANewerOwnWrite(t *testing.T) {
	c := New(nil, "jobs/")
	c.Put(platform.Entry{Key: "jobs/a", Revision: 9})
	c.replace(map[string]platform.Entry{"jobs/a": {Key: "jobs/a", Revision: 3}}, 5)
	assert.Equal(t, c.Entries()[0].Revision, platform.Revision(9))
	c.Put(platform.Entry{Key: "jobs/a", Revision: 4})
	assert.Equal(t, c.Entries()[0].Revision, platform.Revision(9))
}
