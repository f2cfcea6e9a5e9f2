package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/tarragonreach/tarragonreach/entry/dispatch"
)

// requestContext bounds a request by its deadline and, while an attempt is watched, by
// the attempt's earlier deadline. One timer serves both.
type requestContext struct {
	context.Context // canceled with the caller's request
	parent          context.Context
	deadline        time.Time
	cancel          context.CancelFunc
	timer           *time.Timer
	expired         atomic.Bool

	// watched is the executor of the watched attempt, if any; watchedSince is set
	// before it and never changed afterwards.
	watched      atomic.Pointer[dispatch.Executor]
	watchedSince time.Time
}

// newRequestContext returns a context that ends at the deadline. stop must be called when
// the request has ended.
func newRequestContext(parent context.Context, deadline time.Time) *requestContext {
	c := &requestContext{parent: parent, deadline: deadline}
	c.Context, c.cancel = context.WithCancel(parent)
	c.timer = time.AfterFunc(time.Until(deadline), c.onTimer)
	return c
}

// watch ends the context at an earlier deadline if no request at the executor succeeds
// between now and then. It may be called at most once.
func (c *requestContext) watch(e *dispatch.Executor, now, deadline time.Time) {
	c.watchedSince = now
	c.watched.Store(e)
	c.timer.Reset(deadline.Sub(now))
}

// unwatch removes the attempt's own deadline; the request's deadline remains.
func (c *requestContext) unwatch() { c.watched.Store(nil) }

func (c *requestContext) onTimer() {
	left := time.Until(c.deadline)
	if left > 0 && !c.overdue() {
		c.timer.Reset(left)
		return
	}
	c.expired.Store(true)
	c.cancel()
}

// overdue reports whether no request at the watched executor has succeeded since the watch
// began.
func (c *requestContext) overdue() bool {
	e := c.watched.Load()
	return e != nil && !e.RespondedSince(c.watchedSince)
}

// renewed returns a new context for another attempt if this one has expired, else c.
func (c *requestContext) renewed() *requestContext {
	if !c.expired.Load() {
		return c
	}
	c.stop()
	return newRequestContext(c.parent, c.deadline)
}

// stop releases the context's resources.
func (c *requestContext) stop() {
	c.timer.Stop()
	c.cancel()
}

// Deadline implements context.Context; it returns the request's deadline.
func (c *requestContext) Deadline() (time.Time, bool) { return c.deadline, true }

// Err implements context.Context.
func (c *requestContext) Err() error {
	if c.expired.Load() {
		return context.DeadlineExceeded
	}
	return c.Context.Err()
}
