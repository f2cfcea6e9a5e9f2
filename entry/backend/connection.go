package backend

import (
	"errors"
	"net"
	"net/http"
	"sync/atomic"
)

var errUnsolicited = errors.New("bytes arrived before any request was written")

// connection is one connection to an executor. It is the net.Conn under one
// http.ClientConn, so it sees each byte that the client reads and writes.
type connection struct {
	net.Conn
	pool *pool
	// client is set once the connection is ready for its first exchange.
	client atomic.Pointer[http.ClientConn]
	// inUse is true from the start of an exchange until its answer was read whole.
	inUse atomic.Bool
	// asked is true once the current exchange has tried to write.
	asked atomic.Bool
	// written counts the bytes that the kernel took over the connection's life.
	written atomic.Int64
	closed  atomic.Bool
}

// Read gives the connection back to its pool when the client waits for bytes
// with no exchange open: only then is its read buffer known to be empty, so
// that a duplicate answer is never taken for the next one.
func (c *connection) Read(p []byte) (int, error) {
	c.giveBack()
	n, err := c.Conn.Read(p)
	if n > 0 && !c.asked.Load() {
		return 0, errUnsolicited
	}
	return n, err
}

// Write counts the bytes written.
func (c *connection) Write(p []byte) (int, error) {
	c.asked.Store(true)
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	return n, err
}

// Close closes the connection and takes it out of its pool.
func (c *connection) Close() error {
	if !c.closed.CompareAndSwap(false, true) {
		return nil
	}
	err := c.Conn.Close()
	c.pool.remove(c)
	return err
}

func (c *connection) giveBack() {
	client := c.client.Load()
	if client == nil || client.Available() == 0 {
		return
	}
	if !c.inUse.CompareAndSwap(true, false) {
		return
	}
	c.asked.Store(false)
	c.pool.put(c)
}

// reserve starts an exchange; it returns false if the connection is no longer usable.
func (c *connection) reserve() bool {
	if c.client.Load().Reserve() != nil {
		return false
	}
	c.inUse.Store(true)
	return true
}
