package backend

import (
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

var errUnsolicited = errors.New("bytes arrived before the request was written")

// connection is one connection to an executor. It is the net.Conn under one
// http.ClientConn, so that each byte that the client reads and writes passes through it.
type connection struct {
	net.Conn
	pool *pool
	// client is set once the connection is ready for its first exchange.
	client atomic.Pointer[http.ClientConn]
	// inUse is true from the start of an exchange until its response is read completely.
	inUse atomic.Bool
	// writeAttempted is true once the client has tried to write in the current exchange.
	writeAttempted atomic.Bool
	// reading is true while the client waits for bytes.
	reading atomic.Bool
	// written counts the bytes that the kernel has accepted since the connection was opened.
	written atomic.Int64
	// lastActivity is the time, by pool.now, at which the connection was last reserved, was
	// written to, or started or ended a read.
	lastActivity atomic.Int64
	// exchange numbers the exchanges on this connection.
	exchange atomic.Uint64
	// pending describes the response that the current exchange waits for; nil until a
	// streamed request is sent completely and while a streamed response may pause.
	pending  atomic.Pointer[pendingResponse]
	halfOpen atomic.Bool // closed because it was found half-open
	closed   atomic.Bool
}

// Read returns the connection to its pool when the client waits for bytes after the
// response is read completely. Only then is the client's read buffer known to be empty, so
// that a duplicate response is never taken for the response to the next request.
func (c *connection) Read(p []byte) (int, error) {
	c.touch()
	c.reading.Store(true)
	c.returnToPool()
	n, err := c.Conn.Read(p)
	c.reading.Store(false)
	c.touch()
	if n > 0 && !c.writeAttempted.Load() {
		return 0, errUnsolicited
	}
	return n, err
}

// Write counts the bytes written.
func (c *connection) Write(p []byte) (int, error) {
	c.writeAttempted.Store(true)
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	c.touch()
	return n, err
}

// Close closes the connection and removes it from its pool.
func (c *connection) Close() error {
	if !c.closed.CompareAndSwap(false, true) {
		return nil
	}
	err := c.Conn.Close()
	c.pool.remove(c)
	return err
}

func (c *connection) touch() { c.lastActivity.Store(int64(c.pool.now())) }

// returnToPool ends the exchange and makes the connection idle, if the client can take
// another request.
func (c *connection) returnToPool() {
	client := c.client.Load()
	if client == nil || client.Available() == 0 {
		return
	}
	if !c.inUse.CompareAndSwap(true, false) {
		return
	}
	c.writeAttempted.Store(false)
	c.pending.Store(nil)
	c.pool.put(c)
}

// reserve starts an exchange. It returns false if the connection is no longer usable.
func (c *connection) reserve(client *http.ClientConn) bool {
	if client.Reserve() != nil {
		return false
	}
	c.exchange.Add(1)
	c.touch()
	c.inUse.Store(true)
	c.client.Store(client)
	return true
}

// idleFor returns how long the connection has carried no bytes.
func (c *connection) idleFor(now time.Duration) time.Duration {
	return now - time.Duration(c.lastActivity.Load())
}

// isOverdue reports whether the current exchange has waited for bytes for longer than
// its response may take.
func (c *connection) isOverdue(now, minimum time.Duration, corroborated bool) bool {
	if !c.inUse.Load() || !c.reading.Load() {
		return false
	}
	pending := c.pending.Load()
	if pending == nil {
		return false
	}
	limit := pending.overdueAfter(minimum, corroborated)
	return limit > 0 && c.idleFor(now) > limit
}

// allowPauses stops the overdue check while the body of a streamed response is read,
// since the body may pause for any time.
func (c *connection) allowPauses(response *Response) {
	if _, ok := response.Body.(*streamedResponseBody); ok {
		c.pending.Store(nil)
	}
}
