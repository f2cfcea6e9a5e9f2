package backend

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

var errPoolFull = errors.New("all connections of the executor are in use")

// pool holds the connections to one executor. Its lock is shared only by the
// requests to that executor.
type pool struct {
	target  Target
	dialer  *net.Dialer
	clients *http.Transport

	mu   sync.Mutex
	idle []*connection // the most recently used is last
	open int           // connections open or being opened
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

// get returns a reserved connection: an idle one if there is one, else a new one
// within limit, else errPoolFull.
func (p *pool) get(ctx context.Context, limit int) (*connection, error) {
	for {
		c, dial := p.pop(limit)
		if dial {
			return p.dial(ctx)
		}
		if c == nil {
			return nil, errPoolFull
		}
		if c.reserve() {
			return c, nil
		}
		c.Close()
	}
}

// pop returns an idle connection, or true if the caller may open one.
func (p *pool) pop(limit int) (*connection, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if last := len(p.idle) - 1; last >= 0 {
		c := p.idle[last]
		p.idle[last] = nil
		p.idle = p.idle[:last]
		return c, false
	}
	if p.open >= limit {
		return nil, false
	}
	p.open++
	return nil, true
}

func (p *pool) dial(ctx context.Context) (*connection, error) {
	raw, err := p.dialer.DialContext(ctx, "tcp", p.target.Address)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return nil, err
	}
	c := &connection{Conn: raw, pool: p}
	client, err := p.clients.NewClientConn(context.WithValue(ctx, connectionKey{}, c), "http", p.target.Address)
	if err != nil {
		c.Close()
		return nil, err
	}
	if err := client.Reserve(); err != nil {
		c.Close()
		return nil, err
	}
	c.inUse.Store(true)
	c.client.Store(client)
	return c, nil
}

func (p *pool) put(c *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.closed.Load() {
		return
	}
	p.idle = append(p.idle, c)
}

// remove forgets a closed connection.
func (p *pool) remove(c *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	for i, other := range p.idle {
		if other == c {
			p.idle = append(p.idle[:i], p.idle[i+1:]...)
			return
		}
	}
}

// size returns the number of connections that are open or being opened.
func (p *pool) size() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

func (p *pool) closeIdle() {
	p.mu.Lock()
	idle := append([]*connection(nil), p.idle...)
	p.mu.Unlock()
	for _, c := range idle {
		c.Close()
	}
}

func newDialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout}
}
