package gateway

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"github.com/tarragonreach/tarragonreach/api/header"
)

// hopHeaders concern one connection only and are never passed on.
var hopHeaders = map[string]bool{
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

// copyHeaders adds to dst the headers of src that go end to end. Values are
// shared, not copied.
func copyHeaders(dst, src http.Header) {
	named := src["Connection"]
	for key, values := range src {
		if !hopHeaders[key] && !namedBy(named, key) {
			dst[key] = values
		}
	}
}

// namedBy reports whether a Connection header names the key.
func namedBy(connection []string, key string) bool {
	for _, line := range connection {
		for name := range strings.SplitSeq(line, ",") {
			if textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)) == key {
				return true
			}
		}
	}
	return false
}

// outgoingHeader returns the headers of the next attempt. The timeout passed on
// is what is left of the caller's.
func (x *exchange) outgoingHeader(now time.Time) http.Header {
	out := make(http.Header, len(x.incoming)+4)
	copyHeaders(out, x.incoming)
	out[header.RequestID] = []string{x.request.ID}
	left := max(x.timeLeft(now), time.Millisecond)
	out[header.Timeout] = []string{left.Round(time.Millisecond).String()}
	if x.attempts > 1 || x.attempt > 1 {
		out[header.Attempt] = []string{strconv.Itoa(max(x.attempt, 1) + x.attempts - 1)}
	}
	return out
}
