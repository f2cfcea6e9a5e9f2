package gateway

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/api/header"
	"github.com/tarragonreach/tarragonreach/api/object"
	"github.com/tarragonreach/tarragonreach/entry/backend"
	"github.com/tarragonreach/tarragonreach/entry/directory"
)

const (
	swapExecutors = 500
	swapInterval  = 20 * time.Millisecond
	swapDuration  = 2 * time.Second
	swapCallers   = 4
)

// newLargeGateway returns a gateway of swapExecutors executors, and its directory.
func newLargeGateway() (*Gateway, *directory.Directory) {
	list := &fakeList{}
	for i := range swapExecutors {
		list.instances = append(list.instances, executorInstance(fmt.Sprintf("x%03d", i), "z1"))
	}
	d := directory.New(directory.Options{List: list})
	d.SetConfig(testConfig())
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = d.Run(ctx) // Polls once.
	response := okResponse("")
	return New(Options{Self: "e1", Zone: "z1", Directory: d, Transport: sendFunc(
		func(context.Context, backend.Target, *backend.Request) (*backend.Response, error) {
			return response, nil
		})}), d
}

// swapResult is the result of a run in which snapshots are swapped under load.
type swapResult struct {
	swaps        int
	swap         time.Duration // mean time of one swap
	p999, median time.Duration // of one request
}

// runSwaps publishes snapshots under load. If locked, the naive baseline, requests and
// swaps exclude each other by a read-write lock.
func runSwaps(locked bool) swapResult {
	g, d := newLargeGateway()
	var tableMu sync.RWMutex
	var latencies []time.Duration
	var mu sync.Mutex
	var callers sync.WaitGroup
	start := time.Now()
	for range swapCallers {
		callers.Go(func() {
			var callerLatencies []time.Duration
			r := httptest.NewRequest("GET", "/s/sportello/x", nil)
			r.Header.Set(header.Class, "check")
			w := &nullWriter{h: http.Header{}}
			for time.Since(start) < swapDuration {
				sent := time.Now()
				if locked {
					tableMu.RLock()
				}
				g.ServeHTTP(w, r)
				if locked {
					tableMu.RUnlock()
				}
				callerLatencies = append(callerLatencies, time.Since(sent))
				time.Sleep(50 * time.Microsecond)
			}
			mu.Lock()
			defer mu.Unlock()
			latencies = append(latencies, callerLatencies...)
		})
	}
	var r swapResult
	config := testConfig()
	for time.Since(start) < swapDuration {
		started := time.Now()
		if locked {
			tableMu.Lock()
		}
		config = config.Apply(object.Change{})
		d.SetConfig(config)
		if locked {
			tableMu.Unlock()
		}
		r.swap += time.Since(started)
		r.swaps++
		time.Sleep(swapInterval)
	}
	callers.Wait()
	slices.Sort(latencies)
	r.swap /= time.Duration(r.swaps)
	r.median, r.p999 = latencies[len(latencies)/2], latencies[len(latencies)*999/1000]
	return r
}

func BenchmarkRequestPathSwap(b *testing.B) {
	comparePolicyAndNaive(b, func(b *testing.B, naive bool) {
		r := runSwaps(naive)
		b.ReportMetric(float64(r.swaps), "swaps")
		b.ReportMetric(float64(r.swap.Microseconds()), "us/swap")
		b.ReportMetric(float64(r.median.Nanoseconds())/1000, "us-median")
		b.ReportMetric(float64(r.p999.Nanoseconds())/1000, "us-p99.9")
	})
}

// TestSwapKeepsLiveState checks that executors that remain listed keep their live state.
func TestSwapKeepsLiveState(t *testing.T) {
	g, d := newLargeGateway()
	live := g.table.Load().services["sportello"].live
	first := live.Executors()[7]
	d.NoteLeaving(fleet.InstanceID("x000"))
	if n := len(live.Executors()); n != swapExecutors-1 {
		t.Fatalf("%d executors are in routing", n)
	}
	if live.Executors()[6] != first {
		t.Fatal("the swap lost an executor's live state")
	}
}
