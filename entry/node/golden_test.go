package node

import (
	"encoding/hex"
	"encoding/json"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/explain"
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
	data, err := os.ReadFile("testdata/peers.txt")
	assert.NilError(t, err)
	values := map[string]string{}
	for line := range strings.Lines(string(data)) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), " ")
		values[name] = value
	}
	testGolden(t, unhex(t, values["summary"]), goldenSummary, cbor.Unmarshal, cbor.Marshal)
	testGolden(t, unhex(t, values["peer-load"]), goldenPeerLoad, cbor.Unmarshal, cbor.Marshal)
	testGolden(t, []byte(values[heldMethod]), goldenHeld, json.Unmarshal, json.Marshal)
	testGolden(t, []byte(values[explainMethod]), goldenSubject, json.Unmarshal, json.Marshal)
	assert.DeepEqual(t, summaryOf(mesh.Member{Summary: unhex(t, values["summary"])}), goldenSummary)
	assert.DeepEqual(t, []string{busyMethod, maintenanceMethod, heldMethod, explainMethod, dutyFleet},
		[]string{"busy", "maintenance", "held", "explain", "fleet"})
}

func testGolden[T any](t *testing.T, stored []byte, want T, decode func([]byte, any) error, encode func(any) ([]byte, error)) {
	t.Helper()
	var decoded T
	assert.NilError(t, decode(stored, &decoded))
	assert.DeepEqual(t, decoded, want)
	encoded, err := encode(decoded)
	assert.NilError(t, err)
	assert.DeepEqual(t, encoded, stored)
}

func unhex(t *testing.T, text string) []byte {
	t.Helper()
	data, err := hex.DecodeString(text)
	assert.NilError(t, err)
	return data
}
