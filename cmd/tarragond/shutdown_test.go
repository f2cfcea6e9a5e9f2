package main

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/entry/serve"
)

const (
	responsePart = "part "
	dialInterval = 5 * time.Millisecond
)

// TestServerShutdownWaitsForResponsesInProgress stops a server that has sent only the
// first part of a response. The client must receive the rest.
func TestServerShutdownWaitsForResponsesInProgress(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	server, err := serve.Open(serve.Options{Name: "caller", Listen: "127.0.0.1:0", Handler: respondInTwoParts(release)})
	assert.NilError(t, err)
	server.Start(func(err error) { t.Error(err) })
	res, err := http.Get("http://" + server.Addr())
	assert.NilError(t, err)
	defer res.Body.Close()

	stopped := make(chan error, 1)
	go func() { stopped <- server.Shutdown(context.Background()) }()
	waitUntilClosed(t, server.Addr())
	close(release)
	body, err := io.ReadAll(res.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), responsePart+responsePart)
	assert.NilError(t, <-stopped)
}

// respondInTwoParts sends the second part of its response after release is closed.
func respondInTwoParts(release <-chan struct{}) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, responsePart)
		_ = http.NewResponseController(w).Flush()
		<-release
		_, _ = io.WriteString(w, responsePart)
	})
}

// waitUntilClosed waits until the address refuses connections.
func waitUntilClosed(t *testing.T, address string) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(dialInterval) {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			return
		}
		_ = conn.Close()
	}
	t.Fatalf("%s still accepts connections", address)
}
