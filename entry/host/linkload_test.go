package host

import (
	"encoding/json"
	"log/slog"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/platform/link"
)

// Guards against a link that is full in one direction without a line that tells which purpose fills it.
func TestLoadOfABusyLinkIsLoggedByPurpose(t *testing.T) {
	load := linkLoad{elapsed: 2 * time.Second, rate: 250_000}
	load.bytes[link.Received][link.Store] = 30_000
	load.bytes[link.Sent][link.Executors] = 400_000
	load.bytes[link.Sent][link.Callers] = 2_000
	assert.Assert(t, load.busy())
	var line strings.Builder
	slog.New(slog.NewJSONHandler(&line, nil)).Info("link busy", load.attributes()...)
	var fields struct {
		Limit    int64
		Received map[string]float64
		Sent     map[string]float64
	}
	assert.NilError(t, json.Unmarshal([]byte(line.String()), &fields))
	assert.Equal(t, fields.Limit, int64(250_000))
	assert.DeepEqual(t, fields.Received, map[string]float64{"share": 0.06, "store": 15_000})
	assert.DeepEqual(t, fields.Sent, map[string]float64{"share": 0.8, "executors": 200_000, "callers": 1_000})
}

// Guards against a log line each second from an instance whose link is idle or has no limit.
func TestLoadOfAnIdleLinkIsNotLogged(t *testing.T) {
	for _, load := range []linkLoad{
		{elapsed: time.Second, rate: 250_000},
		{elapsed: time.Second},
		{rate: 250_000},
	} {
		load.bytes[link.Received][link.Store] = 60_000
		assert.Assert(t, !load.busy())
	}
}
