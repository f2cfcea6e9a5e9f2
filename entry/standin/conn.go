package standin

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
)

// listener tracks the open connections, so that they can be closed or made half-open.
type listener struct {
	net.Listener
	accepted atomic.Int64
	frozen   atomic.Bool // new connections are half-open from the start

	mu    sync.Mutex
	conns []*serverConn
}

func newListener(inner net.Listener) *listener { return &listener{Listener: inner} }

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.accepted.Add(1)
	c := &serverConn{Conn: raw, listener: l}
	c.halfOpen.Store(l.frozen.Load())
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, c)
	return c, nil
}

func (l *listener) remove(c *serverConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, other := range l.conns {
		if other == c {
			l.conns = append(l.conns[:i], l.conns[i+1:]...)
			return
		}
	}
}

func (l *listener) open() []*serverConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]*serverConn(nil), l.conns...)
}

func (l *listener) count() int { return len(l.open()) }

func (l *listener) halfOpenCount() int {
	n := 0
	for _, c := range l.open() {
		if c.halfOpen.Load() {
			n++
		}
	}
	return n
}

func (l *listener) closeAll() {
	for _, c := range l.open() {
		_ = c.Conn.Close()
	}
}

func (l *listener) makeHalfOpen(share float64) int {
	conns := l.open()
	n := int(share*float64(len(conns)) + 0.5)
	for _, c := range conns[:n] {
		c.halfOpen.Store(true)
	}
	return n
}

// serverConn is an accepted connection, which can be made half-open.
type serverConn struct {
	net.Conn
	listener      *listener
	requests      atomic.Int64
	duplicateNext atomic.Bool // the next write is made twice
	halfOpen      atomic.Bool
}

// Read discards all bytes that arrive while the connection is half-open.
func (c *serverConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	for err == nil && c.halfOpen.Load() {
		n, err = c.Conn.Read(p)
	}
	return n, err
}

// Write reports success without sending if the connection is half-open.
func (c *serverConn) Write(p []byte) (int, error) {
	if c.halfOpen.Load() {
		return len(p), nil
	}
	if c.duplicateNext.Swap(false) {
		_, _ = c.Conn.Write(p)
	}
	return c.Conn.Write(p)
}

// Close closes the connection and removes it from its listener.
func (c *serverConn) Close() error {
	c.listener.remove(c)
	return c.Conn.Close()
}

type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

func connOf(ctx context.Context) *serverConn {
	return ctx.Value(connKey{}).(*serverConn)
}
