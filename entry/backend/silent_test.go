package backend_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/verdict"
	"github.com/tarragonreach/tarragonreach/entry/backend"
	"github.com/tarragonreach/tarragonreach/entry/standin"
)

// quick shortens the times, so that the tests are.
func quick(observe func(backend.Signal)) backend.Options {
	return backend.Options{
		MinOverdueAfter:     50 * time.Millisecond,
		MaxIdleUnrepeatable: time.Minute,
		ProbeTimeout:        200 * time.Millisecond,
		SweepInterval:       5 * time.Millisecond,
		Observe:             observe,
	}
}

// openConnections sends n requests at once until n connections are open and idle.
func openConnections(t testing.TB, transport *backend.HTTPTransport, server *standin.Server, target backend.Target, n int) {
	t.Helper()
	server.SetServiceTime(20 * time.Millisecond)
	for transport.IdleConnections(target) < n && !t.Failed() {
		var group sync.WaitGroup
		for i := range n {
			group.Go(func() {
				answer, err := transport.Send(t.Context(), target, request(http.MethodPost, fmt.Sprintf("open-%d", i)))
				if assert.Check(t, err) {
					_, err = readAll(answer)
					assert.Check(t, err)
				}
			})
		}
		group.Wait()
		time.Sleep(time.Millisecond) // a connection is idle a moment after its answer
	}
	server.SetServiceTime(0)
}

func TestSilentConnectionsLoseNoRepeatableRequest(t *testing.T) {
	server, target := startServer(t, standin.Settings{})
	signals := make(chan backend.Signal, 100)
	transport := newTransport(t, quick(func(s backend.Signal) { signals <- s }))
	openConnections(t, transport, server, target, 8)
	assert.Equal(t, server.MakeHalfOpen(0.3), 2)
	var group sync.WaitGroup
	for sender := range 8 {
		group.Go(func() {
			for i := range 20 {
				r := request(http.MethodGet, fmt.Sprintf("%d-%d", sender, i))
				r.Repeatable = true
				assert.Check(t, sendTwice(transport, target, r))
			}
		})
	}
	group.Wait()
	waitFor(t, func() bool { return server.HalfOpenConnections() == 0 })
	assert.Equal(t, (<-signals).Kind, backend.SignalHalfOpenConnections)
}

// sendTwice sends a repeatable request once more if its first connection was silent.
func sendTwice(transport backend.Transport, target backend.Target, r *backend.Request) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	_, err := transport.Send(ctx, target, r)
	if verdict.CodeOf(err) == verdict.CodeConnectionLost {
		_, err = transport.Send(ctx, target, r)
	}
	return err
}

func TestRequestOnASilentConnectionMayHaveRun(t *testing.T) {
	server, target := startServer(t, standin.Settings{})
	transport := newTransport(t, quick(nil))
	openConnections(t, transport, server, target, 1)
	server.MakeHalfOpen(1)
	_, err := transport.Send(t.Context(), target, request(http.MethodPost, "a"))
	assert.Equal(t, verdict.Of(err), verdict.MayHaveRun)
	assert.Equal(t, verdict.CodeOf(err), verdict.CodeConnectionLost)
	_, err = transport.Send(t.Context(), target, request(http.MethodPost, "b"))
	assert.NilError(t, err)
}

func TestUnreachableExecutorIsToldApart(t *testing.T) {
	server, target := startServer(t, standin.Settings{})
	signals := make(chan backend.Signal, 100)
	transport := newTransport(t, quick(func(s backend.Signal) { signals <- s }))
	openConnections(t, transport, server, target, 2)
	server.Freeze()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	patient := make(chan error, 1)
	go func() {
		_, err := transport.Send(ctx, target, request(http.MethodPost, "patient"))
		patient <- err
	}()
	r := request(http.MethodGet, "repeatable")
	r.Repeatable = true
	_, err := transport.Send(t.Context(), target, r)
	assert.Equal(t, verdict.CodeOf(err), verdict.CodeConnectionLost)
	assert.Equal(t, (<-signals).Kind, backend.SignalUnreachable)
	cancel()
	assert.Equal(t, verdict.CodeOf(<-patient), verdict.CodeCanceled, "it was not given up before")
}

func TestUnrepeatableRequestTakesAFreshConnection(t *testing.T) {
	server, target := startServer(t, standin.Settings{})
	options := quick(nil)
	options.MaxIdleUnrepeatable = time.Nanosecond
	transport := newTransport(t, options)
	for i := range 3 {
		_, err := transport.Send(t.Context(), target, request(http.MethodPost, fmt.Sprint(i)))
		assert.NilError(t, err)
	}
	waitFor(t, func() bool { return transport.IdleConnections(target) == 3 })
	assert.Equal(t, server.Accepted(), 3)
	r := request(http.MethodGet, "repeatable")
	r.Repeatable = true
	_, err := transport.Send(t.Context(), target, r)
	assert.NilError(t, err)
	assert.Equal(t, server.Accepted(), 3)
	r.NewConnection = true
	_, err = transport.Send(t.Context(), target, r)
	assert.NilError(t, err)
	assert.Equal(t, server.Accepted(), 4)
}

func TestUnusedConnectionsAreClosed(t *testing.T) {
	server, target := startServer(t, standin.Settings{})
	options := quick(nil)
	options.IdleTimeout = 10 * time.Millisecond
	transport := newTransport(t, options)
	openConnections(t, transport, server, target, 4)
	server.MakeHalfOpen(1)
	waitFor(t, func() bool { return server.Connections() == 0 })
}

func TestStreamedAnswerMayPause(t *testing.T) {
	server, target := startServer(t, standin.Settings{ResponseBytes: 8 << 10})
	options := quick(nil)
	options.BufferBytes = 1 << 10
	transport := newTransport(t, options)
	openConnections(t, transport, server, target, 1)
	server.SetFault(standin.PauseInBody)
	r := request(http.MethodGet, "a")
	r.Repeatable = true
	answer, err := transport.Send(t.Context(), target, r)
	assert.NilError(t, err)
	body, err := readAll(answer)
	assert.NilError(t, err)
	assert.Equal(t, len(body), 8<<10)
}
