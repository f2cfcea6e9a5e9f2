// Package topology determines which entry instances keep a connection to each other.
//
// The instances of an availability zone are fully meshed. The zones form a ring in the order
// of their names, and each neighbouring pair of zones is joined by two links, which share no
// instance in a zone of two or more. The loss of one instance or of one whole zone therefore
// leaves the others connected, and a zone has at most four cross-zone links, whatever the
// number of zones.
package topology

import (
	"slices"
	"strings"

	"github.com/tarragonreach/tarragonreach/api/fleet"
)

// Member is an entry instance and its availability zone.
type Member struct {
	ID   fleet.InstanceID
	Zone fleet.AvailabilityZone
}

// linksPerEdge is the number of links between two neighbouring zones.
const linksPerEdge = 2

// Peers returns the instances to which self keeps a link, sorted. Instances that have the
// same members compute the same links: a is a peer of b exactly if b is a peer of a.
func Peers(self fleet.InstanceID, members []Member) []fleet.InstanceID {
	zones := groupByZone(members)
	localZone := zoneOf(self, members)
	peers := make(map[fleet.InstanceID]bool)
	addLocalZonePeers(peers, zones, localZone)
	addRingPeers(peers, zones, self, localZone)
	delete(peers, self)
	return sortedIDs(peers)
}

// zone is an availability zone with its members, sorted.
type zone struct {
	name    fleet.AvailabilityZone
	members []fleet.InstanceID
}

func groupByZone(members []Member) []zone {
	grouped := make(map[fleet.AvailabilityZone][]fleet.InstanceID)
	for _, m := range members {
		grouped[m.Zone] = append(grouped[m.Zone], m.ID)
	}
	zones := make([]zone, 0, len(grouped))
	for name, ids := range grouped {
		slices.Sort(ids)
		zones = append(zones, zone{name: name, members: slices.Compact(ids)})
	}
	slices.SortFunc(zones, func(a, b zone) int {
		return strings.Compare(string(a.name), string(b.name))
	})
	return zones
}

func zoneOf(self fleet.InstanceID, members []Member) fleet.AvailabilityZone {
	for _, m := range members {
		if m.ID == self {
			return m.Zone
		}
	}
	return ""
}

func addLocalZonePeers(peers map[fleet.InstanceID]bool, zones []zone, localZone fleet.AvailabilityZone) {
	for _, z := range zones {
		if z.name != localZone {
			continue
		}
		for _, id := range z.members {
			peers[id] = true
		}
	}
}

func addRingPeers(peers map[fleet.InstanceID]bool, zones []zone, self fleet.InstanceID, localZone fleet.AvailabilityZone) {
	for i, from := range zones {
		to := zones[(i+1)%len(zones)]
		if from.name != localZone && to.name != localZone {
			continue
		}
		if len(zones) == 2 && i == 1 {
			continue // a ring of two zones has only one edge
		}
		addEdgePeers(peers, from, to, self)
	}
}

// addEdgePeers adds the peers of self over the links between two neighbouring zones.
func addEdgePeers(peers map[fleet.InstanceID]bool, from, to zone, self fleet.InstanceID) {
	for n := range linksPerEdge {
		near := from.members[n%len(from.members)]
		far := to.members[(linksPerEdge+n)%len(to.members)]
		if near == self {
			peers[far] = true
		}
		if far == self {
			peers[near] = true
		}
	}
}

func sortedIDs(set map[fleet.InstanceID]bool) []fleet.InstanceID {
	ids := make([]fleet.InstanceID, 0, len(set))
	for id := range set {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
