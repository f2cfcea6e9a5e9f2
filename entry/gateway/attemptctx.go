package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// attemptContext ends at a deadline of its own if the attempt is overdue then,
// unless lift is called before; otherwise only its parent ends it, so that a slow
// or streamed answer may take the full timeout.
type attemptContext struct {
	context.Context
	done    chan struct{}
	once    sync.Once
	expired atomic.Bool
	timer   *time.Timer
}

func newAttemptContext(parent context.Context, deadline time.Time, overdue func() bool) *attemptContext {
	c := &attemptContext{Context: parent, done: make(chan struct{})}
	context.AfterFunc(parent, c.close)
	c.timer = time.AfterFunc(time.Until(deadline), func() {
		if overdue() {
			c.expired.Store(true)
			c.close()
		}
	})
	return c
}

func (c *attemptContext) close() { c.once.Do(func() { close(c.done) }) }

// lift removes the attempt's own deadline.
func (c *attemptContext) lift() { c.timer.Stop() }

// Done implements context.Context.
func (c *attemptContext) Done() <-chan struct{} { return c.done }

// Err implements context.Context.
func (c *attemptContext) Err() error {
	if c.expired.Load() {
		return context.DeadlineExceeded
	}
	return c.Context.Err()
}
