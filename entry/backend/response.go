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

// readResponse checks a response and reads its body up to the buffer limit.
func (t *HTTPTransport) readResponse(request *Request, response *http.Response) (*Response, error) {
	if echo := response.Header.Get(header.RequestID); echo != "" && echo != request.ID {
		return nil, verdict.New(verdict.MayHaveRun, verdict.CodeResponseMismatched,
			"the response belongs to another request on this connection")
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

// isLeaving reports whether the executor announced with this response that it is leaving.
func isLeaving(response *http.Response) bool {
	return response.Close && response.StatusCode == http.StatusServiceUnavailable
}

// refusal returns an error if the executor declares that it did not run the request, else nil.
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

// checkLength returns an error if the body's declared length exceeds the limit, or if
// truncation could not be detected because neither a length nor chunks delimit the body.
// It also rejects a switch of protocols.
func (t *HTTPTransport) checkLength(response *http.Response) error {
	if response.StatusCode == http.StatusSwitchingProtocols {
		return verdict.New(verdict.MayHaveRun, verdict.CodeResponseMismatched,
			"the executor switched protocols without a request to do so")
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
		"the response body has neither a length nor chunks, so that truncation cannot be detected")
}

func tooLarge(limit int64) *verdict.Error {
	return verdict.New(verdict.MayHaveRun, verdict.CodeResponseTooLarge,
		fmt.Sprintf("the response body exceeds %d bytes", limit))
}

func truncated(err error) *verdict.Error {
	e := verdict.New(verdict.MayHaveRun, verdict.CodeResponseTruncated, "the response body was truncated")
	e.Err = err
	return e
}

// readBody buffers a body up to Options.BufferBytes and returns a longer one as a stream.
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
	return &bufferedResponseBody{*bytes.NewReader(head)}, nil
}

// isEventStream reports whether the body is an endless sequence of events, each of which
// must reach the caller without delay.
func isEventStream(response *http.Response) bool {
	return strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream")
}

// readUpTo reads a body of known length whole, and otherwise at most limit+1 bytes;
// fewer than limit+1 are the whole body.
func readUpTo(response *http.Response, limit int64) ([]byte, error) {
	if response.ContentLength < 0 {
		return io.ReadAll(io.LimitReader(response.Body, limit+1))
	}
	body := make([]byte, response.ContentLength)
	if _, err := io.ReadFull(response.Body, body); err != nil {
		return nil, err
	}
	// Reading the end of the body lets the connection return to its pool.
	var end [1]byte
	if _, err := response.Body.Read(end[:]); !errors.Is(err, io.EOF) {
		return nil, fmt.Errorf("read the end of the body: %w", err)
	}
	return body, nil
}

// bufferedResponseBody is a body that is already read and verified.
type bufferedResponseBody struct{ bytes.Reader }

// Close does nothing.
func (*bufferedResponseBody) Close() error { return nil }

// streamedResponseBody is a body that is read while it is passed on.
type streamedResponseBody struct {
	head      *bytes.Reader // bytes that were read before streaming began
	rest      io.ReadCloser
	remaining int64 // bytes that may still be read
	limit     int64
}

func (t *HTTPTransport) stream(head []byte, rest io.ReadCloser) io.ReadCloser {
	return &streamedResponseBody{
		head:      bytes.NewReader(head),
		rest:      rest,
		remaining: t.options.MaxResponseBytes,
		limit:     t.options.MaxResponseBytes,
	}
}

// Read returns a *verdict.Error if the body is truncated or exceeds the limit.
func (b *streamedResponseBody) Read(p []byte) (int, error) {
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

// Close ends the response. If the body was not read to its end, the connection is closed.
func (b *streamedResponseBody) Close() error { return b.rest.Close() }
