// Package tasks decides how the record of a job's tasks changes: by what workers
// report, by starts, by cancellation and by quarantine. It keeps no state.
package tasks

import (
	"fmt"
	"slices"
	"time"

	"github.com/tarragonreach/tarragonreach/api/fleet"
)

const (
	// maxAvoid bounds the workers that a task avoids.
	maxAvoid = 5
	// workerLease is how long after a worker was last listed its tasks have
	// certainly stopped, since workers run tasks under leases.
	workerLease = 30 * time.Second
	// startTimeout is how long a start may stay unreported before it is sent again.
	startTimeout = 2 * time.Second
)

// EndReason is how a task ended on a worker.
type EndReason string

// The endings of a task.
const (
	EndedSucceeded    EndReason = "succeeded"
	EndedFailed       EndReason = "failed"
	EndedCheckpointed EndReason = "checkpointed"
	EndedStopped      EndReason = "stopped"
	EndedLost         EndReason = "worker gone"
)

// Report is what a worker says of a task.
type Report struct {
	// Ended is empty while the task runs.
	Ended   EndReason
	Failure string
}

// Change is one task that changed by a report.
type Change struct {
	Task    fleet.TaskRecord // as it stood before
	Ended   EndReason
	Failure string
}

// NewPage returns a page of a job with all its tasks pending.
func NewPage(revision int64, tasks, page int, now time.Time) fleet.JobPage {
	p := fleet.JobPage{Revision: revision}
	first := page * fleet.TasksPerPage
	for i := first; i < min(tasks, first+fleet.TasksPerPage); i++ {
		p.Tasks = append(p.Tasks, fleet.TaskRecord{Index: i, Phase: fleet.TaskPending, Since: now})
	}
	return p
}

// Reconcile makes a page hold what its job now asks: tasks are added and cancelled by
// their number, and a quarantine ends where the job was changed. It reports
// whether the page changed.
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

// Observe applies the reports on the started tasks of one availability zone.
// lastListed returns when a worker was last in the platform's list.
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
		next.Tasks[i] = ended(t, report.Ended, now)
	}
	return next, changes
}

// ended returns the task after an ending. A stop was requested by an operator; all other
// endings but success make the task wait again.
func ended(t fleet.TaskRecord, how EndReason, now time.Time) fleet.TaskRecord {
	t.Since = now
	t.Phase = fleet.TaskPending
	switch how {
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

// End returns the page after a started task ended in the given way.
func End(p fleet.JobPage, id fleet.TaskID, how EndReason, now time.Time) fleet.JobPage {
	next := clone(p)
	for i, t := range next.Tasks {
		if t.ID == id && t.Phase == fleet.TaskStarted {
			next.Tasks[i] = ended(t, how, now)
		}
	}
	return next
}

// Start returns the page after the start of a pending task, and the start's ID,
// which names the job, the task and the count of starts and so is never reused.
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

// UnreportedStarts lists the started tasks of a zone whose start no worker has reported
// and that may therefore have been lost. Sending it again is safe by its ID.
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

// Cancel marks the waiting tasks as cancelled and returns the started ones of a
// zone, which must be stopped and end by their workers' reports.
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
