package main

import (
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/api/label"
	"github.com/tarragonreach/tarragonreach/entry/standin"
)

// consecutiveRequests is how many consecutive requests must go to other executors to
// show that an executor gets no new work.
const consecutiveRequests = 30

const twoExecutorDocument = `{
  "pools": [{"name": "counter", "selector": "service=terreni", "min": 2, "budget": {"maxUnavailable": 1}}]
}`

// executorOf returns the platform's list entry for a stand-in server.
func executorOf(id string, server *standin.Server, leaving bool) fleet.Instance {
	return fleet.Instance{
		ID: fleet.InstanceID(id), Kind: fleet.KindBackendServer, Zone: "palermo", Rack: "r0",
		Address: server.Address(), Labels: label.Set{fleet.LabelService: "terreni"}, Leaving: leaving,
	}
}

// TestLeavingExecutorGetsNoNewWork takes one of two executors out of service in each
// of the four possible ways. No request may fail, and the executor must get no new work.
func TestLeavingExecutorGetsNoNewWork(t *testing.T) {
	t.Parallel()
	for name, leave := range map[string]func(*site, *standin.Server){
		"platform list": func(s *site, leaving *standin.Server) {
			s.platform.SetInstances([]fleet.Instance{
				executorOf("terreni-0", s.server, false), executorOf("terreni-1", leaving, true),
			})
		},
		"readiness": func(_ *site, leaving *standin.Server) { leaving.SetReady(false) },
		"operator's drain": func(s *site, _ *standin.Server) {
			s.apply(s.entries[0], twoExecutorDocument)
			s.await("both to be serving", func() bool { return s.countInState(s.entries[0], fleet.StateServing) == 2 })
			s.drain(s.entries[0], 1)
			s.await("the executor to be drained", func() bool { return s.isOutOfService(s.entries[0], 1) })
		},
		"notice": func(s *site, leaving *standin.Server) {
			leaving.SetFault(standin.Leaving)
			for range consecutiveRequests {
				s.entries[0].get("/s/terreni/hello")
			}
			leaving.SetFault(standin.None)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, leaving := newTwoExecutorSite(t)
			leave(s, leaving)
			s.await("the executor to get no new work", func() bool {
				before := leaving.TotalRuns()
				for range consecutiveRequests {
					code, body := s.entries[0].get("/s/terreni/hello")
					assert.Equal(t, code, http.StatusOK, body)
				}
				return leaving.TotalRuns() == before
			})
		})
	}
}

// newTwoExecutorSite starts an entry instance with two executors and waits until both
// get work. It returns the site and the second executor.
func newTwoExecutorSite(t *testing.T) (*site, *standin.Server) {
	t.Helper()
	s := newSite(t)
	second, err := standin.Start("127.0.0.1:0", standin.Settings{})
	assert.NilError(t, err)
	t.Cleanup(func() { second.Close() })
	s.platform.SetInstances([]fleet.Instance{
		executorOf("terreni-0", s.server, false), executorOf("terreni-1", second, false),
	})
	e := s.start("pa-0")
	s.apply(e, firstDocument)
	s.await("both executors to get work", func() bool {
		e.get("/s/terreni/hello")
		return s.server.TotalRuns() > 0 && second.TotalRuns() > 0
	})
	return s, second
}

// TestGracefulShutdownCompletesQueuedRequests stops an entry instance that has more
// requests in progress than its executor has slots. All must get complete responses.
func TestGracefulShutdownCompletesQueuedRequests(t *testing.T) {
	t.Parallel()
	const requests = standin.DefaultSlots + 4
	s := newServingSite(t, 1)
	s.server.SetServiceTime(700 * time.Millisecond)
	e := s.entries[0]
	responses := make(chan response, requests)
	for i := range requests {
		go func() { responses <- e.send(t, http.MethodPost, fmt.Sprintf("/s/terreni/slow/%d", i)) }()
	}
	s.await("all slots to be in use", func() bool { return s.server.TotalRuns() >= standin.DefaultSlots })
	assert.NilError(t, e.command.Process.Signal(syscall.SIGTERM))
	for range requests {
		got := <-responses
		assert.Assert(t, got.code == http.StatusOK && got.complete, "%+v", got)
	}
	assert.NilError(t, <-e.exited)
}
