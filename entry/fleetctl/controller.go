package fleetctl

import (
	"context"
	"fmt"
	"time"

	"github.com/tarragonreach/tarragonreach/api/explain"
	"github.com/tarragonreach/tarragonreach/entry/fleetview"
	"github.com/tarragonreach/tarragonreach/entry/rounds"
	"github.com/tarragonreach/tarragonreach/policy/maintenance"
)

// ReconcileInterval is the time between the starts of two reconciliations.
const ReconcileInterval = 2 * time.Second

// Controller reconciles the fleet record of one availability zone. Only Maintenance
// may be called concurrently with the other methods.
type Controller struct {
	Options
	pages      pages
	ledgers    *ledgers
	absences   absenceTracker
	states     stateTracker
	sizing     *sizing
	otherZones otherZones
	status     statuses
	epoch      int64 // term in which the caches were filled
}

// New returns a controller.
func New(options Options) *Controller {
	options = options.WithDefaults()
	return &Controller{
		Options:  options,
		pages:    pages{options.Store, options.View},
		ledgers:  newLedgers(options.Store),
		absences: make(absenceTracker),
		states:   make(stateTracker),
		sizing:   newSizing(options),
	}
}

// Run reconciles repeatedly while the term is active, until ctx ends.
func (c *Controller) Run(ctx context.Context, term Term) error {
	changed := func(err error) {
		c.Logger.Info("fleet reconciliation changed state", "zone", c.Zone, "epoch", term.Epoch(), "failing", err != nil, "error", err)
	}
	return rounds.Loop{Interval: ReconcileInterval, Reconcile: c.Reconcile, Changed: changed}.Run(ctx, term)
}

// Reconcile decides once and applies the decisions. It stops at the first error; the
// remaining steps are decided again by the next reconciliation.
func (c *Controller) Reconcile(ctx context.Context, term Term) error {
	config := c.Config()
	if !term.Active() || config == nil || config.Revision == 0 {
		return nil // without a configuration every instance would match no pool
	}
	if err := c.startTerm(ctx, term); err != nil {
		return err
	}
	listed, err := c.List.Instances(ctx)
	if err != nil {
		return fmt.Errorf("list instances: %w", err)
	}
	r := c.newReconciliation(config, listed, term)
	r.loadMembers()
	refreshed := r.refreshOtherZones(listed)
	r.decidePools()
	r.setMaintenanceDurations()
	if refreshed {
		r.decideMaintenance(ctx)
	}
	if err := r.reconcileLedgers(ctx); err != nil {
		return err
	}
	if err := r.apply(ctx); err != nil {
		return err
	}
	return r.reconcileLedgers(ctx)
}

// startTerm reloads the fleet record from the store and resets the caches, so that no
// decision uses data of an earlier term. It also fences the zone's pages, so that
// writes of earlier holders fail.
func (c *Controller) startTerm(ctx context.Context, term Term) error {
	if c.epoch == term.Epoch() {
		return nil
	}
	if _, err := c.View.Load(ctx, c.Store); err != nil {
		return fmt.Errorf("read the fleet record: %w", err)
	}
	for _, page := range c.View.Snapshot().Pages(c.Zone) {
		if err := c.fencePage(ctx, page, term.Epoch()); err != nil {
			return err
		}
	}
	c.ledgers = newLedgers(c.Store)
	c.absences = make(absenceTracker)
	c.states = make(stateTracker)
	c.otherZones = otherZones{}
	c.epoch = term.Epoch()
	return nil
}

// fencePage writes the term's epoch into a page.
func (c *Controller) fencePage(ctx context.Context, page fleetview.PageEntry, epoch int64) error {
	if page.Page.Epoch > epoch {
		return deposedError(page, epoch)
	}
	if page.Page.Epoch == epoch {
		return nil
	}
	next := page.Page
	next.Epoch = epoch
	return c.pages.swap(ctx, page, next)
}

func deposedError(page fleetview.PageEntry, epoch int64) error {
	return fmt.Errorf("page %s was written in term %d, after this term %d: %w", page.Key, page.Page.Epoch, epoch, ErrSuperseded)
}

// Maintenance returns the status of each maintenance plan as of the last
// reconciliation. It may be called from any goroutine.
func (c *Controller) Maintenance() []maintenance.Status { return c.status.get() }

// record emits a decision record with the time, zone and epoch filled in.
func (c *Controller) record(r explain.Record) {
	if c.Recorder == nil {
		return
	}
	r.At, r.Zone, r.Epoch = c.Now(), c.Zone, c.epoch
	c.Recorder.Record(r)
}
