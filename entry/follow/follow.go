// Package follow lists and watches the items under a prefix of the store and applies their
// changes.
package follow

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/tarragonreach/tarragonreach/platform/backoff"
	"github.com/tarragonreach/tarragonreach/platform/call"
	"github.com/tarragonreach/tarragonreach/platform/kv"
)

// Store is the part of the store that a follower reads.
type Store interface {
	// All returns all items under a prefix and their revision. It applies its own timeout
	// to each page.
	All(ctx context.Context, prefix string, read kv.Consistency) ([]kv.Item, kv.Revision, error)
	Watch(ctx context.Context, prefix string, after kv.Revision, wait time.Duration) (kv.Events, error)
}

const (
	// defaultWait bounds one watch.
	defaultWait = 1 * time.Second
	// watchSlack is how long after its wait time a watch may still begin to respond.
	watchSlack = 400 * time.Millisecond
	// minEmptyWatch is the shortest time after which a watch without events has waited for some. It bounds
	// the rate of the listings that follow them.
	minEmptyWatch = 100 * time.Millisecond
	// listingPauseFactor is the minimum time between the end of a listing and the next one that follows a watch
	// that failed or returned no events, as a multiple of the time that the listing took. A prefix with many items may take seconds
	// of the instance's link.
	listingPauseFactor = 8
	// maxListingPause bounds that time, and thus how long a change that watches miss goes unnoticed.
	maxListingPause = 10 * time.Second
)

// retry spaces calls to a store that fails.
var retry = backoff.Policy{Base: 100 * time.Millisecond, Cap: 400 * time.Millisecond}

// Change is a set of changes under a prefix. With Reset, Events holds all current items, and
// items missing from it have been removed. A change without events says that the store has responded.
type Change struct {
	Reset  bool
	Events []kv.Event
}

// Listing returns all items of a prefix as a change.
func Listing(items []kv.Item) Change {
	events := make([]kv.Event, len(items))
	for i, item := range items {
		events[i] = kv.Event{Item: item}
	}
	return Change{Reset: true, Events: events}
}

// Snapshot is what is known of a listing.
type Snapshot struct {
	AsOf kv.Revision
	// ListedAt is when the listing was received, and Took the time that it took.
	ListedAt time.Time
	Took     time.Duration
}

// List returns all items under a prefix.
func List(ctx context.Context, store Store, prefix string) ([]kv.Item, Snapshot, error) {
	began := time.Now()
	items, asOf, err := store.All(ctx, prefix, kv.Linearizable)
	if err != nil {
		return nil, Snapshot{}, err
	}
	now := time.Now()
	return items, Snapshot{AsOf: asOf, ListedAt: now, Took: now.Sub(began)}, nil
}

// due reports whether the prefix may be listed again after a watch that failed or returned no events.
func (s Snapshot) due(now time.Time) bool {
	return now.Sub(s.ListedAt) >= min(listingPauseFactor*s.Took, maxListingPause)
}

// Follower follows one prefix.
type Follower struct {
	Store  Store
	Prefix string
	// From is a listing that the caller has applied already; the zero value begins with a listing.
	From Snapshot
	// Pause is the time between two watches, in which frequent changes accumulate.
	Pause time.Duration
	// Wait bounds one watch, and thus how long changes go unnoticed if watches deliver no
	// events; zero means the default, 1 s.
	Wait time.Duration
	// Apply applies each change, in order. It is not called concurrently.
	Apply  func(Change)
	Logger *slog.Logger
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	failures, failedWatches := 0, 0
	if f.From.AsOf > 0 {
		f.watch(ctx, f.From)
	}
	for ctx.Err() == nil {
		listed, err := f.list(ctx)
		if err != nil {
			failures = f.backOff(ctx, failures, err)
			continue
		}
		if failures > 0 {
			f.Logger.Info("store responds again", "prefix", f.Prefix, "revision", int64(listed.AsOf), "failures", failures)
		}
		failures = 0
		if f.watch(ctx, listed) {
			failedWatches = 0
			continue
		}
		failedWatches++
		_ = backoff.Sleep(ctx, retry.Delay(failedWatches, backoff.NewRandom())) // the loop checks ctx
	}
}

func (f *Follower) backOff(ctx context.Context, failures int, err error) int {
	failures++
	if failures == 1 && ctx.Err() == nil {
		f.Logger.Warn("store does not respond", "prefix", f.Prefix, "error", err)
	}
	_ = backoff.Sleep(ctx, retry.Delay(failures, backoff.NewRandom())) // the caller's loop checks ctx
	return failures
}

func (f *Follower) list(ctx context.Context) (Snapshot, error) {
	items, listed, err := List(ctx, f.Store, f.Prefix)
	if err != nil {
		return Snapshot{}, err
	}
	f.Apply(Listing(items))
	return listed, nil
}

// watch applies changes after a listing until the history is compacted, a new listing is due after a watch that
// failed or returned no events, or ctx ends. A watch may miss changes, so one without events is followed by a new
// listing, as soon as the time that the last one took allows it. Until then watches go on from the same revision, by
// which the store returns all changes since. It reports whether any watch succeeded. One that returns no events
// within minEmptyWatch did not wait for any, and does not count.
func (f *Follower) watch(ctx context.Context, listed Snapshot) (succeeded bool) {
	after := listed.AsOf
	failures := 0 // in a row
	for ctx.Err() == nil {
		sent := time.Now()
		events, err := f.watchOnce(ctx, after)
		useful := err == nil && (len(events.Events) > 0 || time.Since(sent) >= minEmptyWatch)
		succeeded = succeeded || useful
		if f.listingFollows(ctx, listed, events, err) {
			return succeeded
		}
		if err == nil {
			f.Apply(Change{Events: events.Events})
		}
		switch {
		case !useful:
			failures++
			_ = backoff.Sleep(ctx, retry.Delay(failures, backoff.NewRandom())) // the loop checks ctx
		case len(events.Events) == 0:
			failures = 0
		default:
			failures = 0
			after = max(after, events.AsOf)
			_ = backoff.Sleep(ctx, f.Pause) // the loop checks ctx
		}
	}
	return succeeded
}

// listingFollows reports whether the result of a watch is followed by a listing, or ctx has ended, and logs
// failures.
func (f *Follower) listingFollows(ctx context.Context, listed Snapshot, events kv.Events, err error) bool {
	due := listed.due(time.Now())
	switch {
	case errors.Is(err, kv.ErrCompacted):
		f.Logger.Info("history of the store is compacted; listing again", "prefix", f.Prefix)
		return true
	case err != nil && ctx.Err() != nil:
		return true
	case err != nil:
		f.Logger.Warn("watch failed", "prefix", f.Prefix, "listing_again", due, "error", err)
		return due
	default:
		return len(events.Events) == 0 && due
	}
}

func (f *Follower) watchOnce(ctx context.Context, after kv.Revision) (kv.Events, error) {
	wait := cmp.Or(f.Wait, defaultWait)
	ctx, cancel := call.WithBeginTimeout(ctx, wait+watchSlack)
	defer cancel()
	return f.Store.Watch(ctx, f.Prefix, after, wait)
}
