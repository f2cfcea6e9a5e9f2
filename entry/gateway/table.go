package gateway

import (
	"time"

	"github.com/tarragonreach/tarragonreach/api/object"
	"github.com/tarragonreach/tarragonreach/entry/directory"
	"github.com/tarragonreach/tarragonreach/entry/dispatch"
	"github.com/tarragonreach/tarragonreach/policy/routing"
)

// table is what requests read: a directory snapshot joined with the live state
// of its services. It is immutable and replaced whole.
type table struct {
	snapshot *directory.Snapshot
	services map[string]*serviceEntry
}

// serviceEntry is one service of a table.
type serviceEntry struct {
	spec object.Service
	live *dispatch.Service
}

// maxBodyBytes returns the bound of a request's body.
func (e *serviceEntry) maxBodyBytes(settings Settings) int64 {
	if e.spec.MaxBodyBytes > 0 {
		return e.spec.MaxBodyBytes
	}
	return settings.MaxBodyBytes
}

// setSnapshot follows the directory; calls do not overlap.
func (g *Gateway) setSnapshot(snapshot *directory.Snapshot) {
	old := g.table.Load()
	next := &table{snapshot: snapshot, services: make(map[string]*serviceEntry, len(snapshot.Services))}
	for name, service := range snapshot.Services {
		next.services[name] = &serviceEntry{spec: service.Spec, live: g.liveService(old, name)}
	}
	g.table.Store(next)
	g.divideSlots()
	g.abandonServices(old, next)
}

// liveService keeps the live state of a service over snapshots.
func (g *Gateway) liveService(old *table, name string) *dispatch.Service {
	if old != nil && old.services[name] != nil {
		return old.services[name].live
	}
	return dispatch.New(name, g.options.Zone, g.options.Settings.Dispatch, g.rng)
}

// abandonServices refuses what waits for services that are no longer configured.
func (g *Gateway) abandonServices(old, next *table) {
	if old == nil {
		return
	}
	for name, entry := range old.services {
		if next.services[name] == nil {
			entry.live.SetMembers(nil, 0, time.Now())
		}
	}
}

// divideSlots gives every service its executors with this entry instance's share.
func (g *Gateway) divideSlots() {
	g.peersMu.Lock()
	defer g.peersMu.Unlock()
	t := g.table.Load()
	now := time.Now()
	for name, service := range t.snapshot.Services {
		spec := service.Spec
		shares := g.sharesOf(t.snapshot, name, service)
		connections := connectionShare(spec.Connections, len(t.snapshot.EntryInstances))
		endpoints := make([]dispatch.Endpoint, len(service.Endpoints))
		for i, endpoint := range service.Endpoints {
			endpoints[i] = dispatch.Endpoint{
				ID:          endpoint.ID,
				Address:     endpoint.Address,
				Zone:        endpoint.Zone,
				Slots:       spec.Slots,
				Share:       shares[i],
				Connections: connections,
			}
		}
		t.services[name].live.SetMembers(endpoints, spec.QueueLimit, now)
	}
}

// sharesOf divides the slots of the service's endpoints.
func (g *Gateway) sharesOf(snapshot *directory.Snapshot, name string, service *directory.Service) []int {
	executors := make([]routing.ExecutorSlots, len(service.Endpoints))
	for i, endpoint := range service.Endpoints {
		executors[i] = routing.ExecutorSlots{Zone: endpoint.Zone, Count: service.Spec.Slots}
	}
	return routing.AllocateSlots(executors, g.demands(snapshot, name), string(g.options.Self))
}

// connectionShare is an equal part of an executor's connections, at least one.
func connectionShare(connections, entryInstances int) int {
	return max(1, connections/max(1, entryInstances))
}
