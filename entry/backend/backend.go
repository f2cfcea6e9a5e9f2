// Package backend sends requests to backend servers, one attempt per call.
package backend

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/tarragonreach/tarragonreach/api/fleet"
)

// Target is the executor to which an attempt goes.
type Target struct {
	ID      fleet.InstanceID
	Address string // host:port
	// Connections is the maximum number of connections from this entry instance to
	// the executor.
	Connections int
	// ReadinessPath is requested on a new connection when others seem half-open;
	// empty means DefaultReadinessPath.
	ReadinessPath string
}

// Request is one attempt at a caller's request.
type Request struct {
	ID     string // sent as Tarragon-Request-Id
	Method string
	Path   string // escaped path with query, sent to the executor unchanged
	Header http.Header
	// Body is the whole body, unless Stream is set.
	Body []byte
	// Stream is the body of a request that is too large to buffer; it can be sent only once.
	Stream io.Reader
	// StreamLength is the length of Stream in bytes, or -1 if unknown.
	StreamLength int64
	// Class is the class under which response times are recorded; it may be empty.
	Class string
	// Repeatable allows another attempt after one that may have run.
	Repeatable bool
	// NewConnection requires a connection opened for this attempt. It is set when an
	// earlier attempt at the same request used a connection that was half-open.
	NewConnection bool
	// OverdueAfter is how long the response to a repeatable request may take so that time
	// for another attempt is left; zero means no such bound. It has no effect on a class
	// whose responses are expected to take more than half as long.
	OverdueAfter time.Duration
	// RunTime is the mean time of the class at all executors; zero means unknown.
	RunTime time.Duration
}

// Response is the response of a backend server. A body up to the buffer limit is
// already read and verified; a longer one is streamed from Body, whose Read
// returns an error if the response is truncated.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Leaving reports that the executor announced with this response that it is leaving.
	Leaving bool
}

// Transport sends single attempts.
type Transport interface {
	// Send makes exactly one attempt and never replays it. Each error is a
	// *verdict.Error whose verdict covers this attempt only. The deadline of ctx
	// bounds the attempt.
	Send(ctx context.Context, target Target, request *Request) (*Response, error)
}
