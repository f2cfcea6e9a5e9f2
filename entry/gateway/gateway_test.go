package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/api/header"
	"github.com/tarragonreach/tarragonreach/api/label"
	"github.com/tarragonreach/tarragonreach/api/object"
	"github.com/tarragonreach/tarragonreach/api/verdict"
	"github.com/tarragonreach/tarragonreach/entry/backend"
	"github.com/tarragonreach/tarragonreach/entry/directory"
	"gotest.tools/v3/assert"
)

// fakeList is the platform's instance list.
type fakeList struct {
	mu        sync.Mutex
	instances []fleet.Instance
}

func (l *fakeList) Instances(context.Context) ([]fleet.Instance, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.instances, nil
}

// sendFunc implements backend.Transport by a function.
type sendFunc func(context.Context, backend.Target, *backend.Request) (*backend.Response, error)

func (f sendFunc) Send(ctx context.Context, t backend.Target, r *backend.Request) (*backend.Response, error) {
	return f(ctx, t, r)
}

// bufferedBody is a response body in memory, as the transport returns for small responses.
type bufferedBody struct{ *bytes.Reader }

func (bufferedBody) Close() error { return nil }

func okResponse(body string) *backend.Response {
	return &backend.Response{Status: http.StatusOK, Header: http.Header{}, Body: bufferedBody{bytes.NewReader([]byte(body))}}
}

func boolPointer(b bool) *bool { return &b }

func testConfig() *object.Config {
	return (&object.Config{}).Apply(object.Change{Put: object.Document{
		Services: []object.Service{{Name: "sportello", Slots: 8, Connections: 64, MaxBodyBytes: 1000, QueueLimit: 100}},
		Classes: []object.Class{
			{Name: "check", Priority: 10, Timeout: object.Duration(2 * time.Second), Repeatable: boolPointer(true)},
			{Name: "order", Priority: 5, Timeout: object.Duration(2 * time.Second), Repeatable: boolPointer(false)},
			{Name: "minimal", Priority: 1},
		},
		Tenants: []object.Tenant{{Name: "trapani"}, {Name: "capped", MaxInFlight: 1}},
	}})
}

func executorInstance(id string, zone fleet.AvailabilityZone) fleet.Instance {
	return fleet.Instance{ID: fleet.InstanceID(id), Kind: fleet.KindBackendServer, Zone: zone, Address: id + ":80",
		Labels: label.Set{fleet.LabelService: "sportello"}}
}

// newTestGateway returns a gateway for the executors "a" and "b", and its directory.
func newTestGateway(send sendFunc, change func(*Options)) (*Gateway, *directory.Directory) {
	list := &fakeList{instances: []fleet.Instance{executorInstance("a", "z1"), executorInstance("b", "z1")}}
	d := directory.New(directory.Options{List: list})
	d.SetConfig(testConfig())
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = d.Run(ctx) // Polls once.
	options := Options{Self: "e1", Zone: "z1", Directory: d, Transport: send}
	if change != nil {
		change(&options)
	}
	return New(options), d
}

func call(g http.Handler, method, path, body string, headers ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	w := httptest.NewRecorder()
	g.ServeHTTP(w, r)
	return w
}

func problemOf(t *testing.T, w *httptest.ResponseRecorder) Problem {
	t.Helper()
	assert.Equal(t, w.Header().Get("Content-Type"), problemMediaType)
	var p Problem
	assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &p))
	assert.Equal(t, p.Verdict, w.Header().Get(header.Verdict))
	return p
}

func TestResponseCarriesVerdict(t *testing.T) {
	var sent backend.Request
	var deadline time.Time
	g, _ := newTestGateway(func(ctx context.Context, _ backend.Target, r *backend.Request) (*backend.Response, error) {
		sent = *r
		deadline, _ = ctx.Deadline()
		response := okResponse("hello")
		response.Header = http.Header{"Connection": {"X-Hop"}, "X-Hop": {"1"}, "X-End": {"2"}, header.Verdict: {"not-run"}}
		return response, nil
	}, nil)
	w := call(g, "POST", "/s/sportello/dossiers/7%2F8?x=1", "body", header.Class, "check", header.Timeout, "1s")
	assert.Equal(t, w.Code, http.StatusOK)
	assert.Equal(t, w.Body.String(), "hello")
	assert.Equal(t, w.Header().Get(header.Verdict), "ran")
	assert.Equal(t, sent.Path, "/dossiers/7%2F8?x=1")
	assert.Equal(t, string(sent.Body), "body")
	assert.Equal(t, sent.ID, w.Header().Get(header.RequestID))
	assert.Equal(t, w.Header().Get("X-Hop"), "")
	assert.Equal(t, w.Header().Get("X-End"), "2")
	left := time.Until(deadline)
	assert.Assert(t, left > 0 && left <= time.Second)
}

func TestTruncatedStreamFailsForTheCaller(t *testing.T) {
	g, _ := newTestGateway(func(context.Context, backend.Target, *backend.Request) (*backend.Response, error) {
		body := io.NopCloser(io.MultiReader(strings.NewReader("part"), failingReader{io.ErrUnexpectedEOF}))
		return &backend.Response{Status: 200, Header: http.Header{}, Body: body}, nil
	}, nil)
	server := httptest.NewServer(g)
	defer server.Close()
	response, err := http.Get(server.URL + "/s/sportello/x")
	if err != nil {
		return // The connection closed before the header, which the caller notices as well.
	}
	defer response.Body.Close()
	_, err = io.ReadAll(response.Body)
	assert.Assert(t, err != nil)
}

func TestRetryUsesAnotherExecutorOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var targets []fleet.InstanceID
		g, _ := newTestGateway(func(_ context.Context, target backend.Target, _ *backend.Request) (*backend.Response, error) {
			targets = append(targets, target.ID)
			return nil, verdict.New(verdict.MayHaveRun, verdict.CodeConnectionLost, "cut")
		}, nil)
		w := call(g, "GET", "/s/sportello/x", "")
		assert.Equal(t, problemOf(t, w).Code, verdict.CodeConnectionLost)
		assert.Equal(t, len(targets), 2)
		assert.Assert(t, targets[0] != targets[1])

		targets = nil
		call(g, "POST", "/s/sportello/x", "")
		assert.Equal(t, len(targets), 1, "a POST without a class is not repeatable")

		targets = nil
		call(g, "GET", "/s/sportello/x", "", header.Attempt, "2")
		assert.Equal(t, len(targets), 1, "a retry is not retried")
	})
}
