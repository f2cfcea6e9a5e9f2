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

// Guards against an owner on a slow link that lists hundreds of waiting jobs all the time: the responses that it
// waits for queue behind the listings.
func TestLongListingsTakeMostOfTheLink(t *testing.T) {
	for _, listingTime := range []time.Duration{50 * time.Millisecond, 1200 * time.Millisecond, 3 * time.Second} {
		for name, result := range map[string]error{"no events": nil, "failing": errors.New("no response")} {
			synctest.Test(t, func(t *testing.T) {
				store := &scriptedStore{listingTime: listingTime, watch: func(_ int, wait time.Duration) (kv.Events, error) {
					time.Sleep(wait)
					return kv.Events{}, result
				}}
				changes := runFollower(t, store, Follower{Wait: 400 * time.Millisecond}, time.Minute)
				share := float64(store.lists) * listingTime.Seconds() / 60
				assert.Assert(t, share <= 0.3, "%s: listings take %.2f of the time", name, share)
				assert.Assert(t, store.lists >= 5, "%s: changes that watches miss go unnoticed: %d listings", name, store.lists)
				assert.Assert(t, store.watches > 40, "%s: %d watches", name, store.watches)
				assert.Assert(t, result != nil || len(changes) > 100, "contacts with the store go unnoticed")
			})
		}
	}
}

// Guards against a second listing right after the one that the caller has read at its takeover.
func TestAppliedListingIsReadAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &scriptedStore{listingTime: 3 * time.Second, watch: func(number int, wait time.Duration) (kv.Events, error) {
			if number == 1 {
				return kv.Events{Events: []kv.Event{{}}, AsOf: 9}, nil
			}
			time.Sleep(wait)
			return kv.Events{}, nil
		}}
		from := Snapshot{AsOf: 7, ListedAt: time.Now(), Took: 3 * time.Second}
		changes := runFollower(t, store, Follower{From: from, Wait: 400 * time.Millisecond}, 9*time.Second)
		assert.Equal(t, store.lists, 0)
		assert.Equal(t, len(changes[0].Events), 1)
		assert.Assert(t, !changes[0].Reset)
	})
}

// Guards against a busy loop while a new listing is not due.
func TestWatchesThatDoNotWaitRepeatWithoutPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &scriptedStore{listingTime: 3 * time.Second, watch: func(int, time.Duration) (kv.Events, error) {
			return kv.Events{}, nil
		}}
		runFollower(t, store, Follower{}, 20*time.Second)
		assert.Assert(t, store.watches <= 20*10, "%d watches", store.watches)
	})
}

// Guards against changes that are lost between two listings: a watch that failed or returned no events is
// followed by one from the same revision, and compaction by a listing at once.
func TestWatchesGoOnWhereTheLastOneEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &scriptedStore{listingTime: 1200 * time.Millisecond}
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
		changes := runFollower(t, store, Follower{Wait: 400 * time.Millisecond}, 5*time.Second)
		assert.DeepEqual(t, store.after[:6], []kv.Revision{1, 9, 9, 9, 12, 2})
		assert.Equal(t, store.lists, 2)
		assert.Assert(t, changes[4].Reset)
	})
}
