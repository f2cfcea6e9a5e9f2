package backend_test

import (
	"bytes"
	"fmt"
	"net/http"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/header"
	"github.com/tarragonreach/tarragonreach/api/verdict"
	"github.com/tarragonreach/tarragonreach/entry/backend"
	"github.com/tarragonreach/tarragonreach/entry/standin"
)

// replayableKinds lists kinds of requests that Go's http.Transport replays by itself.
var replayableKinds = []struct {
	name   string
	method string
	body   []byte
}{
	{"keyed POST", http.MethodPost, []byte("body")},
	{"keyed PUT", http.MethodPut, []byte("body")},
	{"GET", http.MethodGet, nil},
	{"keyed DELETE", http.MethodDelete, nil},
}

func TestRequestIsNotReplayedOnABrokenReusedConnection(t *testing.T) {
	for _, c := range replayableKinds {
		t.Run(c.name, func(t *testing.T) {
			server, target := startServer(t, standin.Settings{})
			transport := newTransport(t, backend.Options{})
			r := request(c.method, "warm-up")
			_, err := transport.Send(t.Context(), target, r)
			assert.NilError(t, err)
			waitFor(t, func() bool { return transport.IdleConnections(target) == 1 })
			server.SetFault(standin.CloseAfterRun)
			r.ID, r.Body = "broken", c.body
			_, err = transport.Send(t.Context(), target, r)
			assert.Equal(t, verdict.Of(err), verdict.MayHaveRun)
			assert.Equal(t, server.Runs("broken"), 1)
			assert.Equal(t, server.Accepted(), 1, "a second connection was opened for the request")
		})
	}
}

// TestNetHTTPTransportReplays shows that the fault CloseAfterRun does make Go's own
// transport replay a request, so that
// TestRequestIsNotReplayedOnABrokenReusedConnection would detect a replay.
func TestNetHTTPTransportReplays(t *testing.T) {
	for _, c := range replayableKinds {
		t.Run(c.name, func(t *testing.T) {
			server, target := startServer(t, standin.Settings{})
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			send := func(id string) error {
				r, err := http.NewRequest(c.method, "http://"+target.Address+"/dossier", bytes.NewReader(c.body))
				assert.NilError(t, err)
				r.Header.Set(header.RequestID, id)
				r.Header.Set(header.IdempotencyKey, id)
				response, err := client.Do(r)
				if err != nil {
					return err
				}
				buffer := new(bytes.Buffer)
				_, err = buffer.ReadFrom(response.Body)
				response.Body.Close()
				return err
			}
			assert.NilError(t, send("warm-up"))
			server.SetFault(standin.CloseAfterRun)
			assert.Assert(t, send("broken") != nil)
			assert.Equal(t, server.Runs("broken"), 2)
		})
	}
}

func TestCutConnectionsRunEachRequestAtMostOnce(t *testing.T) {
	server, target := startServer(t, standin.Settings{Slots: 64})
	target.Connections = 64
	transport := newTransport(t, backend.Options{})
	const senders, perSender = 8, 60
	var group sync.WaitGroup
	for sender := range senders {
		group.Go(func() {
			for i := range perSender {
				id := fmt.Sprintf("%d-%d", sender, i)
				r := request(replayableKinds[i%len(replayableKinds)].method, id)
				r.Body, r.Repeatable = replayableKinds[i%len(replayableKinds)].body, i%2 == 0
				if i%5 == 4 {
					server.CutConnections()
				}
				response, err := transport.Send(t.Context(), target, r)
				if err == nil {
					_, err = readAll(response)
				}
				checkRuns(t, server, id, err)
			}
		})
	}
	group.Wait()
}

// checkRuns checks an attempt's verdict against the runs that the server counted.
func checkRuns(t testing.TB, server *standin.Server, id string, err error) {
	t.Helper()
	runs := server.Runs(id)
	switch verdict.Of(err) {
	case verdict.Ran:
		if runs != 1 {
			t.Errorf("%s got a response and ran %d times", id, runs)
		}
	case verdict.NotRun:
		if runs != 0 {
			t.Errorf("%s got the verdict not-run and ran %d times: %v", id, runs, err)
		}
	default:
		if runs > 1 {
			t.Errorf("%s ran %d times: %v", id, runs, err)
		}
	}
}
