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
	// busyMethod is the mesh call that returns which of the named backend servers
	// have requests of the callee in progress.
	busyMethod = "busy"
	// busyInterval is the time between two rounds of questions.
	busyInterval = 2 * time.Second
	// busyTimeout bounds the wait for one entry instance.
	busyTimeout = time.Second
	// busyFresh is how long an answer holds.
	busyFresh = 3 * busyInterval
)

// drained knows which draining backend servers of this availability zone have no
// request of any entry instance in progress.
type drained struct {
	draining  func() []fleet.InstanceID
	executors busyExecutors
	network   network
	idle      atomic.Pointer[map[fleet.InstanceID]time.Time] // until when each counts as idle
}

func newDrained(p parts) *drained {
	d := &drained{draining: p.draining, executors: p.Transport, network: p.Peers}
	d.idle.Store(&map[fleet.InstanceID]time.Time{})
	return d
}

// run asks all entry instances again and again while anything drains, until ctx ends.
func (d *drained) run(ctx context.Context) {
	for ctx.Err() == nil {
		d.look(ctx)
		_ = backoff.Sleep(ctx, busyInterval)
	}
}

func (d *drained) look(ctx context.Context) {
	draining := d.draining()
	idle := map[fleet.InstanceID]time.Time{}
	if len(draining) > 0 {
		until := time.Now().Add(busyFresh)
		for _, id := range d.askAll(ctx, draining) {
			idle[id] = until
		}
	}
	d.idle.Store(&idle)
}

// draining lists the instances of this availability zone that drain.
func (p parts) draining() []fleet.InstanceID {
	var out []fleet.InstanceID
	for _, located := range p.View.Snapshot().Records(p.Options.Settings.Instance.Zone) {
		if located.State == fleet.StateDraining {
			out = append(out, located.ID)
		}
	}
	return out
}

// askAll returns the instances that no entry instance is busy with. An entry
// instance that does not answer may be busy with any of them.
func (d *drained) askAll(ctx context.Context, draining []fleet.InstanceID) []fleet.InstanceID {
	busy := map[fleet.InstanceID]bool{}
	answered := true
	var mu sync.Mutex
	var asking sync.WaitGroup
	note := func(ids []fleet.InstanceID, err error) {
		mu.Lock()
		defer mu.Unlock()
		answered = answered && err == nil
		for _, id := range ids {
			busy[id] = true
		}
	}
	note(busyOf(d.executors, draining), nil)
	for _, m := range d.network.members() {
		asking.Go(func() { note(d.ask(ctx, m.ID, draining)) })
	}
	asking.Wait()
	if !answered {
		return nil
	}
	return slices.DeleteFunc(draining, func(id fleet.InstanceID) bool { return busy[id] })
}

func (d *drained) ask(ctx context.Context, peer fleet.InstanceID, ids []fleet.InstanceID) ([]fleet.InstanceID, error) {
	ctx, cancel := context.WithTimeout(ctx, busyTimeout)
	defer cancel()
	payload, err := json.Marshal(ids)
	if err != nil {
		return nil, err
	}
	return callJSON[[]fleet.InstanceID](ctx, d.network, peer, busyMethod, payload)
}

// serveBusy answers a peer's question.
func (p parts) serveBusy(_ context.Context, _ fleet.InstanceID, payload []byte) ([]byte, error) {
	var ids []fleet.InstanceID
	if err := json.Unmarshal(payload, &ids); err != nil {
		return nil, fmt.Errorf("decode the instances: %w", err)
	}
	return json.Marshal(busyOf(p.Transport, ids))
}

// busyExecutors tells which executors have requests in progress.
type busyExecutors interface {
	Busy(id fleet.InstanceID) bool
}

func busyOf(transport busyExecutors, ids []fleet.InstanceID) []fleet.InstanceID {
	busy := []fleet.InstanceID{}
	for _, id := range ids {
		if transport.Busy(id) {
			busy = append(busy, id)
		}
	}
	return busy
}

// work joins what is known of workers' tasks and of backend servers' requests.
type work struct {
	tasks    fleetctl.Work
	requests *drained
}

// Idle reports that nothing is in progress on an instance.
func (w work) Idle(id fleet.InstanceID) bool {
	return w.tasks.Idle(id) || time.Now().Before((*w.requests.idle.Load())[id])
}

// Deadline returns the nearest deadline of a batch on an instance.
func (w work) Deadline(id fleet.InstanceID) time.Time { return w.tasks.Deadline(id) }
