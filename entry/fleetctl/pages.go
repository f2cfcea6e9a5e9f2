package fleetctl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/entry/fleetview"
	"github.com/tarragonreach/tarragonreach/platform"
)

// pages writes pages of the fleet record and keeps the view up to date with them.
type pages struct {
	store platform.Store
	view  *fleetview.View
}

// swap replaces the page if the store still holds old. After a conflict or a lost
// response it reads the page back, so that the next decision uses the stored page.
func (p pages) swap(ctx context.Context, old fleetview.PageEntry, next fleet.Page) error {
	value, err := json.Marshal(next)
	if err != nil {
		return fmt.Errorf("encode page %s: %w", old.Key, err)
	}
	revision, err := put(ctx, p.store, old.Key, value, old.Revision)
	if err != nil {
		return errors.Join(fmt.Errorf("write page %s: %w", old.Key, err), p.refresh(ctx, old.Key))
	}
	return p.view.Put(platform.Entry{Key: old.Key, Value: value, Revision: revision})
}

// refresh reads a page from the store into the view.
func (p pages) refresh(ctx context.Context, key string) error {
	entry, err := p.store.Get(ctx, key)
	if errors.Is(err, platform.ErrNotFound) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("read page %s: %w", key, err)
	}
	return p.view.Put(entry)
}
