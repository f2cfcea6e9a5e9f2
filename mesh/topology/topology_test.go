package topology

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	_ "github.com/tarragonreach/tarragonreach/api/rapidseed"
)

// maxCrossZoneLinks is the maximum number of cross-zone links that end in one zone.
const maxCrossZoneLinks = 2 * linksPerEdge

func drawMembers(t *rapid.T) []Member {
	var members []Member
	for z := range rapid.IntRange(1, 14).Draw(t, "zones") {
		for range rapid.IntRange(1, 6).Draw(t, "members of the zone") {
			id := fleet.InstanceID(fmt.Sprintf("entry-%03d", len(members)*37%101))
			members = append(members, Member{ID: id, Zone: fleet.AvailabilityZone(fmt.Sprintf("zone-%02d", z))})
		}
	}
	return rapid.Permutation(members).Draw(t, "order")
}

// linksOf returns the peers of each member.
func linksOf(members []Member) map[fleet.InstanceID][]fleet.InstanceID {
	links := make(map[fleet.InstanceID][]fleet.InstanceID)
	for _, m := range members {
		links[m.ID] = Peers(m.ID, members)
	}
	return links
}

// connected reports whether the links among the members for which keep is true connect all
// of these members.
func connected(members []Member, links map[fleet.InstanceID][]fleet.InstanceID, keep func(Member) bool) bool {
	kept := make(map[fleet.InstanceID]bool)
	for _, m := range members {
		if keep(m) {
			kept[m.ID] = true
		}
	}
	found := make(map[fleet.InstanceID]bool)
	var visit func(fleet.InstanceID)
	visit = func(id fleet.InstanceID) {
		if !kept[id] || found[id] {
			return
		}
		found[id] = true
		for _, peer := range links[id] {
			visit(peer)
		}
	}
	for id := range kept {
		visit(id)
		break
	}
	return len(found) == len(kept)
}

func TestLossOfOneMemberOrZoneLeavesTheOthersConnected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := drawMembers(t)
		links := linksOf(members)
		assert.Assert(t, connected(members, links, func(Member) bool { return true }))
		for _, lost := range members {
			assert.Assert(t, connected(members, links, func(m Member) bool { return m.ID != lost.ID }), "without %s", lost.ID)
			assert.Assert(t, connected(members, links, func(m Member) bool { return m.Zone != lost.Zone }), "without %s", lost.Zone)
		}
	})
}

func TestLinksAreSymmetricAndBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := drawMembers(t)
		zones := make(map[fleet.InstanceID]fleet.AvailabilityZone)
		perZone := make(map[fleet.AvailabilityZone]int)
		for _, m := range members {
			zones[m.ID] = m.Zone
			perZone[m.Zone]++
		}
		cross := make(map[fleet.AvailabilityZone]int)
		links := linksOf(members)
		for _, m := range members {
			zoneLinks := 0
			for _, peer := range links[m.ID] {
				assert.Assert(t, slices.Contains(links[peer], m.ID), "%s and %s", m.ID, peer)
				if zones[peer] == m.Zone {
					zoneLinks++
				} else {
					cross[m.Zone]++
				}
			}
			assert.Equal(t, zoneLinks, perZone[m.Zone]-1)
		}
		for zone, links := range cross {
			assert.Assert(t, links <= maxCrossZoneLinks, "%d links of %s", links, zone)
		}
	})
}

func TestPeersDoNotDependOnTheOrderOfMembers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := drawMembers(t)
		shuffled := rapid.Permutation(members).Draw(t, "other order")
		for _, m := range members {
			assert.DeepEqual(t, Peers(m.ID, members), Peers(m.ID, shuffled))
		}
	})
}
