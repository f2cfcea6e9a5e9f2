package backend

import (
	"context"
	"slices"
	"time"
)

// waiter is the channel of a request that waits for a connection of a full pool. It
// receives an idle connection, or nil if the request may open one.
type waiter chan *connection

// enqueue adds a waiter; p.mu must be held.
func (p *pool) enqueue() waiter {
	w := make(waiter, 1)
	p.waiters = append(p.waiters, w)
	return w
}

// await waits for a free connection. A connection becomes free shortly after its
// response is read completely, so that a short wait avoids a refusal.
func (p *pool) await(ctx context.Context, w waiter, wait time.Duration) (*connection, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case c := <-w:
		return c, nil
	case <-timer.C:
		return p.cancelWait(w, errPoolFull)
	case <-ctx.Done():
		return p.cancelWait(w, ctx.Err())
	}
}

// cancelWait removes the waiter and returns err, unless a connection was handed over
// in the meantime.
func (p *pool) cancelWait(w waiter, err error) (*connection, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if i := slices.Index(p.waiters, w); i >= 0 {
		p.waiters = slices.Delete(p.waiters, i, i+1)
		return nil, err
	}
	return <-w, nil
}

// handOver gives a connection, or with nil the permission to open one, to the first
// waiter. It returns false if no request waits; p.mu must be held.
func (p *pool) handOver(c *connection) bool {
	if len(p.waiters) == 0 {
		return false
	}
	p.waiters[0] <- c
	p.waiters = slices.Delete(p.waiters, 0, 1)
	return true
}

// freeConnectionSlot lets the first waiter open a connection in place of a closed one, or
// lowers p.open if no request waits; p.mu must be held.
func (p *pool) freeConnectionSlot() {
	if !p.handOver(nil) {
		p.open--
	}
}
