// Package storecache caches all entries under one prefix of the platform's store and follows
// their changes.
package storecache

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/tarragonreach/tarragonreach/platform"
	"github.com/tarragonreach/tarragonreach/platform/backoff"
)

const (
	// pageLimit is the maximum number of entries in a page of a listing.
	pageLimit = 64
	// watchWait bounds one watch. A watch without events is followed by a new listing, since
	// it may have missed changes.
	watchWait = 30 * time.Second
)

// Cache holds the entries under one prefix. It is safe for concurrent use.
type Cache struct {
	store  platform.Store
	prefix string

	mu      sync.Mutex
	entries map[string]platform.Entry
	loaded  bool
}

// New returns an empty cache of the entries under prefix.
func New(store platform.Store, prefix string) *Cache {
	return &Cache{store: store, prefix: prefix, entries: map[string]platform.Entry{}}
}

// Run lists all entries and follows their changes until ctx ends.
func (c *Cache) Run(ctx context.Context) error {
	random := backoff.NewRandom()
	failures := 0
	for ctx.Err() == nil {
		err := c.follow(ctx)
		if err == nil {
			failures = 0
			continue
		}
		failures++
		_ = backoff.Sleep(ctx, backoff.Default.Delay(failures, random))
	}
	return nil
}

// follow lists all entries and applies events until some may be missing.
func (c *Cache) follow(ctx context.Context) error {
	at, err := c.Load(ctx)
	if err != nil {
		return err
	}
	for {
		events, err := c.watch(ctx, at)
		switch {
		case errors.Is(err, platform.ErrCompacted), errors.Is(err, context.DeadlineExceeded) && ctx.Err() == nil:
			return nil
		case err != nil:
			return err
		case len(events.Events) == 0:
			return nil
		}
		c.apply(events.Events)
		at = events.Revision
	}
}

func (c *Cache) watch(ctx context.Context, at platform.Revision) (platform.Events, error) {
	ctx, cancel := context.WithTimeout(ctx, watchWait)
	defer cancel()
	return c.store.Watch(ctx, c.prefix, at)
}

// Load lists all entries once and returns the revision of the first page, from which a watch
// misses nothing.
func (c *Cache) Load(ctx context.Context) (platform.Revision, error) {
	listed := map[string]platform.Entry{}
	var asOf platform.Revision
	after := ""
	for {
		page, err := c.store.List(ctx, c.prefix, after, pageLimit)
		if err != nil {
			return 0, err
		}
		if asOf == 0 {
			asOf = page.Revision
		}
		for _, e := range page.Entries {
			listed[e.Key] = e
		}
		if page.Next == "" {
			break
		}
		after = page.Next
	}
	c.replace(listed, asOf)
	return asOf, nil
}

// replace replaces the entries by a listing that began at revision asOf, but keeps entries
// that were put after that revision and are newer than the listed ones.
func (c *Cache) replace(listed map[string]platform.Entry, asOf platform.Revision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, current := range c.entries {
		if current.Revision > asOf && current.Revision > listed[key].Revision {
			listed[key] = current
		}
	}
	c.entries = listed
	c.loaded = true
}

func (c *Cache) apply(events []platform.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, event := range events {
		current, known := c.entries[event.Entry.Key]
		switch {
		case known && current.Revision > event.Entry.Revision:
		case event.Deleted:
			delete(c.entries, event.Entry.Key)
		default:
			c.entries[event.Entry.Key] = event.Entry
		}
	}
}

// Put stores an entry that was just read or written, unless a newer one is cached.
func (c *Cache) Put(entry platform.Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.entries[entry.Key].Revision < entry.Revision {
		c.entries[entry.Key] = entry
	}
}

// Remove removes a key that was just deleted in the store.
func (c *Cache) Remove(key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.entries, key)
}

// Loaded reports whether all entries have been listed at least once.
func (c *Cache) Loaded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.loaded
}

// Entries returns the entries in key order. The values must not be changed.
func (c *Cache) Entries() []platform.Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]platform.Entry, 0, len(c.entries))
	for _, key := range slices.Sorted(maps.Keys(c.entries)) {
		out = append(out, c.entries[key])
	}
	return out
}
