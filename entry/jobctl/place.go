package jobctl

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/tarragonreach/tarragonreach/api/explain"
	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/platform"
	"github.com/tarragonreach/tarragonreach/policy/placement"
	"github.com/tarragonreach/tarragonreach/policy/tasks"
)

// place decides on the waiting tasks and applies the plan: reclaims first, since the
// starts need the resources that they free.
func (r *reconciliation) place(ctx context.Context) error {
	plan := placement.Decide(r.snapshot())
	for _, reclaim := range plan.Reclaims {
		if err := r.reclaim(ctx, reclaim); err != nil {
			return err
		}
	}
	for _, refusal := range plan.Refusals {
		r.recordRefusal(refusal)
	}
	for _, starts := range groupByPage(plan.Starts) {
		if err := r.startTasks(ctx, starts); err != nil && !isConflict(err) {
			return err
		}
	}
	return nil
}

func (r *reconciliation) recordRefusal(refusal placement.Refusal) {
	reason := explain.ReasonNoCapacity
	if refusal.Unsatisfiable {
		reason = explain.ReasonUnsatisfiable
	}
	r.record(explain.Job(refusal.Job), explain.ActionWait, explain.Waiting, reason, refusal.Reason)
}

// reclaim makes a running task return resources, or restores them. A worker that no
// longer has the task has already freed them.
func (r *reconciliation) reclaim(ctx context.Context, reclaim placement.Reclaim) error {
	err := r.sendReclaim(ctx, reclaim)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return fmt.Errorf("%s %s: %w", reclaim.Kind, reclaim.Task, err)
	}
	r.record(explain.Job(r.usage[reclaim.Task].Job), reclaimAction(reclaim.Kind), explain.Applied, explain.ReasonPreempted,
		string(reclaim.Task)+" on "+string(reclaim.Worker)+" "+reclaim.Reason)
	return nil
}

func (r *reconciliation) sendReclaim(ctx context.Context, reclaim placement.Reclaim) error {
	if reclaim.Kind == placement.ReclaimCheckpoint {
		return r.Workers.Checkpoint(ctx, reclaim.Worker, reclaim.Task, r.term.Epoch())
	}
	err := r.Workers.Throttle(ctx, reclaim.Worker, reclaim.Task, reclaim.Percent, r.term.Epoch())
	if err == nil {
		r.throttled[reclaim.Task] = reclaim.Kind == placement.ReclaimThrottle
	}
	return err
}

func reclaimAction(kind placement.ReclaimKind) explain.Action {
	switch kind {
	case placement.ReclaimCheckpoint:
		return explain.ActionCheckpoint
	case placement.ReclaimThrottle:
		return explain.ActionThrottle
	default:
		return explain.ActionRestore
	}
}

// groupByPage groups starts by job page, so that each page is written once.
func groupByPage(starts []placement.Start) [][]placement.Start {
	groups := map[string][]placement.Start{}
	for _, s := range starts {
		key := fleet.JobPageKey(s.Pending.Job, s.Pending.Index/fleet.TasksPerPage)
		groups[key] = append(groups[key], s)
	}
	var out [][]placement.Start
	for _, key := range slices.Sorted(maps.Keys(groups)) {
		out = append(out, groups[key])
	}
	return out
}

// startTasks writes the starts of one page and then sends them to the workers. If the
// response to a start is lost, a later reconciliation sends it again with the same ID.
func (r *reconciliation) startTasks(ctx context.Context, starts []placement.Start) error {
	job := r.jobs[starts[0].Pending.Job]
	p := job.pages[starts[0].Pending.Index/fleet.TasksPerPage]
	next := p.page
	started := map[fleet.TaskID]placement.Start{}
	for _, s := range starts {
		page, id, err := tasks.Start(next, job.name, s.Pending.Index, s.Worker, r.Zone, s.Pending.Need, r.now)
		if err != nil {
			continue
		}
		next = page
		started[id] = s
	}
	if err := r.write(ctx, p, next); err != nil {
		return err
	}
	for _, t := range next.Tasks {
		s, ok := started[t.ID]
		if !ok {
			continue
		}
		r.recordStart(job, t, s)
		if err := r.sendStart(ctx, job, t); err != nil {
			return fmt.Errorf("start %s: %w", t.ID, err)
		}
	}
	return nil
}

func (r *reconciliation) recordStart(job *jobState, t fleet.TaskRecord, s placement.Start) {
	reason := explain.ReasonFits
	if s.Borrowed {
		reason = explain.ReasonBorrowed
	}
	detail := fmt.Sprintf("%s on %s: %s", t.ID, t.Worker, s.Reason)
	r.record(explain.Job(job.name), explain.ActionStartTask, explain.Applied, reason, detail)
}

// sendStart sends the start of a task to its worker while the term is active. After an
// error a later reconciliation sends it again.
func (r *reconciliation) sendStart(ctx context.Context, job *jobState, t fleet.TaskRecord) error {
	if !r.term.Active() {
		return errTermOver
	}
	return r.Workers.Start(ctx, platform.StartCommand{
		ID: t.ID, Worker: t.Worker, Job: job.name, Tenant: job.spec.Tenant, Need: t.Need,
		Resume: t.Checkpoint, Epoch: r.term.Epoch(),
	})
}

var errTermOver = errors.New("the term of the duty has ended")

// resendStarts sends again the starts that no worker has reported.
func (r *reconciliation) resendStarts(ctx context.Context) error {
	for _, job := range r.sortedJobs() {
		if job.canceled() {
			continue
		}
		for _, p := range job.sortedPages() {
			for _, t := range tasks.UnreportedStarts(p.page, r.Zone, r.reports, r.now) {
				if err := r.sendStart(ctx, job, t); err != nil {
					return fmt.Errorf("resend the start of %s: %w", t.ID, err)
				}
			}
		}
	}
	return nil
}
