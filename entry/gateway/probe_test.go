package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/tarragonreach/tarragonreach/api/object"
	"github.com/tarragonreach/tarragonreach/entry/backend"
	"github.com/tarragonreach/tarragonreach/entry/directory"
	"gotest.tools/v3/assert"
)

// TestProbeTimesAreNotThoseOfRequests checks that a probe has a class that no request has:
// neither a request without a class nor one of a configured class.
func TestProbeTimesAreNotThoseOfRequests(t *testing.T) {
	var sent []backend.Request
	g, _ := newTestGateway(func(_ context.Context, _ backend.Target, r *backend.Request) (*backend.Response, error) {
		sent = append(sent, *r)
		return okResponse(""), nil
	}, nil)
	call(g, "GET", "/s/sportello/x", "")
	newProber(g).probe(t.Context(), "", directory.Endpoint{ID: "a", Address: "a:80"}, false)
	assert.Equal(t, len(sent), 2)
	request, probe := sent[0], sent[1]
	assert.Equal(t, probe.Path, backend.DefaultReadinessPath)
	assert.Assert(t, probe.Class != request.Class)
	assert.Assert(t, mayBeConfigured("order"))
	assert.Assert(t, !mayBeConfigured(probe.Class), "a class may be named %q", probe.Class)
}

// mayBeConfigured reports whether a class may have the name.
func mayBeConfigured(class string) bool {
	spec := object.Class{Name: class, Timeout: object.Duration(time.Second)}
	config := (&object.Config{}).Apply(object.Change{Put: object.Document{Classes: []object.Class{spec}}})
	return len(object.Validate(config, nil).Faults) == 0
}
