package gateway

import (
	"cmp"
	"slices"
	"time"

	"github.com/tarragonreach/tarragonreach/entry/directory"
	"github.com/tarragonreach/tarragonreach/policy/routing"
)

// LoadSummary returns the load summary that this entry instance publishes to its peers.
// It may be called often; the summary changes only when a new one is due.
func (g *Gateway) LoadSummary() routing.PeerLoad {
	g.peersMu.Lock()
	defer g.peersMu.Unlock()
	now := time.Now()
	if g.published.Peer != "" && !g.summaryDue(now.Sub(g.publishedAt)) {
		return g.published
	}
	next := routing.PeerLoad{Peer: string(g.options.Self)}
	for name, entry := range g.table.Load().services {
		last := demandOf(g.published, name, next.Peer).Slots
		demand := routing.DampDemand(last, entry.live.Load())
		if demand > 0 {
			next.Services = append(next.Services, routing.ServiceLoad{Service: name, Demand: demand})
		}
	}
	slices.SortFunc(next.Services, func(a, b routing.ServiceLoad) int { return cmp.Compare(a.Service, b.Service) })
	g.previouslyPublished, g.published, g.publishedAt = g.published, next, now
	return next
}

// summaryDue reports whether a new summary is due, given the age of the last one; the
// lock is held.
func (g *Gateway) summaryDue(age time.Duration) bool {
	due := routing.ShouldPublish(0, 0, age)
	for name, entry := range g.table.Load().services {
		last := demandOf(g.published, name, g.published.Peer).Slots
		due = due || routing.ShouldPublish(last, entry.live.Load(), age)
	}
	return due
}

// SetPeerLoads replaces the load summaries of all reachable peers and allocates the
// slots again.
func (g *Gateway) SetPeerLoads(peers []routing.PeerLoad) {
	g.peersMu.Lock()
	g.peers = peers
	g.peersMu.Unlock()
	g.allocateSlots()
}

// demands returns the demand for the service at every listed entry instance, this one
// first; the lock is held.
func (g *Gateway) demands(snapshot *directory.Snapshot, service string) []routing.Demand {
	self := string(g.options.Self)
	own := routing.EffectiveDemand(demandOf(g.previouslyPublished, service, self), demandOf(g.published, service, self), time.Since(g.publishedAt))
	demands := []routing.Demand{own}
	demands[0].Zone = g.options.Zone
	for _, instance := range snapshot.EntryInstances {
		peer := string(instance.ID)
		if peer == self {
			continue
		}
		demand := routing.Demand{Peer: peer}
		for _, load := range g.peers {
			if load.Peer == peer {
				demand = demandOf(load, service, peer)
			}
		}
		demand.Zone = instance.Zone
		if demand.Zone != g.options.Zone && demand.Slots == 0 {
			demand.Known = false // Summaries from other availability zones arrive late or not at all.
		}
		demands = append(demands, demand)
	}
	return demands
}

func demandOf(load routing.PeerLoad, service, peer string) routing.Demand {
	demand := routing.Demand{Peer: peer, Known: load.Peer == peer}
	for _, s := range load.Services {
		if s.Service == service {
			demand.Slots = s.Demand
		}
	}
	return demand
}
