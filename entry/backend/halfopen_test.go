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

// fastOptions returns options with short times, to keep the tests fast.
func fastOptions(observe func(backend.Signal)) backend.Options {
	return backend.Options{
		MinOverdueAfter:     50 * time.Millisecond,
		MaxIdleUnrepeatable: time.Minute,
		ProbeTimeout:        200 * time.Millisecond,
		SweepInterval:       5 * time.Millisecond,
		Observe:             observe,
	}
}

// openConnections sends n concurrent requests, repeatedly, until n connections are open and idle.
func openConnections(t testing.TB, transport *backend.HTTPTransport, server *standin.Server, target backend.Target, n int) {
	t.Helper()
	server.SetServiceTime(20 * time.Millisecond)
	for transport.IdleConnections(target) < n && !t.Failed() {
		var group sync.WaitGroup
		for i := range n {
			group.Go(func() {
				response, err := transport.Send(t.Context(), target, request(http.MethodPost, fmt.Sprintf("open-%d", i)))
				if assert.Check(t, err) {
					_, err = readAll(response)
					assert.Check(t, err)
				}
			})
		}
		group.Wait()
		time.Sleep(time.Millisecond) // a connection becomes idle shortly after its response
	}
	server.SetServiceTime(0)
}

func TestHalfOpenConnectionsLoseNoRepeatableRequest(t *testing.T) {
	server, target := startServer(t, standin.Settings{})
	signals := make(chan backend.Signal, 100)
	transport := newTransport(t, fastOptions(func(s backend.Signal) { signals <- s }))
	openConnections(t, transport, server, target, 8)
	assert.Equal(t, server.MakeHalfOpen(0.3), 2)
	var group sync.WaitGroup
	for sender := range 8 {
		group.Go(func() {
			for i := range 20 {
				r := request(http.MethodGet, fmt.Sprintf("%d-%d", sender, i))
				r.Repeatable = true
				assert.Check(t, sendWithRetry(transport, target, r))
			}
		})
	}
	group.Wait()
	waitFor(t, func() bool { return server.HalfOpenConnections() == 0 })
	assert.Equal(t, (<-signals).Kind, backend.SignalHalfOpenConnections)
}

// sendWithRetry sends a repeatable request, and once more if its connection is lost.
func sendWithRetry(transport backend.Transport, target backend.Target, r *backend.Request) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	_, err := transport.Send(ctx, target, r)
	if verdict.CodeOf(err) == verdict.CodeConnectionLost {
		_, err = transport.Send(ctx, target, r)
	}
	return err
}

func TestRequestOnAHalfOpenConnectionMayHaveRun(t *testing.T) {
	server, target := startServer(t, standin.Settings{})
	transport := newTransport(t, fastOptions(nil))
	openConnections(t, transport, server, target, 1)
	server.MakeHalfOpen(1)
	_, err := transport.Send(t.Context(), target, request(http.MethodPost, "a"))
	assert.Equal(t, verdict.Of(err), verdict.MayHaveRun)
	assert.Equal(t, verdict.CodeOf(err), verdict.CodeConnectionLost)
	_, err = transport.Send(t.Context(), target, request(http.MethodPost, "b"))
	assert.NilError(t, err)
}

// startOnHalfOpenConnection sends a request on a connection that is half-open from its
// start, and returns the channel that receives the request's error. Later connections
// work.
func startOnHalfOpenConnection(t *testing.T, transport *backend.HTTPTransport, server *standin.Server, target backend.Target, r *backend.Request) <-chan error {
	t.Helper()
	server.Freeze()
	result := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		_, err := transport.Send(ctx, target, r)
		result <- err
	}()
	waitFor(t, func() bool { return server.HalfOpenConnections() == 1 })
	server.Thaw()
	return result
}

