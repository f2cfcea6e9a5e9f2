package backend

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/tarragonreach/tarragonreach/api/header"
)

// hopByHop are the headers that speak of one connection only (RFC 9110, 7.6.1).
var hopByHop = map[string]bool{
	"Connection":          true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
}

// entryOnly are the headers that only an entry instance may set on an answer.
var entryOnly = []string{header.Verdict, header.NextTicket}

// copyEndToEnd copies all headers but the hop-by-hop ones. The values are shared.
func copyEndToEnd(from http.Header, extra int) http.Header {
	to := make(http.Header, len(from)+extra)
	for name, values := range from {
		if !hopByHop[name] {
			to[name] = values
		}
	}
	for _, list := range from["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			to.Del(strings.TrimSpace(name))
		}
	}
	return to
}

// requestHeader returns the headers that the executor sees.
func requestHeader(ctx context.Context, request *Request) http.Header {
	h := copyEndToEnd(request.Header, 3)
	delete(h, "Content-Length")
	delete(h, "Expect")
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = nil // keeps the client from adding its own
	}
	h.Set(header.RequestID, request.ID)
	if deadline, ok := ctx.Deadline(); ok {
		left := max(time.Until(deadline), time.Millisecond)
		h.Set(header.Timeout, left.Truncate(time.Millisecond).String())
	}
	return h
}

// answerHeader returns the headers that the caller may see; it changes h, which
// belongs to this answer alone.
func answerHeader(h http.Header) http.Header {
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for name := range hopByHop {
		delete(h, name)
	}
	for _, name := range entryOnly {
		delete(h, name)
	}
	return h
}
