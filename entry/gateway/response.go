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

// maxKeptBytes bounds the answers that are kept for duplicates of a submission.
const maxCapturedBytes = 64 << 10

// finishAnswered passes an executor's answer on and gives its slot back.
func (g *Gateway) forwardResponse(w http.ResponseWriter, x *exchange, response *backend.Response, lease *slotLease) {
	defer discard(response)
	outcome := dispatch.Succeeded
	if failedStatus(response.Status) {
		outcome = dispatch.Failed
	}
	length, streaming := bufferedLength(response)
	if !streaming {
		lease.release(outcome) // A slow caller must not hold the slot.
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
		panic(http.ErrAbortHandler) // Cuts the connection, so that the caller sees a short body.
	}
}

// unboundedWriteBytes is the longest answer that is written without a deadline,
// since the socket's buffers take it.
const unboundedWriteBytes = 16 << 10

// boundWrites keeps a caller that does not read from holding the answer beyond its
// own timeout. The function that it returns lifts the bound.
func setWriteDeadline(w http.ResponseWriter, deadline time.Time) (clearDeadline func()) {
	controller := http.NewResponseController(w)
	_ = controller.SetWriteDeadline(deadline) // Not every writer has deadlines.
	return func() { _ = controller.SetWriteDeadline(time.Time{}) }
}

func streamOutcome(outcome dispatch.Outcome, err error) dispatch.Outcome {
	if err != nil {
		return dispatch.Neutral // Either end may have broken it.
	}
	return outcome
}

// writeAnswerHeader writes status and headers with the verdict.
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

// ranValue is shared by all answers; nobody may change it.
var ranHeader = []string{verdict.Ran.String()}

// offerTicket puts a fresh ticket on answers to requests that may need one.
func (g *Gateway) addNextTicket(h http.Header, x *exchange) {
	if g.options.Guard != nil && x.needsPermit() {
		h[header.NextTicket] = []string{g.options.Guard.NextTicket(x.tenant)}
	}
}
