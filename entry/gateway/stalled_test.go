package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/tarragonreach/tarragonreach/entry/backend"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// endlessBody is a response body without end.
type endlessBody struct{}

func (endlessBody) Read(p []byte) (int, error) { return len(p), nil }
func (endlessBody) Close() error               { return nil }

func TestCallerThatDoesNotReadReleasesItsSlot(t *testing.T) {
	started := make(chan struct{})
	g, _ := newTestGateway(func(context.Context, backend.Target, *backend.Request) (*backend.Response, error) {
		close(started)
		return &backend.Response{Status: http.StatusOK, Header: http.Header{}, Body: endlessBody{}}, nil
	}, nil)
	server := httptest.NewServer(g)
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	assert.NilError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, "GET /s/sportello/x HTTP/1.1\r\nHost: x\r\nTarragon-Timeout: 200ms\r\n\r\n")
	assert.NilError(t, err)
	<-started
	live := g.table.Load().services["sportello"].live
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if live.InFlight() == 0 && g.inFlight.sum() == 0 {
			return poll.Success()
		}
		return poll.Continue("in progress")
	}, poll.WithTimeout(time.Minute))
}

func TestTransportPanicReleasesItsSlot(t *testing.T) {
	g, _ := newTestGateway(func(context.Context, backend.Target, *backend.Request) (*backend.Response, error) {
		panic("planned")
	}, nil)
	func() {
		defer func() { _ = recover() }()
		call(g, "GET", "/s/sportello/x", "")
	}()
	assert.Equal(t, g.table.Load().services["sportello"].live.InFlight(), 0)
}
