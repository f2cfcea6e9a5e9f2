package host

import (
	"context"
	"log/slog"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/platform/call"
	"github.com/tarragonreach/tarragonreach/platform/nodefile"
	"github.com/tarragonreach/tarragonreach/platform/standin"
	"github.com/tarragonreach/tarragonreach/policy/reach"
)

// assessedPeers are other instances of which only the assessment is known.
type assessedPeers struct{ assessment reach.Assessment }

func (p *assessedPeers) Ask(context.Context, call.Request, func(call.Response) bool) (call.Response, bool) {
	return call.Response{}, false
}

func (p *assessedPeers) Assessment() reach.Assessment { return p.assessment }

// Guards against instances that the platform sends callers to although they are known to be cut off, before the store
// counts as unavailable.
func TestInstanceThatIsCutOffIsReady(t *testing.T) {
	store := standin.NewStore()
	server := httptest.NewServer(store)
	defer server.Close()
	logger := slog.New(slog.DiscardHandler)
	h := newHost(nodefile.Node{ID: "n-1", StoreAddress: strings.TrimPrefix(server.URL, "http://"), ConfigApply: time.Second}, Options{}, logger, newMetrics(logger))
	others := &assessedPeers{}
	h.intake.SetPeers(others)
	fleet := standin.Fleet{Store: store}
	assert.NilError(t, fleet.Configure([]standin.PoolSpec{{Service: "terreni", Prefix: "/terreni/", Spare: true}}, 1))
	ctx, cancel := context.WithCancel(t.Context())
	var following sync.WaitGroup
	following.Go(func() { h.config.Run(ctx) })
	for h.config.Current() == nil {
		runtime.Gosched()
	}
	cancel()
	following.Wait()
	assert.Assert(t, h.ready())
	others.assessment.CutOff = true
	assert.Assert(t, !h.ready())
}
