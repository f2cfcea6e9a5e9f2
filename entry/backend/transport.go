package backend

import (
	"context"
	"errors"
	"io"
	"maps"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/api/verdict"
)

// HTTPTransport sends attempts over HTTP/1.1 on connections of its own pools. Each
// attempt uses a single http.ClientConn, which has no other connection to replay a
// request on, so that each attempt is sent at most once.
type HTTPTransport struct {
	options         Options
	dialer          *net.Dialer
	clientTransport *http.Transport
	metrics         *metrics
	start           time.Time
	done            chan struct{} // closed by Close
	closeOnce       sync.Once

	// pools is copied and replaced when an executor is added or removed.
	pools atomic.Pointer[map[poolKey]*pool]
	mu    sync.Mutex // held while pools is replaced
}

var _ Transport = (*HTTPTransport)(nil)

type poolKey struct {
	id      fleet.InstanceID
	address string
}

// New returns a transport without connections and starts its sweep loop, which Close stops.
func New(options Options) *HTTPTransport {
	options = options.withDefaults()
	t := &HTTPTransport{
		options:         options,
		dialer:          newDialer(options.DialTimeout),
		clientTransport: newClientTransport(),
		metrics:         newMetrics(options.Scope),
		start:           time.Now(),
		done:            make(chan struct{}),
	}
	t.pools.Store(&map[poolKey]*pool{})
	go t.sweepLoop()
	return t
}

// Close closes the idle connections and stops the search for half-open ones.
// Exchanges in progress continue.
func (t *HTTPTransport) Close() error {
	t.closeOnce.Do(func() { close(t.done) })
	for _, p := range *t.pools.Load() {
		p.closeIdle(t.now(), 0)
	}
	return nil
}

// now returns the time since the transport was created, by the monotonic clock.
func (t *HTTPTransport) now() time.Duration { return time.Since(t.start) }

// Send implements Transport.
func (t *HTTPTransport) Send(ctx context.Context, target Target, request *Request) (*Response, error) {
	response, err := t.send(ctx, target, request)
	t.metrics.count(err)
	return response, err
}

func (t *HTTPTransport) send(ctx context.Context, target Target, request *Request) (*Response, error) {
	for {
		p := t.poolOf(target)
		p.setReadinessPath(target.ReadinessPath)
		c, err := p.get(ctx, max(target.Connections, 1), t.maxIdle(request), t.options.ConnectionWait)
		if errors.Is(err, errPoolRetired) {
			continue
		}
		if err != nil {
			return nil, acquireError(ctx, err)
		}
		writtenBefore := c.written.Load()
		response, err := t.exchange(ctx, c, request)
		if err == nil || c.written.Load() != writtenBefore {
			return response, err
		}
		if !replaceable(ctx, request, writtenBefore, err) {
			return nil, err
		}
	}
}

// maxIdle returns the longest idle time of a connection that is used for the request.
func (t *HTTPTransport) maxIdle(request *Request) time.Duration {
	switch {
	case request.NewConnection:
		return neverReuse
	case request.Repeatable:
		return t.options.IdleTimeout
	default:
		return t.options.MaxIdleUnrepeatable
	}
}

// neverReuse is a maximum idle time that no idle connection meets.
const neverReuse = -1

// replaceable reports whether a request of which no byte was written may be sent on
// another connection. It may if the executor had already closed the idle connection, since
// this does not count as an attempt.
func replaceable(ctx context.Context, request *Request, writtenBefore int64, err error) bool {
	isReused := writtenBefore > 0
	return isReused && request.Stream == nil && ctx.Err() == nil && verdict.CodeOf(err) == verdict.CodeConnectFailed
}

// exchange sends the request on a reserved connection and reads the response.
func (t *HTTPTransport) exchange(ctx context.Context, c *connection, request *Request) (*Response, error) {
	times := c.pool.times.of(request.Class)
	pending := newPendingResponse(times, request)
	writtenBefore := c.written.Load()
	r, err := newHTTPRequest(ctx, c.pool.target, request, c, pending)
	if err != nil {
		c.client.Load().Release()
		c.Close()
		return nil, err
	}
	started := t.now()
	response, err := c.client.Load().RoundTrip(r)
	if err == nil {
		result, err := t.finish(c, request, response)
		times.observe(t.now() - started) // includes reading a buffered body
		return result, err
	}
	isOpen := c.client.Load().Err() == nil
	c.Close()
	if c.written.Load() == writtenBefore {
		return nil, unwrittenError(ctx, r, isOpen, err)
	}
	if c.halfOpen.Load() {
		times.observe(t.now() - started) // so that a slower executor is not repeatedly taken for half-open
	}
	return nil, lostError(ctx, c, r, err)
}

// finish reads the response and closes the connection if it must not be reused.
func (t *HTTPTransport) finish(c *connection, request *Request, response *http.Response) (*Response, error) {
	result, err := t.readResponse(request, response)
	if err == nil {
		c.allowPauses(result)
		return result, nil
	}
	if verdict.Of(err) == verdict.NotRun {
		_, _ = io.CopyN(io.Discard, response.Body, t.options.BufferBytes)
		response.Body.Close()
		return nil, err
	}
	c.Close()
	return nil, err
}

// poolOf returns the pool of the target, which it creates on first use.
func (t *HTTPTransport) poolOf(target Target) *pool {
	key := poolKey{target.ID, target.Address}
	if p, ok := (*t.pools.Load())[key]; ok {
		return p
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	old := *t.pools.Load()
	if p, ok := old[key]; ok {
		return p
	}
	p := &pool{
		target:          target,
		dialer:          t.dialer,
		clientTransport: t.clientTransport,
		metrics:         t.metrics,
		now:             t.now,
		conns:           map[*connection]struct{}{},
		lastUsed:        t.now(),
	}
	next := maps.Clone(old)
	next[key] = p
	t.pools.Store(&next)
	return p
}
