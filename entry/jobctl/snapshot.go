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

// snapshot is what placement decides on.
func (r *round) snapshot() placement.Snapshot {
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

func (r *round) worker(i fleet.Instance, running []placement.Task) placement.Worker {
	record, recorded := r.Record(i.ID)
	finding := r.evidence.Worker(i.ID, r.now)
	return placement.Worker{
		ID: i.ID, Zone: i.Zone, Rack: i.Rack, Labels: fleet.ServingLabels(i, record), Capacity: i.Capacity, Tasks: running,
		Unusable: r.unusable(i, record, recorded, finding), Trust: trust(finding),
	}
}

// unusable says why a worker takes no tasks; empty where it does.
func (r *round) unusable(i fleet.Instance, record fleet.Record, recorded bool, finding attribution.Finding) string {
	if i.Leaving {
		return "leaving by the platform's list"
	}
	if recorded && record.State != fleet.StateServing {
		return "is " + string(record.State)
	}
	if !finding.Blamed {
		return ""
	}
	r.record(explain.Instance(i.ID), explain.ActionSetAside, explain.Applied, explain.ReasonWorkerFailsOnly, finding.Reason)
	return "set aside: " + finding.Reason
}

// trust is the share of a worker's results that are no failures of its own.
func trust(finding attribution.Finding) float64 {
	total := finding.Failures + finding.Successes
	if total == 0 {
		return 1
	}
	return 1 - finding.Share*float64(finding.Failures)/float64(total)
}

// running lists the started tasks of each worker of this zone.
func (r *round) running() map[fleet.InstanceID][]placement.Task {
	out := map[fleet.InstanceID][]placement.Task{}
	for _, job := range r.ordered() {
		for _, p := range job.orderedPages() {
			for _, t := range p.page.Tasks {
				if t.Phase == fleet.TaskStarted && t.Zone == r.Zone {
					out[t.Worker] = append(out[t.Worker], r.task(job, t))
				}
			}
		}
	}
	return out
}

func (r *round) task(job *jobState, t fleet.TaskRecord) placement.Task {
	task := placement.Task{
		ID: t.ID, Job: job.name, Need: t.Need, Checkpointed: t.Since, Throttled: r.throttled[t.ID],
	}
	if job.spec == nil {
		return task
	}
	task.Need = r.need(*job.spec)
	task.Tenant, task.Urgent, task.Deadline = job.spec.Tenant, job.spec.Urgent, job.spec.Deadline
	task.Remaining = max(time.Duration(job.spec.RunTime)-r.now.Sub(t.Since), 0)
	return task
}

// pending lists the waiting tasks that this zone may start, the urgent ones first.
func (r *round) pending() []placement.Pending {
	var out []placement.Pending
	for _, job := range r.ordered() {
		if job.canceled() || job.quarantined() != "" {
			continue
		}
		out = append(out, r.pendingOf(job)...)
	}
	slices.SortStableFunc(out, func(a, b placement.Pending) int { return urgentFirst(a.Urgent, b.Urgent) })
	return out[:min(len(out), maxPending)]
}

func urgentFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}

func (r *round) pendingOf(job *jobState) []placement.Pending {
	selector, err := label.Parse(job.spec.Selector)
	if err != nil {
		return nil
	}
	need := r.need(*job.spec)
	var out []placement.Pending
	for _, p := range job.orderedPages() {
		for _, t := range p.page.Tasks {
			if t.Phase == fleet.TaskPending && r.eligible(job, t) {
				out = append(out, r.pendingTask(job, t, selector, need))
			}
		}
	}
	return out
}

func (r *round) eligible(job *jobState, t fleet.TaskRecord) bool {
	return tasks.Eligible(job.name, t.Index, job.spec.Urgent, r.Zone, r.zones, r.now.Sub(t.Since))
}

func (r *round) pendingTask(job *jobState, t fleet.TaskRecord, selector label.Selector, need fleet.Resources) placement.Pending {
	return placement.Pending{
		Job: job.name, Tenant: job.spec.Tenant, Index: t.Index, Need: need, Selector: selector,
		Urgent: job.spec.Urgent, Priority: r.config.Classes[job.spec.Class].Spec.Priority,
		Deadline: job.spec.Deadline, Remaining: time.Duration(job.spec.RunTime), Since: t.Since, Avoid: t.Avoid,
	}
}

// tenants returns each tenant's quota and what its tasks hold in all zones.
func (r *round) tenants() []placement.Tenant {
	held := map[string]fleet.Resources{}
	for _, job := range r.jobs {
		if job.spec != nil {
			held[job.spec.Tenant] = held[job.spec.Tenant].Add(heldBy(job))
		}
	}
	var out []placement.Tenant
	for name, tenant := range r.config.Tenants {
		out = append(out, placement.Tenant{Name: name, Quota: tenant.Spec.Quota, Allocated: held[name]})
	}
	slices.SortFunc(out, byName)
	return out
}

func byName(a, b placement.Tenant) int {
	if a.Name < b.Name {
		return -1
	}
	return 1
}

func heldBy(job *jobState) fleet.Resources {
	var held fleet.Resources
	for _, p := range job.pages {
		for _, t := range p.page.Tasks {
			if t.Phase == fleet.TaskStarted {
				held = held.Add(t.Need)
			}
		}
	}
	return held
}

// workView is what other controllers may ask about workers.
type workView struct {
	known     map[fleet.InstanceID]bool
	busy      map[fleet.InstanceID]bool
	deadlines map[fleet.InstanceID]time.Time
}

func (r *round) publishWork() {
	v := &workView{
		known: map[fleet.InstanceID]bool{}, busy: map[fleet.InstanceID]bool{},
		deadlines: map[fleet.InstanceID]time.Time{},
	}
	for id := range r.workers {
		v.known[id] = true
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

// Idle reports that a worker of this zone runs no task. It is false for instances
// that are no workers, since their work is not known here.
func (c *Controller) Idle(id fleet.InstanceID) bool {
	v := c.work.Load()
	return v.known[id] && !v.busy[id]
}

// Deadline returns the nearest deadline of a task on a worker; zero if there is none.
func (c *Controller) Deadline(id fleet.InstanceID) time.Time { return c.work.Load().deadlines[id] }
