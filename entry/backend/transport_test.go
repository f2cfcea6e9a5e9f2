package backend_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/header"
	"github.com/tarragonreach/tarragonreach/api/verdict"
	"github.com/tarragonreach/tarragonreach/entry/backend"
	"github.com/tarragonreach/tarragonreach/entry/standin"
)

func startServer(t testing.TB, settings standin.Settings) (*standin.Server, backend.Target) {
	t.Helper()
	server, err := standin.Start("127.0.0.1:0", settings)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = server.Close() })
	return server, backend.Target{ID: "executor-1", Address: server.Address(), Connections: 8}
}

func newTransport(t testing.TB, options backend.Options) *backend.HTTPTransport {
	t.Helper()
	transport := backend.New(options)
	t.Cleanup(func() { _ = transport.Close() })
	return transport
}

func request(method, id string) *backend.Request {
	h := http.Header{header.IdempotencyKey: {"key-" + id}}
	return &backend.Request{ID: id, Method: method, Path: "/dossier?x=1", Header: h, Body: []byte("body")}
}

func readAll(response *backend.Response) ([]byte, error) {
	defer response.Body.Close()
	return io.ReadAll(response.Body)
}

func TestSendReturnsTheWholeResponse(t *testing.T) {
	server, target := startServer(t, standin.Settings{ResponseBytes: 100})
	transport := newTransport(t, backend.Options{})
	for _, id := range []string{"a", "b", "c"} {
		response, err := transport.Send(t.Context(), target, request(http.MethodPost, id))
		assert.NilError(t, err)
		body, err := readAll(response)
		assert.NilError(t, err)
		assert.Equal(t, response.Status, http.StatusOK)
		assert.DeepEqual(t, body, standin.Body(id, 100))
		assert.Equal(t, server.Runs(id), 1)
	}
}

func TestFaultsYieldTheirVerdict(t *testing.T) {
	cases := []struct {
		name    string
		fault   standin.Fault
		verdict verdict.Verdict
		code    verdict.Code
		runs    int
	}{
		{"busy", standin.Busy, verdict.NotRun, verdict.CodeBackendServerBusy, 0},
		{"leaving", standin.Leaving, verdict.NotRun, verdict.CodeBackendServerLeaving, 0},
		{"stall", standin.Stall, verdict.MayHaveRun, verdict.CodeTimeout, 1},
		{"truncated", standin.Truncate, verdict.MayHaveRun, verdict.CodeResponseTruncated, 1},
		{"truncated chunks", standin.TruncateChunked, verdict.MayHaveRun, verdict.CodeResponseTruncated, 1},
		{"oversized", standin.Oversize, verdict.MayHaveRun, verdict.CodeResponseTooLarge, 1},
		{"mismatched echo", standin.MismatchedEcho, verdict.MayHaveRun, verdict.CodeResponseMismatched, 1},
		{"closed after run", standin.CloseAfterRun, verdict.MayHaveRun, verdict.CodeConnectionLost, 1},
		{"closed before run", standin.CloseReused, verdict.MayHaveRun, verdict.CodeConnectionLost, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			server, target := startServer(t, standin.Settings{})
			transport := newTransport(t, backend.Options{MaxResponseBytes: 1 << 20})
			_, err := transport.Send(t.Context(), target, request(http.MethodPost, "first"))
			assert.NilError(t, err)
			waitFor(t, func() bool { return transport.IdleConnections(target) == 1 })
			server.SetFault(c.fault)
			ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
			defer cancel()
			_, err = transport.Send(ctx, target, request(http.MethodPost, "second"))
			assert.Equal(t, verdict.Of(err), c.verdict, "%v", err)
			assert.Equal(t, verdict.CodeOf(err), c.code, "%v", err)
			assert.Equal(t, server.Runs("second"), c.runs)
			server.SetFault(standin.None)
			_, err = transport.Send(t.Context(), target, request(http.MethodPost, "third"))
			assert.NilError(t, err)
		})
	}
}

func TestUnreachableExecutorYieldsNotRun(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	target := backend.Target{ID: "unreachable", Address: listener.Addr().String(), Connections: 1}
	assert.NilError(t, listener.Close())
	_, err = newTransport(t, backend.Options{}).Send(t.Context(), target, request(http.MethodPost, "a"))
	assert.Equal(t, verdict.Of(err), verdict.NotRun)
	assert.Equal(t, verdict.CodeOf(err), verdict.CodeConnectFailed)
}

func TestConnectionsStayWithinTheLimit(t *testing.T) {
	server, target := startServer(t, standin.Settings{})
	target.Connections = 1
	server.SetFault(standin.Stall)
	transport := newTransport(t, backend.Options{})
	ctx, cancel := context.WithCancel(t.Context())
	stalled := make(chan error, 1)
	go func() {
		_, err := transport.Send(ctx, target, request(http.MethodPost, "first"))
		stalled <- err
	}()
	waitFor(t, func() bool { return server.Runs("first") == 1 })
	_, err := transport.Send(t.Context(), target, request(http.MethodPost, "second"))
	assert.Equal(t, verdict.Of(err), verdict.NotRun)
	assert.Equal(t, verdict.CodeOf(err), verdict.CodeBackendServerBusy)
	cancel()
	err = <-stalled
	assert.Equal(t, verdict.Of(err), verdict.MayHaveRun)
	assert.Equal(t, verdict.CodeOf(err), verdict.CodeCanceled)
}

func waitFor(t testing.TB, done func() bool) {
	t.Helper()
	for !done() {
		if t.Context().Err() != nil {
			t.Fatal("the test ended while it waited")
		}
		time.Sleep(time.Millisecond)
	}
}

