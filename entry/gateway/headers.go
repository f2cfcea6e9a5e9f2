package gateway

import (
	"maps"
	"net/http"
	"strconv"

	"github.com/tarragonreach/tarragonreach/api/header"
)

// outgoingHeader returns the headers of the current attempt. The transport drops the
// hop-by-hop headers and adds the request ID and the remaining timeout. A retry gets a
// higher attempt number, so that no later hop retries it again.
func (x *exchange) outgoingHeader() http.Header {
	if x.attempts <= 1 {
		return x.incoming
	}
	out := maps.Clone(x.incoming)
	out[header.Attempt] = []string{strconv.Itoa(max(x.callerAttempt, 1) + x.attempts - 1)}
	return out
}
