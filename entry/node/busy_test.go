package node

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/mesh"
)

// fakeNetwork responds for each peer with the executors on which that peer has
// requests in progress; a peer without an entry in busy does not respond.
type fakeNetwork struct {
	peers []fleet.InstanceID
	busy  map[fleet.InstanceID][]fleet.InstanceID
}

func (f fakeNetwork) members() []mesh.Member {
	var out []mesh.Member
	for _, id := range f.peers {
		out = append(out, mesh.Member{ID: id})
	}
	return out
}

func (f fakeNetwork) Call(_ context.Context, peer fleet.InstanceID, _ string, _ []byte) ([]byte, error) {
	busy, responds := f.busy[peer]
	if !responds {
		return nil, errors.New("no response")
	}
	return json.Marshal(busy)
}

// busySet is the set of executors with requests of this entry instance in progress.
type busySet map[fleet.InstanceID]bool

func (b busySet) Busy(id fleet.InstanceID) bool { return b[id] }

func TestDrainingServerIsIdleOnlyIfAllInstancesConfirm(t *testing.T) {
	for _, tc := range []struct {
		name string
		own  busySet
		busy map[fleet.InstanceID][]fleet.InstanceID
		want []fleet.InstanceID
	}{
		{"none is busy", nil, map[fleet.InstanceID][]fleet.InstanceID{"p": {}, "q": {}}, []fleet.InstanceID{"a", "b"}},
		{"a peer is busy", nil, map[fleet.InstanceID][]fleet.InstanceID{"p": {"a"}, "q": {}}, []fleet.InstanceID{"b"}},
		{"this entry instance is busy", busySet{"b": true}, map[fleet.InstanceID][]fleet.InstanceID{"p": {}, "q": {}}, []fleet.InstanceID{"a"}},
		{"a peer does not respond", nil, map[fleet.InstanceID][]fleet.InstanceID{"p": {}}, nil},
	} {
		tracker := &drainTracker{
			draining:  func() []fleet.InstanceID { return []fleet.InstanceID{"a", "b"} },
			executors: tc.own,
			network:   fakeNetwork{[]fleet.InstanceID{"p", "q"}, tc.busy},
		}
		tracker.refresh(t.Context())
		got := slices.Sorted(maps.Keys(*tracker.idle.Load()))
		assert.DeepEqual(t, got, tc.want)
	}
}