func TestDuplicateResponseNeverReachesTheNextRequest(t *testing.T) {
	server, target := startServer(t, standin.Settings{})
	transport := newTransport(t, backend.Options{})
	for _, id := range strings.Fields("a b c d e f g h i j") {
		server.SetFault(standin.Duplicate)
		response, err := transport.Send(t.Context(), target, request(http.MethodPost, id))
		if err != nil {
			// The duplicate response arrived after the next request had been written.
			assert.Equal(t, verdict.CodeOf(err), verdict.CodeResponseMismatched, "%v", err)
			continue
		}
		body, err := readAll(response)
		assert.NilError(t, err)
		assert.DeepEqual(t, body, standin.Body(id, standin.DefaultResponseBytes))
	}
}

func TestLongResponseIsStreamedAndTruncationIsAnError(t *testing.T) {
	server, target := startServer(t, standin.Settings{ResponseBytes: 1 << 20})
	transport := newTransport(t, backend.Options{BufferBytes: 1 << 10})
	response, err := transport.Send(t.Context(), target, request(http.MethodGet, "whole"))
	assert.NilError(t, err)
	body, err := readAll(response)
	assert.NilError(t, err)
	assert.Equal(t, len(body), 1<<20)
	for _, fault := range []standin.Fault{standin.Truncate, standin.TruncateChunked} {
		server.SetFault(fault)
		response, err = transport.Send(t.Context(), target, request(http.MethodGet, "cut"))
		assert.NilError(t, err)
		_, err = readAll(response)
		assert.Equal(t, verdict.CodeOf(err), verdict.CodeResponseTruncated, "%v", err)
		assert.Equal(t, verdict.Of(err), verdict.MayHaveRun)
	}
}

func TestStreamedResponseOverTheLimitIsAnError(t *testing.T) {
	server, target := startServer(t, standin.Settings{ResponseBytes: 64 << 10})
	transport := newTransport(t, backend.Options{BufferBytes: 1 << 10, MaxResponseBytes: 32 << 10})
	_, err := transport.Send(t.Context(), target, request(http.MethodGet, "declared"))
	assert.Equal(t, verdict.CodeOf(err), verdict.CodeResponseTooLarge)
	server.SetFault(standin.Chunked)
	response, err := transport.Send(t.Context(), target, request(http.MethodGet, "chunked"))
	assert.NilError(t, err)
	_, err = readAll(response)
	assert.Equal(t, verdict.CodeOf(err), verdict.CodeResponseTooLarge)
}

func TestRequestBodyIsStreamed(t *testing.T) {
	server, target := startServer(t, standin.Settings{})
	transport := newTransport(t, backend.Options{})
	r := request(http.MethodPost, "a")
	r.Body, r.Stream, r.StreamLength = nil, io.LimitReader(zeros{}, 1<<20), -1
	_, err := transport.Send(t.Context(), target, r)
	assert.NilError(t, err)
	assert.Equal(t, server.BodyBytes("a"), int64(1<<20))

	r = request(http.MethodPost, "b")
	r.Body, r.Stream, r.StreamLength = nil, brokenReader{}, 10
	_, err = transport.Send(t.Context(), target, r)
	assert.Assert(t, errors.Is(err, errBroken), "%v", err)
	assert.Equal(t, server.Runs("b"), 0)
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }

var errBroken = errors.New("broken")

type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, errBroken }

func TestHeadersAreEndToEnd(t *testing.T) {
	server, target := startServer(t, standin.Settings{})
	transport := newTransport(t, backend.Options{})
	r := request(http.MethodPost, "a")
	r.Path = "//double/%2Fslash?q=%20"
	r.Header.Set("Connection", "X-Hop")
	r.Header.Set("X-Hop", "1")
	r.Header.Set("Te", "trailers")
	r.Header.Set(header.Tenant, "magnolia")
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	response, err := transport.Send(ctx, target, r)
	assert.NilError(t, err)
	seen := server.LastRequest()
	assert.Equal(t, seen.RequestURI, r.Path)
	assert.Equal(t, seen.Header.Get(header.RequestID), "a")
	assert.Equal(t, seen.Header.Get(header.Tenant), "magnolia")
	assert.Equal(t, seen.Header.Get("X-Hop")+seen.Header.Get("Te")+seen.Header.Get("User-Agent"), "")
	remaining, err := time.ParseDuration(seen.Header.Get(header.Timeout))
	assert.NilError(t, err)
	assert.Assert(t, remaining > 0 && remaining <= time.Minute)
	assert.Equal(t, response.Header.Get("Connection")+response.Header.Get(header.Verdict), "")
	assert.Equal(t, r.Header.Get("X-Hop"), "1", "the caller's headers must not be modified")
}

func TestBadRequestsAreNotSent(t *testing.T) {
	_, target := startServer(t, standin.Settings{})
	transport := newTransport(t, backend.Options{})
	for _, change := range []func(*backend.Request){
		func(r *backend.Request) { r.Path = "no-slash" },
		func(r *backend.Request) { r.Path = "/%zz" },
		func(r *backend.Request) { r.Method = http.MethodConnect },
		func(r *backend.Request) { r.Method = "BAD METHOD" },
		func(r *backend.Request) { r.Header.Set("X", "a\nb") },
	} {
		r := request(http.MethodPost, "a")
		change(r)
		_, err := transport.Send(t.Context(), target, r)
		assert.Equal(t, verdict.Of(err), verdict.NotRun, "%v", err)
		assert.Equal(t, verdict.CodeOf(err), verdict.CodeBadRequest, "%v", err)
	}
}
