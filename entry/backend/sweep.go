package backend

import (
	"maps"
	"time"
)

// retireAfter is how long an unused pool without connections is kept for its response times.
const retireAfter = 10 * time.Minute

// sweepLoop checks for overdue responses and unused connections until Close.
func (t *HTTPTransport) sweepLoop() {
	ticker := time.NewTicker(t.options.SweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			t.sweep()
		case <-t.done:
			return
		}
	}
}

func (t *HTTPTransport) sweep() {
	now := t.now()
	var retired []poolKey
	for key, p := range *t.pools.Load() {
		p.closeIdle(now, t.options.IdleTimeout)
		if suspects := p.overdue(now, t.options.MinOverdueAfter); len(suspects) > 0 {
			t.startProbe(p, suspects)
		}
		if p.retire(now, retireAfter) {
			retired = append(retired, key)
		}
	}
	if len(retired) > 0 {
		t.drop(retired)
	}
}

func (t *HTTPTransport) drop(keys []poolKey) {
	t.mu.Lock()
	defer t.mu.Unlock()
	next := maps.Clone(*t.pools.Load())
	for _, key := range keys {
		delete(next, key)
	}
	t.pools.Store(&next)
}

// suspect is a connection whose response is overdue.
type suspect struct {
	connection *connection
	exchange   uint64        // connection.exchange when it became a suspect
	waited     time.Duration // how long the connection has carried no bytes
}

// overdue returns the connections whose responses are overdue.
func (p *pool) overdue(now, minimum time.Duration) []suspect {
	p.mu.Lock()
	defer p.mu.Unlock()
	corroborated := p.lastHalfOpen > 0 && now-p.lastHalfOpen < corroborationWindow
	var suspects []suspect
	for c := range p.conns {
		exchange := c.exchange.Load()
		if c.isOverdue(now, minimum, corroborated) {
			suspects = append(suspects, suspect{c, exchange, c.idleFor(now)})
		}
	}
	return suspects
}
