package fleetview

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/platform"
	"github.com/tarragonreach/tarragonreach/platform/backoff"
)

const (
	listLimit = 64 // pages read per call
	// relistInterval bounds how long changes are missed if a watch stops delivering them
	// without an error.
	relistInterval = 30 * time.Minute
	minRetryPause  = 200 * time.Millisecond
	maxRetryPause  = 10 * time.Second
	// idleWatchPause bounds the rate of calls to a store whose watches return at once.
	idleWatchPause = 20 * time.Millisecond
)

// Follow reads all pages and then watches them until ctx ends. It retries failures
// after a growing, jittered pause; meanwhile the view keeps its pages.
func (v *View) Follow(ctx context.Context, store platform.Store) error {
	pause := minRetryPause
	for ctx.Err() == nil {
		after, err := v.Load(ctx, store)
		if err == nil {
			pause = minRetryPause
			err = v.watch(ctx, store, after)
		}
		if err == nil || errors.Is(err, platform.ErrCompacted) {
			continue
		}
		if ctx.Err() == nil && pause == minRetryPause {
			v.logger.Warn("reading or watching the fleet record failed; retrying", "error", err)
		}
		_ = backoff.Sleep(ctx, pause/2+rand.N(pause))
		pause = min(2*pause, maxRetryPause)
	}
	return ctx.Err()
}

// Load reads all pages once and returns the store revision after which a watch misses
// no change.
func (v *View) Load(ctx context.Context, store platform.Store) (platform.Revision, error) {
	var first platform.Revision
	var pages []PageEntry
	for after := ""; ; {
		listed, err := store.List(ctx, fleet.PagePrefix, after, listLimit)
		if err != nil {
			return 0, err
		}
		if after == "" {
			first = listed.Revision
		}
		pages = append(pages, v.parseAll(listed.Entries)...)
		if listed.Next == "" {
			break
		}
		after = listed.Next
	}
	v.update(func(d *draft) { d.mergeListing(pages, first) })
	return first, nil
}

// mergeListing merges a full listing whose first part was read at revision first. Zone
// versions rise to at most first: later parts may hold newer pages while an earlier
// part has missed changes made since.
func (d *draft) mergeListing(pages []PageEntry, first platform.Revision) {
	for _, page := range pages {
		d.put(page)
		d.advance(page.Zone, min(page.Revision, first))
	}
}

// parseAll decodes pages; it logs and leaves out those that can't be decoded.
func (v *View) parseAll(entries []platform.Entry) []PageEntry {
	var pages []PageEntry
	for _, entry := range entries {
		page, err := parsePage(entry)
		if err != nil {
			v.logger.Error("unreadable page of the fleet record", "error", err)
			continue
		}
		pages = append(pages, page)
	}
	return pages
}

// watch applies events until an error, or until relistInterval has passed.
func (v *View) watch(ctx context.Context, store platform.Store, after platform.Revision) error {
	relist := time.Now().Add(relistInterval)
	for time.Now().Before(relist) {
		events, err := store.Watch(ctx, fleet.PagePrefix, after)
		if err != nil {
			return err
		}
		v.apply(events)
		after = max(after, events.Revision)
		if len(events.Events) == 0 {
			_ = backoff.Sleep(ctx, idleWatchPause)
		}
	}
	return nil
}

func (v *View) apply(events platform.Events) {
	var entries []platform.Entry
	for _, event := range events.Events {
		if !event.Deleted {
			entries = append(entries, event.Entry)
		}
	}
	pages := v.parseAll(entries)
	if len(pages) == 0 {
		return
	}
	v.update(func(d *draft) {
		for _, page := range pages {
			d.put(page)
			d.advance(page.Zone, page.Revision)
		}
	})
}
