package jobctl

import (
	"slices"
	"time"

	"github.com/tarragonreach/tarragonreach/api/explain"
	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/api/label"
	"github.com/tarragonreach/tarragonreach/policy/attribution"
	"github.com/tarragonreach/tarragonreach/policy/placement"
	"github.com/tarragonreach/tarragonreach/policy/tasks"
)

// snapshot returns the input of a placement decision.
func (r *reconciliation) snapshot() placement.Snapshot {
	s := placement.Snapshot{Now: r.now, Tenants: r.tenants(), Pending: r.pending()}
	running := r.running()
	for _, id := range sortedIDs(r.workers) {
		s.Workers = append(s.Workers, r.worker(r.workers[id], running[id]))
	}
	return s
}

func sortedIDs(workers map[fleet.InstanceID]fleet.Instance) []fleet.InstanceID {
	ids := make([]fleet.InstanceID, 0, len(workers))
	for id := range workers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (r *reconciliation) worker(instance fleet.Instance, running []placement.Task) placement.Worker {
	record, recorded := r.FleetRecord(instance.ID)
	finding := r.evidence.Worker(instance.ID, r.now)
	return placement.Worker{
		ID: instance.ID, Zone: instance.Zone, Rack: instance.Rack, Labels: fleet.ServingLabels(instance, record),
		Capacity: instance.Capacity, Tasks: running,
		Unusable: r.unusableReason(instance, record, recorded, finding), Trust: trust(finding),
	}
}

// unusableReason returns why a worker may not get tasks; empty if it may. It records the
// decision to set a worker aside.
func (r *reconciliation) unusableReason(instance fleet.Instance, record fleet.Record, recorded bool, finding attribution.Finding) string {
	if instance.Leaving {
		return "is leaving according to the platform's list"
	}
	if recorded && record.State != fleet.StateServing {
		return "is " + string(record.State)
	}
	if !finding.Blamed {
		return ""
	}
	r.record(explain.Instance(instance.ID), explain.ActionSetAside, explain.Applied, explain.ReasonWorkerAlwaysFails, finding.Reason)
	return "set aside: " + finding.Reason
}

// trust returns the share of a worker's results that are not failures attributed to it.
func trust(finding attribution.Finding) float64 {
	total := finding.Failures + finding.Successes
	if total == 0 {
		return 1
	}
	return 1 - finding.Share*float64(finding.Failures)/float64(total)
}

// running returns the started tasks of each worker of this zone.
func (r *reconciliation) running() map[fleet.InstanceID][]placement.Task {
	out := map[fleet.InstanceID][]placement.Task{}
	for _, job := range r.sortedJobs() {
		for _, p := range job.sortedPages() {
			for _, t := range p.page.Tasks {
				if t.Phase == fleet.TaskStarted && t.Zone == r.Zone {
					out[t.Worker] = append(out[t.Worker], r.task(job, t))
				}
			}
		}
	}
	return out
}

func (r *reconciliation) task(job *jobState, t fleet.TaskRecord) placement.Task {
	task := placement.Task{
		ID: t.ID, Job: job.name, Need: t.Need, Checkpointed: t.Since, Throttled: r.throttled[t.ID],
	}
	if job.spec == nil {
		return task
	}
	task.Need = r.estimatedUse(*job.spec)
	task.Tenant, task.Urgent, task.Deadline = job.spec.Tenant, job.spec.Urgent, job.spec.Deadline
	task.Remaining = max(time.Duration(job.spec.RunTime)-r.now.Sub(t.Since), 0)
	return task
}

// pending returns the waiting tasks that this zone may start, urgent ones first, up to
// maxPendingTasks.
func (r *reconciliation) pending() []placement.Pending {
	var out []placement.Pending
	for _, job := range r.sortedJobs() {
		if job.canceled() || job.quarantined() != "" {
			continue
		}
		out = append(out, r.pendingOf(job)...)
	}
	slices.SortStableFunc(out, func(a, b placement.Pending) int { return compareUrgency(a.Urgent, b.Urgent) })
	return out[:min(len(out), maxPendingTasks)]
}

func compareUrgency(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}

func (r *reconciliation) pendingOf(job *jobState) []placement.Pending {
	selector, err := label.Parse(job.spec.Selector)
	if err != nil {
		return nil
	}
	need := r.estimatedUse(*job.spec)
	var out []placement.Pending
	for _, p := range job.sortedPages() {
		for _, t := range p.page.Tasks {
			if t.Phase == fleet.TaskPending && r.eligible(job, t) {
				out = append(out, r.pendingTask(job, t, selector, need))
			}
		}
	}
	return out
}

func (r *reconciliation) eligible(job *jobState, t fleet.TaskRecord) bool {
	return tasks.Eligible(job.name, t.Index, job.spec.Urgent, r.Zone, r.zones, r.now.Sub(t.Since))
}

func (r *reconciliation) pendingTask(job *jobState, t fleet.TaskRecord, selector label.Selector, need fleet.Resources) placement.Pending {
	return placement.Pending{
		Job: job.name, Tenant: job.spec.Tenant, Index: t.Index, Need: need, Selector: selector,
		Urgent: job.spec.Urgent, Priority: r.config.Classes[job.spec.Class].Spec.Priority,
		Deadline: job.spec.Deadline, Remaining: time.Duration(job.spec.RunTime), Since: t.Since, Avoid: t.Avoid,
	}
}

// tenants returns each tenant's quota and the resources that its started tasks hold in
// all zones.
func (r *reconciliation) tenants() []placement.Tenant {
	allocated := map[string]fleet.Resources{}
	for _, job := range r.jobs {
		if job.spec != nil {
			allocated[job.spec.Tenant] = allocated[job.spec.Tenant].Add(allocatedTo(job))
		}
	}
	var out []placement.Tenant
	for name, tenant := range r.config.Tenants {
		out = append(out, placement.Tenant{Name: name, Quota: tenant.Spec.Quota, Allocated: allocated[name]})
	}
	slices.SortFunc(out, compareNames)
	return out
}

func compareNames(a, b placement.Tenant) int {
	if a.Name < b.Name {
		return -1
	}
	return 1
}

func allocatedTo(job *jobState) fleet.Resources {
	var allocated fleet.Resources
	for _, p := range job.pages {
		for _, t := range p.page.Tasks {
			if t.Phase == fleet.TaskStarted {
				allocated = allocated.Add(t.Need)
			}
		}
	}
	return allocated
}

// workView is the workers' state that other controllers read through Idle and Deadline.
type workView struct {
	workers   map[fleet.InstanceID]bool
	busy      map[fleet.InstanceID]bool
	deadlines map[fleet.InstanceID]time.Time
}

func (r *reconciliation) publishWork() {
	v := &workView{
		workers: map[fleet.InstanceID]bool{}, busy: map[fleet.InstanceID]bool{},
		deadlines: map[fleet.InstanceID]time.Time{},
	}
	for id := range r.workers {
		v.workers[id] = true
	}
	for id, running := range r.running() {
		v.busy[id] = true
		v.deadlines[id] = nearestDeadline(running)
	}
	r.work.Store(v)
}

func nearestDeadline(running []placement.Task) time.Time {
	var nearest time.Time
	for _, t := range running {
		if !t.Deadline.IsZero() && (nearest.IsZero() || t.Deadline.Before(nearest)) {
			nearest = t.Deadline
		}
	}
	return nearest
}

// Idle reports whether an instance is a worker of this zone and runs no task. It is
// false for instances other than workers, whose work this controller does not track.
func (c *Controller) Idle(id fleet.InstanceID) bool {
	v := c.work.Load()
	return v.workers[id] && !v.busy[id]
}

// Deadline returns the nearest deadline of a task on a worker; zero if none.
func (c *Controller) Deadline(id fleet.InstanceID) time.Time { return c.work.Load().deadlines[id] }
