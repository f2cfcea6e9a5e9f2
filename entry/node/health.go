package node

import (
	"sync/atomic"
	"time"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/entry/gateway"
)

// unhealthyAfter is how long the request path must keep an executor out of service
// before its pool counts it as failed. It is long enough for several probations of the
// executor, so that one that recovers by itself does not count as failed.
const unhealthyAfter = 30 * time.Second

// executorHealth tracks the request path's health state of the executors for the
// fleet's controllers.
type executorHealth struct {
	// unhealthySince is when each executor went out of service; zero while healthy.
	unhealthySince atomic.Pointer[map[fleet.InstanceID]time.Time]
}

func newExecutorHealth() *executorHealth {
	h := &executorHealth{}
	h.unhealthySince.Store(&map[fleet.InstanceID]time.Time{})
	return h
}

// observe records the request path's health state at now. Only one goroutine may
// call it.
func (h *executorHealth) observe(executors []gateway.ExecutorHealth, now time.Time) {
	previous := *h.unhealthySince.Load()
	next := make(map[fleet.InstanceID]time.Time, len(executors))
	for _, e := range executors {
		if e.Healthy {
			next[e.ID] = time.Time{}
			continue
		}
		next[e.ID] = now
		if since := previous[e.ID]; !since.IsZero() {
			next[e.ID] = since
		}
	}
	h.unhealthySince.Store(&next)
}

// Healthy returns whether an executor is in service or out of it for less than
// unhealthyAfter, and whether the request path has a health state for it.
func (h *executorHealth) Healthy(id fleet.InstanceID) (healthy, known bool) {
	since, known := (*h.unhealthySince.Load())[id]
	return since.IsZero() || time.Since(since) < unhealthyAfter, known
}
