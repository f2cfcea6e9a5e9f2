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

// Default weights of a pool that sets neither.
const (
	defaultMoveWeight   = 1
	defaultBufferWeight = 1
)

// decidePools plans which instance of the zone serves which pool.
func (r *reconciliation) decidePools() {
	counts := r.allZoneCounts()
	zones := make([]fleet.AvailabilityZone, 0, len(counts))
	for _, c := range counts {
		zones = append(zones, c.zone)
	}
	r.sizing.sample(r.pools, zones, r.now)
	pools := make([]capacity.Pool, len(r.pools))
	for i, pool := range r.pools {
		pools[i] = r.capacityPool(pool, poolSupply(counts, pool.Name))
	}
	plan := capacity.MakePlan(pools, r.assignableInstances())
	r.setIntents(plan)
	r.explainPools(plan)
}

// capacityPool returns the planner's input for the zone's share of a pool.
func (r *reconciliation) capacityPool(pool poolSpec, supply []zoneSupply) capacity.Pool {
	need, known := r.sizing.requiredInstances(pool, supply, r.countAssigned(pool.Name), r.now)
	out := capacity.Pool{
		Name: pool.Name, Open: !known, Need: need,
		MoveWeight: pool.MoveWeight, BufferWeight: pool.BufferWeight,
		IdleDays: r.sizing.idleDays(pool.Name, r.now),
	}
	if out.MoveWeight == 0 && out.BufferWeight == 0 {
		out.MoveWeight, out.BufferWeight = defaultMoveWeight, defaultBufferWeight
	}
	if pool.Max > 0 {
		out.Max = r.apportionMax(pool.Max, supply)
		out.Closed = out.Max == 0
	}
	return out
}

// countAssigned counts the zone's instances that are in a pool or moving to it.
func (r *reconciliation) countAssigned(pool string) int {
	n := 0
	for _, m := range r.members {
		if r.isAssignable(m) && assignedPool(m) == pool {
			n++
		}
	}
	return n
}

// apportionMax returns the zone's share of a bound on the whole pool.
func (r *reconciliation) apportionMax(total int, supply []zoneSupply) int {
	weights := make([]int, len(supply))
	ownIndex := -1
	for i, zone := range supply {
		weights[i] = zone.eligible
		if zone.zone == r.Zone {
			ownIndex = i
		}
	}
	if ownIndex < 0 {
		return 0
	}
	return capacity.Apportion(total, weights)[ownIndex]
}

// assignableInstances returns the zone's instances that the plan may assign.
func (r *reconciliation) assignableInstances() []capacity.Instance {
	var instances []capacity.Instance
	for _, m := range r.members {
		if r.isAssignable(m) {
			instances = append(instances, capacity.Instance{
				ID: m.record.ID, Pool: assignedPool(m), Eligible: m.eligible, Protected: r.nearDeadline(m),
				NeedsPool: needsPool(m),
			})
		}
	}
	return instances
}

// isAssignable reports whether the plan may assign an instance. The plan leaves any other
// instance where it is.
func (r *reconciliation) isAssignable(m *member) bool {
	_, listed := r.listed[m.record.ID]
	switch {
	case !listed, m.seen.Leaving, m.record.DrainRequested != nil, r.invalidPools[m.record.Pool]:
		return false
	case m.record.State == fleet.StateFailed:
		return m.seen.InState < r.ReplaceAfter || m.seen.Healthy
	case m.record.State == fleet.StateReleased:
		return m.seen.Healthy
	default:
		return true
	}
}

// needsPool reports whether the plan must find a pool for an instance: the pool that it is
// in or moving to does not match it, or it is released and the plan has not yet considered
// it.
func needsPool(m *member) bool {
	pool := assignedPool(m)
	if pool != "" {
		return !slices.Contains(m.eligible, pool)
	}
	reason := explain.Reason(m.record.Reason)
	considered := reason == explain.ReasonSurplus || reason == explain.ReasonPoolFull
	return m.record.State == fleet.StateReleased && !considered
}

// assignedPool returns the pool that an instance is in or moving to.
func assignedPool(m *member) string {
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

// deadlineProtection is the time before a batch's deadline during which a move of its
// instance is risky and costs the plan more.
const deadlineProtection = 24 * time.Hour

func (r *reconciliation) nearDeadline(m *member) bool {
	if r.Work == nil {
		return false
	}
	deadline := r.Work.Deadline(m.record.ID)
	return !deadline.IsZero() && deadline.After(r.now) && deadline.Sub(r.now) < deadlineProtection
}

// setIntents sets the members' intents from the plan.
func (r *reconciliation) setIntents(plan capacity.Plan) {
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

// explainPools records the plan's result for each pool.
func (r *reconciliation) explainPools(plan capacity.Plan) {
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
