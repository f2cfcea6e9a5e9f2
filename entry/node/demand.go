package node

import (
	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/mesh"
	"github.com/tarragonreach/tarragonreach/policy/routing"
)

// demand reports to the fleet's controllers how much of a pool the request path uses
// in each availability zone.
type demand struct {
	parts
}

// Demand returns the load of a pool's services as a number of fully used instances.
// It is known only for pools that serve requests, and for zones with an entry
// instance that reports its load.
func (d demand) Demand(pool string, zone fleet.AvailabilityZone) (float64, bool) {
	loads, share := d.loads(zone)
	if len(loads) == 0 {
		return 0, false
	}
	total, known := 0.0, false
	for name, service := range d.Follower.Current().Services {
		if service.Spec.Pool != pool || service.Spec.Slots <= 0 {
			continue
		}
		known = true
		total += float64(slotsOf(name, loads)) / float64(service.Spec.Slots)
	}
	return total / share, known
}

// loads returns the known loads of a zone's entry instances, and the share of the
// zone's entry instances that reported one. The load of instances in other zones is
// known only over a direct mesh link; the others count as equally loaded, since the
// load balancer spreads the requests evenly.
func (d demand) loads(zone fleet.AvailabilityZone) ([]routing.PeerLoad, float64) {
	return zoneLoads(zone, d.Options.Settings.Instance.Zone, *d.OwnLoad.Load(), d.Peers.members())
}

func zoneLoads(zone, own fleet.AvailabilityZone, ownLoad routing.PeerLoad, members []mesh.Member) ([]routing.PeerLoad, float64) {
	var loads []routing.PeerLoad
	present := 0
	if zone == own {
		loads = append(loads, ownLoad)
		present++
	}
	for _, m := range members {
		if !m.Reachable || m.Zone != zone {
			continue
		}
		present++
		if m.Summary != nil {
			loads = append(loads, routing.PeerLoad{Peer: string(m.ID), Services: summaryOf(m).Services})
		}
	}
	return loads, float64(len(loads)) / float64(max(present, 1))
}

func slotsOf(service string, loads []routing.PeerLoad) int {
	slots := 0
	for _, load := range loads {
		for _, s := range load.Services {
			if s.Service == service {
				slots += s.Demand
			}
		}
	}
	return slots
}