// The connection is half-open before the executor has sent any response of the class. The
// first response of another request bounds the time of the one that waits.
func TestFirstResponseRevealsAnEarlierHalfOpenConnection(t *testing.T) {
	server, target := startServer(t, standin.Settings{})
	transport := newTransport(t, fastOptions(nil))
	earlier := request(http.MethodGet, "earlier")
	earlier.Repeatable = true
	result := startOnHalfOpenConnection(t, transport, server, target, earlier)
	later := request(http.MethodGet, "later")
	later.NewConnection = true
	_, err := transport.Send(t.Context(), target, later)
	assert.NilError(t, err)
	err = <-result
	assert.Equal(t, verdict.Of(err), verdict.MayHaveRun)
	assert.Equal(t, verdict.CodeOf(err), verdict.CodeConnectionLost)
}

// A retry on a new connection is the last attempt. It is not ended because its response
// takes longer than recent ones.
func TestLastAttemptIsNotOverdue(t *testing.T) {
	server, target := startServer(t, standin.Settings{})
	options := fastOptions(nil)
	options.MinOverdueAfter = time.Millisecond
	transport := newTransport(t, options)
	_, err := transport.Send(t.Context(), target, request(http.MethodGet, "fast"))
	assert.NilError(t, err)
	server.SetServiceTime(time.Second)
	r := request(http.MethodGet, "slow")
	r.Repeatable, r.NewConnection = true, true
	_, err = transport.Send(t.Context(), target, r)
	assert.NilError(t, err)
}

// The executor never sends a response of the class; the class is known at other executors.
func TestRequestBoundsItsOwnFirstResponse(t *testing.T) {
	server, target := startServer(t, standin.Settings{})
	transport := newTransport(t, fastOptions(nil))
	r := request(http.MethodGet, "a")
	r.Repeatable, r.OverdueAfter, r.RunTime = true, 100*time.Millisecond, time.Millisecond
	err := <-startOnHalfOpenConnection(t, transport, server, target, r)
	assert.Equal(t, verdict.Of(err), verdict.MayHaveRun)
	assert.Equal(t, verdict.CodeOf(err), verdict.CodeConnectionLost)
}

func TestUnreachableExecutorIsSignalled(t *testing.T) {
	server, target := startServer(t, standin.Settings{})
	signals := make(chan backend.Signal, 100)
	transport := newTransport(t, fastOptions(func(s backend.Signal) { signals <- s }))
	openConnections(t, transport, server, target, 2)
	server.Freeze()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	unrepeatable := make(chan error, 1)
	go func() {
		_, err := transport.Send(ctx, target, request(http.MethodPost, "unrepeatable"))
		unrepeatable <- err
	}()
	r := request(http.MethodGet, "repeatable")
	r.Repeatable = true
	_, err := transport.Send(t.Context(), target, r)
	assert.Equal(t, verdict.CodeOf(err), verdict.CodeConnectionLost)
	assert.Equal(t, (<-signals).Kind, backend.SignalUnreachable)
	cancel()
	assert.Equal(t, verdict.CodeOf(<-unrepeatable), verdict.CodeCanceled, "the unrepeatable request must wait until its caller cancels it")
}

func TestUnrepeatableRequestOpensANewConnection(t *testing.T) {
	server, target := startServer(t, standin.Settings{})
	options := fastOptions(nil)
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
	options := fastOptions(nil)
	options.IdleTimeout = 10 * time.Millisecond
	transport := newTransport(t, options)
	openConnections(t, transport, server, target, 4)
	server.MakeHalfOpen(1)
	waitFor(t, func() bool { return server.Connections() == 0 })
}

func TestStreamedResponseMayPause(t *testing.T) {
	server, target := startServer(t, standin.Settings{ResponseBytes: 8 << 10})
	options := fastOptions(nil)
	options.BufferBytes = 1 << 10
	transport := newTransport(t, options)
	openConnections(t, transport, server, target, 1)
	server.SetFault(standin.PauseInBody)
	r := request(http.MethodGet, "a")
	r.Repeatable = true
	response, err := transport.Send(t.Context(), target, r)
	assert.NilError(t, err)
	body, err := readAll(response)
	assert.NilError(t, err)
	assert.Equal(t, len(body), 8<<10)
}
