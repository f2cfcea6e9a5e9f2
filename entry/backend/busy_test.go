package backend_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/entry/standin"
)

func TestBusyDuringAnAttempt(t *testing.T) {
	server, target := startServer(t, standin.Settings{ServiceTime: time.Hour})
	transport := newTransport(t, fastOptions(nil))
	assert.Assert(t, !transport.Busy(target.ID))
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = transport.Send(t.Context(), target, request(http.MethodPost, "1"))
	}()
	for server.Connections() == 0 {
		time.Sleep(time.Millisecond)
	}
	assert.Assert(t, transport.Busy(target.ID))
	server.CutConnections()
	<-done
	assert.Assert(t, !transport.Busy(target.ID))
}
