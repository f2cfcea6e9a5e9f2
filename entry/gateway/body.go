package gateway

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/tarragonreach/tarragonreach/api/verdict"
)

// readBody buffers a body of up to Settings.BufferBytes and leaves a larger one to be
// streamed.
func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request, x *exchange) *verdict.Error {
	limit := x.service.maxBodyBytes(g.options.Settings)
	if r.ContentLength > limit {
		return bodyTooLarge(nil)
	}
	if r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody {
		return nil
	}
	// A caller that sends slowly must not hold the request beyond its own timeout.
	_ = http.NewResponseController(w).SetReadDeadline(x.deadline)
	defer func() { _ = http.NewResponseController(w).SetReadDeadline(time.Time{}) }()
	body := http.MaxBytesReader(w, r.Body, limit)
	buffered, complete, err := readUpTo(body, r.ContentLength, g.options.Settings.BufferBytes)
	if err != nil {
		return bodyError(err)
	}
	if complete {
		x.request.Body = buffered
		return nil
	}
	x.stream = &callerStream{reader: io.MultiReader(bytes.NewReader(buffered), body)}
	x.request.Stream = x.stream
	x.request.StreamLength = r.ContentLength
	return nil
}

// callerStream is a request body that is read while it is forwarded. It records the
// error of reading from the caller.
type callerStream struct {
	reader  io.Reader
	readErr atomic.Pointer[error]
}

// Read implements io.Reader.
func (s *callerStream) Read(p []byte) (int, error) {
	n, err := s.reader.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		s.readErr.Store(&err)
	}
	return n, err
}

// bodyFailure returns the error of reading the caller's body if that made the attempt
// fail, with the attempt's verdict; otherwise it returns failure.
func (x *exchange) bodyFailure(failure *verdict.Error) *verdict.Error {
	if x.stream == nil || x.stream.readErr.Load() == nil {
		return failure
	}
	cause := bodyError(*x.stream.readErr.Load())
	cause.Verdict = failure.Verdict
	return cause
}

// readUpTo reads at most limit+1 bytes and reports whether the body is complete and at
// most limit long. length is the Content-Length, or -1. It reads nothing where length
// exceeds limit.
func readUpTo(body io.Reader, length, limit int64) (data []byte, complete bool, err error) {
	if length > limit {
		return nil, false, nil
	}
	if length >= 0 {
		data = make([]byte, length)
		_, err = io.ReadFull(body, data)
		return data, true, err
	}
	data, err = io.ReadAll(io.LimitReader(body, limit+1))
	return data, int64(len(data)) <= limit, err
}

func bodyError(err error) *verdict.Error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return bodyTooLarge(err)
	}
	refusal := verdict.New(verdict.NotRun, verdict.CodeBadRequest, "the request's body could not be read completely")
	refusal.Err = err
	return refusal
}

func bodyTooLarge(err error) *verdict.Error {
	refusal := verdict.New(verdict.NotRun, verdict.CodeBodyTooLarge, "the request's body is larger than the service accepts")
	refusal.Err = err
	return refusal
}
