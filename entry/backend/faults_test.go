package backend_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "github.com/tarragonreach/tarragonreach/api/rapidseed"
	"github.com/tarragonreach/tarragonreach/api/verdict"
	"github.com/tarragonreach/tarragonreach/entry/backend"
	"github.com/tarragonreach/tarragonreach/entry/standin"
)

var anyFault = rapid.SampledFrom([]standin.Fault{
	standin.None, standin.FailFast, standin.Busy, standin.Leaving, standin.Stall, standin.Truncate, standin.TruncateChunked,
	standin.Chunked, standin.Oversize, standin.MismatchedEcho, standin.Duplicate, standin.CloseReused, standin.CloseAfterRun, standin.Late,
})

// round is a fault and the requests that are sent at once under it.
type round struct {
	Fault    standin.Fault
	Cut      bool // all connections are cut while the requests are in flight
	Silent   bool // some of the open connections go silent before
	Requests int
}

func drawRound(t *rapid.T) round {
	return round{
		Fault:    anyFault.Draw(t, "fault"),
		Cut:      rapid.IntRange(0, 3).Draw(t, "cut") == 0,
		Silent:   rapid.IntRange(0, 3).Draw(t, "silent") == 0,
		Requests: rapid.IntRange(1, 8).Draw(t, "requests"),
	}
}

// TestFaultsInAnyOrder holds each verdict against the runs that the server
// counted, and each answer against the request.
func TestFaultsInAnyOrder(t *testing.T) {
	server, target := startServer(t, standin.Settings{Slots: 64, Delay: 5 * time.Millisecond})
	target.Connections = 16
	options := quick(nil)
	options.MaxResponseBytes = 1 << 20
	transport := newTransport(t, options)
	var number atomic.Int64
	rapid.Check(t, func(rt *rapid.T) {
		for _, r := range rapid.SliceOfN(rapid.Custom(drawRound), 1, 6).Draw(rt, "rounds") {
			server.SetFault(r.Fault)
			if r.Silent {
				server.MakeHalfOpen(0.3)
			}
			faults := play(server, transport, target, r, &number)
			if len(faults) > 0 {
				rt.Fatalf("%v: %v", r, faults)
			}
		}
	})
	server.SetFault(standin.None)
	server.CutConnections()
	last := request(http.MethodPost, "last")
	last.NewConnection = true // a pooled connection may be cut without the transport knowing yet
	_, err := transport.Send(t.Context(), target, last)
	assert.NilError(t, err)
}

func play(server *standin.Server, transport backend.Transport, target backend.Target, r round, number *atomic.Int64) []string {
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	var group sync.WaitGroup
	found := make([]string, r.Requests)
	for i := range r.Requests {
		group.Go(func() {
			id := fmt.Sprint(number.Add(1))
			found[i] = sendAndCheck(ctx, server, transport, target, id, i%2 == 0)
		})
	}
	if r.Cut {
		server.CutConnections()
	}
	group.Wait()
	return slices.DeleteFunc(found, func(s string) bool { return s == "" })
}

// sendAndCheck returns what is wrong with an attempt, or nothing.
func sendAndCheck(ctx context.Context, server *standin.Server, transport backend.Transport, target backend.Target, id string, repeatable bool) string {
	kind := replayed[len(id)%len(replayed)]
	r := request(kind.method, id)
	r.Body, r.Repeatable = kind.body, repeatable
	answer, err := transport.Send(ctx, target, r)
	var body []byte
	if err == nil {
		body, err = readAll(answer)
	}
	runs := server.Runs(id)
	switch {
	case runs > 1:
		return fmt.Sprintf("%s ran %d times: %v", id, runs, err)
	case verdict.Of(err) == verdict.NotRun && runs > 0:
		return fmt.Sprintf("%s ended as not run and ran: %v", id, err)
	case err == nil && answer.Status == http.StatusOK && string(body) != string(standin.Body(id, len(body))):
		return fmt.Sprintf("%s got the body %q", id, body)
	case err == nil && answer.Status == http.StatusOK && len(body) != standin.DefaultResponseBytes:
		return fmt.Sprintf("%s got %d bytes", id, len(body))
	}
	return ""
}
