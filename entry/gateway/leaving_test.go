package gateway

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/api/verdict"
	"github.com/tarragonreach/tarragonreach/entry/backend"
	"github.com/tarragonreach/tarragonreach/entry/directory"
	"gotest.tools/v3/assert"
)

// maxLeavingDelay is the longest time between the first signal that an executor is
// leaving and its last new request.
const maxLeavingDelay = 3 * time.Second

// leavingFleet is the transport to the executors "a" and "b". Executor "a" gives one of
// leavingSignals.
type leavingFleet struct {
	list        *fakeList
	d           *directory.Directory
	mu          sync.Mutex
	lastRequest time.Time // time of the last request to executor "a"
	unready     bool      // executor "a" fails its readiness probe
	announces   bool      // executor "a" responds with 503 and closes the connection
}

func (f *leavingFleet) Send(_ context.Context, target backend.Target, r *backend.Request) (*backend.Response, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if target.ID != "a" {
		return okResponse("b"), nil
	}
	if r.Path == backend.DefaultReadinessPath {
		response := okResponse("")
		if f.unready {
			response.Status = http.StatusServiceUnavailable
		}
		return response, nil
	}
	f.lastRequest = time.Now()
	if f.announces {
		return nil, verdict.New(verdict.NotRun, verdict.CodeBackendServerLeaving, "leaving")
	}
	return okResponse("a"), nil
}

func (f *leavingFleet) signal(signal string) {
	switch signal {
	case "list":
		f.list.mu.Lock()
		defer f.list.mu.Unlock()
		leaving := executorInstance("a", "z1")
		leaving.Leaving = true
		f.list.instances = []fleet.Instance{leaving, executorInstance("b", "z1")}
	case "drain":
		f.d.SetRecords([]fleet.Record{{ID: "a", Pool: "p", State: fleet.StateDraining}})
	case "notice":
		f.mu.Lock()
		defer f.mu.Unlock()
		f.announces = true
	case "readiness":
		f.mu.Lock()
		defer f.mu.Unlock()
		f.unready = true
	}
}

// leavingSignals are the signals that an executor is leaving: the platform's list, the
// fleet record, its own notice with a response, and its readiness probe.
var leavingSignals = []string{"list", "drain", "notice", "readiness"}

// lastRequestAfter returns the time from the signal until the last request to executor "a".
// The signal is given after warmUp; then requests are sent for duration.
// The naive baseline reads the list once and sends round robin.
func lastRequestAfter(ctx context.Context, signal string, naive bool, warmUp, duration time.Duration) time.Duration {
	f := &leavingFleet{list: &fakeList{instances: []fleet.Instance{executorInstance("a", "z1"), executorInstance("b", "z1")}}}
	f.d = directory.New(directory.Options{List: f.list})
	f.d.SetConfig(testConfig())
	g := New(Options{Self: "e1", Zone: "z1", Directory: f.d, Transport: f})
	requests := 0
	request := func() {
		requests++
		if naive {
			_, _ = f.Send(ctx, backend.Target{ID: fleet.InstanceID([]string{"a", "b"}[requests%2])}, &backend.Request{Path: "/x"})
			return
		}
		call(g, "GET", "/s/sportello/x", "")
	}
	go f.d.Run(ctx)
	go g.Run(ctx)
	time.Sleep(warmUp)
	f.signal(signal)
	signaled := time.Now()
	for time.Since(signaled) < duration {
		request()
		time.Sleep(5 * time.Millisecond)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return max(f.lastRequest.Sub(signaled), 0)
}

func TestLeavingExecutorGetsNoNewWork(t *testing.T) {
	for _, signal := range leavingSignals {
		synctest.Test(t, func(t *testing.T) {
			ctx, stop := context.WithCancel(t.Context())
			delay := lastRequestAfter(ctx, signal, false, 10*time.Second+3*time.Millisecond, 30*time.Second)
			assert.Assert(t, delay <= maxLeavingDelay, "%s: last request %v after the signal", signal, delay)
			stop()
			synctest.Wait()
		})
	}
}

func BenchmarkRequestPathLeaving(b *testing.B) {
	comparePolicyAndNaive(b, func(b *testing.B, naive bool) {
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		var measurements sync.WaitGroup
		delays := make([]time.Duration, len(leavingSignals))
		for i, signal := range leavingSignals {
			measurements.Go(func() { delays[i] = lastRequestAfter(ctx, signal, naive, 1500*time.Millisecond, 6*time.Second) })
		}
		measurements.Wait()
		for i, signal := range leavingSignals {
			b.ReportMetric(delays[i].Seconds(), signal+"-s-to-last-work")
		}
	})
}

func TestShutdownWaitsForWorkInProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		release := make(chan struct{})
		stream, streamWriter := io.Pipe()
		g, _ := newTestGateway(func(ctx context.Context, target backend.Target, r *backend.Request) (*backend.Response, error) {
			if r.Path == "/stream" {
				return &backend.Response{Status: 200, Header: http.Header{}, Body: stream}, nil
			}
			return respondAfter(release)(ctx, target, r)
		}, nil)
		done := make(chan *httptest.ResponseRecorder, 100)
		start := func(path string) {
			go func() { done <- call(g, "GET", path, "") }()
			synctest.Wait()
		}
		start("/s/sportello/stream")
		for range 20 { // Two executors of 8 slots each, so that some requests are queued.
			start("/s/sportello/x")
		}
		live := g.table.Load().services["sportello"].live
		assert.Assert(t, live.Waiting() > 0)
		shutdownErr := make(chan error, 1)
		go func() { shutdownErr <- g.Shutdown(t.Context()) }()
		synctest.Wait()
		assert.Assert(t, !g.Ready(), "readiness fails at once")
		start("/s/sportello/x") // Still accepted within ListenerGrace.
		time.Sleep(DefaultSettings().ListenerGrace + time.Millisecond)
		w := call(g, "GET", "/s/sportello/x", "")
		assert.Equal(t, problemOf(t, w).Code, verdict.CodeShuttingDown)
		assert.Equal(t, problemOf(t, w).Verdict, "not-run")
		time.Sleep(time.Second)
		assert.Equal(t, len(shutdownErr), 0, "work is in progress")
		go func() {
			io.Copy(streamWriter, strings.NewReader("whole"))
			streamWriter.Close()
		}()
		close(release)
		assert.NilError(t, <-shutdownErr)
		for range 22 {
			w := <-done
			assert.Equal(t, w.Code, http.StatusOK)
			assert.Assert(t, w.Body.String() == "delayed" || w.Body.String() == "whole")
		}
	})
}

func TestProbeRateIsBounded(t *testing.T) {
	g, d := newLargeGateway()
	interval := newProber(g).baseIntervalFor(d.Snapshot())
	rate := swapExecutors / (interval.Seconds() * 0.75)
	assert.Assert(t, rate <= maxProbeRate*1.001, "%.2f probes a second", rate)
	small, d := newTestGateway(respondOK, nil)
	assert.Equal(t, newProber(small).baseIntervalFor(d.Snapshot()), DefaultSettings().ProbeInterval)
}
