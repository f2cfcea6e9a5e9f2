package fleetctl

import (
	"context"
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
	members := make(map[string][]budget.Member)
	for _, pool := range r.pools {
		members[pool.Name] = nil
	}
	for _, located := range snapshot.Records(r.Zone) {
		if located.Pool != "" {
			member := budget.Member{ID: located.ID, State: located.State, Epoch: located.Epoch}
			members[located.Pool] = append(members[located.Pool], member)
		}
	}
	for _, pool := range slices.Sorted(maps.Keys(members)) {
		if err := r.levelLedger(ctx, snapshot, pool, members[pool]); err != nil && !raced(err) {
			return err
		}
	}
	return nil
}

func (r *round) levelLedger(ctx context.Context, snapshot *fleetview.Snapshot, pool string, members []budget.Member) error {
	entry, err := r.ledgers.cached(ctx, pool)
	if err != nil {
		return err
	}
	level := budget.Reconcile(entry.ledger, r.Zone, members, r.epoch, r.now)
	if len(level.Stale) > 0 {
		if err := r.fence(ctx, snapshot, level.Stale); err != nil {
			return err
		}
	}
	if !level.Changed || !r.term.Active() {
		return nil
	}
	return r.ledgers.swap(ctx, pool, entry, level.Ledger)
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
