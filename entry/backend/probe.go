package backend

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"time"
)

// maxProbeBytes bounds the body of a readiness answer that is read.
const maxProbeBytes = 4 << 10

// startProbe asks the executor on a new connection and then decides about the
// suspects. At most one probe of an executor runs at a time.
func (t *HTTPTransport) startProbe(p *pool, suspects []suspect) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.probing {
		return
	}
	p.probing = true
	p.open++ // stands for the connection that the probe opens, one above the share at most
	go t.probe(p, suspects)
}

func (t *HTTPTransport) probe(p *pool, suspects []suspect) {
	ctx, cancel := context.WithTimeout(context.Background(), t.options.ProbeTimeout)
	defer cancel()
	c, err := p.dial(ctx)
	if err == nil {
		err = p.askReadiness(ctx, c)
	}
	if err == nil {
		t.closeSilent(p, suspects)
	} else {
		t.giveUpRepeatable(p, suspects)
	}
	p.mu.Lock()
	p.probing = false
	p.mu.Unlock()
}

// askReadiness sends one probe. Any answer shows that the executor can be reached.
func (p *pool) askReadiness(ctx context.Context, c *connection) error {
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

// setReadinessPath keeps the path of the latest target that names one.
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

// closeSilent closes the suspects for good, since the executor answers on a new
// connection. Idle connections that were quiet as long are closed with them.
func (t *HTTPTransport) closeSilent(p *pool, suspects []suspect) {
	closed, shortest := 0, time.Duration(0)
	for _, s := range suspects {
		if !s.closeAsSilent() {
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
	p.lastSilent = now
	p.mu.Unlock()
	p.closeIdle(now, shortest)
	t.metrics.silent.Inc(int64(closed))
	t.options.Observe(Signal{p.target.ID, SignalHalfOpenConnections, closed})
}

// giveUpRepeatable closes the suspects whose requests may be repeated elsewhere.
// The others wait for their own timeouts, since the executor may only be paused.
func (t *HTTPTransport) giveUpRepeatable(p *pool, suspects []suspect) {
	for _, s := range suspects {
		if wait := s.connection.wait.Load(); wait != nil && wait.repeatable {
			s.closeAsSilent()
		}
	}
	p.closeIdle(p.now(), 0)
	t.metrics.unreachable.Inc(1)
	t.options.Observe(Signal{Executor: p.target.ID, Kind: SignalUnreachable})
}

// closeAsSilent closes the connection unless its answer came in the meantime.
func (s suspect) closeAsSilent() bool {
	c := s.connection
	if c.exchange.Load() != s.exchange || !c.inUse.Load() || !c.reading.Load() || c.idleFor(c.pool.now()) < s.waited {
		return false
	}
	c.silent.Store(true)
	c.Close()
	return true
}
