package host

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/platform/nodefile"
	"github.com/tarragonreach/tarragonreach/platform/standin"
)

// An instance that the store does not respond to is not ready, so that callers are sent to
// others. It is ready again with the first response.
func TestInstanceWithoutTheStoreIsNotReady(t *testing.T) {
	store := standin.NewStore()
	server := httptest.NewServer(store)
	defer server.Close()
	logger := slog.New(slog.DiscardHandler)
	h := newHost(nodefile.Node{ID: "n-1", StoreAddress: strings.TrimPrefix(server.URL, "http://"), ConfigApply: time.Second}, Options{}, logger, newMetrics(logger))
	probe := func() int {
		recorder := httptest.NewRecorder()
		h.probes.Handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/readiness", nil))
		return recorder.Code
	}
	assert.Equal(t, probe(), http.StatusServiceUnavailable, "without a configuration")
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
	assert.Equal(t, probe(), http.StatusOK)
	call := func() { // a key that is not found is a response
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		defer cancel()
		_, _ = h.store.Get(ctx, "key")
	}
	store.SetDown(true)
	for probe() == http.StatusOK {
		call()
	}
	store.SetDown(false)
	for probe() != http.StatusOK {
		call()
	}
}

// An instance that can't confirm a configuration with tenants can only refuse callers, and is not
// ready; it is ready again with the next confirmed read. Without tenants it stays ready.
func TestInstanceWithoutARecentConfigurationWithTenantsIsNotReady(t *testing.T) {
	store := standin.NewStore()
	server := httptest.NewServer(store)
	defer server.Close()
	fleet := standin.Fleet{Store: store}
	pools := []standin.PoolSpec{{Service: "terreni", Prefix: "/terreni/", Spare: true}}
	logger := slog.New(slog.DiscardHandler)
	const apply = 200 * time.Millisecond
	h := newHost(nodefile.Node{ID: "n-1", StoreAddress: strings.TrimPrefix(server.URL, "http://"), ConfigApply: apply}, Options{}, logger, newMetrics(logger))
	follow := func(version int64) { // until this version is in force
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var following sync.WaitGroup
		following.Go(func() { h.config.Run(ctx) })
		for h.config.Current() == nil || h.config.Current().Version < version || !h.config.Knowledge().Recent {
			runtime.Gosched()
		}
		cancel()
		following.Wait()
	}
	assert.NilError(t, fleet.Configure(pools, 1))
	follow(1)
	time.Sleep(apply)
	assert.Assert(t, h.ready(), "without tenants")
	assert.NilError(t, fleet.ConfigureTenants(pools, []standin.TenantSpec{}, 2))
	follow(2)
	for h.ready() {
		runtime.Gosched() // until the configuration is not recent any more
	}
	ctx, cancel := context.WithCancel(t.Context())
	var following sync.WaitGroup
	following.Go(func() { h.config.Run(ctx) })
	for !h.ready() {
		runtime.Gosched()
	}
	cancel()
	following.Wait()
}
