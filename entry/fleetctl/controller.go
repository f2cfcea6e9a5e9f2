package fleetctl

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"github.com/tarragonreach/tarragonreach/api/explain"
	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/policy/maintenance"
)

// RoundInterval is the pause between two rounds of a controller.
const RoundInterval = 2 * time.Second

// Controller decides for one availability zone. Its methods are for one goroutine,
// except Maintenance.
type Controller struct {
	Options
	pages   pages
	ledgers *ledgers
	absence absence
	sizing  *sizing
	status  statuses
	epoch   int64 // of the term for which the caches hold
}

// New returns a controller.
func New(options Options) *Controller {
	options = options.WithDefaults()
	return &Controller{
		Options: options,
		pages:   pages{options.Store, options.View},
		ledgers: newLedgers(options.Store),
		absence: make(absence),
		sizing:  newSizing(options),
	}
}

// Run makes rounds while the term is active, until ctx ends.
func (c *Controller) Run(ctx context.Context, term Term) error {
	ticker := time.NewTicker(RoundInterval)
	defer ticker.Stop()
	failing := false
	for term.Active() {
		err := c.Round(ctx, term)
		if (err != nil) != failing {
			failing = err != nil
			slog.Info("fleet rounds", "zone", c.Zone, "epoch", term.Epoch(), "failing", failing, "error", err)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

// Round decides once and applies what was decided. An error ends the round; what
// is left is decided anew in the next one.
func (c *Controller) Round(ctx context.Context, term Term) error {
	config := c.Config()
	if !term.Active() || config == nil {
		return nil
	}
	if err := c.begin(ctx, term); err != nil {
		return err
	}
	listed, err := c.List.Instances(ctx)
	if err != nil {
		return fmt.Errorf("list instances: %w", err)
	}
	r := c.newRound(config, listed, term)
	r.observe()
	r.decidePools()
	r.decideMaintenance(ctx)
	if err := r.levelLedgers(ctx); err != nil {
		return err
	}
	if err := r.apply(ctx); err != nil {
		return err
	}
	return r.levelLedgers(ctx)
}

// begin reads what the store holds at the start of a term, so that nothing is
// decided on what an earlier term remembers.
func (c *Controller) begin(ctx context.Context, term Term) error {
	if c.epoch == term.Epoch() {
		return nil
	}
	if _, err := c.View.Load(ctx, c.Store); err != nil {
		return fmt.Errorf("read the fleet record: %w", err)
	}
	c.ledgers = newLedgers(c.Store)
	c.absence = make(absence)
	c.epoch = term.Epoch()
	return nil
}

// Maintenance returns how each maintenance plan stood in the last round. It may be
// called from any goroutine.
func (c *Controller) Maintenance() []maintenance.Status { return c.status.get() }

// record fills in what all records of a controller share.
func (c *Controller) record(r explain.Record) {
	if c.Recorder == nil {
		return
	}
	r.At, r.Zone, r.Epoch = c.Now(), c.Zone, c.epoch
	c.Recorder.Record(r)
}

// absence says since when instances miss from the platform's list.
type absence map[fleet.InstanceID]time.Time

func (a absence) note(id fleet.InstanceID, listed bool, now time.Time) time.Duration {
	if listed {
		delete(a, id)
		return 0
	}
	if _, known := a[id]; !known {
		a[id] = now
	}
	return now.Sub(a[id])
}
