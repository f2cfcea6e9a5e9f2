package fleetctl

import (
	"context"
	"fmt"
	"maps"
	"reflect"
	"time"

	"github.com/tarragonreach/tarragonreach/api/explain"
	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/api/label"
	"github.com/tarragonreach/tarragonreach/entry/fleetview"
	"github.com/tarragonreach/tarragonreach/platform"
)

// operationAttempts bounds the attempts of one operator's change after write conflicts.
const operationAttempts = 8

// Operations are changes of single instances by an operator. Any entry instance can
// write them; the holder of the zone's duty acts on them.
type Operations struct {
	Store platform.Store
	View  *fleetview.View
	Now   func() time.Time
}

// Drain requests that an instance leave its pool. The drain starts once the
// availability budget grants it.
func (o Operations) Drain(ctx context.Context, id fleet.InstanceID, reason string) error {
	request := &fleet.DrainRequest{Reason: reason, At: o.Now()}
	return o.change(ctx, id, func(r *fleet.Record) {
		if r.DrainRequested == nil {
			r.DrainRequested = request
		}
	})
}

// Undrain revokes a drain request, so that the instance can be assigned to a pool again.
func (o Operations) Undrain(ctx context.Context, id fleet.InstanceID) error {
	return o.change(ctx, id, func(r *fleet.Record) { r.DrainRequested = nil })
}

// Relabel sets operator labels of an instance, which override the platform's labels,
// and removes operator labels by key. The zone's controller then decides which pool
// the instance serves.
func (o Operations) Relabel(ctx context.Context, id fleet.InstanceID, set label.Set, remove ...string) error {
	return o.change(ctx, id, func(r *fleet.Record) {
		labels := maps.Clone(r.Labels)
		if labels == nil {
			labels = make(label.Set)
		}
		maps.Copy(labels, set)
		for _, key := range remove {
			delete(labels, key)
		}
		changed := !maps.Equal(r.Labels, labels)
		r.Labels = labels
		if changed && r.State == fleet.StateReleased && r.DrainRequested == nil {
			r.Reason = string(explain.ReasonRelabelled) // makes the plan find a pool for it
		}
	})
}

// change alters one record by compare-and-swap. The alteration is idempotent: after
// a lost response the page is read back, and nothing is written if it already holds
// the alteration.
func (o Operations) change(ctx context.Context, id fleet.InstanceID, alter func(*fleet.Record)) error {
	pages := pages{o.Store, o.View}
	var err error
	for range operationAttempts {
		var page fleetview.PageEntry
		if page, err = o.find(ctx, pages, id); err != nil {
			return err
		}
		record, _ := page.Page.Find(id)
		next := record
		alter(&next)
		if reflect.DeepEqual(record, next) {
			return nil
		}
		next.Epoch++
		if err = pages.swap(ctx, page, page.Page.With(next)); err == nil {
			return nil
		}
	}
	if isConflict(err) {
		return fmt.Errorf("instance %s: %w", id, ErrTooManyConflicts)
	}
	return fmt.Errorf("instance %s: %w", id, err)
}

// find reads the page that holds an instance from the store and returns it.
func (o Operations) find(ctx context.Context, pages pages, id fleet.InstanceID) (fleetview.PageEntry, error) {
	_, zone, known := o.View.Snapshot().Find(id)
	if !known {
		if _, err := o.View.Load(ctx, o.Store); err != nil {
			return fleetview.PageEntry{}, fmt.Errorf("instance %s: %w", id, err)
		}
		_, zone, known = o.View.Snapshot().Find(id)
	}
	if !known {
		return fleetview.PageEntry{}, fmt.Errorf("instance %s: %w", id, ErrUnknownInstance)
	}
	key := fleet.PageKey(zone, id)
	if err := pages.refresh(ctx, key); err != nil {
		return fleetview.PageEntry{}, err
	}
	page := o.View.Snapshot().Page(key)
	if _, found := page.Page.Find(id); !found {
		return fleetview.PageEntry{}, fmt.Errorf("instance %s: %w", id, ErrUnknownInstance)
	}
	return page, nil
}
