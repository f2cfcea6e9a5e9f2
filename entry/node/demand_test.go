package node

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/mesh"
	"github.com/tarragonreach/tarragonreach/policy/routing"
)

func member(t *testing.T, id fleet.InstanceID, zone fleet.AvailabilityZone, slots int) mesh.Member {
	t.Helper()
	m := mesh.Member{ID: id, Zone: zone, Reachable: true}
	if slots >= 0 {
		body, err := cbor.Marshal(summary{Services: []routing.ServiceLoad{{Service: "terreni", Demand: slots}}})
		assert.NilError(t, err)
		m.Summary = body
	}
	return m
}

func TestZoneLoadShareExcludesInstancesWithoutSummary(t *testing.T) {
	own := routing.PeerLoad{Services: []routing.ServiceLoad{{Service: "terreni", Demand: 5}}}
	members := []mesh.Member{
		member(t, "a-2", "a", 3), member(t, "b-1", "b", 4), member(t, "b-2", "b", -1), {ID: "c-1", Zone: "c"},
	}
	for _, tc := range []struct {
		zone  fleet.AvailabilityZone
		slots int
		share float64
	}{
		{"a", 8, 1},
		{"b", 4, 0.5},
		{"c", 0, 0}, // unreachable
	} {
		loads, share := zoneLoads(tc.zone, "a", own, members)
		assert.Equal(t, slotsOf("terreni", loads), tc.slots, string(tc.zone))
		assert.Equal(t, share, tc.share, string(tc.zone))
	}
}
