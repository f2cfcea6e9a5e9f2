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

// burst is a fault and the requests that are sent concurrently while it is set.
type burst struct {
	Fault    standin.Fault
	Cut      bool // all connections are closed while the requests are in flight
	HalfOpen bool // some of the open connections become half-open before the requests
	Requests int
}

func drawBurst(t *rapid.T) burst {
	return burst{
		Fault:    anyFault.Draw(t, "fault"),
		Cut:      rapid.IntRange(0, 3).Draw(t, "cut") == 0,
		HalfOpen: rapid.IntRange(0, 3).Draw(t, "half-open") == 0,
		Requests: rapid.IntRange(1, 8).Draw(t, "requests"),
	}
}

// TestFaultsInAnyOrder checks each verdict against the runs that the server counted,
// and each response body against its request.
func TestFaultsInAnyOrder(t *testing.T) {
	server, target := startServer(t, standin.Settings{Slots: 64, Delay: 5 * time.Millisecond})
	target.Connections = 16
	options := fastOptions(nil)
	options.MaxResponseBytes = 1 << 20
	transport := newTransport(t, options)
	var number atomic.Int64
	rapid.Check(t, func(rt *rapid.T) {
		for _, b := range rapid.SliceOfN(rapid.Custom(drawBurst), 1, 6).Draw(rt, "bursts") {
			server.SetFault(b.Fault)
			if b.HalfOpen {
				server.MakeHalfOpen(0.3)
			}
			problems := runBurst(server, transport, target, b, &number)
			if len(problems) > 0 {
				rt.Fatalf("%v: %v", b, problems)
			}
		}
	})
	server.SetFault(standin.None)
	server.CutConnections()
	last := request(http.MethodPost, "last")
	last.NewConnection = true // a pooled connection may be closed without the transport having noticed
	_, err := transport.Send(t.Context(), target, last)
	assert.NilError(t, err)
}

func runBurst(server *standin.Server, transport backend.Transport, target backend.Target, b burst, number *atomic.Int64) []string {
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	var group sync.WaitGroup
	problems := make([]string, b.Requests)
	for i := range b.Requests {
		group.Go(func() {
			id := fmt.Sprint(number.Add(1))
			problems[i] = sendAndCheck(ctx, server, transport, target, id, i%2 == 0)
		})
	}
	if b.Cut {
		server.CutConnections()
	}
	group.Wait()
	return slices.DeleteFunc(problems, func(s string) bool { return s == "" })
}

// sendAndCheck makes one attempt and returns a description of a wrong outcome, or "".
func sendAndCheck(ctx context.Context, server *standin.Server, transport backend.Transport, target backend.Target, id string, repeatable bool) string {
	kind := replayableKinds[len(id)%len(replayableKinds)]
	r := request(kind.method, id)
	r.Body, r.Repeatable = kind.body, repeatable
	response, err := transport.Send(ctx, target, r)
	var body []byte
	if err == nil {
		body, err = readAll(response)
	}
	runs := server.Runs(id)
	switch {
	case runs > 1:
		return fmt.Sprintf("%s ran %d times: %v", id, runs, err)
	case verdict.Of(err) == verdict.NotRun && runs > 0:
		return fmt.Sprintf("%s got the verdict not-run although it ran: %v", id, err)
	case err == nil && response.Status == http.StatusOK && string(body) != string(standin.Body(id, len(body))):
		return fmt.Sprintf("%s got the body %q", id, body)
	case err == nil && response.Status == http.StatusOK && len(body) != standin.DefaultResponseBytes:
		return fmt.Sprintf("%s got %d bytes", id, len(body))
	}
	return ""
}
