package node

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/tarragonreach/tarragonreach/api/explain"
	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/api/label"
	"github.com/tarragonreach/tarragonreach/api/operations"
	"github.com/tarragonreach/tarragonreach/entry/fleetctl"
	"github.com/tarragonreach/tarragonreach/entry/fleetview"
	"github.com/tarragonreach/tarragonreach/entry/jobctl"
	"github.com/tarragonreach/tarragonreach/entry/operator"
	"github.com/tarragonreach/tarragonreach/entry/storecache"
)

// fleetOperations shows and steers pools and instances for operators.
type fleetOperations struct {
	parts
	controllers *controllers
}

var _ operator.Fleet = (*fleetOperations)(nil)

func (f *fleetOperations) operations() fleetctl.Operations {
	return fleetctl.Operations{Store: f.Store, View: f.View, Now: time.Now}
}

// Pools returns how each pool stands by the fleet record.
func (f *fleetOperations) Pools() []operations.PoolStatus {
	out := []operations.PoolStatus{}
	for _, r := range fleetctl.ReportPools(f.View.Snapshot(), f.Follower.Current()) {
		out = append(out, operations.PoolStatus{
			Name: r.Name, Size: r.Size, Healthy: r.Serving, Expected: r.Budget.Expected, Available: r.Budget.Remaining(),
			Reasons: f.latest(r.Name),
		})
	}
	return out
}

// latest returns the last decision about a pool that was made here, if any.
func (f *fleetOperations) latest(pool string) []string {
	records := f.Ring.About(explain.Pool(pool))
	if len(records) == 0 {
		return nil
	}
	return []string{string(records[0].Reason) + ": " + records[0].Detail}
}

// Instances returns how each instance stands by the fleet record.
func (f *fleetOperations) Instances() []operations.InstanceStatus {
	out := []operations.InstanceStatus{}
	for _, located := range f.View.Snapshot().Records("") {
		out = append(out, instanceStatus(located))
	}
	return out
}

func instanceStatus(l fleetview.LocatedRecord) operations.InstanceStatus {
	return operations.InstanceStatus{
		ID: l.ID, Zone: l.Zone, Rack: l.Rack, Pool: l.Pool, State: l.State, Reason: l.Reason, Labels: l.Labels, Since: l.Since,
	}
}

// Maintenance returns the progress of the maintenance plans as each availability
// zone's duty sees it, from every reachable entry instance.
func (f *fleetOperations) Maintenance(ctx context.Context) []operations.MaintenanceStatus {
	out := f.controllers.maintenance()
	for _, theirs := range callAll[[]operations.MaintenanceStatus](ctx, f.Peers, maintenanceMethod, nil) {
		out = append(out, theirs...)
	}
	slices.SortStableFunc(out, func(a, b operations.MaintenanceStatus) int {
		return strings.Compare(a.Plan+"/"+string(a.Zone), b.Plan+"/"+string(b.Zone))
	})
	return out
}

// Jobs returns how each job stands by its pages in the store.
func (f *fleetOperations) Jobs(ctx context.Context) ([]operations.JobStatus, error) {
	pages := storecache.New(f.Store, fleet.JobPrefix)
	if _, err := pages.Load(ctx); err != nil {
		return nil, fmt.Errorf("%w: %w", operator.ErrUnavailable, err)
	}
	out := []operations.JobStatus{}
	for _, r := range jobctl.ReportJobs(f.Follower.Current(), pages.Entries()) {
		out = append(out, operations.JobStatus{
			Name: r.Name, Tenant: r.Tenant, Tasks: r.Tasks, Running: r.Running, Done: r.Done, Waiting: r.Waiting,
			Reason: r.Reason,
		})
	}
	return out, nil
}

// Drain asks to take an instance out of its pool.
func (f *fleetOperations) Drain(ctx context.Context, id fleet.InstanceID, reason string) (operations.InstanceStatus, error) {
	return f.after(id, f.operations().Drain(ctx, id, reason))
}

// Undrain withdraws a drain.
func (f *fleetOperations) Undrain(ctx context.Context, id fleet.InstanceID) (operations.InstanceStatus, error) {
	return f.after(id, f.operations().Undrain(ctx, id))
}

// Relabel sets operators' labels; an empty value removes one.
func (f *fleetOperations) Relabel(ctx context.Context, id fleet.InstanceID, labels label.Set) (operations.InstanceStatus, error) {
	set := label.Set{}
	var remove []string
	for key, value := range labels {
		if value == "" {
			remove = append(remove, key)
			continue
		}
		set[key] = value
	}
	return f.after(id, f.operations().Relabel(ctx, id, set, remove...))
}

// after returns the instance as it stands after an operation, or its mapped error.
func (f *fleetOperations) after(id fleet.InstanceID, err error) (operations.InstanceStatus, error) {
	switch {
	case errors.Is(err, fleetctl.ErrUnknownInstance):
		return operations.InstanceStatus{}, fmt.Errorf("%w: %w", operator.ErrNotFound, err)
	case errors.Is(err, fleetctl.ErrTooManyConflicts):
		return operations.InstanceStatus{}, fmt.Errorf("%w: %w", operator.ErrRefused, err)
	case err != nil:
		return operations.InstanceStatus{}, fmt.Errorf("%w: %w", operator.ErrUnavailable, err)
	}
	record, zone, _ := f.View.Snapshot().Find(id)
	return instanceStatus(fleetview.LocatedRecord{Record: record, Zone: zone}), nil
}
