// Package budget decides whether an instance may be taken out of service by
// choice. A pool's budget, and its part in each availability zone, bounds how many
// instances are out at once. Failures count, but nobody asks for them.
package budget

import (
	"time"

	"github.com/tarragonreach/tarragonreach/api/explain"
	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/api/object"
)

// Limit returns how many of expected instances may be out of service at once. A
// budget that sets nothing allows all of them. Percentages are rounded to the safe
// side: up for the healthy, down for the unavailable.
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

// Status says how a budget stands in a pool or in one zone of it.
type Status struct {
	Zone        fleet.AvailabilityZone `json:"zone,omitempty"` // empty for the whole pool
	Expected    int                    `json:"expected"`       // instances that should be there
	Unavailable int                    `json:"out"`            // out of service, granted or missing
	Limit       int                    `json:"limit"`          // how many may be out
}

// Remaining returns how many more instances may be taken out of service.
func (s Status) Remaining() int { return max(s.Limit-s.Unavailable, 0) }

// defaultPercent of a pool, but at least one instance, may be out where its budget
// sets nothing.
const defaultPercent = 10

// limitOf is the limit of a whole pool.
func poolLimit(budget object.Budget, expected int) int {
	if budget == (object.Budget{}) && expected > 0 {
		return max(expected*defaultPercent/object.MaxPercent, 1)
	}
	return Limit(budget, expected)
}

// PoolStatus returns how the pool's budget stands. Instances that the pool lacks to its
// minimum count as out.
func PoolStatus(pool object.Pool, ledger fleet.Ledger) Status {
	members := ledger.Members("")
	expected := max(members, pool.Min)
	out := ledger.Out("") + expected - members
	return Status{Expected: expected, Unavailable: out, Limit: poolLimit(pool.Budget, expected)}
}

// ZoneStatus returns how the budget of one availability zone stands.
func ZoneStatus(pool object.Pool, ledger fleet.Ledger, zone fleet.AvailabilityZone) Status {
	expected := ledger.Members(zone)
	return Status{
		Zone:        zone,
		Expected:    expected,
		Unavailable: ledger.Out(zone),
		Limit:       Limit(pool.ZoneBudget, expected),
	}
}

// Request asks to take one instance out of service.
type Request struct {
	ID    fleet.InstanceID
	Zone  fleet.AvailabilityZone
	Epoch int64 // of the duty that asks
	// RecordEpoch is the epoch of the record that is to be changed.
	RecordEpoch int64
	// Expires is when the grant may be taken back if it was not used.
	Expires time.Time
}

// Decision is the answer to a Request.
type Decision struct {
	Granted bool
	Reason  explain.Reason
	// Pool and Zone stand as they were before the decision.
	Pool Status
	Zone Status
	// Ledger holds the grant; it is the one given where nothing was granted.
	Ledger fleet.Ledger
}

// Grant decides on a request against the ledger. The caller swaps the returned
// ledger for the one it read; only then the grant exists. A request for an instance
// that has an entry is granted at no cost, since the instance counts as out already.
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
		return explain.ReasonBudgetNeverMet
	case d.Pool.Remaining() == 0:
		return explain.ReasonBudgetSpent
	case d.Zone.Remaining() == 0:
		return explain.ReasonZoneBudgetSpent
	default:
		return ""
	}
}
