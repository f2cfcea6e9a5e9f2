package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// attemptContext ends at a deadline of its own until lift is called; afterwards
// only its parent ends it, so that a streamed answer may take the full timeout.
type attemptContext struct {
	context.Context
	deadline time.Time
	done     chan struct{}
	once     sync.Once
	expired  atomic.Bool
	timer    *time.Timer
}

func newAttemptContext(parent context.Context, deadline time.Time) *attemptContext {
	c := &attemptContext{Context: parent, deadline: deadline, done: make(chan struct{})}
	context.AfterFunc(parent, c.close)
	c.timer = time.AfterFunc(time.Until(deadline), func() {
		c.expired.Store(true)
		c.close()
	})
	return c
}

func (c *attemptContext) close() { c.once.Do(func() { close(c.done) }) }

// lift removes the attempt's own deadline.
func (c *attemptContext) lift() { c.timer.Stop() }

// Deadline implements context.Context.
func (c *attemptContext) Deadline() (time.Time, bool) { return c.deadline, true }

// Done implements context.Context.
func (c *attemptContext) Done() <-chan struct{} { return c.done }

// Err implements context.Context.
func (c *attemptContext) Err() error {
	if c.expired.Load() {
		return context.DeadlineExceeded
	}
	return c.Context.Err()
}
