package backend

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"

	"github.com/tarragonreach/tarragonreach/api/verdict"
)

// newHTTPRequest builds the request of one attempt on a connection.
func newHTTPRequest(ctx context.Context, target Target, request *Request, c *connection, pending *pendingResponse) (*http.Request, error) {
	u, err := requestURL(target.Address, request.Path)
	if err != nil {
		return nil, err
	}
	if request.Method == http.MethodConnect {
		return nil, badRequest(errors.New("the method CONNECT is not forwarded"))
	}
	r := &http.Request{
		Method:     request.Method,
		URL:        u,
		Proto:      "HTTP/1.1",
		ProtoMajor: 1,
		ProtoMinor: 1,
		Header:     requestHeader(ctx, request),
		Host:       target.Address,
	}
	setBody(r, request, c, pending)
	return r.WithContext(ctx), nil
}

// requestURL builds a URL that keeps the escapes of the path, even if it starts with "//".
func requestURL(host, pathAndQuery string) (*url.URL, error) {
	path, query, hasQuery := strings.Cut(pathAndQuery, "?")
	if !strings.HasPrefix(path, "/") {
		return nil, badRequest(fmt.Errorf("path %q does not start with a slash", path))
	}
	unescaped, err := url.PathUnescape(path)
	if err != nil {
		return nil, badRequest(err)
	}
	return &url.URL{
		Scheme:     "http",
		Host:       host,
		Path:       unescaped,
		RawPath:    path,
		RawQuery:   query,
		ForceQuery: hasQuery && query == "",
	}, nil
}

func badRequest(err error) *verdict.Error {
	e := verdict.New(verdict.NotRun, verdict.CodeBadRequest, "the request cannot be forwarded")
	e.Err = err
	return e
}

// setBody attaches the body. The response to a streamed request becomes pending only
// after the stream is read to its end.
func setBody(r *http.Request, request *Request, c *connection, pending *pendingResponse) {
	if request.Stream != nil {
		r.Body = &streamedRequestBody{Reader: request.Stream, connection: c, pending: pending}
		r.ContentLength = request.StreamLength
		return
	}
	c.pending.Store(pending)
	if len(request.Body) > 0 {
		r.Body = io.NopCloser(bytes.NewReader(request.Body)) // the client sends this type in one write
		r.ContentLength = int64(len(request.Body))
	}
}

// streamedRequestBody is a request body that is sent while it is received from the caller.
type streamedRequestBody struct {
	io.Reader
	connection *connection
	pending    *pendingResponse
	broken     atomic.Bool // the stream ended with an error
}

// Read implements io.Reader.
func (s *streamedRequestBody) Read(p []byte) (int, error) {
	n, err := s.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		s.connection.pending.Store(s.pending)
		return n, err
	}
	if err != nil {
		s.broken.Store(true)
	}
	return n, err
}

// Close does nothing: Request.Stream belongs to the code that set it.
func (s *streamedRequestBody) Close() error { return nil }
