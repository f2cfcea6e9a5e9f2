package fleetctl

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/tarragonreach/tarragonreach/api/explain"
	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/entry/fleetview"
	"github.com/tarragonreach/tarragonreach/policy/lifecycle"
)

// change is a member with the step to apply to it.
type change struct {
	*member
	step lifecycle.Step
}

// apply decides and writes the next step of each of the zone's instances.
func (r *reconciliation) apply(ctx context.Context) error {
	var immediate []change
	voluntary := make(map[string][]change) // by the pool whose budget must grant them
	for _, m := range r.members {
		c := change{m, r.nextStep(m)}
		switch {
		case c.step.Voluntary:
			voluntary[m.record.Pool] = append(voluntary[m.record.Pool], c)
		case c.step.Reboot:
			if r.reboot(ctx, c) {
				immediate = append(immediate, c)
			}
		case leavesPool(c) && !r.countedUnavailable(ctx, c):
			continue
		case c.step.Changed() || m.isNew:
			immediate = append(immediate, c)
		}
	}
	granted, err := r.grantAll(ctx, voluntary)
	if err != nil {
		return errors.Join(err, r.write(ctx, r.snapshot, immediate))
	}
	return r.write(ctx, r.snapshot, append(immediate, granted...))
}

func leavesPool(c change) bool {
	return c.record.Pool != "" && (c.step.Forget || c.step.Record.Pool == "")
}

// countedUnavailable reports whether the pool's ledger counts an instance as
// unavailable. The ledger must do so before the instance leaves the pool: until the
// pool's member count in the ledger is lowered, other zones would count the instance as
// healthy.
func (r *reconciliation) countedUnavailable(ctx context.Context, c change) bool {
	entry, err := r.ledgers.cached(ctx, c.record.Pool)
	if err != nil {
		return false
	}
	_, counted := entry.ledger.Outage(c.record.ID)
	return counted
}

// nextStep returns the next step of a member. While the list is suspect, absence from
// it is ignored for up to suspectListGrace.
func (r *reconciliation) nextStep(m *member) lifecycle.Step {
	seen := m.seen
	if r.listSuspect && seen.AbsentFor < suspectListGrace {
		seen.AbsentFor = 0
		seen.Healthy = true
	}
	return r.Timings.Next(m.record, seen, m.intent, r.now)
}

// reboot asks the platform to start the maintenance of a drained instance and reports
// whether it accepted. The call is idempotent; later reconciliations repeat it until
// the platform accepts.
func (r *reconciliation) reboot(ctx context.Context, c change) bool {
	if !r.term.Active() {
		return false
	}
	if err := r.Instances.Reboot(ctx, c.record.ID); err != nil {
		r.Logger.Warn("reboot request failed; the next reconciliation repeats it", "instance", c.record.ID, "error", err)
		return false
	}
	return true
}

// write applies steps page by page. decidedOn is the snapshot from which they were
// decided. A page that has changed since then is left to the next reconciliation; any
// other failure ends this one.
func (r *reconciliation) write(ctx context.Context, decidedOn *fleetview.Snapshot, changes []change) error {
	byPage := make(map[string][]change)
	for _, c := range changes {
		key := fleet.PageKey(r.Zone, c.record.ID)
		byPage[key] = append(byPage[key], c)
	}
	for _, key := range slices.Sorted(maps.Keys(byPage)) {
		if !r.term.Active() {
			return nil
		}
		err := r.writePage(ctx, decidedOn.Page(key), key, byPage[key])
		if err != nil && !isConflict(err) {
			return err
		}
	}
	return nil
}

func (r *reconciliation) writePage(ctx context.Context, old fleetview.PageEntry, key string, changes []change) error {
	if old.Page.Epoch > r.epoch {
		return supersededError(old, r.epoch)
	}
	old.Key = key
	next := old.Page
	next.Epoch = r.epoch
	for _, c := range changes {
		if c.step.Forget {
			next = next.Without(c.record.ID)
			continue
		}
		next = next.With(c.step.Record)
	}
	if err := r.pages.swap(ctx, old, next); err != nil {
		if stored := r.View.Snapshot().Page(key); stored.Page.Epoch > r.epoch {
			return supersededError(stored, r.epoch)
		}
		return err
	}
	for _, c := range changes {
		r.explainStep(c)
		r.trackApplied(c)
	}
	return nil
}

// trackApplied updates the tracked times after a step was written.
func (r *reconciliation) trackApplied(c change) {
	if c.step.Forget {
		r.forget(c.record.ID)
		return
	}
	r.states.update(c.step.Record, r.now)
	if c.step.Action == explain.ActionAssign {
		r.sizing.recordJoin(c.step.Record.Pool, r.now)
	}
}

func (r *reconciliation) explainStep(c change) {
	r.record(explain.Record{
		Subject: explain.Instance(c.record.ID), Action: c.step.Action, Outcome: explain.Applied,
		Reason: c.step.Reason, Detail: describeStep(c), Inputs: r.inputs(c.member), Alternatives: c.refused,
	})
}

// describeStep describes a step in one line.
func describeStep(c change) string {
	before, after := c.record, c.step.Record
	if c.step.Forget {
		return "was " + describeState(before)
	}
	line := describeState(after) + ", was " + describeState(before)
	if after.Target != "" && after.Target != after.Pool {
		line += fmt.Sprintf(", moving to pool %q", after.Target)
	}
	if after.DrainRequested != nil {
		line += fmt.Sprintf(", drain requested by an operator: %s", after.DrainRequested.Reason)
	}
	return line
}

func describeState(r fleet.Record) string {
	if r.Pool == "" {
		return string(r.State)
	}
	return fmt.Sprintf("%s in pool %q", r.State, r.Pool)
}

// inputs returns the inputs of a step's decision for its record.
func (r *reconciliation) inputs(m *member) []explain.Input {
	return []explain.Input{
		{Name: "labels", Value: fleet.EffectiveLabels(m.instance, m.record.Labels).String()},
		{Name: "eligible-pools", Value: fmt.Sprint(m.eligible)},
		{Name: "listed", Value: fmt.Sprint(m.seen.Listed)},
		{Name: "leaving", Value: fmt.Sprint(m.seen.Leaving)},
		{Name: "healthy", Value: fmt.Sprint(m.seen.Healthy)},
		{Name: "config-revision", Value: fmt.Sprint(r.config.Revision)},
	}
}

// suspectListGrace is how long absences from a suspect list are ignored.
const suspectListGrace = 5 * time.Minute
