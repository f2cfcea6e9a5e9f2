package fleetctl

import (
	"fmt"
	"slices"
	"time"

	"github.com/tarragonreach/tarragonreach/api/explain"
	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/policy/capacity"
	"github.com/tarragonreach/tarragonreach/policy/lifecycle"
)

// Weights of a pool that sets none.
const (
	defaultMoveWeight   = 1
	defaultBufferWeight = 1
)

// decidePools plans which instance of the zone serves which pool.
func (r *round) decidePools() {
	supplies := r.supplies()
	zones := make([]fleet.AvailabilityZone, 0, len(supplies))
	for _, supply := range supplies {
		zones = append(zones, supply.zone)
	}
	r.sizing.sample(r.pools, zones, r.now)
	pools := make([]capacity.Pool, len(r.pools))
	for i, pool := range r.pools {
		pools[i] = r.capacityPool(pool, poolSupply(supplies, pool.Name))
	}
	plan := capacity.MakePlan(pools, r.planned())
	r.adopt(plan)
	r.explainPools(plan)
}

// capacityPool states what the zone's part of a pool needs and costs.
func (r *round) capacityPool(pool poolSpec, supply []zoneSupply) capacity.Pool {
	need, known := r.sizing.need(pool, supply, r.held(pool.Name), r.now)
	out := capacity.Pool{
		Name: pool.Name, Open: !known, Need: need,
		MoveWeight: pool.MoveWeight, BufferWeight: pool.BufferWeight,
		IdleDays: r.sizing.idleDays(pool.Name, r.now),
	}
	if out.MoveWeight == 0 && out.BufferWeight == 0 {
		out.MoveWeight, out.BufferWeight = defaultMoveWeight, defaultBufferWeight
	}
	if pool.Max > 0 {
		out.Max = r.ownShare(pool.Max, supply)
		out.Closed = out.Max == 0
	}
	return out
}

// held counts the zone's instances that are in a pool or on their way to it.
func (r *round) held(pool string) int {
	n := 0
	for _, m := range r.members {
		if r.placeable(m) && heading(m) == pool {
			n++
		}
	}
	return n
}

// ownShare is the zone's part of a bound on the whole pool.
func (r *round) ownShare(total int, supply []zoneSupply) int {
	weights := make([]int, len(supply))
	own := -1
	for i, zone := range supply {
		weights[i] = zone.eligible
		if zone.zone == r.Zone {
			own = i
		}
	}
	if own < 0 {
		return 0
	}
	return capacity.Apportion(total, weights)[own]
}

// planned returns the zone's instances that the plan may place.
func (r *round) planned() []capacity.Instance {
	var instances []capacity.Instance
	for _, m := range r.members {
		if r.placeable(m) {
			instances = append(instances, capacity.Instance{
				ID: m.record.ID, Pool: heading(m), Eligible: m.eligible, Protected: r.protected(m),
				NeedsPool: newcomer(m),
			})
		}
	}
	return instances
}

// placeable says whether the plan counts on an instance. One that it does not count
// on keeps its place.
func (r *round) placeable(m *member) bool {
	_, listed := r.listed[m.record.ID]
	switch {
	case !listed, m.seen.Leaving, m.record.DrainRequested != nil, r.broken[m.record.Pool]:
		return false
	case m.record.State == fleet.StateFailed:
		return m.seen.InState < r.ReplaceAfter || m.seen.Healthy
	case m.record.State == fleet.StateReleased:
		return m.seen.Healthy
	default:
		return true
	}
}

// newcomer says whether an instance has not been weighed by the plan where it is.
func newcomer(m *member) bool {
	home := heading(m)
	if home != "" {
		return !slices.Contains(m.eligible, home)
	}
	reason := explain.Reason(m.record.Reason)
	weighed := reason == explain.ReasonSurplus || reason == explain.ReasonPoolFull
	return m.record.State == fleet.StateReleased && !weighed
}

// heading returns the pool where an instance is or is on its way to.
func heading(m *member) string {
	switch m.record.State {
	case fleet.StateReleased:
		return m.record.Target
	case fleet.StateDraining:
		if m.record.Reason == string(explain.ReasonLeaving) || m.record.Reason == string(explain.ReasonOperatorDrain) {
			return m.record.Pool
		}
		return m.record.Target
	default:
		return m.record.Pool
	}
}

// protectedWithin is how near a batch's deadline makes a move risky.
const protectedWithin = 24 * time.Hour

func (r *round) protected(m *member) bool {
	if r.Work == nil {
		return false
	}
	deadline := r.Work.Deadline(m.record.ID)
	return !deadline.IsZero() && deadline.After(r.now) && deadline.Sub(r.now) < protectedWithin
}

// adopt turns the plan into intents.
func (r *round) adopt(plan capacity.Plan) {
	byID := make(map[fleet.InstanceID]capacity.Assignment, len(plan.Assignments))
	for _, assignment := range plan.Assignments {
		byID[assignment.ID] = assignment
	}
	for _, m := range r.members {
		if assignment, planned := byID[m.record.ID]; planned {
			m.intent = lifecycle.Intent{Pool: assignment.To, Reason: assignment.Reason}
			m.refused = assignment.Refused
		}
	}
}

// explainPools records how each pool comes out of the plan.
func (r *round) explainPools(plan capacity.Plan) {
	for _, pool := range plan.Pools {
		outcome := explain.Applied
		if pool.Short() > 0 {
			outcome = explain.Refused
		}
		r.record(explain.Record{
			Subject: explain.Pool(pool.Pool), Action: explain.ActionSize, Outcome: outcome, Reason: pool.Reason,
			Detail: fmt.Sprintf("%d instances in %s, %d needed, %d match the selector",
				pool.Size, r.Zone, pool.Need, pool.Matching),
		})
	}
}
