package backend

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"time"
)

// maxProbeBytes bounds how much of a readiness response's body is read.
const maxProbeBytes = 4 << 10

// startProbe probes the executor on a new connection and then decides which suspects
// to close. At most one probe of an executor runs at a time.
func (t *HTTPTransport) startProbe(p *pool, suspects []suspect) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.probing {
		return
	}
	p.probing = true
	p.open++ // counts the connection that the probe opens, which may exceed the limit by one
	go t.probe(p, suspects)
}

func (t *HTTPTransport) probe(p *pool, suspects []suspect) {
	ctx, cancel := context.WithTimeout(context.Background(), t.options.ProbeTimeout)
	defer cancel()
	c, err := p.dial(ctx)
	if err == nil {
		err = p.probeReadiness(ctx, c)
	}
	if err == nil {
		t.closeHalfOpen(p, suspects)
	} else {
		t.closeRepeatable(p, suspects)
	}
	p.mu.Lock()
	p.probing = false
	p.mu.Unlock()
}

// probeReadiness requests the readiness path. Any response shows that the executor is reachable.
func (p *pool) probeReadiness(ctx context.Context, c *connection) error {
	request := &http.Request{
		Method: http.MethodGet,
		URL:    &url.URL{Scheme: "http", Host: p.target.Address, Path: p.readinessPath()},
		Header: http.Header{"User-Agent": nil},
		Host:   p.target.Address,
	}
	response, err := c.client.Load().RoundTrip(request.WithContext(ctx))
	if err != nil {
		c.Close()
		return err
	}
	_, err = io.Copy(io.Discard, io.LimitReader(response.Body, maxProbeBytes))
	response.Body.Close()
	return err
}

// setReadinessPath stores the path, unless it is empty.
func (p *pool) setReadinessPath(path string) {
	if path == "" || path == p.readinessPath() {
		return
	}
	p.readiness.Store(&path)
}

func (p *pool) readinessPath() string {
	if path := p.readiness.Load(); path != nil {
		return *path
	}
	return DefaultReadinessPath
}

// closeHalfOpen closes the suspects, since the executor responds on a new connection.
// It also closes idle connections that have carried no bytes for at least as long as the
// suspect that waited the shortest time.
func (t *HTTPTransport) closeHalfOpen(p *pool, suspects []suspect) {
	closed, shortest := 0, time.Duration(0)
	for _, s := range suspects {
		if !s.closeAsHalfOpen() {
			continue
		}
		closed++
		if shortest == 0 || s.waited < shortest {
			shortest = s.waited
		}
	}
	if closed == 0 {
		return
	}
	now := p.now()
	p.mu.Lock()
	p.lastHalfOpen = now
	p.mu.Unlock()
	p.closeIdle(now, shortest)
	t.metrics.halfOpen.Inc(int64(closed))
	t.options.Observe(Signal{p.target.ID, SignalHalfOpenConnections, closed})
}

// closeRepeatable closes the suspects whose requests may be repeated on another executor.
// Other requests wait for their own timeouts, since the executor may only be paused. It
// also closes all idle connections.
func (t *HTTPTransport) closeRepeatable(p *pool, suspects []suspect) {
	for _, s := range suspects {
		if pending := s.connection.pending.Load(); pending != nil && pending.repeatable {
			s.closeAsHalfOpen()
		}
	}
	p.closeIdle(p.now(), 0)
	t.metrics.unreachable.Inc(1)
	t.options.Observe(Signal{Executor: p.target.ID, Kind: SignalUnreachable})
}

// closeAsHalfOpen closes the connection, unless bytes arrived or the exchange ended in
// the meantime, and reports whether it closed the connection.
func (s suspect) closeAsHalfOpen() bool {
	c := s.connection
	if c.exchange.Load() != s.exchange || !c.inUse.Load() || !c.reading.Load() || c.idleFor(c.pool.now()) < s.waited {
		return false
	}
	c.halfOpen.Store(true)
	c.Close()
	return true
}
