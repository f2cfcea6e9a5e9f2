package follow

import (
	"context"
	"errors"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/platform/backoff"
	"github.com/tarragonreach/tarragonreach/platform/kv"
)

// scriptedStore responds to watches with a function of the test and lists its items.
type scriptedStore struct {
	items       []kv.Item
	listingTime time.Duration // duration of a listing
	lists       int
	watches     int
	after       []kv.Revision // of the watches
	watch       func(number int, wait time.Duration) (kv.Events, error)
}

func (s *scriptedStore) All(ctx context.Context, _ string, _ kv.Consistency) ([]kv.Item, kv.Revision, error) {
	if err := backoff.Sleep(ctx, s.listingTime); err != nil {
		return nil, 0, err
	}
	s.lists++
	return s.items, kv.Revision(s.lists), nil
}

func (s *scriptedStore) Watch(ctx context.Context, _ string, after kv.Revision, wait time.Duration) (kv.Events, error) {
	s.watches++
	s.after = append(s.after, after)
	return s.watch(s.watches, wait)
}

func runFollower(t *testing.T, store *scriptedStore, f Follower, d time.Duration) []Change {
	t.Helper()
	var changes []Change
	ctx, cancel := context.WithTimeout(t.Context(), d)
	defer cancel()
	f.Store, f.Logger = store, slog.New(slog.DiscardHandler)
	f.Apply = func(c Change) { changes = append(changes, c) }
	f.Run(ctx)
	return changes
}

// A watch may return no events although there are changes: a listing follows it within
// Follower.Wait.
func TestWatchWithoutEventsIsFollowedByAListing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &scriptedStore{watch: func(_ int, wait time.Duration) (kv.Events, error) {
			time.Sleep(wait)
			return kv.Events{}, nil
		}}
		changes := runFollower(t, store, Follower{Wait: 500 * time.Millisecond}, 2100*time.Millisecond)
		assert.Equal(t, len(changes), 5) // at 0, 0.5, 1, 1.5 and 2 s
		assert.Assert(t, changes[4].Reset)
	})
}

func TestCompactedHistoryIsFollowedByAListing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &scriptedStore{watch: func(number int, wait time.Duration) (kv.Events, error) {
			if number == 1 {
				return kv.Events{}, kv.ErrCompacted
			}
			time.Sleep(wait)
			return kv.Events{}, errors.New("connection lost")
		}}
		changes := runFollower(t, store, Follower{Wait: time.Second}, 900*time.Millisecond)
		assert.Equal(t, len(changes), 2)
		assert.Assert(t, changes[1].Reset)
	})
}

// Frequent changes accumulate between watches, so that the number of calls is bounded.
func TestPauseBoundsTheCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &scriptedStore{watch: func(int, time.Duration) (kv.Events, error) {
			return kv.Events{Events: []kv.Event{{}}, AsOf: 9}, nil
		}}
		runFollower(t, store, Follower{Pause: 250 * time.Millisecond}, 1900*time.Millisecond)
		assert.Equal(t, store.watches, 8)
	})
}

// A prefix with many entries takes long to list over a slow link or from a slow store. The
// listing has no overall timeout.
func TestLongListingDoesNotTimeOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &scriptedStore{listingTime: 20 * time.Second, watch: func(_ int, wait time.Duration) (kv.Events, error) {
			time.Sleep(wait)
			return kv.Events{}, nil
		}}
		changes := runFollower(t, store, Follower{}, time.Minute)
		assert.Assert(t, len(changes) > 0)
	})
}

// Listings succeed while watches fail at once, as when a store is overloaded or the response to a watch
// is too long: the follower must not list the prefix again and again without a pause.
func TestFailingWatchesAreNotFollowedByListingsWithoutPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		store := &scriptedStore{listingTime: time.Millisecond, watch: func(_ int, wait time.Duration) (kv.Events, error) {
			if time.Since(start) < 20*time.Second {
				return kv.Events{}, errors.New("refused")
			}
			time.Sleep(wait)
			return kv.Events{}, nil
		}}
		runFollower(t, store, Follower{}, 30*time.Second)
		assert.Assert(t, store.lists > 40, "%d listings", store.lists)
		assert.Assert(t, store.lists <= 20*10, "%d listings", store.lists)
	})
}

// Watches return no events at once, without waiting for any: the follower must not list the prefix again and
// again without a pause.
func TestWatchesThatDoNotWaitAreNotFollowedByListingsWithoutPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &scriptedStore{listingTime: time.Millisecond, watch: func(int, time.Duration) (kv.Events, error) {
			time.Sleep(time.Millisecond)
			return kv.Events{}, nil
		}}
		runFollower(t, store, Follower{}, 20*time.Second)
		assert.Assert(t, store.lists > 40, "%d listings", store.lists)
		assert.Assert(t, store.lists <= 20*10, "%d listings", store.lists)
	})
}

// Guards against listings that fill a slow link: 300 kB at 250 kB/s took the whole of it while watches returned
// no events or failed, so that calls to executors exceeded their time limits.
func TestListingsTakeABoundedShareOfTheLink(t *testing.T) {
	for name, result := range map[string]error{"no events": nil, "failing": errors.New("no response")} {
		synctest.Test(t, func(t *testing.T) {
			store := &scriptedStore{items: largeItems(), listingTime: 1200 * time.Millisecond, watch: func(_ int, wait time.Duration) (kv.Events, error) {
				time.Sleep(wait)
				return kv.Events{}, result
			}}
			runFollower(t, store, Follower{Wait: 400 * time.Millisecond, Link: 250_000}, time.Minute)
			assert.Assert(t, store.lists >= 10, "%s: %d listings", name, store.lists)
			assert.Assert(t, store.lists <= 13, "%s: %d listings", name, store.lists)
			assert.Assert(t, store.watches > 60, "%s: %d watches", name, store.watches)
		})
	}
}

// largeItems returns items of which a listing has about 300 kB.
func largeItems() []kv.Item {
	items := make([]kv.Item, 200)
	for i := range items {
		items[i] = kv.Item{Key: "key", Value: make([]byte, 1000)}
	}
	return items
}

// Guards against changes that are lost between two listings: a watch that failed or returned no events is
// followed by one from the same revision, and compaction by a listing at once.
func TestWatchesGoOnWhereTheLastOneEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &scriptedStore{items: largeItems()}
		store.watch = func(number int, wait time.Duration) (kv.Events, error) {
			time.Sleep(wait)
			switch number {
			case 1:
				return kv.Events{Events: []kv.Event{{}}, AsOf: 9}, nil
			case 2:
				return kv.Events{}, errors.New("no response")
			case 3:
				return kv.Events{AsOf: 11}, nil
			case 4:
				return kv.Events{Events: []kv.Event{{}}, AsOf: 12}, nil
			case 5:
				return kv.Events{}, kv.ErrCompacted
			}
			return kv.Events{}, nil
		}
		changes := runFollower(t, store, Follower{Wait: 400 * time.Millisecond, Link: 250_000}, 4*time.Second)
		assert.DeepEqual(t, store.after[:6], []kv.Revision{1, 9, 9, 9, 12, 2})
		assert.Equal(t, len(changes), 4)
		assert.Assert(t, changes[3].Reset)
	})
}
