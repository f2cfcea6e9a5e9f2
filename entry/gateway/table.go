package gateway

import (
	"time"

	"github.com/tarragonreach/tarragonreach/api/object"
	"github.com/tarragonreach/tarragonreach/entry/directory"
	"github.com/tarragonreach/tarragonreach/entry/dispatch"
	"github.com/tarragonreach/tarragonreach/policy/routing"
)

// table is the routing table that requests read: a directory snapshot joined with the
// live state of its services. It is immutable and replaced atomically.
type table struct {
	snapshot *directory.Snapshot
	services map[string]*serviceEntry
}

// serviceEntry is one service of a table.
type serviceEntry struct {
	spec object.Service
	live *dispatch.Service
}

// maxBodyBytes returns the bound of a request's body for the service.
func (e *serviceEntry) maxBodyBytes(settings Settings) int64 {
	if e.spec.MaxBodyBytes > 0 {
		return e.spec.MaxBodyBytes
	}
	return settings.MaxBodyBytes
}

// applySnapshot replaces the table by one for the snapshot; calls do not overlap.
func (g *Gateway) applySnapshot(snapshot *directory.Snapshot) {
	old := g.table.Load()
	next := &table{snapshot: snapshot, services: make(map[string]*serviceEntry, len(snapshot.Services))}
	for name, service := range snapshot.Services {
		next.services[name] = &serviceEntry{spec: service.Spec, live: g.liveService(old, name)}
	}
	g.table.Store(next)
	g.allocateSlots()
	g.refuseRemovedServices(old, next)
}

// liveService returns the live state of a service, carried over from the old table if it
// has the service.
func (g *Gateway) liveService(old *table, name string) *dispatch.Service {
	if old != nil && old.services[name] != nil {
		return old.services[name].live
	}
	return dispatch.New(name, g.options.Zone, g.options.Settings.Dispatch, g.rng)
}

// refuseRemovedServices refuses the requests queued for services that are no longer
// configured.
func (g *Gateway) refuseRemovedServices(old, next *table) {
	if old == nil {
		return
	}
	for name, entry := range old.services {
		if next.services[name] == nil {
			entry.live.SetMembers(nil, 0, time.Now())
		}
	}
}

// allocateSlots sets the executors of every service with this entry instance's share of
// their slots.
func (g *Gateway) allocateSlots() {
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

// sharesOf returns this entry instance's share of the slots of each of the service's
// endpoints.
func (g *Gateway) sharesOf(snapshot *directory.Snapshot, name string, service *directory.Service) []int {
	executors := make([]routing.ExecutorSlots, len(service.Endpoints))
	for i, endpoint := range service.Endpoints {
		executors[i] = routing.ExecutorSlots{Zone: endpoint.Zone, Count: service.Spec.Slots}
	}
	return routing.AllocateSlots(executors, g.demands(snapshot, name), string(g.options.Self))
}

// connectionShare returns an equal share of an executor's connections, at least one.
func connectionShare(connections, entryInstances int) int {
	return max(1, connections/max(1, entryInstances))
}
