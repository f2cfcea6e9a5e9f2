package backend

import (
	"context"
	"net/http"
	"time"

	"github.com/tarragonreach/tarragonreach/api/header"
)

// entryOnly lists the response headers that only an entry instance may set.
var entryOnly = []string{header.Verdict, header.NextTicket}

// addedHeaders is the maximum number of headers that requestHeader adds.
const addedHeaders = 3

// requestHeader returns the headers that the executor sees.
func requestHeader(ctx context.Context, request *Request) http.Header {
	h := make(http.Header, len(request.Header)+addedHeaders)
	header.CopyEndToEnd(h, request.Header)
	delete(h, "Content-Length")
	delete(h, "Expect")
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = nil // keeps the client from adding its own
	}
	h.Set(header.RequestID, request.ID)
	if deadline, ok := ctx.Deadline(); ok {
		remaining := max(time.Until(deadline), time.Millisecond)
		h.Set(header.Timeout, remaining.Truncate(time.Millisecond).String())
	}
	return h
}

// responseHeader returns the headers that the caller may see. It modifies h, which
// belongs to this response alone.
func responseHeader(h http.Header) http.Header {
	header.DeleteHopByHop(h)
	for _, name := range entryOnly {
		delete(h, name)
	}
	return h
}
