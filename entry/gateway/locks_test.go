package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"testing"

	"github.com/tarragonreach/tarragonreach/api/header"
	"github.com/tarragonreach/tarragonreach/entry/backend"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"
)

// TestNoLockIsSharedByAllRequests runs requests on many threads, with a free slot for each
// of them. The mutex profile must show no lock wait within the request path.
func TestNoLockIsSharedByAllRequests(t *testing.T) {
	previousFraction := runtime.SetMutexProfileFraction(1)
	defer runtime.SetMutexProfileFraction(previousFraction)
	g, _ := newTestGateway(func(context.Context, backend.Target, *backend.Request) (*backend.Response, error) {
		return okResponse("ok"), nil
	}, func(o *Options) { o.Scope = tally.NewTestScope("", nil) })
	request := func() {
		r := httptest.NewRequest("GET", "/s/sportello/x", nil)
		r.Header.Set(header.Class, "check")
		r.Header.Set(header.Tenant, "trapani")
		w := &nullWriter{h: http.Header{}}
		g.ServeHTTP(w, r)
	}
	request() // The first request of each kind creates its metrics under a lock.
	before := lockWaits()
	var callers sync.WaitGroup
	for range 8 { // Fewer than the executors' slots, so that no request is queued.
		callers.Go(func() {
			for range 5000 {
				request()
			}
		})
	}
	callers.Wait()
	assert.Equal(t, lockWaits()-before, int64(0), "requests waited for locks held by other requests")
}

// lockWaits counts the waits for locks of package sync within the request path.
func lockWaits() int64 {
	records := make([]runtime.BlockProfileRecord, 10_000)
	n, _ := runtime.MutexProfile(records)
	total := int64(0)
	for _, record := range records[:n] {
		if isSyncLockWait(record.Stack()) {
			total += record.Count
		}
	}
	return total
}

func isSyncLockWait(stack []uintptr) bool {
	frames := runtime.CallersFrames(stack)
	frame, more := frames.Next()
	if !strings.HasPrefix(frame.Function, "sync.") {
		return false // A lock of the runtime itself, such as that of a thread's timers.
	}
	for more {
		frame, more = frames.Next()
		if strings.HasPrefix(frame.Function, "sync.(*Pool).pinSlow") {
			return false // Each thread allocates its part of a sync.Pool once between two garbage collections.
		}
		if strings.Contains(frame.Function, "entry/gateway.(*Gateway).serveService") {
			return true
		}
	}
	return false
}
