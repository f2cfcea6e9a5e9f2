package jobctl

import (
	"context"
	"errors"
	"fmt"

	"github.com/tarragonreach/tarragonreach/api/explain"
	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/platform"
	"github.com/tarragonreach/tarragonreach/policy/attribution"
	"github.com/tarragonreach/tarragonreach/policy/estimate"
	"github.com/tarragonreach/tarragonreach/policy/tasks"
)

// reconcilePages updates the job pages from the configuration and the workers' reports.
// After a write conflict with another holder the job is left to the next
// reconciliation.
func (r *reconciliation) reconcilePages(ctx context.Context) error {
	for _, job := range r.sortedJobs() {
		if err := r.reconcileJob(ctx, job); err != nil && !isConflict(err) {
			return err
		}
	}
	return nil
}

// isConflict reports whether a write failed because another write came first.
func isConflict(err error) bool {
	return errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrExists)
}

func (r *reconciliation) reconcileJob(ctx context.Context, job *jobState) error {
	if err := r.ensurePages(ctx, job); err != nil {
		return err
	}
	for _, p := range job.sortedPages() {
		if err := r.applyReports(ctx, job, p); err != nil {
			return err
		}
	}
	if job.canceled() {
		return r.cancel(ctx, job)
	}
	return r.quarantine(ctx, job)
}

// applyReports applies the reports to a page. A result is added to the evidence only
// after the page is written, so that no result counts twice.
func (r *reconciliation) applyReports(ctx context.Context, job *jobState, p *pageState) error {
	next, changes := tasks.Observe(p.page, r.Zone, r.reports, r.lastListedAt, r.now)
	if len(changes) == 0 {
		return nil
	}
	if err := r.write(ctx, p, next); err != nil {
		return err
	}
	for _, change := range changes {
		delete(r.throttled, change.Task.ID)
		r.recordChange(job, change)
	}
	return nil
}

func (r *reconciliation) recordChange(job *jobState, change tasks.Change) {
	if change.Ended == tasks.EndedSucceeded || change.Ended == tasks.EndedFailed {
		r.evidence.Add(attribution.Result{
			Worker: change.Task.Worker, Rack: r.workers[change.Task.Worker].Rack, Job: job.name,
			Failed: change.Ended == tasks.EndedFailed, At: r.now,
		})
	}
	if change.Ended == tasks.EndedFailed && job.spec != nil {
		r.estimator.ObserveFailure(estimate.JobKey{Tenant: job.spec.Tenant, Job: job.name}, job.spec.Declared,
			r.workers[change.Task.Worker].Capacity, r.now)
	}
	if change.Ended == tasks.EndedFailed || change.Ended == tasks.EndedLost {
		r.record(explain.Job(job.name), explain.ActionRetryTask, explain.Applied, explain.ReasonTaskEnded,
			string(change.Task.ID)+" on "+string(change.Task.Worker)+": "+string(change.Ended)+" "+change.Failure)
	}
}

// cancel marks waiting tasks as canceled and stops running ones. It deletes each page of
// a job that was removed from the configuration once no task of the page runs.
func (r *reconciliation) cancel(ctx context.Context, job *jobState) error {
	for _, p := range job.sortedPages() {
		if err := r.cancelPage(ctx, job, p); err != nil {
			return err
		}
	}
	return nil
}

func (r *reconciliation) cancelPage(ctx context.Context, job *jobState, p *pageState) error {
	next, running := tasks.Cancel(p.page, r.Zone, r.now)
	for _, t := range running {
		notFound, err := r.stop(ctx, job, t)
		if err != nil {
			return err
		}
		if notFound {
			next = tasks.End(next, t.ID, tasks.EndedStopped, r.now)
		}
	}
	if countPhase(next, fleet.TaskCanceled) != countPhase(p.page, fleet.TaskCanceled) {
		if err := r.write(ctx, p, next); err != nil {
			return err
		}
	}
	if job.spec == nil && countPhase(p.page, fleet.TaskStarted) == 0 {
		return r.deletePage(ctx, p)
	}
	return nil
}

// stop stops a task and reports whether its worker does not have it. After a stop the
// worker refuses starts of earlier terms, so a task that it does not have can no
// longer start.
func (r *reconciliation) stop(ctx context.Context, job *jobState, t fleet.TaskRecord) (bool, error) {
	err := r.Workers.Stop(ctx, t.Worker, t.ID, r.term.Epoch())
	notFound := errors.Is(err, platform.ErrNotFound)
	if err != nil && !notFound {
		return false, fmt.Errorf("stop %s: %w", t.ID, err)
	}
	r.record(explain.Job(job.name), explain.ActionCancelTask, explain.Applied, explain.ReasonCanceled,
		string(t.ID)+" on "+string(t.Worker))
	return notFound, nil
}

func (r *reconciliation) deletePage(ctx context.Context, p *pageState) error {
	if err := r.Store.Delete(ctx, p.key, p.revision); err != nil && !errors.Is(err, platform.ErrNotFound) {
		return err
	}
	r.Cache.Remove(p.key)
	return nil
}

func countPhase(p fleet.JobPage, phase fleet.TaskPhase) int {
	n := 0
	for _, t := range p.Tasks {
		if t.Phase == phase {
			n++
		}
	}
	return n
}

// quarantine stops further starts of a job whose tasks fail on every worker through the
// job's own fault.
func (r *reconciliation) quarantine(ctx context.Context, job *jobState) error {
	if job.quarantined() != "" {
		return nil
	}
	finding := r.evidence.Job(job.name, r.now)
	if !finding.Blamed {
		return nil
	}
	for _, p := range job.sortedPages() {
		next := p.page
		next.Quarantined = finding.Reason
		if err := r.write(ctx, p, next); err != nil {
			return err
		}
	}
	r.record(explain.Job(job.name), explain.ActionQuarantine, explain.Applied, explain.ReasonJobAlwaysFails, finding.Reason)
	return nil
}

func (r *reconciliation) record(subject explain.Subject, action explain.Action, outcome explain.Outcome, reason explain.Reason, detail string) {
	if r.Recorder == nil {
		return
	}
	r.Recorder.Record(explain.Record{
		At: r.now, Zone: r.Zone, Epoch: r.term.Epoch(), Subject: subject, Action: action, Outcome: outcome,
		Reason: reason, Detail: detail,
	})
}
