package node

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/entry/fleetctl"
	"github.com/tarragonreach/tarragonreach/platform/backoff"
)

const (
	// busyMethod is the mesh call that returns on which of the given backend servers
	// the called entry instance has requests in progress.
	busyMethod = "busy"
	// busyInterval is the time between two queries of all entry instances.
	busyInterval = 2 * time.Second
	// busyTimeout bounds the query of one entry instance.
	busyTimeout = time.Second
	// busyValidity is how long a result is valid.
	busyValidity = 3 * busyInterval
)

// drainTracker tracks which draining backend servers of this availability zone have
// no request of any entry instance in progress.
type drainTracker struct {
	draining  func() []fleet.InstanceID
	executors busyChecker
	network   network
	idle      atomic.Pointer[map[fleet.InstanceID]time.Time] // until when each instance counts as idle
}

func newDrainTracker(p parts) *drainTracker {
	t := &drainTracker{draining: p.draining, executors: p.Transport, network: p.Peers}
	t.idle.Store(&map[fleet.InstanceID]time.Time{})
	return t
}

// run queries all entry instances every busyInterval while any backend server is
// draining, until ctx ends.
func (t *drainTracker) run(ctx context.Context) {
	for ctx.Err() == nil {
		t.refresh(ctx)
		_ = backoff.Sleep(ctx, busyInterval)
	}
}

func (t *drainTracker) refresh(ctx context.Context) {
	draining := t.draining()
	idle := map[fleet.InstanceID]time.Time{}
	if len(draining) > 0 {
		until := time.Now().Add(busyValidity)
		for _, id := range t.queryIdle(ctx, draining) {
			idle[id] = until
		}
	}
	t.idle.Store(&idle)
}

// draining lists the draining instances of this availability zone.
func (p parts) draining() []fleet.InstanceID {
	var out []fleet.InstanceID
	for _, located := range p.View.Snapshot().Records(p.Options.Settings.Instance.Zone) {
		if located.State == fleet.StateDraining {
			out = append(out, located.ID)
		}
	}
	return out
}

// queryIdle returns the draining instances on which no entry instance has requests in
// progress. It returns none if an entry instance does not respond, since that one may
// have requests on each of them.
func (t *drainTracker) queryIdle(ctx context.Context, draining []fleet.InstanceID) []fleet.InstanceID {
	busy := map[fleet.InstanceID]bool{}
	allResponded := true
	var mu sync.Mutex
	var calls sync.WaitGroup
	record := func(ids []fleet.InstanceID, err error) {
		mu.Lock()
		defer mu.Unlock()
		allResponded = allResponded && err == nil
		for _, id := range ids {
			busy[id] = true
		}
	}
	record(filterBusy(t.executors, draining), nil)
	for _, m := range t.network.members() {
		calls.Go(func() { record(t.queryBusy(ctx, m.ID, draining)) })
	}
	calls.Wait()
	if !allResponded {
		return nil
	}
	return slices.DeleteFunc(draining, func(id fleet.InstanceID) bool { return busy[id] })
}

func (t *drainTracker) queryBusy(ctx context.Context, peer fleet.InstanceID, ids []fleet.InstanceID) ([]fleet.InstanceID, error) {
	ctx, cancel := context.WithTimeout(ctx, busyTimeout)
	defer cancel()
	payload, err := json.Marshal(ids)
	if err != nil {
		return nil, err
	}
	return callJSON[[]fleet.InstanceID](ctx, t.network, peer, busyMethod, payload)
}

// serveBusy responds to a peer's busy call.
func (p parts) serveBusy(_ context.Context, _ fleet.InstanceID, payload []byte) ([]byte, error) {
	var ids []fleet.InstanceID
	if err := json.Unmarshal(payload, &ids); err != nil {
		return nil, fmt.Errorf("decode the instances: %w", err)
	}
	return json.Marshal(filterBusy(p.Transport, ids))
}

// busyChecker reports whether an executor has requests in progress.
type busyChecker interface {
	Busy(id fleet.InstanceID) bool
}

func filterBusy(executors busyChecker, ids []fleet.InstanceID) []fleet.InstanceID {
	busy := []fleet.InstanceID{}
	for _, id := range ids {
		if executors.Busy(id) {
			busy = append(busy, id)
		}
	}
	return busy
}

// work combines the state of workers' tasks and of backend servers' requests.
type work struct {
	tasks    fleetctl.Work
	requests *drainTracker
}

// Idle reports whether nothing is in progress on an instance, which is either a
// worker or a backend server.
func (w work) Idle(id fleet.InstanceID) bool {
	return w.tasks.Idle(id) || time.Now().Before((*w.requests.idle.Load())[id])
}

// Deadline returns the nearest deadline of a task on an instance; zero if none.
func (w work) Deadline(id fleet.InstanceID) time.Time { return w.tasks.Deadline(id) }
