package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/header"
	"github.com/tarragonreach/tarragonreach/entry/standin"
)

const (
	verdictSeed      = 1
	passes           = 2 // how many times each fault is switched on
	requestsPerRound = 6
)

// executorFaults are the faults to switch on, one per round.
var executorFaults = []standin.Fault{
	standin.None, standin.FailFast, standin.Busy, standin.Stall, standin.Truncate, standin.TruncateChunked,
	standin.Chunked, standin.PauseInBody, standin.MismatchedEcho, standin.Duplicate, standin.CloseReused,
	standin.CloseAfterRun, standin.Late,
}

// sentRequest is a request with the response that its caller received.
type sentRequest struct {
	id       string
	method   string
	fault    standin.Fault
	response response
	runs     int // on both executors
}

// TestVerdictsHoldUnderExecutorFaults sends requests through two processes while both
// executors have one of the faults, in a random order for each pass. Each verdict must
// agree with the runs on the executors.
func TestVerdictsHoldUnderExecutorFaults(t *testing.T) {
	t.Parallel()
	s, second := newTwoExecutorSite(t)
	s.start("pa-1")
	s.await("both to be ready", func() bool { return s.allReady(1, 1) })
	random := rand.New(rand.NewPCG(verdictSeed, verdictSeed))
	var sent []sentRequest
	for pass := range passes {
		for _, i := range random.Perm(len(executorFaults)) {
			s.server.SetFault(executorFaults[i])
			second.SetFault(executorFaults[i])
			round := pass*len(executorFaults) + i
			sent = append(sent, s.sendRound(round, executorFaults[i])...)
		}
	}
	counts := map[string]int{}
	for _, request := range sent {
		request.runs = s.server.Runs(request.id) + second.Runs(request.id)
		request.check(t)
		counts[request.response.verdict]++
	}
	for _, verdict := range []string{"ran", "not-run", "may-have-run"} {
		assert.Assert(t, counts[verdict] > 0, "no response had the verdict %s: %v", verdict, counts)
	}
}

// sendRound sends requestsPerRound requests concurrently, half of them not repeatable.
func (s *site) sendRound(round int, fault standin.Fault) []sentRequest {
	out := make([]sentRequest, requestsPerRound)
	var sending sync.WaitGroup
	for i := range out {
		out[i] = sentRequest{id: fmt.Sprintf("r%d-%d", round, i), method: http.MethodGet, fault: fault}
		if i%2 == 0 {
			out[i].method = http.MethodPost
		}
		sending.Go(func() {
			out[i].response = s.entries[i%len(s.entries)].send(s.t, out[i].method, "/s/terreni/work",
				header.RequestID, out[i].id, header.Timeout, "1s")
		})
	}
	sending.Wait()
	return out
}

// check compares the verdict and the body of the response with the runs.
func (r sentRequest) check(t *testing.T) {
	t.Helper()
	if r.response.verdict == "not-run" {
		assert.Equal(t, r.runs, 0, "%+v", r)
	}
	if r.method == http.MethodPost {
		assert.Assert(t, r.runs <= 1, "%+v", r)
	}
	if r.response.code == http.StatusOK && r.response.complete {
		want := string(standin.Body(r.id, standin.DefaultResponseBytes))
		assert.Equal(t, r.response.body, want, "%+v", r)
	}
}
