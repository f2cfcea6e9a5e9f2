// Package budget decides whether an instance may be taken out of service voluntarily.
// The budget of a pool, and its budget for each availability zone, bounds how many
// instances are out of service at once. Failed instances count, though without a request.
package budget

import (
	"time"

	"github.com/tarragonreach/tarragonreach/api/explain"
	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/api/object"
)

// Limit returns how many of expected instances may be out of service at once. A
// budget that sets nothing allows all of them. Percentages are rounded to the safe
// side: up for MinHealthy, down for MaxUnavailable.
func Limit(budget object.Budget, expected int) int {
	limit := expected
	if budget.MaxUnavailable != nil {
		limit = min(limit, budget.MaxUnavailable.Of(expected, false))
	}
	if budget.MinHealthy != nil {
		limit = min(limit, expected-budget.MinHealthy.Of(expected, true))
	}
	return max(limit, 0)
}

// Status is the state of a budget in a pool or in one zone of it.
type Status struct {
	Zone        fleet.AvailabilityZone `json:"zone,omitempty"` // empty for the whole pool
	Expected    int                    `json:"expected"`       // instances that should exist
	Unavailable int                    `json:"out"`            // out of service, granted to leave it, or missing
	Limit       int                    `json:"limit"`          // how many may be unavailable
}

// Remaining returns how many more instances may be taken out of service.
func (s Status) Remaining() int { return max(s.Limit-s.Unavailable, 0) }

// defaultPercent is the percentage of a pool that may be out of service, but at least
// one instance, if its budget sets nothing.
const defaultPercent = 10

// poolLimit returns the limit of a whole pool.
func poolLimit(budget object.Budget, expected int) int {
	if budget == (object.Budget{}) && expected > 0 {
		return max(expected*defaultPercent/object.MaxPercent, 1)
	}
	return Limit(budget, expected)
}

// PoolStatus returns the state of the pool's budget. Instances that the pool lacks to
// reach its minimum count as unavailable.
func PoolStatus(pool object.Pool, ledger fleet.Ledger) Status {
	members := ledger.MemberCount("")
	expected := max(members, pool.Min)
	unavailable := ledger.OutageCount("") + expected - members
	return Status{Expected: expected, Unavailable: unavailable, Limit: poolLimit(pool.Budget, expected)}
}

// ZoneStatus returns the state of the pool's budget for one availability zone.
func ZoneStatus(pool object.Pool, ledger fleet.Ledger, zone fleet.AvailabilityZone) Status {
	expected := ledger.MemberCount(zone)
	return Status{
		Zone:        zone,
		Expected:    expected,
		Unavailable: ledger.OutageCount(zone),
		Limit:       Limit(pool.ZoneBudget, expected),
	}
}

// Request asks to take one instance out of service.
type Request struct {
	ID    fleet.InstanceID
	Zone  fleet.AvailabilityZone
	Epoch int64 // of the requesting duty
	// RecordEpoch is the epoch of the record that is to be changed.
	RecordEpoch int64
	// Expires is when the grant may be revoked if it was not used.
	Expires time.Time
}

// Decision is the result of a Request.
type Decision struct {
	Granted bool
	Reason  explain.Reason
	// Pool and Zone are the states before the decision.
	Pool Status
	Zone Status
	// Ledger contains the grant; it is the given ledger if nothing was granted.
	Ledger fleet.Ledger
}

// Grant decides on a request against the ledger. The grant exists only once the caller
// has replaced the ledger it read by the returned one (compare-and-swap). A request for
// an instance that has an entry is always granted, since the instance already counts as
// out of service.
func Grant(pool object.Pool, ledger fleet.Ledger, request Request) Decision {
	d := Decision{
		Pool:   PoolStatus(pool, ledger),
		Zone:   ZoneStatus(pool, ledger, request.Zone),
		Ledger: ledger,
	}
	if _, counted := ledger.Outage(request.ID); !counted {
		if reason := d.refusal(); reason != "" {
			d.Reason = reason
			return d
		}
	}
	d.Granted = true
	d.Reason = explain.ReasonGranted
	d.Ledger = ledger.With(fleet.Outage{
		ID: request.ID, Zone: request.Zone, Voluntary: true,
		Epoch: request.Epoch, RecordEpoch: request.RecordEpoch, Expires: request.Expires,
	})
	return d
}

func (d Decision) refusal() explain.Reason {
	switch {
	case d.Pool.Limit == 0 || d.Zone.Limit == 0:
		return explain.ReasonNoDisruptionAllowed
	case d.Pool.Remaining() == 0:
		return explain.ReasonBudgetSpent
	case d.Zone.Remaining() == 0:
		return explain.ReasonZoneBudgetSpent
	default:
		return ""
	}
}
