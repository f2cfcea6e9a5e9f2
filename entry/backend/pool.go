package backend

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

var (
	errPoolFull    = errors.New("all connections to the executor are in use")
	errPoolRetired = errors.New("the connection pool was removed because it was unused")
)

// pool holds the connections to one executor. Only requests to that executor
// contend for its lock.
type pool struct {
	target          Target
	dialer          *net.Dialer
	clientTransport *http.Transport
	metrics         *metrics
	now             func() time.Duration // since the transport was created
	times           classTimes
	// readiness is the path that probes request; nil means DefaultReadinessPath.
	readiness atomic.Pointer[string]

	mu       sync.Mutex
	idle     []*connection // the most recently used is last
	conns    map[*connection]struct{}
	open     int // connections open or being opened
	lastUsed time.Duration
	// lastHalfOpen is the time, as returned by now, at which a connection was last found
	// half-open; zero means never.
	lastHalfOpen time.Duration
	waiters      []waiter // the longest waiting is first
	retired      bool     // removed from the transport; requests take a new pool
	probing      bool
}

type connectionKey struct{}

// newClientTransport returns a Transport that is used only to build client connections
// over connections that are already dialed.
func newClientTransport() *http.Transport {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Transport{
		DisableCompression: true,
		Protocols:          protocols,
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return ctx.Value(connectionKey{}).(*connection), nil
		},
	}
}

// get returns a reserved connection: an idle one that carried bytes within
// maxIdle if there is one, else a new one if fewer than limit are open, else one
// that becomes free within wait, else errPoolFull.
func (p *pool) get(ctx context.Context, limit int, maxIdle, wait time.Duration) (*connection, error) {
	for {
		c, w, err := p.pop(limit, maxIdle)
		if w != nil {
			c, err = p.await(ctx, w, wait)
		}
		if err != nil {
			return nil, err
		}
		if c == nil {
			return p.dial(ctx)
		}
		if c.reserve(c.client.Load()) {
			return c, nil
		}
		c.Close()
	}
}

// pop returns an idle connection, or a waiter if all connections are in use, or
// neither if a new connection must be opened; p.open then counts it already.
func (p *pool) pop(limit int, maxIdle time.Duration) (*connection, waiter, error) {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.retired {
		return nil, nil, errPoolRetired
	}
	p.lastUsed = now
	last := len(p.idle) - 1
	if last >= 0 && p.idle[last].idleFor(now) <= maxIdle {
		c := p.idle[last]
		p.idle = slices.Delete(p.idle, last, last+1)
		return c, nil, nil
	}
	if p.open < limit {
		p.open++
		return nil, nil, nil
	}
	if last < 0 {
		return nil, p.enqueue(), nil
	}
	// The new connection replaces the one that has been unused the longest.
	stale := p.idle[0]
	p.idle = slices.Delete(p.idle, 0, 1)
	p.open++
	go stale.Close()
	return nil, nil, nil
}

// dial opens a connection that p.open counts already.
func (p *pool) dial(ctx context.Context) (*connection, error) {
	raw, err := p.dialer.DialContext(ctx, "tcp", p.target.Address)
	if err != nil {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.freeConnectionSlot()
		return nil, err
	}
	p.metrics.dialed.Inc(1)
	c := &connection{Conn: raw, pool: p}
	p.mu.Lock()
	p.conns[c] = struct{}{}
	p.mu.Unlock()
	client, err := p.clientTransport.NewClientConn(context.WithValue(ctx, connectionKey{}, c), "http", p.target.Address)
	if err != nil {
		c.Close()
		return nil, err
	}
	if !c.reserve(client) {
		c.Close()
		return nil, net.ErrClosed
	}
	return c, nil
}

func (p *pool) put(c *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.closed.Load() {
		return
	}
	if !p.handOver(c) {
		p.idle = append(p.idle, c)
	}
}

// remove removes a closed connection from the pool.
func (p *pool) remove(c *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.freeConnectionSlot()
	delete(p.conns, c)
	if i := slices.Index(p.idle, c); i >= 0 {
		p.idle = slices.Delete(p.idle, i, i+1)
	}
}

// removeIdle removes and returns the idle connections that have carried no bytes for at least age.
func (p *pool) removeIdle(now, age time.Duration) []*connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	var removed []*connection
	p.idle = slices.DeleteFunc(p.idle, func(c *connection) bool {
		expired := c.idleFor(now) >= age
		if expired {
			removed = append(removed, c)
		}
		return expired
	})
	return removed
}

// closeIdle closes the idle connections that have carried no bytes for at least age
// and returns their number.
func (p *pool) closeIdle(now, age time.Duration) int {
	removed := p.removeIdle(now, age)
	for _, c := range removed {
		c.Close()
	}
	return len(removed)
}

// retire marks the pool as retired if it has no connections and has been unused for
// longer than age, and reports whether it is retired.
func (p *pool) retire(now, age time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open == 0 && !p.probing && now-p.lastUsed > age {
		p.retired = true
	}
	return p.retired
}
