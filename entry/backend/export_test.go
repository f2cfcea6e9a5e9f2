package backend

import (
	"io"
	"log"
	"os"
	"testing"
)

// TestMain discards what net/http logs about duplicate responses.
func TestMain(m *testing.M) {
	log.SetOutput(io.Discard)
	os.Exit(m.Run())
}

// IdleConnections returns the number of connections that wait for a request.
func (t *HTTPTransport) IdleConnections(target Target) int {
	p := t.poolOf(target)
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle)
}
