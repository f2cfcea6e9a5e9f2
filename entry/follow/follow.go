// Package follow lists and watches the items under a prefix of the store and applies their
// changes.
package follow

import (
	"context"
	"encoding/base64"
	"errors"
	"log/slog"
	"time"

	"github.com/tarragonreach/tarragonreach/platform/backoff"
	"github.com/tarragonreach/tarragonreach/platform/kv"
	"github.com/tarragonreach/tarragonreach/policy/linkshare"
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
	// watchSlack is how long after its wait time a watch may still respond.
	watchSlack = 400 * time.Millisecond
	// minEmptyWatch is the shortest time after which a watch without events has waited for some. It bounds
	// the rate of the listings that follow them.
	minEmptyWatch = 100 * time.Millisecond
	// listingShare is the share of the link's rate that listings after watches without events, or after
	// watches that failed, may take: over a slow link, they would delay what the instance is there for, and
	// calls that exceed their time limits for that would make further watches fail.
	listingShare = 0.1
	// maxListingInterval bounds the time between two of these listings, and thus how long changes go unnoticed
	// if watches deliver no events.
	maxListingInterval = 5 * time.Second
	// itemOverhead is about what the response to a listing holds for an item besides key and value, in bytes.
	itemOverhead = 70
)

// retry spaces calls to a store that fails.
var retry = backoff.Policy{Base: 100 * time.Millisecond, Cap: 400 * time.Millisecond}

// Change is a set of changes under a prefix. With Reset, Events holds all current items, and
// items missing from it have been removed.
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

// Follower follows one prefix.
type Follower struct {
	Store  Store
	Prefix string
	// Pause is the time between two watches, in which frequent changes accumulate.
	Pause time.Duration
	// Wait bounds one watch, and thus how long changes go unnoticed if watches deliver no
	// events; zero means the default, 1 s.
	Wait time.Duration
	// Link is the rate of the instance's link. Listings that repeat what watches may have missed are made
	// later than Wait says where they would take more than a tenth of it.
	Link linkshare.Rate
	// Apply applies each change, in order. It is not called concurrently.
	Apply  func(Change)
	Logger *slog.Logger

	listedAt time.Time     // when the last listing was requested
	relistIn time.Duration // minimum time from then to one that repeats what watches may have missed
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	failures, failedWatches := 0, 0
	for ctx.Err() == nil {
		after, err := f.list(ctx)
		if err != nil {
			failures = f.backOff(ctx, failures, err)
			continue
		}
		if failures > 0 {
			f.Logger.Info("store responds again", "prefix", f.Prefix, "revision", int64(after), "failures", failures)
		}
		failures = 0
		if f.watch(ctx, after) {
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

func (f *Follower) list(ctx context.Context) (kv.Revision, error) {
	requestedAt := time.Now()
	items, asOf, err := f.Store.All(ctx, f.Prefix, kv.Linearizable)
	if err != nil {
		return 0, err
	}
	f.listedAt = requestedAt
	f.relistIn = min(maxListingInterval, f.Link.Interval(listingBytes(items), listingShare))
	f.Apply(Listing(items))
	return asOf, nil
}

// listingBytes returns about how long the response to a listing is, with values in base64.
func listingBytes(items []kv.Item) int {
	bytes := 0
	for _, item := range items {
		bytes += len(item.Key) + base64.StdEncoding.EncodedLen(len(item.Value)) + itemOverhead
	}
	return bytes
}

// relistDue reports whether a listing that repeats what watches may have missed is due.
func (f *Follower) relistDue() bool { return time.Since(f.listedAt) >= f.relistIn }

// watch applies changes until the history is compacted, a listing is due after a watch that failed or
// returned no events, or ctx ends. A watch may miss changes, so one without events is followed by a new
// listing. Until that is due, watches go on from the same revision, by which the store returns all changes
// since. It reports whether any watch succeeded. One that returns no events within minEmptyWatch did
// not wait for any, and does not count.
func (f *Follower) watch(ctx context.Context, after kv.Revision) (succeeded bool) {
	failures := 0 // in a row
	for ctx.Err() == nil {
		sent := time.Now()
		events, err := f.watchOnce(ctx, after)
		useful := err == nil && (len(events.Events) > 0 || time.Since(sent) >= minEmptyWatch)
		succeeded = succeeded || useful
		if f.endsWatch(ctx, after, events, err) {
			return succeeded
		}
		if !useful {
			failures++
			_ = backoff.Sleep(ctx, retry.Delay(failures, backoff.NewRandom())) // the loop checks ctx
			continue
		}
		failures = 0
		if len(events.Events) == 0 {
			continue
		}
		after = max(after, events.AsOf)
		f.Apply(Change{Events: events.Events})
		_ = backoff.Sleep(ctx, f.Pause) // the loop checks ctx
	}
	return succeeded
}

// endsWatch reports whether the result of a watch is to be followed by a listing, or ctx has ended, and logs
// failures.
func (f *Follower) endsWatch(ctx context.Context, after kv.Revision, events kv.Events, err error) bool {
	switch {
	case errors.Is(err, kv.ErrCompacted):
		f.Logger.Info("history of the store is compacted; listing again", "prefix", f.Prefix, "revision", int64(after))
		return true
	case err != nil && ctx.Err() != nil:
		return true
	case err != nil && f.relistDue():
		f.Logger.Warn("watch failed; listing again", "prefix", f.Prefix, "revision", int64(after), "error", err)
		return true
	case err != nil:
		f.Logger.Warn("watch failed; watching again", "prefix", f.Prefix, "revision", int64(after), "error", err)
		return false
	}
	return len(events.Events) == 0 && f.relistDue()
}

func (f *Follower) watchOnce(ctx context.Context, after kv.Revision) (kv.Events, error) {
	wait := f.Wait
	if wait == 0 {
		wait = defaultWait
	}
	ctx, cancel := context.WithTimeout(ctx, wait+watchSlack)
	defer cancel()
	return f.Store.Watch(ctx, f.Prefix, after, wait)
}
