package node

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/api/operations"
	"github.com/tarragonreach/tarragonreach/entry/duty"
	"github.com/tarragonreach/tarragonreach/entry/fleetctl"
	"github.com/tarragonreach/tarragonreach/entry/jobctl"
	"github.com/tarragonreach/tarragonreach/platform"
)

// dutyFleet is the duty to manage the pools and the tasks of one availability zone.
const dutyFleet = "fleet"

// controllers runs the controllers of the availability zone while this entry instance
// holds their duty.
type controllers struct {
	lessee *duty.Lessee
	parts  parts
	fleet  atomic.Pointer[fleetctl.Controller]
}

func newControllers(p parts) *controllers {
	s := p.Options.Settings
	lessee := duty.New(p.Store, duty.Options{
		Zone: s.Instance.Zone, Self: s.Instance.ID, Logger: p.Log.Logger,
		Candidate: p.isWatcher,
	})
	return &controllers{lessee: lessee, parts: p}
}

// run competes for the duty until ctx ends.
func (c *controllers) run(ctx context.Context) error {
	c.lessee.Run(ctx, dutyFleet, c.runTerm)
	return nil
}

// activeTerm adapts a duty's term for the controllers.
type activeTerm struct {
	term duty.Term
}

// Epoch returns the term's fencing epoch.
func (t activeTerm) Epoch() int64 { return t.term.Epoch }

// Active reports whether the term is still valid by this process's clock.
func (t activeTerm) Active() bool { return t.term.Valid(time.Now()) }

// runTerm runs the controllers of the availability zone during one term: one for its
// pools and one for the tasks on its workers.
func (c *controllers) runTerm(ctx context.Context, term duty.Term) {
	store := duty.Fence(c.parts.Store, term)
	jobs := c.newJobs(store)
	requests := newDrainTracker(c.parts)
	pools := c.newPools(store, work{jobs, requests})
	c.fleet.Store(pools)
	defer c.fleet.Store(nil)
	var loops sync.WaitGroup
	loops.Go(func() { c.parts.JobPages.Run(ctx) })
	loops.Go(func() { requests.run(ctx) })
	loops.Go(func() { c.logEnded(ctx, "placement", jobs.Run(ctx, activeTerm{term})) })
	loops.Go(func() { c.logEnded(ctx, "pools", pools.Run(ctx, activeTerm{term})) })
	loops.Wait()
}

func (c *controllers) logEnded(ctx context.Context, controller string, err error) {
	if err != nil && ctx.Err() == nil {
		c.parts.Log.Warn("a controller ended unexpectedly", "decisions", controller, "error", err)
	}
}

func (c *controllers) newPools(store platform.Store, work fleetctl.Work) *fleetctl.Controller {
	p := c.parts
	return fleetctl.New(fleetctl.Options{
		Zone: p.Options.Settings.Instance.Zone, Store: store, View: p.View, List: p.List,
		Instances: p.Client, Config: p.Follower.Current, Recorder: p.Ring, Work: work, Demand: demand{p}, Health: p.Health,
		Logger: p.Log.Logger,
	})
}

func (c *controllers) newJobs(store platform.Store) *jobctl.Controller {
	p := c.parts
	return jobctl.New(jobctl.Options{
		Zone: p.Options.Settings.Instance.Zone, Store: store, Cache: p.JobPages, List: p.List, Workers: p.Client,
		Config: p.Follower.Current, Recorder: p.Ring, Logger: p.Log.Logger,
		FleetRecord: func(id fleet.InstanceID) (fleet.Record, bool) {
			record, _, known := p.View.Snapshot().Find(id)
			return record, known
		},
	})
}

// maintenance returns the status of the maintenance plans after the last
// reconciliation; empty while another entry instance holds the duty.
func (c *controllers) maintenance() []operations.MaintenanceStatus {
	out := []operations.MaintenanceStatus{}
	controller := c.fleet.Load()
	if controller == nil {
		return out
	}
	for _, s := range controller.Maintenance() {
		out = append(out, operations.MaintenanceStatus{
			Plan: s.Plan, Zone: c.parts.Options.Settings.Instance.Zone, Done: s.Done, Total: s.Total,
			UnderMaintenance: s.InProgress, Due: s.Due, Forecast: s.Forecast, Paused: string(s.Paused),
		})
	}
	return out
}

// duties returns the duties that this entry instance holds.
func (c *controllers) duties() []operations.Duty {
	var out []operations.Duty
	for _, term := range c.lessee.Held(time.Now()) {
		out = append(out, operations.Duty{Name: term.Name, Epoch: term.Epoch, Since: term.Since})
	}
	return out
}
