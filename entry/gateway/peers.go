package gateway

import (
	"github.com/tarragonreach/tarragonreach/entry/directory"
	"github.com/tarragonreach/tarragonreach/policy/routing"
)

// LoadSummary returns this entry instance's load for its peers. It is called
// once for each summary that is sent, because the division of slots rests on the
// summary sent last.
func (g *Gateway) LoadSummary() routing.PeerLoad {
	summary := routing.PeerLoad{Peer: string(g.options.Self)}
	for name, entry := range g.table.Load().services {
		demand := entry.live.Demand()
		if demand > 0 {
			summary.Services = append(summary.Services, routing.ServiceLoad{Service: name, Demand: demand})
		}
	}
	g.peersMu.Lock()
	g.self = summary
	g.peersMu.Unlock()
	return summary
}

// SetPeerLoads takes the newest summaries of all reachable peers and divides the
// slots afresh.
func (g *Gateway) SetPeerLoads(peers []routing.PeerLoad) {
	g.peersMu.Lock()
	g.peers = peers
	g.peersMu.Unlock()
	g.divideSlots()
}

// demands returns the demand of every listed entry instance; the lock is held.
func (g *Gateway) demands(snapshot *directory.Snapshot, service string) []routing.Demand {
	self := string(g.options.Self)
	demands := []routing.Demand{demandOf(g.self, service, self)}
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
