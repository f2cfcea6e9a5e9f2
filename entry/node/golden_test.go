package node

import (
	"encoding/hex"
	"encoding/json"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/explain"
	"github.com/tarragonreach/tarragonreach/api/goldentest"
	"github.com/tarragonreach/tarragonreach/api/object"
	"github.com/tarragonreach/tarragonreach/entry/config"
	"github.com/tarragonreach/tarragonreach/mesh"
	"github.com/tarragonreach/tarragonreach/policy/routing"
)

// These values have no zero fields.
var (
	goldenTime     = time.Date(2026, 3, 4, 5, 6, 7, 8_000_000, time.UTC)
	goldenServices = []routing.ServiceLoad{{Service: "terreni", Demand: 1}, {Service: "irriguo", Demand: 2}}
	goldenSummary  = summary{ConfigRevision: 3, Services: goldenServices}
	goldenPeerLoad = routing.PeerLoad{Peer: "entry-1", Services: goldenServices}
	goldenHeld     = heldReply{ID: "entry-1", Held: config.InstanceRevision{Revision: 4, InForce: map[object.Revision]time.Time{3: goldenTime}}}
	goldenSubject  = explain.Subject{Kind: "pool", Name: "workers"}
)

// TestPeerCallsKeepTheirForm guards against renamed fields and methods between instances of
// two versions, which would then see no load of each other. The file was written by 81f8b51.
func TestPeerCallsKeepTheirForm(t *testing.T) {
	values := goldentest.ReadEntries(t, "testdata/peers.txt")
	goldentest.RoundTrip(t, "summary", unhex(t, values["summary"]), goldenSummary, cbor.Unmarshal, cbor.Marshal)
	goldentest.RoundTrip(t, "peer-load", unhex(t, values["peer-load"]), goldenPeerLoad, cbor.Unmarshal, cbor.Marshal)
	goldentest.RoundTrip(t, heldMethod, []byte(values[heldMethod]), goldenHeld, json.Unmarshal, json.Marshal)
	goldentest.RoundTrip(t, explainMethod, []byte(values[explainMethod]), goldenSubject, json.Unmarshal, json.Marshal)
	assert.DeepEqual(t, summaryOf(mesh.Member{Summary: unhex(t, values["summary"])}), goldenSummary)
	assert.DeepEqual(t, []string{busyMethod, maintenanceMethod, heldMethod, explainMethod, dutyFleet},
		[]string{"busy", "maintenance", "held", "explain", "fleet"})
}

func unhex(t *testing.T, text string) []byte {
	t.Helper()
	data, err := hex.DecodeString(text)
	assert.NilError(t, err)
	return data
}
