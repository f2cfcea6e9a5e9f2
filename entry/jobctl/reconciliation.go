package jobctl

import (
	"maps"
	"slices"
	"time"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/api/object"
	"github.com/tarragonreach/tarragonreach/platform"
	"github.com/tarragonreach/tarragonreach/policy/estimate"
	"github.com/tarragonreach/tarragonreach/policy/tasks"
)

// reconciliation is the state of one reconciliation of a controller.
type reconciliation struct {
	*Controller
	term    Term
	now     time.Time
	config  *object.Config
	workers map[fleet.InstanceID]fleet.Instance // of this availability zone
	listed  map[fleet.InstanceID]bool           // workers of every zone
	zones   []fleet.AvailabilityZone            // with workers
	usage   map[fleet.TaskID]platform.TaskUsage
	reports map[fleet.TaskID]tasks.Report
	jobs    map[string]*jobState
}

func (c *Controller) newReconciliation(term Term, listed []fleet.Instance, usage []platform.TaskUsage) *reconciliation {
	r := &reconciliation{
		Controller: c, term: term, now: c.Now(), config: c.Config(),
		workers: map[fleet.InstanceID]fleet.Instance{}, listed: map[fleet.InstanceID]bool{},
		usage: map[fleet.TaskID]platform.TaskUsage{}, reports: map[fleet.TaskID]tasks.Report{},
	}
	r.loadWorkers(listed)
	r.loadUsage(usage)
	r.jobs = r.loadJobs()
	return r
}

// loadUsage stores the workers' reports by task. A report of a running task on a worker
// that is no longer listed is outdated and left out.
func (r *reconciliation) loadUsage(usage []platform.TaskUsage) {
	for _, u := range usage {
		if u.State == platform.TaskRunning && !r.listed[u.Worker] {
			continue
		}
		r.usage[u.ID] = u
		r.reports[u.ID] = newReport(u)
	}
}

func (r *reconciliation) loadWorkers(listed []fleet.Instance) {
	zones := map[fleet.AvailabilityZone]bool{}
	for _, instance := range listed {
		if instance.Kind != fleet.KindWorker {
			continue
		}
		zones[instance.Zone] = true
		r.listed[instance.ID] = true
		if instance.Zone == r.Zone {
			r.workers[instance.ID] = instance
			r.lastListed[instance.ID] = r.now
		}
	}
	r.zones = slices.Sorted(maps.Keys(zones))
	r.forgetAbsentWorkers()
}

// forgetAbsentWorkers drops workers that have been absent from the list for so long
// that no task waits for their lease to expire.
func (r *reconciliation) forgetAbsentWorkers() {
	for id, at := range r.lastListed {
		if r.now.Sub(at) > workerRetention {
			delete(r.lastListed, id)
		}
	}
}

// workerRetention is how long a worker that is absent from the list is kept.
const workerRetention = time.Hour

// lastListedAt returns when a worker was last listed. A worker that this holder never
// saw listed counts as listed now, so that a new holder also waits for its lease to
// expire.
func (r *reconciliation) lastListedAt(id fleet.InstanceID) time.Time {
	at, known := r.lastListed[id]
	if !known {
		at = r.now
		r.lastListed[id] = at
	}
	return at
}

// newReport converts a worker's usage report of a task for policy/tasks.
func newReport(u platform.TaskUsage) tasks.Report {
	endings := map[platform.TaskState]tasks.EndReason{
		platform.TaskSucceeded:    tasks.EndedSucceeded,
		platform.TaskFailed:       tasks.EndedFailed,
		platform.TaskCheckpointed: tasks.EndedCheckpointed,
		platform.TaskStopped:      tasks.EndedStopped,
	}
	return tasks.Report{Ended: endings[u.State], Failure: u.Failure}
}

// observeUsage adds the usage of the zone's running tasks to the estimates.
func (r *reconciliation) observeUsage() {
	for _, u := range r.usage {
		if _, inZone := r.workers[u.Worker]; !inZone || u.State != platform.TaskRunning {
			continue
		}
		job, known := r.config.Jobs[u.Job]
		if !known {
			continue
		}
		r.estimator.Observe(estimate.Sample{
			Key:      estimate.JobKey{Tenant: job.Spec.Tenant, Job: u.Job},
			Declared: job.Spec.Declared, Used: u.Used, At: u.At,
		})
	}
}

// estimatedUse returns the resources that one task of a job is expected to use.
func (r *reconciliation) estimatedUse(job object.Job) fleet.Resources {
	return r.estimator.Estimate(estimate.JobKey{Tenant: job.Tenant, Job: job.Name}, job.Declared).Resources
}
