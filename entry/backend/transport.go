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

// HTTPTransport sends attempts over HTTP/1.1, each on a client connection of
// its own pools. A client connection has nothing to replay a request on, so
// each attempt is sent at most once.
type HTTPTransport struct {
	options Options
	dialer  *net.Dialer
	clients *http.Transport
	metrics *metrics
	start   time.Time
	done    chan struct{} // closed by Close
	close   sync.Once

	// pools is replaced whole when an executor is added or dropped.
	pools atomic.Pointer[map[poolKey]*pool]
	mu    sync.Mutex // held by those who replace pools
}

var _ Transport = (*HTTPTransport)(nil)

type poolKey struct {
	id      fleet.InstanceID
	address string
}

// New returns a transport without connections. Close ends it.
func New(options Options) *HTTPTransport {
	options = options.withDefaults()
	t := &HTTPTransport{
		options: options,
		dialer:  newDialer(options.DialTimeout),
		clients: newClients(),
		metrics: newMetrics(options.Scope),
		start:   time.Now(),
		done:    make(chan struct{}),
	}
	t.pools.Store(&map[poolKey]*pool{})
	go t.sweepLoop()
	return t
}

// Close closes the idle connections and ends the search for silent ones.
// Exchanges in progress go on.
func (t *HTTPTransport) Close() error {
	t.close.Do(func() { close(t.done) })
	for _, p := range *t.pools.Load() {
		p.closeIdle(t.now(), 0)
	}
	return nil
}

// now returns the time since the transport was made, by the monotonic clock.
func (t *HTTPTransport) now() time.Duration { return time.Since(t.start) }

// Send implements Transport.
func (t *HTTPTransport) Send(ctx context.Context, target Target, request *Request) (*Response, error) {
	answer, err := t.send(ctx, target, request)
	t.metrics.count(err)
	return answer, err
}

func (t *HTTPTransport) send(ctx context.Context, target Target, request *Request) (*Response, error) {
	for {
		p := t.poolOf(target)
		p.setReadinessPath(target.ReadinessPath)
		c, err := p.get(ctx, max(target.Connections, 1), t.maxAge(request), t.options.ConnectionWait)
		if errors.Is(err, errPoolRetired) {
			continue
		}
		if err != nil {
			return nil, connectError(ctx, err)
		}
		used := c.written.Load()
		answer, err := t.exchange(ctx, c, request)
		if err == nil || c.written.Load() != used {
			return answer, err
		}
		if !replaceable(ctx, request, used, err) {
			return nil, err
		}
	}
}

// maxAge returns how long the connection for a request may have carried no bytes.
func (t *HTTPTransport) maxAge(request *Request) time.Duration {
	switch {
	case request.NewConnection:
		return neverReuse
	case request.Repeatable:
		return t.options.IdleTimeout
	default:
		return t.options.MaxIdleUnrepeatable
	}
}

// neverReuse is the age of connection that no idle connection has.
const neverReuse = -1

// replaceable reports whether an attempt of which no byte was written may go on
// with another connection: the executor had closed the idle one, so that no
// attempt has been made yet.
func replaceable(ctx context.Context, request *Request, used int64, err error) bool {
	isIdleOne := used > 0
	return isIdleOne && request.Stream == nil && ctx.Err() == nil && verdict.CodeOf(err) == verdict.CodeConnectFailed
}

// exchange sends the request on a reserved connection and reads the answer.
func (t *HTTPTransport) exchange(ctx context.Context, c *connection, request *Request) (*Response, error) {
	times := c.pool.times.of(request.Class)
	wait := &expectation{slowest: times.load(), repeatable: request.Repeatable}
	used := c.written.Load()
	r, err := newHTTPRequest(ctx, c.pool.target, request, c, wait)
	if err != nil {
		c.client.Load().Release()
		c.Close()
		return nil, err
	}
	begun := t.now()
	response, err := c.client.Load().RoundTrip(r)
	if err == nil {
		answer, err := t.finish(c, request, response)
		times.observe(t.now() - begun) // a body that is read whole counts
		return answer, err
	}
	isAlive := c.client.Load().Err() == nil
	c.Close()
	if c.written.Load() == used {
		return nil, unwrittenError(ctx, r, isAlive, err)
	}
	if c.silent.Load() {
		times.observe(t.now() - begun) // a slower executor is not taken for a silent one again and again
	}
	return nil, lostError(ctx, c, r, err)
}

// finish reads the answer and closes the connection where it may not be reused.
func (t *HTTPTransport) finish(c *connection, request *Request, response *http.Response) (*Response, error) {
	answer, err := t.readAnswer(request, response)
	if err == nil {
		c.expectNoMore(answer)
		return answer, nil
	}
	if verdict.Of(err) == verdict.NotRun {
		_, _ = io.CopyN(io.Discard, response.Body, t.options.BufferBytes)
		response.Body.Close()
		return nil, err
	}
	c.Close()
	return nil, err
}

// poolOf returns the pool of the target, which it makes at the first use.
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
		target:   target,
		dialer:   t.dialer,
		clients:  t.clients,
		metrics:  t.metrics,
		now:      t.now,
		conns:    map[*connection]struct{}{},
		lastUsed: t.now(),
	}
	next := maps.Clone(old)
	next[key] = p
	t.pools.Store(&next)
	return p
}
