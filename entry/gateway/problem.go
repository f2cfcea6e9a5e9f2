package gateway

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/tarragonreach/tarragonreach/api/header"
	"github.com/tarragonreach/tarragonreach/api/verdict"
	"github.com/tarragonreach/tarragonreach/entry/submission"
)

// problemMediaType is the media type of problem documents by RFC 9457.
const problemMediaType = "application/problem+json"

// Problem is the body of every error response of the gateway, as in RFC 9457.
type Problem struct {
	Type    string       `json:"type"`
	Title   string       `json:"title"`
	Status  int          `json:"status"`
	Detail  string       `json:"detail"`
	Code    verdict.Code `json:"code"`
	Verdict string       `json:"verdict"`
	// RequestID is absent where the request was refused before it had an ID.
	RequestID string `json:"requestId,omitempty"`
	// First describes the first copy of a request that is refused as a duplicate.
	First *submission.FirstCopy `json:"first,omitempty"`
	// RetryAfter is in seconds; absent where no time is suggested.
	RetryAfter int `json:"retryAfter,omitempty"`
}

// finishRefused reports the outcome to the guard, records the refusal and responds with
// its problem document.
func (g *Gateway) finishRefused(w http.ResponseWriter, x *exchange, err *verdict.Error) {
	g.finishPermit(x, outcomeOfError(err))
	now := time.Now()
	g.metrics.recordRefusal(x, err.Code, now.Sub(x.started))
	g.explainRefused(x, err, now)
	if x.request.ID != "" {
		w.Header()[header.RequestID] = []string{x.request.ID}
	}
	g.addNextTicket(w.Header(), x)
	writeProblem(w, err, x.request.ID)
}

// serveRefusal responds to a request that is refused whatever its class and body; it
// reads only what identifies the submission.
func (g *Gateway) serveRefusal(w http.ResponseWriter, r *http.Request, refusal *verdict.Error) {
	x := &exchange{incoming: r.Header}
	if unreadable := g.parseSubmission(x); unreadable != nil {
		refusal = unreadable
	}
	refusal.Verdict = g.refusalVerdict(x)
	g.metrics.recordCode(refusal.Code)
	writeProblem(w, refusal, x.request.ID)
}

// writeProblem writes the problem document of an error.
func writeProblem(w http.ResponseWriter, err *verdict.Error, requestID string) {
	status := err.Code.Status()
	problem := Problem{
		Type:       "urn:tarragonreach:" + string(err.Code),
		Title:      http.StatusText(status),
		Status:     status,
		Detail:     err.Detail,
		Code:       err.Code,
		Verdict:    err.Verdict.String(),
		RequestID:  requestID,
		First:      submission.FirstCopyOf(err),
		RetryAfter: retryAfterSeconds(err),
	}
	body, _ := json.Marshal(problem) // A struct of strings and numbers always marshals.
	h := w.Header()
	h.Set("Content-Type", problemMediaType)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(header.Verdict, problem.Verdict)
	if problem.RetryAfter > 0 {
		h.Set(header.RetryAfter, strconv.Itoa(problem.RetryAfter))
	}
	w.WriteHeader(status)
	_, _ = w.Write(body) // The caller may have disconnected.
}

// retryAfterSeconds returns the suggested time rounded up to seconds, or zero for none.
// Refusals for lack of capacity suggest at least 1 s.
func retryAfterSeconds(err *verdict.Error) int {
	if err.RetryAfter > 0 {
		return int(math.Ceil(err.RetryAfter.Seconds()))
	}
	switch err.Code.Status() {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return 1
	default:
		return 0
	}
}
