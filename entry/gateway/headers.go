package gateway

import (
	"maps"
	"net/http"
	"strconv"

	"github.com/tarragonreach/tarragonreach/api/header"
)

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
