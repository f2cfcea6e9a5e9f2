package header

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// mixedHeader returns hop-by-hop and end-to-end headers.
func mixedHeader() http.Header {
	return http.Header{
		"Connection":   {"close, x-first", " X-Second"},
		"Te":           {"trailers"},
		"Keep-Alive":   {"timeout=5"},
		"X-First":      {"1"},
		"X-Second":     {"2"},
		"X-Third":      {"3"},
		"Content-Type": {"text/plain"},
	}
}

func TestCopyEndToEndOmitsHopByHopHeaders(t *testing.T) {
	dst := http.Header{"X-First": {"of the destination"}}
	CopyEndToEnd(dst, mixedHeader())
	want := http.Header{"X-First": {"of the destination"}, "X-Third": {"3"}, "Content-Type": {"text/plain"}}
	assert.DeepEqual(t, dst, want)
}

func TestDeleteHopByHopKeepsEndToEndHeaders(t *testing.T) {
	h := mixedHeader()
	DeleteHopByHop(h)
	assert.DeepEqual(t, h, http.Header{"X-Third": {"3"}, "Content-Type": {"text/plain"}})
}
