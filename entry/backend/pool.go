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
	errPoolFull    = errors.New("all connections of the executor are in use")
	errPoolRetired = errors.New("the pool was dropped after long disuse")
)

// pool holds the connections to one executor. Its lock is shared only by the
// requests to that executor.
type pool struct {
	target  Target
	dialer  *net.Dialer
	clients *http.Transport
	metrics *metrics
	now     func() time.Duration // since the transport was made
	times   classTimes
	// readiness is the path that probes ask; nil takes DefaultReadinessPath.
	readiness atomic.Pointer[string]

	mu       sync.Mutex
	idle     []*connection // the most recently used is last
	conns    map[*connection]struct{}
	open     int // connections open or being opened
	lastUsed time.Duration
	// lastSilent is when a connection was last found silent; zero is never.
	lastHalfOpen time.Duration
	waiters      []waiter // the one that waits the longest is first
	retired      bool
	probing      bool
}

type connectionKey struct{}

// newClients returns a Transport that serves only to build client connections
// over connections dialed before.
func newClients() *http.Transport {
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
// maxAge if there is one, else a new one within limit, else one that comes free
// within wait, else errPoolFull.
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

// pop returns an idle connection, or nil if the caller is to open one, or a
// waiter where all connections are in use.
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
	// The place of the connection that has been unused the longest is taken over.
	stale := p.idle[0]
	p.idle = slices.Delete(p.idle, 0, 1)
	p.open++
	go stale.Close()
	return nil, nil, nil
}

// dial opens a connection, for which the caller has raised p.open.
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
	client, err := p.clients.NewClientConn(context.WithValue(ctx, connectionKey{}, c), "http", p.target.Address)
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

// remove forgets a closed connection.
func (p *pool) remove(c *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.freeConnectionSlot()
	delete(p.conns, c)
	if i := slices.Index(p.idle, c); i >= 0 {
		p.idle = slices.Delete(p.idle, i, i+1)
	}
}

// takeIdle removes and returns the idle connections that carried no bytes for at least age.
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

// closeIdle closes the idle connections that carried no bytes for at least age.
func (p *pool) closeIdle(now, age time.Duration) int {
	removed := p.removeIdle(now, age)
	for _, c := range removed {
		c.Close()
	}
	return len(removed)
}

// retire marks a pool that is long unused, so that it can be dropped.
func (p *pool) retire(now, age time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open == 0 && !p.probing && now-p.lastUsed > age {
		p.retired = true
	}
	return p.retired
}
