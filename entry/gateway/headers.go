package gateway

import (
	"maps"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"

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

// outgoingHeader returns the headers of the next attempt. The transport drops
// those of the caller's connection and adds the request ID and what is left of the
// timeout. A retry is counted, so that nothing further on retries it.
func (x *exchange) outgoingHeader() http.Header {
	if x.attempts <= 1 {
		return x.incoming
	}
	out := maps.Clone(x.incoming)
	out[header.Attempt] = []string{strconv.Itoa(max(x.attempt, 1) + x.attempts - 1)}
	return out
}
