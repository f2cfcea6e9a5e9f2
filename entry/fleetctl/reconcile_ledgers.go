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

// reconcileLedgers reconciles the zone's part of each ledger with the fleet record. It
// reads the view, which includes the writes of this reconciliation.
func (r *reconciliation) reconcileLedgers(ctx context.Context) error {
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
		if err := r.reconcileLedger(ctx, snapshot, pool, records); err != nil && !isConflict(err) {
			return err
		}
	}
	return nil
}

func (r *reconciliation) reconcileLedger(ctx context.Context, snapshot *fleetview.Snapshot, pool string, records []budget.Member) error {
	entry, err := r.ledgers.cached(ctx, pool)
	if err != nil {
		return err
	}
	holder := budget.Holder{Zone: r.Zone, Epoch: r.epoch, Now: r.now}
	reconciled := budget.Reconcile(pool, entry.ledger, records, holder)
	if reconciled.Superseded {
		return fmt.Errorf("ledger of pool %s: %w", pool, ErrSuperseded)
	}
	if err := r.fence(ctx, snapshot, reconciled.Stale); err != nil {
		return err
	}
	if err := r.dropUnknown(ctx, &reconciled); err != nil {
		return err
	}
	if !reconciled.Changed || !r.term.Active() {
		return nil
	}
	return r.ledgers.swap(ctx, pool, entry, reconciled.Ledger)
}

// dropUnknown removes the entries of instances that have no record in the store.
func (r *reconciliation) dropUnknown(ctx context.Context, reconciled *budget.Reconciled) error {
	for _, outage := range reconciled.Unknown {
		if err := r.Controller.pages.refresh(ctx, fleet.PageKey(r.Zone, outage.ID)); err != nil {
			return err
		}
		if _, _, found := r.View.Snapshot().Find(outage.ID); !found {
			reconciled.Ledger = reconciled.Ledger.Without(outage.ID)
			reconciled.Changed = true
		}
	}
	return nil
}

// fence raises the epochs of records whose grants are being revoked, so that a late
// write can't use them. The next ledger reconciliation then drops the grants.
func (r *reconciliation) fence(ctx context.Context, snapshot *fleetview.Snapshot, stale []fleet.Outage) error {
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
