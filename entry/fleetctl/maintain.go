package fleetctl

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/tarragonreach/tarragonreach/api/explain"
	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/api/object"
	"github.com/tarragonreach/tarragonreach/policy/budget"
	"github.com/tarragonreach/tarragonreach/policy/maintenance"
)

// decideMaintenance marks due instances for maintenance, except those that the pool
// plan moves.
func (r *reconciliation) decideMaintenance(ctx context.Context) {
	var statuses []maintenance.Status
	remaining := r.remainingBudgets(ctx)
	for _, plan := range r.maintenancePlans() {
		decision := maintenance.Decide(maintenance.Input{
			Now: r.now, Plan: plan, Zone: r.Zone, Instances: r.coveredInstances(plan),
			BudgetLeft: remaining, Failures: r.Failures,
		})
		statuses = append(statuses, decision.Status)
		r.explainPlan(decision.Status)
		r.startMaintenance(plan, decision.Choices)
	}
	r.status.set(statuses)
}

func (r *reconciliation) maintenancePlans() []object.MaintenancePlan {
	var plans []object.MaintenancePlan
	for _, plan := range r.config.MaintenancePlans {
		plans = append(plans, plan.Spec)
	}
	slices.SortFunc(plans, func(a, b object.MaintenancePlan) int { return cmp.Compare(a.Name, b.Name) })
	return plans
}

// remainingBudgets returns how many more instances of each pool may become unavailable,
// by pool. The cached ledgers may be outdated; the grant itself is decided on the
// ledger read from the store.
func (r *reconciliation) remainingBudgets(ctx context.Context) map[string]int {
	remaining := make(map[string]int)
	for _, pool := range r.pools {
		entry, err := r.ledgers.cached(ctx, pool.Name)
		if err != nil {
			remaining[pool.Name] = 0
			continue
		}
		poolStatus := budget.PoolStatus(pool.Pool, entry.ledger)
		zoneStatus := budget.ZoneStatus(pool.Pool, entry.ledger, r.Zone)
		remaining[pool.Name] = min(poolStatus.Remaining(), zoneStatus.Remaining())
	}
	return remaining
}

// coveredInstances returns the instances of all zones that a plan covers.
func (r *reconciliation) coveredInstances(plan object.MaintenancePlan) []maintenance.Instance {
	var out []maintenance.Instance
	for _, remote := range r.otherZones.records {
		if covers(plan, remote.Record) {
			out = append(out, maintenanceInstance(remote.Record, remote.zone))
		}
	}
	for _, m := range r.members {
		if covers(plan, m.record) {
			instance := maintenanceInstance(m.record, r.Zone)
			instance.Deadline = r.deadline(m)
			out = append(out, instance)
		}
	}
	return out
}

func covers(plan object.MaintenancePlan, record fleet.Record) bool {
	return record.Pool != "" && (len(plan.Pools) == 0 || slices.Contains(plan.Pools, record.Pool))
}

func maintenanceInstance(record fleet.Record, zone fleet.AvailabilityZone) maintenance.Instance {
	return maintenance.Instance{
		ID: record.ID, Zone: zone, Rack: record.Rack, Pool: record.Pool,
		State: record.State, Since: record.Since,
		InMaintenance:  inMaintenance(record),
		Overdue:        record.Reason == string(explain.ReasonMaintenanceOverdue),
		LastMaintained: record.LastMaintained,
	}
}

// setMaintenanceDurations sets the expected duration in the intents of instances that
// are in maintenance or drain for it.
func (r *reconciliation) setMaintenanceDurations() {
	for _, plan := range r.maintenancePlans() {
		for _, m := range r.members {
			if inMaintenance(m.record) && covers(plan, m.record) {
				m.intent.Duration = time.Duration(plan.Duration)
			}
		}
	}
}

func inMaintenance(record fleet.Record) bool {
	draining := record.State == fleet.StateDraining && record.Reason == string(explain.ReasonMaintenanceDue)
	return draining || record.State == fleet.StateMaintenance
}

func (r *reconciliation) deadline(m *member) time.Time {
	if r.Work == nil {
		return time.Time{}
	}
	return r.Work.Deadline(m.record.ID)
}

// startMaintenance marks the chosen instances and records why the other due instances
// wait.
func (r *reconciliation) startMaintenance(plan object.MaintenancePlan, choices []maintenance.Choice) {
	for _, choice := range choices {
		m := r.member(choice.ID)
		if m == nil || m.intent.Pool != m.record.Pool {
			continue
		}
		if choice.Start {
			m.intent.Maintain = true
			m.intent.Duration = time.Duration(plan.Duration)
			continue
		}
		r.record(explain.Record{
			Subject: explain.Instance(choice.ID), Action: explain.ActionMaintain, Outcome: explain.Waiting,
			Reason: choice.Reason, Detail: "due for maintenance under plan " + plan.Name,
		})
	}
}

func (r *reconciliation) member(id fleet.InstanceID) *member {
	index, found := slices.BinarySearchFunc(r.members, id, func(m *member, id fleet.InstanceID) int {
		return cmp.Compare(m.record.ID, id)
	})
	if !found {
		return nil
	}
	return r.members[index]
}

func (r *reconciliation) explainPlan(status maintenance.Status) {
	record := explain.Record{
		Subject: explain.Subject{Kind: explain.SubjectPlan, Name: status.Plan},
		Action:  explain.ActionMaintain, Outcome: explain.Applied, Reason: explain.ReasonMaintenanceRunning,
		Detail: fmt.Sprintf("wave in zone %s, at most %d unavailable at once", status.ActiveZone, status.Parallel),
	}
	switch {
	case status.Paused != "":
		record.Outcome, record.Reason, record.Detail = explain.Waiting, status.Paused, "no wave starts"
	case status.Due == 0 && status.InProgress == 0:
		record.Reason, record.Detail = explain.ReasonNotDue, "nothing is due"
	}
	r.record(record)
}
