package node

import (
	"sync/atomic"
	"time"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/entry/gateway"
)

// unhealthyAfter is how long an executor must stay out of service by the request
// path before its pool counts it as failed. It spans several trials of an executor
// that recovers by itself.
const unhealthyAfter = 30 * time.Second

// executorHealth follows the request path's view of the executors for the fleet's
// controllers.
type executorHealth struct {
	// since says from when each executor is out of service; zero while it is healthy.
	unhealthySince atomic.Pointer[map[fleet.InstanceID]time.Time]
}

func newExecutorHealth() *executorHealth {
	h := &executorHealth{}
	h.unhealthySince.Store(&map[fleet.InstanceID]time.Time{})
	return h
}

// observe takes the view of the request path at now. Only one goroutine may call it.
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

// Healthy returns whether an executor is in service or only shortly out of it, and
// whether the request path knows it.
func (h *executorHealth) Healthy(id fleet.InstanceID) (healthy, known bool) {
	since, known := (*h.unhealthySince.Load())[id]
	return since.IsZero() || time.Since(since) < unhealthyAfter, known
}
