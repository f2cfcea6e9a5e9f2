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
	faultPasses      = 3 // how often each fault is switched on
	requestsPerRound = 6
)

// executorFaults are the faults, each in a round of its own.
var executorFaults = []standin.Fault{
	standin.None, standin.FailFast, standin.Busy, standin.Stall, standin.Truncate, standin.TruncateChunked,
	standin.Chunked, standin.PauseInBody, standin.MismatchedEcho, standin.Duplicate, standin.CloseReused,
	standin.CloseAfterRun, standin.Late,
}

// sentRequest is a request with the answer that its caller received.
type sentRequest struct {
	id     string
	method string
	fault  standin.Fault
	got    answer
}

// TestVerdictsHoldUnderFaultsOfTheExecutor sends requests through two processes
// while the executor misbehaves in every way, in an order drawn for each pass.
func TestVerdictsHoldUnderFaultsOfTheExecutor(t *testing.T) {
	t.Parallel()
	s := newServingSite(t, 2)
	random := rand.New(rand.NewPCG(verdictSeed, verdictSeed))
	var sent []sentRequest
	for pass := range faultPasses {
		for _, i := range random.Perm(len(executorFaults)) {
			s.server.SetFault(executorFaults[i])
			round := pass*len(executorFaults) + i
			sent = append(sent, s.sendRound(round, executorFaults[i])...)
		}
	}
	counts := map[string]int{}
	for _, request := range sent {
		s.checkRequest(request)
		counts[request.got.verdict]++
	}
	for _, verdict := range []string{"ran", "not-run", "may-have-run"} {
		assert.Assert(t, counts[verdict] > 0, "the rounds met no verdict %s: %v", verdict, counts)
	}
}

// sendRound sends requests at the same moment, half of them not repeatable.
func (s *site) sendRound(round int, fault standin.Fault) []sentRequest {
	out := make([]sentRequest, requestsPerRound)
	var sending sync.WaitGroup
	for i := range out {
		out[i] = sentRequest{id: fmt.Sprintf("r%d-%d", round, i), method: http.MethodGet, fault: fault}
		if i%2 == 0 {
			out[i].method = http.MethodPost
		}
		sending.Go(func() {
			out[i].got = s.entries[i%len(s.entries)].send(s.t, out[i].method, "/s/terreni/work",
				header.RequestID, out[i].id, header.Timeout, "1s")
		})
	}
	sending.Wait()
	return out
}

// checkRequest compares what the caller was told with what ran.
func (s *site) checkRequest(request sentRequest) {
	runs := s.server.Runs(request.id)
	if request.got.verdict == "not-run" {
		assert.Equal(s.t, runs, 0, "%+v", request)
	}
	if request.method == http.MethodPost {
		assert.Assert(s.t, runs <= 1, "%d runs: %+v", runs, request)
	}
	if request.got.code == http.StatusOK && request.got.whole {
		want := string(standin.Body(request.id, standin.DefaultAnswerBytes))
		assert.Equal(s.t, request.got.body, want, "%+v", request)
	}
}
