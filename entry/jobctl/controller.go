package jobctl

import (
	"context"
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/entry/rounds"
	"github.com/tarragonreach/tarragonreach/policy/attribution"
	"github.com/tarragonreach/tarragonreach/policy/estimate"
)

// Controller places tasks for one availability zone. Only Idle and Deadline may be
// called concurrently with the other methods.
type Controller struct {
	Options
	estimator *estimate.Estimator
	evidence  *attribution.Evidence
	// lastListed holds when each worker was last in the platform's list.
	lastListed map[fleet.InstanceID]time.Time
	// firstSeen holds when this controller first saw each job without pages.
	firstSeen map[string]time.Time
	throttled map[fleet.TaskID]bool
	parsed    map[string]*pageState // decoded pages by key, from the last reconciliation
	work      atomic.Pointer[workView]
}

// New returns a controller.
func New(o Options) *Controller {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	c := &Controller{
		Options: o, estimator: estimate.New(maxEstimatedJobs), evidence: attribution.New(),
		lastListed: map[fleet.InstanceID]time.Time{}, firstSeen: map[string]time.Time{},
		throttled: map[fleet.TaskID]bool{},
	}
	c.work.Store(&workView{})
	return c
}

// Run reconciles repeatedly while the term is active, until ctx ends.
func (c *Controller) Run(ctx context.Context, term Term) error {
	changed := func(err error) {
		if ctx.Err() == nil {
			c.Logger.Info("placement reconciliation changed state", "zone", c.Zone, "epoch", term.Epoch(), "failing", err != nil, "error", err)
		}
	}
	return rounds.Loop{Interval: ReconcileInterval, Reconcile: c.Reconcile, Changed: changed}.Run(ctx, term)
}

// Reconcile applies the workers' reports, then decides once and applies the decisions.
// It stops at the first error; the remaining steps are decided again by the next
// reconciliation.
func (c *Controller) Reconcile(ctx context.Context, term Term) error {
	if !c.Cache.Loaded() || !term.Active() {
		return nil
	}
	listed, err := c.List.Instances(ctx)
	if err != nil {
		return fmt.Errorf("list instances: %w", err)
	}
	usage, err := c.Workers.Usage(ctx)
	if err != nil {
		return fmt.Errorf("read usage: %w", err)
	}
	r := c.newReconciliation(term, listed, usage)
	r.observeUsage()
	if err := r.reconcilePages(ctx); err != nil {
		return err
	}
	if err := r.place(ctx); err != nil {
		return err
	}
	r.publishWork()
	return r.resendStarts(ctx)
}
