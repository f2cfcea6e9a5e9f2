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

// round is one round of a controller.
type round struct {
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

func (c *Controller) newRound(term Term, listed []fleet.Instance, usage []platform.TaskUsage) *round {
	r := &round{
		Controller: c, term: term, now: c.Now(), config: c.Config(),
		workers: map[fleet.InstanceID]fleet.Instance{}, listed: map[fleet.InstanceID]bool{},
		usage: map[fleet.TaskID]platform.TaskUsage{}, reports: map[fleet.TaskID]tasks.Report{},
	}
	r.takeWorkers(listed)
	r.takeUsage(usage)
	r.jobs = r.readJobs()
	return r
}

// takeUsage keeps the reports that may be true: one that says a task runs on a
// worker that is no longer listed lags behind.
func (r *round) takeUsage(usage []platform.TaskUsage) {
	for _, u := range usage {
		if u.State == platform.TaskRunning && !r.listed[u.Worker] {
			continue
		}
		r.usage[u.ID] = u
		r.reports[u.ID] = reportOf(u)
	}
}

func (r *round) takeWorkers(listed []fleet.Instance) {
	zones := map[fleet.AvailabilityZone]bool{}
	for _, i := range listed {
		if i.Kind != fleet.KindWorker {
			continue
		}
		zones[i.Zone] = true
		r.listed[i.ID] = true
		if i.Zone == r.Zone {
			r.workers[i.ID] = i
			r.lastListed[i.ID] = r.now
		}
	}
	r.zones = slices.Sorted(maps.Keys(zones))
	r.forgetWorkers()
}

// forgetWorkers drops workers that have been gone for so long that no task waits
// for their lease.
func (r *round) forgetWorkers() {
	for id, at := range r.lastListed {
		if r.now.Sub(at) > workerMemory {
			delete(r.lastListed, id)
		}
	}
}

// workerMemory is how long a worker that is gone from the list is remembered.
const workerMemory = time.Hour

// listedAt returns when a worker was last listed. One that this holder never saw
// counts from the start of its term, so that a new holder waits for the lease too.
func (r *round) listedAt(id fleet.InstanceID) time.Time {
	at, known := r.lastListed[id]
	if !known {
		at = r.now
		r.lastListed[id] = at
	}
	return at
}

// reportOf turns a worker's usage report into what the record needs of it.
func reportOf(u platform.TaskUsage) tasks.Report {
	endings := map[platform.TaskState]tasks.EndReason{
		platform.TaskSucceeded:    tasks.EndedSucceeded,
		platform.TaskFailed:       tasks.EndedFailed,
		platform.TaskCheckpointed: tasks.EndedCheckpointed,
		platform.TaskStopped:      tasks.EndedStopped,
	}
	return tasks.Report{Ended: endings[u.State], Failure: u.Failure}
}

// learn takes the usage of running tasks into the estimates.
func (r *round) learn() {
	for _, u := range r.usage {
		if _, ours := r.workers[u.Worker]; !ours || u.State != platform.TaskRunning {
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

// need is what one task of a job is expected to use.
func (r *round) need(job object.Job) fleet.Resources {
	return r.estimator.Estimate(estimate.JobKey{Tenant: job.Tenant, Job: job.Name}, job.Declared).Resources
}
