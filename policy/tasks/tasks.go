// Package tasks computes the changes of a job's task records: by workers' reports, by
// starts, by cancellation and by changes of the job. It keeps no state.
package tasks

import (
	"fmt"
	"slices"
	"time"

	"github.com/tarragonreach/tarragonreach/api/fleet"
)

const (
	// maxAvoid bounds the number of workers that a task avoids.
	maxAvoid = 5
	// workerLease is the time after which the tasks of a worker that is no longer
	// listed have certainly stopped, since workers run tasks under leases.
	workerLease = 30 * time.Second
	// startTimeout is how long a start may stay unreported before it is sent again.
	startTimeout = 2 * time.Second
)

// EndReason is the reason why a task ended on a worker.
type EndReason string

// The reasons why a task ends.
const (
	EndedSucceeded    EndReason = "succeeded"
	EndedFailed       EndReason = "failed"
	EndedCheckpointed EndReason = "checkpointed"
	EndedStopped      EndReason = "stopped"
	EndedLost         EndReason = "worker gone"
)

// Report is a worker's report on a task.
type Report struct {
	// Ended is empty while the task runs.
	Ended   EndReason
	Failure string
}

// Change is the end of one task that Observe applied.
type Change struct {
	Task    fleet.TaskRecord // before the change
	Ended   EndReason
	Failure string
}

// NewPage returns a page of a job with all its tasks pending; tasks is the number of
// tasks of the whole job.
func NewPage(revision int64, tasks, page int, now time.Time) fleet.JobPage {
	p := fleet.JobPage{Revision: revision}
	first := page * fleet.TasksPerPage
	for i := first; i < min(tasks, first+fleet.TasksPerPage); i++ {
		p.Tasks = append(p.Tasks, fleet.TaskRecord{Index: i, Phase: fleet.TaskPending, Since: now})
	}
	return p
}

// Reconcile brings a page in line with a new revision of its job: missing tasks are
// added, surplus ones stay, and a quarantine ends. It reports whether the page changed.
func Reconcile(p fleet.JobPage, revision int64, tasks, page int, now time.Time) (fleet.JobPage, bool) {
	if p.Revision >= revision {
		return p, false
	}
	next := clone(p)
	next.Revision = revision
	next.Quarantined = ""
	want := NewPage(revision, tasks, page, now).Tasks
	for i := len(next.Tasks); i < len(want); i++ {
		next.Tasks = append(next.Tasks, want[i])
	}
	return next, true
}

func clone(p fleet.JobPage) fleet.JobPage {
	p.Tasks = slices.Clone(p.Tasks)
	return p
}

// Observe applies the reports on the started tasks of one availability zone and returns
// the page and the tasks that ended. lastListed returns when a worker was last in the
// platform's list.
func Observe(p fleet.JobPage, zone fleet.AvailabilityZone, reports map[fleet.TaskID]Report,
	lastListed func(fleet.InstanceID) time.Time, now time.Time) (fleet.JobPage, []Change) {
	var changes []Change
	next := clone(p)
	for i, t := range next.Tasks {
		if t.Phase != fleet.TaskStarted || t.Zone != zone {
			continue
		}
		report, known := reports[t.ID]
		if !known && now.Sub(lastListed(t.Worker)) > workerLease {
			report = Report{Ended: EndedLost}
		}
		if report.Ended == "" {
			continue
		}
		changes = append(changes, Change{Task: t, Ended: report.Ended, Failure: report.Failure})
		next.Tasks[i] = afterEnd(t, report.Ended, now)
	}
	return next, changes
}

// afterEnd returns the task after it ended. A stopped task is cancelled, since an operator
// requested the stop; after any other reason but success the task is pending again.
func afterEnd(t fleet.TaskRecord, reason EndReason, now time.Time) fleet.TaskRecord {
	t.Since = now
	t.Phase = fleet.TaskPending
	switch reason {
	case EndedSucceeded:
		t.Phase = fleet.TaskDone
	case EndedStopped:
		t.Phase = fleet.TaskCanceled
	case EndedCheckpointed:
		t.Checkpoint = t.ID
	case EndedFailed:
		t.Failures++
		t.Avoid = append(slices.Clone(t.Avoid), t.Worker)
		t.Avoid = t.Avoid[max(0, len(t.Avoid)-maxAvoid):]
	}
	return t
}

// End returns the page after a started task ended for the given reason.
func End(p fleet.JobPage, id fleet.TaskID, reason EndReason, now time.Time) fleet.JobPage {
	next := clone(p)
	for i, t := range next.Tasks {
		if t.ID == id && t.Phase == fleet.TaskStarted {
			next.Tasks[i] = afterEnd(t, reason, now)
		}
	}
	return next
}

// Start returns the page after the start of a pending task, and the ID of the start. The
// ID contains the job, its revision, the task and the count of starts, and so is never
// reused. A task that is not pending is an error.
func Start(p fleet.JobPage, job string, index int, worker fleet.InstanceID, zone fleet.AvailabilityZone,
	need fleet.Resources, now time.Time) (fleet.JobPage, fleet.TaskID, error) {
	next := clone(p)
	i := slices.IndexFunc(next.Tasks, func(t fleet.TaskRecord) bool { return t.Index == index })
	if i < 0 || next.Tasks[i].Phase != fleet.TaskPending {
		return p, "", fmt.Errorf("task %s/%d is not pending", job, index)
	}
	t := &next.Tasks[i]
	t.Phase, t.Since, t.Worker, t.Zone, t.Need = fleet.TaskStarted, now, worker, zone, need
	t.Starts++
	t.ID = fleet.TaskID(fmt.Sprintf("%s/%d/%d/%d", job, p.Revision, index, t.Starts))
	return next, t.ID, nil
}

// UnreportedStarts returns the started tasks of a zone that no worker has reported within
// startTimeout, so that their start may have been lost. Sending a start again is safe
// because of its ID.
func UnreportedStarts(p fleet.JobPage, zone fleet.AvailabilityZone, reports map[fleet.TaskID]Report, now time.Time) []fleet.TaskRecord {
	var out []fleet.TaskRecord
	for _, t := range p.Tasks {
		_, known := reports[t.ID]
		if t.Phase == fleet.TaskStarted && t.Zone == zone && !known && now.Sub(t.Since) > startTimeout {
			out = append(out, t)
		}
	}
	return out
}

// Cancel marks the pending tasks as cancelled and returns the started ones of a zone,
// which must be stopped and end when their workers report it.
func Cancel(p fleet.JobPage, zone fleet.AvailabilityZone, now time.Time) (fleet.JobPage, []fleet.TaskRecord) {
	next := clone(p)
	var running []fleet.TaskRecord
	for i, t := range next.Tasks {
		switch {
		case t.Phase == fleet.TaskPending:
			next.Tasks[i].Phase, next.Tasks[i].Since = fleet.TaskCanceled, now
		case t.Phase == fleet.TaskStarted && t.Zone == zone:
			running = append(running, t)
		}
	}
	return next, running
}
