package fleetctl

import (
	"context"
	"fmt"
	"maps"
	"slices"

	"github.com/tarragonreach/tarragonreach/api/explain"
	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/entry/fleetview"
	"github.com/tarragonreach/tarragonreach/policy/budget"
	"github.com/tarragonreach/tarragonreach/policy/lifecycle"
)

// levelLedgers brings the zone's part of each ledger level with the fleet record.
// It works on the view, which holds what this round wrote.
func (r *round) levelLedgers(ctx context.Context) error {
	snapshot := r.View.Snapshot()
	var records []budget.Member
	pools := make(map[string]bool)
	for _, pool := range r.pools {
		pools[pool.Name] = true
	}
	for _, located := range snapshot.Records(r.Zone) {
		member := budget.Member{ID: located.ID, Pool: located.Pool, State: located.State, Epoch: located.Epoch}
		records = append(records, member)
		if located.Pool != "" {
			pools[located.Pool] = true
		}
	}
	for _, pool := range slices.Sorted(maps.Keys(pools)) {
		if err := r.levelLedger(ctx, snapshot, pool, records); err != nil && !raced(err) {
			return err
		}
	}
	return nil
}

func (r *round) levelLedger(ctx context.Context, snapshot *fleetview.Snapshot, pool string, records []budget.Member) error {
	entry, err := r.ledgers.cached(ctx, pool)
	if err != nil {
		return err
	}
	holder := budget.Holder{Zone: r.Zone, Epoch: r.epoch, Now: r.now}
	level := budget.Reconcile(pool, entry.ledger, records, holder)
	if level.Superseded {
		return fmt.Errorf("ledger of pool %s: %w", pool, ErrDeposed)
	}
	if err := r.fence(ctx, snapshot, level.Stale); err != nil {
		return err
	}
	if err := r.dropUnknown(ctx, &level); err != nil {
		return err
	}
	if !level.Changed || !r.term.Active() {
		return nil
	}
	return r.ledgers.swap(ctx, pool, entry, level.Ledger)
}

// dropUnknown removes the entries of instances that have no record in the store.
func (r *round) dropUnknown(ctx context.Context, level *budget.Reconciled) error {
	for _, outage := range level.Unknown {
		if err := r.Controller.pages.refresh(ctx, fleet.PageKey(r.Zone, outage.ID)); err != nil {
			return err
		}
		if _, _, found := r.View.Snapshot().Find(outage.ID); !found {
			level.Ledger = level.Ledger.Without(outage.ID)
			level.Changed = true
		}
	}
	return nil
}

// fence raises the epochs of records whose grants are taken back. The next leveling
// then drops the grants.
func (r *round) fence(ctx context.Context, snapshot *fleetview.Snapshot, stale []fleet.Outage) error {
	var changes []change
	for _, grant := range stale {
		m := r.member(grant.ID)
		record, _, found := snapshot.Find(grant.ID)
		if m == nil || !found {
			continue
		}
		next := record
		next.Epoch++
		step := lifecycle.Step{Record: next, Action: explain.ActionFence, Reason: explain.ReasonGrantExpired}
		changes = append(changes, change{m, step})
	}
	return r.write(ctx, snapshot, changes)
}
