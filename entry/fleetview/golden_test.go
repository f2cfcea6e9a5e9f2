package fleetview

import (
	"encoding/hex"
	"os"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/mesh"
	"github.com/tarragonreach/tarragonreach/platform"
)

var (
	goldenDocument = document{Prev: 1, Through: 2, Page: []byte(`{"epoch":3,"records":[{"id":"w-1","state":"serving","epoch":4,"since":"2026-03-04T05:06:07Z"}]}`)}
	goldenKey      = "fleet/palermo/07"
)

// TestPagesFromPeersKeepTheirForm guards against changed CBOR keys and stream names, with
// which peers of two versions would not take each other's pages. Written by commit 81f8b51.
func TestPagesFromPeersKeepTheirForm(t *testing.T) {
	data, err := os.ReadFile("testdata/document.txt")
	assert.NilError(t, err)
	text := strings.TrimSpace(string(data))
	body, err := hex.DecodeString(text)
	assert.NilError(t, err)
	var decoded document
	assert.NilError(t, cbor.Unmarshal(body, &decoded))
	assert.DeepEqual(t, decoded, goldenDocument)

	page, err := parsePage(platform.Entry{Key: goldenKey, Value: decoded.Page, Revision: 5})
	assert.NilError(t, err)
	assert.Equal(t, page.Zone, fleet.AvailabilityZone("palermo"))
	assert.Equal(t, page.Page.Records[0].State, fleet.StateServing)
	encoded, err := document{Prev: decoded.Prev, Through: decoded.Through}.encode(page)
	assert.NilError(t, err)
	assert.Equal(t, hex.EncodeToString(encoded), text)
	assert.Assert(t, (&View{}).Owns(mesh.Stream("fleet/palermo")))
}
