package backend_test

import (
	"context"
	"io"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

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

func post(id string) *backend.Request {
	return &backend.Request{ID: id, Method: http.MethodPost, Path: "/dossier?x=1", Header: http.Header{}, Body: []byte("body")}
}

func TestSendReturnsTheWholeAnswer(t *testing.T) {
	server, target := startServer(t, standin.Settings{})
	transport := newTransport(t, backend.Options{})
	for _, id := range []string{"a", "b", "c"} {
		answer, err := transport.Send(context.Background(), target, post(id))
		assert.NilError(t, err)
		body, err := io.ReadAll(answer.Body)
		assert.NilError(t, err)
		assert.Equal(t, answer.Status, http.StatusOK)
		assert.DeepEqual(t, body, standin.Body(id, standin.DefaultAnswerBytes))
		assert.Equal(t, server.Runs(id), 1)
	}
}
