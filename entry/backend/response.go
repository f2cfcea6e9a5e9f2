package backend

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/tarragonreach/tarragonreach/api/header"
	"github.com/tarragonreach/tarragonreach/api/verdict"
)

// readAnswer checks a response and reads its body up to the buffer limit.
func (t *HTTPTransport) readResponse(request *Request, response *http.Response) (*Response, error) {
	if echo := response.Header.Get(header.RequestID); echo != "" && echo != request.ID {
		return nil, verdict.New(verdict.MayHaveRun, verdict.CodeResponseMismatched,
			"the executor answered another request on this connection")
	}
	if err := refusal(response); err != nil {
		return nil, err
	}
	if err := t.checkLength(response); err != nil {
		return nil, err
	}
	body, err := t.readBody(response)
	if err != nil {
		return nil, err
	}
	return &Response{
		Status:  response.StatusCode,
		Header:  responseHeader(response.Header),
		Body:    body,
		Leaving: isLeaving(response),
	}, nil
}

// isLeaving reports whether the executor gave notice with this response.
func isLeaving(response *http.Response) bool {
	return response.Close && response.StatusCode == http.StatusServiceUnavailable
}

// refusal returns the error of an executor that declares that it did not run the request.
func refusal(response *http.Response) error {
	if response.StatusCode != http.StatusServiceUnavailable {
		return nil
	}
	if response.Header.Get(header.Verdict) != verdict.NotRun.String() {
		return nil
	}
	code, detail := verdict.CodeBackendServerBusy, "the executor refused the request as busy"
	if response.Close {
		code, detail = verdict.CodeBackendServerLeaving, "the executor is leaving"
	}
	e := verdict.New(verdict.NotRun, code, detail)
	if seconds, err := strconv.Atoi(response.Header.Get(header.RetryAfter)); err == nil && seconds > 0 {
		e.RetryAfter = time.Duration(seconds) * time.Second
	}
	return e
}

// checkLength refuses a body that is declared too large, or whose end cannot be
// told from a cut because neither a length nor chunks delimit it.
func (t *HTTPTransport) checkLength(response *http.Response) error {
	if response.StatusCode == http.StatusSwitchingProtocols {
		return verdict.New(verdict.MayHaveRun, verdict.CodeResponseMismatched,
			"the executor switched protocols without being asked to")
	}
	if response.Body == http.NoBody || response.Request.Method == http.MethodHead {
		return nil
	}
	if response.ContentLength > t.options.MaxResponseBytes {
		return tooLarge(t.options.MaxResponseBytes)
	}
	if response.ContentLength >= 0 || len(response.TransferEncoding) > 0 {
		return nil
	}
	return verdict.New(verdict.MayHaveRun, verdict.CodeResponseTruncated,
		"the answer's body has neither length nor chunks, so that a cut cannot be told from its end")
}

func tooLarge(limit int64) *verdict.Error {
	return verdict.New(verdict.MayHaveRun, verdict.CodeResponseTooLarge,
		fmt.Sprintf("the answer's body exceeds %d bytes", limit))
}

func truncated(err error) *verdict.Error {
	e := verdict.New(verdict.MayHaveRun, verdict.CodeResponseTruncated, "the answer's body was cut short")
	e.Err = err
	return e
}

// readBody reads a short body whole; a longer one is returned as a stream.
func (t *HTTPTransport) readBody(response *http.Response) (io.ReadCloser, error) {
	if response.Body == http.NoBody {
		return http.NoBody, nil
	}
	if response.ContentLength > t.options.BufferBytes || isEventStream(response) {
		return t.stream(nil, response.Body), nil
	}
	head, err := readUpTo(response, t.options.BufferBytes)
	if err != nil {
		return nil, truncated(err)
	}
	if int64(len(head)) > t.options.BufferBytes {
		return t.stream(head, response.Body), nil
	}
	if err := response.Body.Close(); err != nil {
		return nil, truncated(err)
	}
	return &bufferedBody{*bytes.NewReader(head)}, nil
}

// isEventStream reports whether the body is an endless sequence of events, which
// the caller wants as they come.
func isEventStream(response *http.Response) bool {
	return strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream")
}

// readUpTo reads at most limit+1 bytes; fewer than limit+1 are the whole body.
func readUpTo(response *http.Response, limit int64) ([]byte, error) {
	if response.ContentLength < 0 {
		return io.ReadAll(io.LimitReader(response.Body, limit+1))
	}
	body := make([]byte, response.ContentLength)
	if _, err := io.ReadFull(response.Body, body); err != nil {
		return nil, err
	}
	// The read of the end lets the connection go back to its pool.
	var end [1]byte
	if _, err := response.Body.Read(end[:]); !errors.Is(err, io.EOF) {
		return nil, fmt.Errorf("read the end of the body: %w", err)
	}
	return body, nil
}

// wholeBody is a body that was read and verified.
type bufferedBody struct{ bytes.Reader }

// Close does nothing.
func (*bufferedBody) Close() error { return nil }

// streamedBody is a body that is read while it is passed on.
type streamedBody struct {
	head      *bytes.Reader
	rest      io.ReadCloser
	remaining int64 // bytes that may still be read
	limit     int64
}

func (t *HTTPTransport) stream(head []byte, rest io.ReadCloser) io.ReadCloser {
	return &streamedBody{
		head:      bytes.NewReader(head),
		rest:      rest,
		remaining: t.options.MaxResponseBytes,
		limit:     t.options.MaxResponseBytes,
	}
}

// Read returns a *verdict.Error where the body is cut or exceeds the limit.
func (b *streamedBody) Read(p []byte) (int, error) {
	if b.head.Len() > 0 {
		n, _ := b.head.Read(p)
		b.remaining -= int64(n)
		return n, nil
	}
	n, err := b.rest.Read(p)
	b.remaining -= int64(n)
	if b.remaining < 0 {
		return 0, tooLarge(b.limit)
	}
	if err != nil && !errors.Is(err, io.EOF) {
		return n, truncated(err)
	}
	return n, err
}

// Close ends the answer; a connection whose answer was not read whole is closed.
func (b *streamedBody) Close() error { return b.rest.Close() }
