package host

import (
	"bytes"
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
	"github.com/tarragonreach/tarragonreach/platform/registry"
	"github.com/tarragonreach/tarragonreach/platform/standin"
)

// Nothing that an instance logs, measures or responds may contain four characters in a row of an API
// key, be the key valid, unknown, held twice, or in a configuration that can't be read.
func TestNoKeyInLogsMetricsAndResponses(t *testing.T) {
	const valid, unknown, malformed = "Vq7ZzK-nW4hJ", "Rj3PpL.uF8mC", "Xy9QqB~sU6gD"
	store := standin.NewStore()
	server := httptest.NewServer(store)
	defer server.Close()
	var seen bytes.Buffer
	logger := slog.New(slog.NewJSONHandler(&seen, &slog.HandlerOptions{Level: slog.LevelDebug}))
	metrics := newMetrics(logger)
	h := newHost(nodefile.Node{ID: "n-1", StoreAddress: strings.TrimPrefix(server.URL, "http://"), ConfigApply: time.Minute}, Options{}, logger, metrics)
	store.Put(registry.ConfigKey, []byte(`{"version":2,"tenants":[{"name":"north","api-keys":[`+malformed))
	ctx, cancel := context.WithCancel(t.Context())
	var following sync.WaitGroup
	following.Go(func() { h.config.Run(ctx) })
	assert.Assert(t, h.config.AwaitRecent(ctx).Recent) // the malformed one was read
	route := `"routes":[{"name":"r","host":"` + standin.Host + `","prefix":"/terreni/","service":"terreni"}]`
	store.Put(registry.ConfigKey, []byte(`{"version":1,`+route+`,"tenants":[{"name":"north","api-keys":["`+valid+`"]},
		{"name":"south","api-keys":["`+valid+`"]},{"name":7,"api-keys":["`+malformed+`"]},{"name":"west","api-keys":"`+malformed+`"}]}`))
	for h.config.Current() == nil {
		runtime.Gosched()
	}
	statuses := map[int]int{}
	for _, authorization := range []string{"Bearer " + valid, "Bearer " + unknown, "Basic " + malformed, malformed, "Bearer " + malformed} {
		for _, method := range []string{http.MethodPost, http.MethodGet, http.MethodDelete} {
			request := httptest.NewRequest(method, "/terreni/0123456789abcdef", strings.NewReader(`{"steps":[{"count":1}]}`))
			request.Host = standin.Host
			request.Header.Set("Authorization", authorization)
			response := httptest.NewRecorder()
			h.front.Handler.ServeHTTP(response, request)
			statuses[response.Code]++
			assert.NilError(t, response.Result().Header.Write(&seen))
			seen.Write(response.Body.Bytes())
		}
	}
	assert.DeepEqual(t, statuses, map[int]int{http.StatusOK: 3, http.StatusUnauthorized: 12})
	cancel()
	following.Wait()
	assert.NilError(t, metrics.Close())
	scrape := httptest.NewRecorder()
	h.probes.Handler.ServeHTTP(scrape, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	seen.Write(scrape.Body.Bytes())
	for _, want := range []string{"north", "tenant_request_seconds", "refusals", "unknown key", "not readable", "belong to an earlier tenant"} {
		assert.Assert(t, strings.Contains(seen.String(), want), "%s is missing in %s", want, seen.String())
	}
	const part = 4
	for _, key := range []string{valid, unknown, malformed} {
		for at := range len(key) - part + 1 {
			assert.Assert(t, !strings.Contains(seen.String(), key[at:at+part]), "%s of a key in %s", key[at:at+part], seen.String())
		}
	}
}
