package node

import (
	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/policy/routing"
)

// demand tells the fleet's controllers how much of a pool the request path uses in
// this availability zone.
type demand struct {
	parts
}

// Demand returns the load of the services of a pool in busy instances, from this
// entry instance and its peers in the zone. It is known only for pools that serve
// requests and for this zone.
func (d demand) Demand(pool string, zone fleet.AvailabilityZone) (float64, bool) {
	if zone != d.Options.Settings.Instance.Zone {
		return 0, false
	}
	loads := d.loads()
	total, known := 0.0, false
	for name, service := range d.Follower.Current().Services {
		if service.Spec.Pool != pool || service.Spec.Slots <= 0 {
			continue
		}
		known = true
		total += float64(slotsOf(name, loads)) / float64(service.Spec.Slots)
	}
	return total, known
}

func (d demand) loads() []routing.PeerLoad {
	loads := []routing.PeerLoad{*d.OwnLoad.Load()}
	for _, m := range d.Peers.members() {
		if m.Reachable && m.Zone == d.Options.Settings.Instance.Zone {
			loads = append(loads, routing.PeerLoad{Peer: string(m.ID), Services: summaryOf(m).Services})
		}
	}
	return loads
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
