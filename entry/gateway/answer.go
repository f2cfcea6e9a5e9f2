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
const maxKeptBytes = 64 << 10

// finishAnswered passes an executor's answer on and gives its slot back.
func (g *Gateway) finishAnswered(w http.ResponseWriter, x *exchange, answer *backend.Response, lease *slotLease) {
	defer discard(answer)
	outcome := dispatch.Succeeded
	if failedStatus(answer.Status) {
		outcome = dispatch.Failed
	}
	length, streamed := wholeLength(answer)
	if !streamed {
		lease.release(outcome) // A slow caller must not hold the slot.
	}
	kept := g.keepAnswer(x, answer)
	if streamed || length > unboundedWriteBytes {
		defer boundWrites(w, x.deadline)()
	}
	g.writeAnswerHeader(w, x, answer)
	_, err := io.Copy(w, kept.reader)
	if streamed {
		lease.release(streamOutcome(outcome, err))
	}
	g.finishPass(x, submission.Outcome{Verdict: verdict.Ran, Status: answer.Status, Header: answer.Header, Body: kept.body})
	g.metrics.answered(x, answer.Status, time.Since(x.started))
	if err != nil {
		g.metrics.cut()
		panic(http.ErrAbortHandler) // Cuts the connection, so that the caller sees a short body.
	}
}

// unboundedWriteBytes is the longest answer that is written without a deadline,
// since the socket's buffers take it.
const unboundedWriteBytes = 16 << 10

// boundWrites keeps a caller that does not read from holding the answer beyond its
// own timeout. The function that it returns lifts the bound.
func boundWrites(w http.ResponseWriter, deadline time.Time) (lift func()) {
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
func (g *Gateway) writeAnswerHeader(w http.ResponseWriter, x *exchange, answer *backend.Response) {
	h := w.Header()
	header.CopyEndToEnd(h, answer.Header)
	h[header.Verdict] = ranValue
	h[header.RequestID] = []string{x.request.ID}
	if length, _ := wholeLength(answer); length > 0 && h["Content-Length"] == nil {
		h["Content-Length"] = []string{strconv.Itoa(length)}
	}
	g.offerTicket(h, x)
	w.WriteHeader(answer.Status)
}

// ranValue is shared by all answers; nobody may change it.
var ranValue = []string{verdict.Ran.String()}

// offerTicket puts a fresh ticket on answers to requests that may need one.
func (g *Gateway) offerTicket(h http.Header, x *exchange) {
	if g.options.Guard != nil && x.keyed() {
		h[header.NextTicket] = []string{g.options.Guard.NextTicket(x.tenant)}
	}
}
