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

// decideMaintenance asks for the maintenance of due instances that the pool plan
// leaves where they are.
func (r *round) decideMaintenance(ctx context.Context) {
	var shown []maintenance.Status
	left := r.budgetsLeft(ctx)
	for _, plan := range r.maintenancePlans() {
		decision := maintenance.Decide(maintenance.Input{
			Now: r.now, Plan: plan, Zone: r.Zone, Instances: r.covered(plan),
			BudgetLeft: left, Failures: r.Failures,
		})
		shown = append(shown, decision.Status)
		r.explainPlan(decision.Status)
		r.start(plan, decision.Choices)
	}
	r.status.set(shown)
}

func (r *round) maintenancePlans() []object.MaintenancePlan {
	var plans []object.MaintenancePlan
	for _, plan := range r.config.MaintenancePlans {
		plans = append(plans, plan.Spec)
	}
	slices.SortFunc(plans, func(a, b object.MaintenancePlan) int { return cmp.Compare(a.Name, b.Name) })
	return plans
}

// budgetsLeft tells the waves which pools have no room, from ledgers that may be
// old; the grant itself is decided on the ledger as it stands then.
func (r *round) budgetsLeft(ctx context.Context) map[string]int {
	left := make(map[string]int)
	for _, pool := range r.pools {
		entry, err := r.ledgers.cached(ctx, pool.Name)
		if err != nil {
			left[pool.Name] = 0
			continue
		}
		standing := budget.PoolStatus(pool.Pool, entry.ledger)
		zone := budget.ZoneStatus(pool.Pool, entry.ledger, r.Zone)
		left[pool.Name] = min(standing.Remaining(), zone.Remaining())
	}
	return left
}

// covered returns the instances of a plan in all zones.
func (r *round) covered(plan object.MaintenancePlan) []maintenance.Instance {
	var out []maintenance.Instance
	for _, other := range r.survey.records {
		if covers(plan, other.Record) {
			out = append(out, maintained(other.Record, other.zone))
		}
	}
	for _, m := range r.members {
		if covers(plan, m.record) {
			instance := maintained(m.record, r.Zone)
			instance.Deadline = r.deadline(m)
			out = append(out, instance)
		}
	}
	return out
}

func covers(plan object.MaintenancePlan, record fleet.Record) bool {
	return record.Pool != "" && (len(plan.Pools) == 0 || slices.Contains(plan.Pools, record.Pool))
}

func maintained(record fleet.Record, zone fleet.AvailabilityZone) maintenance.Instance {
	return maintenance.Instance{
		ID: record.ID, Zone: zone, Rack: record.Rack, Pool: record.Pool,
		State: record.State, Since: record.Since,
		InMaintenance:  inMaintenance(record),
		Overdue:        record.Reason == string(explain.ReasonMaintenanceOverdue),
		LastMaintained: record.LastMaintained,
	}
}

// noteDurations tells the steps of instances under maintenance how long that takes.
func (r *round) noteDurations() {
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

func (r *round) deadline(m *member) time.Time {
	if r.Work == nil {
		return time.Time{}
	}
	return r.Work.Deadline(m.record.ID)
}

// start marks the chosen instances and records why others wait.
func (r *round) start(plan object.MaintenancePlan, choices []maintenance.Choice) {
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

func (r *round) member(id fleet.InstanceID) *member {
	place, found := slices.BinarySearchFunc(r.members, id, func(m *member, id fleet.InstanceID) int {
		return cmp.Compare(m.record.ID, id)
	})
	if !found {
		return nil
	}
	return r.members[place]
}

func (r *round) explainPlan(status maintenance.Status) {
	record := explain.Record{
		Subject: explain.Subject{Kind: explain.SubjectPlan, Name: status.Plan},
		Action:  explain.ActionMaintain, Outcome: explain.Applied, Reason: explain.ReasonMaintenanceRunning,
		Detail: fmt.Sprintf("turn of %s, at most %d away at once", status.ActiveZone, status.Parallel),
	}
	switch {
	case status.Paused != "":
		record.Outcome, record.Reason, record.Detail = explain.Waiting, status.Paused, "no wave starts"
	case status.Due == 0 && status.InProgress == 0:
		record.Reason, record.Detail = explain.ReasonNotDue, "nothing is due"
	}
	r.record(record)
}
