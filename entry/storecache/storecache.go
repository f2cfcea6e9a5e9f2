// Package storecache keeps a copy of all keys under one prefix of the platform's
// store and follows their changes.
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
	// pageLimit is how many entries one listing asks for.
	pageLimit = 64
	// watchWait bounds one watch, after which the copy is read anew where the
	// watch was silent, so that a failed watch is noticed.
	watchWait = 30 * time.Second
)

// Cache is the copy. It is safe for concurrent use.
type Cache struct {
	store  platform.Store
	prefix string

	mu      sync.Mutex
	entries map[string]platform.Entry
	loaded  bool
}

// New returns an empty copy of the keys under prefix.
func New(store platform.Store, prefix string) *Cache {
	return &Cache{store: store, prefix: prefix, entries: map[string]platform.Entry{}}
}

// Run reads all keys and follows their changes until ctx ends.
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

// follow reads all keys and applies events until one may be missing.
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

// Load reads all keys once and returns the revision from which a watch misses nothing.
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

// replace takes a listing, but keeps what was written here after it began.
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

// Put takes an entry that was just read or written, unless a newer one is held.
func (c *Cache) Put(entry platform.Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.entries[entry.Key].Revision < entry.Revision {
		c.entries[entry.Key] = entry
	}
}

// Remove forgets a key that was just deleted.
func (c *Cache) Remove(key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.entries, key)
}

// Loaded reports whether all keys have been read at least once.
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
