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

// operationAttempts bounds the races of one operator's change.
const operationAttempts = 8

// Operations are an operator's changes of single instances. Any entry instance can
// make them; the holder of the zone's duty acts on them.
type Operations struct {
	Store platform.Store
	View  *fleetview.View
	Now   func() time.Time
}

// Drain asks to take an instance out of its pool. The availability budget decides
// when it starts.
func (o Operations) Drain(ctx context.Context, id fleet.InstanceID, reason string) error {
	request := &fleet.DrainRequest{Reason: reason, At: o.Now()}
	return o.change(ctx, id, func(r *fleet.Record) {
		if r.DrainRequested == nil {
			r.DrainRequested = request
		}
	})
}

// Undrain withdraws a drain; the instance serves again where it is wanted.
func (o Operations) Undrain(ctx context.Context, id fleet.InstanceID) error {
	return o.change(ctx, id, func(r *fleet.Record) { r.DrainRequested = nil })
}

// Relabel sets labels of an instance over the platform's, and removes operators'
// labels by key. Which pool it then serves is for the controllers to decide.
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
			r.Reason = string(explain.ReasonRelabelled) // weighed anew, like a newcomer
		}
	})
}

// change alters one record by compare-and-swap. The alteration is idempotent: after
// a lost answer the page is read back, and nothing is written if it stands there.
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
	if raced(err) {
		return fmt.Errorf("instance %s: %w", id, ErrTooManyConflicts)
	}
	return fmt.Errorf("instance %s: %w", id, err)
}

// find returns the page that holds an instance as the store has it now.
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
