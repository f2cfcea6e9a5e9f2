package header

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHop holds the headers that apply to one connection only (RFC 9110, 7.6.1).
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

// CopyEndToEnd sets in dst the headers of src except the hop-by-hop ones. The values are
// shared, not copied.
func CopyEndToEnd(dst, src http.Header) {
	options := connectionOptions(src)
	for name, values := range src {
		if !hopByHop[name] && !options[name] {
			dst[name] = values
		}
	}
}

// DeleteHopByHop deletes the hop-by-hop headers of h.
func DeleteHopByHop(h http.Header) {
	for name := range connectionOptions(h) {
		delete(h, name)
	}
	for name := range hopByHop {
		delete(h, name)
	}
}

// connectionOptions returns the headers that the Connection header of h lists, or nil if
// it lists none.
func connectionOptions(h http.Header) map[string]bool {
	var options map[string]bool
	for _, line := range h["Connection"] {
		for option := range strings.SplitSeq(line, ",") {
			if options == nil {
				options = make(map[string]bool)
			}
			name := textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(option))
			options[name] = true
		}
	}
	return options
}
