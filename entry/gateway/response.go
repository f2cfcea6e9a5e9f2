package gateway

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/tarragonreach/tarragonreach/api/header"
	"github.com/tarragonreach/tarragonreach/api/verdict"
	"github.com/tarragonreach/tarragonreach/entry/backend"
	"github.com/tarragonreach/tarragonreach/entry/dispatch"
	"github.com/tarragonreach/tarragonreach/entry/submission"
)

// maxCapturedBytes is the largest response body that is recorded with the outcome of a
// submission, to be returned to duplicates of it.
const maxCapturedBytes = 64 << 10

// forwardResponse sends an executor's response to the caller and releases its slot.
func (g *Gateway) forwardResponse(w http.ResponseWriter, x *exchange, response *backend.Response, lease *slotLease) {
	defer discard(response)
	outcome := dispatch.Succeeded
	if failedStatus(response.Status) {
		outcome = dispatch.Failed
	}
	length, streaming := bufferedLength(response)
	if !streaming {
		lease.release(outcome) // Before writing, so that a slow caller does not hold the slot.
	}
	captured := g.captureBody(x, response)
	if streaming || length > unboundedWriteBytes {
		defer setWriteDeadline(w, x.deadline)()
	}
	g.writeResponseHeader(w, x, response)
	_, err := io.Copy(w, captured.reader)
	if streaming {
		lease.release(streamOutcome(outcome, err))
	}
	g.finishPermit(x, submission.Outcome{Verdict: verdict.Ran, Status: response.Status, Header: response.Header, Body: captured.body})
	g.metrics.recordResponse(x, response.Status, time.Since(x.started))
	if err != nil {
		g.metrics.recordTruncated()
		panic(http.ErrAbortHandler) // Closes the connection, so that the caller sees a truncated body.
	}
}

// unboundedWriteBytes is the longest response that is written without a deadline,
// since it fits into the socket's buffers.
const unboundedWriteBytes = 16 << 10

// setWriteDeadline bounds the time for writing the response: a caller that does not read
// would otherwise block the write beyond the request's timeout. clearDeadline removes the
// deadline.
func setWriteDeadline(w http.ResponseWriter, deadline time.Time) (clearDeadline func()) {
	controller := http.NewResponseController(w)
	_ = controller.SetWriteDeadline(deadline) // Not every writer supports deadlines.
	return func() { _ = controller.SetWriteDeadline(time.Time{}) }
}

func streamOutcome(outcome dispatch.Outcome, err error) dispatch.Outcome {
	if err != nil {
		return dispatch.Neutral // Either the caller or the executor may have broken the stream.
	}
	return outcome
}

// writeResponseHeader writes the status, the executor's end-to-end headers and the verdict.
func (g *Gateway) writeResponseHeader(w http.ResponseWriter, x *exchange, response *backend.Response) {
	h := w.Header()
	header.CopyEndToEnd(h, response.Header)
	h[header.Verdict] = ranHeader
	h[header.RequestID] = []string{x.request.ID}
	if length, _ := bufferedLength(response); length > 0 && h["Content-Length"] == nil {
		h["Content-Length"] = []string{strconv.Itoa(length)}
	}
	g.addNextTicket(h, x)
	w.WriteHeader(response.Status)
}

// ranHeader is the verdict header of all responses of executors; it must not be modified.
var ranHeader = []string{verdict.Ran.String()}

// addNextTicket adds a new ticket to the response to a keyed, non-repeatable request.
func (g *Gateway) addNextTicket(h http.Header, x *exchange) {
	if g.options.Guard != nil && x.needsPermit() {
		h[header.NextTicket] = []string{g.options.Guard.NextTicket(x.tenant)}
	}
}
