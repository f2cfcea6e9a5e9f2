package fleetctl

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"

	"github.com/tarragonreach/tarragonreach/api/explain"
	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/policy/budget"
)

// grantAttempts bounds the attempts to write one ledger in one reconciliation.
const grantAttempts = 3

// grantAll requests grants from the pools' budgets for the voluntary steps and returns
// the granted steps.
func (r *reconciliation) grantAll(ctx context.Context, voluntary map[string][]change) ([]change, error) {
	if r.listSuspect || !r.term.Active() {
		return nil, nil
	}
	var granted []change
	for _, pool := range slices.Sorted(maps.Keys(voluntary)) {
		changes := voluntary[pool]
		slices.SortStableFunc(changes, func(a, b change) int { return cmp.Compare(urgency(a), urgency(b)) })
		got, err := r.grant(ctx, pool, changes)
		if err != nil && !isConflict(err) {
			return granted, err
		}
		granted = append(granted, got...)
	}
	return granted, nil
}

// urgency ranks the steps that compete for one budget; lower values go first.
func urgency(c change) int {
	switch c.step.Reason {
	case explain.ReasonOperatorDrain:
		return 0
	case explain.ReasonMaintenanceDue:
		return 2
	default:
		return 1
	}
}

// grant reads the ledger of one pool, writes the grants into it and returns the granted
// steps.
func (r *reconciliation) grant(ctx context.Context, pool string, changes []change) ([]change, error) {
	var err error
	for range grantAttempts {
		var entry ledgerEntry
		if entry, err = r.ledgers.read(ctx, pool); err != nil {
			return nil, err
		}
		if entry.ledger.ZoneEpoch(r.Zone) > r.epoch {
			return nil, fmt.Errorf("ledger of pool %s: %w", pool, ErrSuperseded)
		}
		next, granted, refused := r.decideGrants(pool, entry.ledger, changes)
		if next.changed {
			err = r.ledgers.swap(ctx, pool, entry, next.ledger)
		}
		if err == nil {
			r.explainRefusals(refused)
			return granted, nil
		}
		if !isConflict(err) {
			return nil, err
		}
	}
	return nil, err
}

// refusal is a step that the budget did not grant.
type refusal struct {
	change
	decision budget.Decision
}

type draftLedger struct {
	ledger  fleet.Ledger
	changed bool
}

func (r *reconciliation) decideGrants(pool string, ledger fleet.Ledger, changes []change) (draftLedger, []change, []refusal) {
	draft := draftLedger{ledger: ledger}
	var granted []change
	var refused []refusal
	for _, c := range changes {
		if r.hasUnusedGrant(draft.ledger, c) {
			granted = append(granted, c)
			continue
		}
		decision := budget.Grant(r.pool(pool), draft.ledger, budget.Request{
			ID: c.record.ID, Zone: r.Zone, Epoch: r.epoch,
			RecordEpoch: c.record.Epoch, Expires: r.now.Add(r.GrantTTL),
		})
		if !decision.Granted {
			refused = append(refused, refusal{c, decision})
			continue
		}
		draft = draftLedger{decision.Ledger, true}
		granted = append(granted, c)
	}
	return draft, granted, refused
}

// hasUnusedGrant reports whether an earlier reconciliation of this term got the grant
// and did not use it.
func (r *reconciliation) hasUnusedGrant(ledger fleet.Ledger, c change) bool {
	outage, counted := ledger.Outage(c.record.ID)
	return counted && outage.Voluntary && outage.Epoch == r.epoch && outage.RecordEpoch == c.record.Epoch
}

func (r *reconciliation) explainRefusals(refused []refusal) {
	for _, c := range refused {
		r.record(explain.Record{
			Subject: explain.Instance(c.record.ID), Action: c.step.Action, Outcome: explain.Waiting,
			Reason: c.decision.Reason,
			Detail: fmt.Sprintf("requests a drain from pool %q: %s", c.record.Pool, c.step.Reason),
			Inputs: budgetInputs(c.decision),
		})
	}
}

func budgetInputs(d budget.Decision) []explain.Input {
	format := func(s budget.Status) string {
		return fmt.Sprintf("%d of %d unavailable, limit %d", s.Unavailable, s.Expected, s.Limit)
	}
	return []explain.Input{
		{Name: "pool-budget", Value: format(d.Pool)},
		{Name: "zone-budget", Value: format(d.Zone)},
	}
}
