package backend

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"sync/atomic"

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

	// pools is replaced whole when an executor is added or dropped.
	pools atomic.Pointer[map[poolKey]*pool]
	mu    sync.Mutex // held by those who replace pools
}

var _ Transport = (*HTTPTransport)(nil)

type poolKey struct {
	id      fleet.InstanceID
	address string
}

// New returns a transport without connections.
func New(options Options) *HTTPTransport {
	options = options.withDefaults()
	t := &HTTPTransport{
		options: options,
		dialer:  newDialer(options.DialTimeout),
		clients: newClients(),
	}
	t.pools.Store(&map[poolKey]*pool{})
	return t
}

// Close closes the idle connections. Exchanges in progress go on.
func (t *HTTPTransport) Close() error {
	for _, p := range *t.pools.Load() {
		p.closeIdle()
	}
	return nil
}

// Send implements Transport.
func (t *HTTPTransport) Send(ctx context.Context, target Target, request *Request) (*Answer, error) {
	p := t.poolOf(target)
	for {
		c, err := p.get(ctx, max(target.Connections, 1))
		if err != nil {
			return nil, connectError(ctx, err)
		}
		used := c.written.Load()
		response, err := c.client.Load().RoundTrip(newHTTPRequest(ctx, target, request))
		if err == nil {
			return t.finish(c, request, response)
		}
		c.Close()
		if c.written.Load() != used {
			return nil, lostError(ctx, err)
		}
		if used == 0 || request.Stream != nil || ctx.Err() != nil {
			return nil, unsentError(ctx, err)
		}
		// An idle connection had been closed by the executor: no byte was written,
		// so that no attempt has been made yet.
	}
}

// finish reads the answer and closes the connection where it may not be reused.
func (t *HTTPTransport) finish(c *connection, request *Request, response *http.Response) (*Answer, error) {
	answer, err := t.readAnswer(request, response)
	if err == nil {
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

func newHTTPRequest(ctx context.Context, target Target, request *Request) *http.Request {
	r := &http.Request{
		Method:     request.Method,
		URL:        &url.URL{Scheme: "http", Host: target.Address},
		Proto:      "HTTP/1.1",
		ProtoMajor: 1,
		ProtoMinor: 1,
		Header:     requestHeader(ctx, request),
		Host:       target.Address,
	}
	setPath(r.URL, request.Path)
	setBody(r, request)
	return r.WithContext(ctx)
}

// setPath keeps the path's own escapes.
func setPath(u *url.URL, path string) {
	parsed, err := url.ParseRequestURI(path)
	if err != nil {
		u.Opaque = path
		return
	}
	u.Path, u.RawPath = parsed.Path, parsed.RawPath
	u.RawQuery, u.ForceQuery = parsed.RawQuery, parsed.ForceQuery
}

func setBody(r *http.Request, request *Request) {
	switch {
	case request.Stream != nil:
		r.Body = io.NopCloser(request.Stream)
		r.ContentLength = request.StreamLength
	case len(request.Body) > 0:
		r.Body = io.NopCloser(bytes.NewReader(request.Body)) // a type that the client sends in one write
		r.ContentLength = int64(len(request.Body))
	}
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
	p := &pool{target: target, dialer: t.dialer, clients: t.clients}
	next := make(map[poolKey]*pool, len(old)+1)
	for k, v := range old {
		next[k] = v
	}
	next[key] = p
	t.pools.Store(&next)
	return p
}

func connectError(ctx context.Context, err error) *verdict.Error {
	if errors.Is(err, errPoolFull) {
		return verdict.New(verdict.NotRun, verdict.CodeBackendServerBusy, "all connections to the executor are in use")
	}
	return unsentError(ctx, err)
}

// unsentError is the error of an attempt of which no byte was written.
func unsentError(ctx context.Context, err error) *verdict.Error {
	e := verdict.New(verdict.NotRun, verdict.CodeConnectFailed, "no connection to the executor")
	e.Err = err
	return withContextCode(ctx, e)
}

// lostError is the error of an attempt of which some bytes were written.
func lostError(ctx context.Context, err error) *verdict.Error {
	e := verdict.New(verdict.MayHaveRun, verdict.CodeConnectionLost, "the connection was lost before the answer")
	e.Err = err
	return withContextCode(ctx, e)
}

// withContextCode names the end of the context as the cause, where it was one.
func withContextCode(ctx context.Context, e *verdict.Error) *verdict.Error {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		e.Code, e.Detail = verdict.CodeTimeout, "the attempt's time is up"
	case ctx.Err() != nil:
		e.Code, e.Detail = verdict.CodeCanceled, "the caller went away"
	}
	return e
}
