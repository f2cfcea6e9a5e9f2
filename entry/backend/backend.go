// Package backend sends requests to backend servers, one attempt a call.
package backend

import (
	"context"
	"io"
	"net/http"

	"github.com/tarragonreach/tarragonreach/api/fleet"
)

// Target is the executor to which an attempt goes.
type Target struct {
	ID      fleet.InstanceID
	Address string // host:port
	// Connections is this entry instance's share of the executor's connections.
	Connections int
	// ReadinessPath is asked on a new connection where others seem silent; empty
	// takes DefaultReadinessPath.
	ReadinessPath string
}

// Request is one attempt at a caller's request.
type Request struct {
	ID     string // the Tarragon-Request-Id sent along
	Method string
	Path   string // escaped path with query, as the executor sees it
	Header http.Header
	// Body is the whole body, unless Stream is set.
	Body []byte
	// Stream is the body of a request too large to buffer; it can be sent once only.
	Stream io.Reader
	// StreamLength is the length of Stream in bytes, or -1 if unknown.
	StreamLength int64
	// Class is the class under which answer times are learned; it may be empty.
	Class string
	// Repeatable says that another attempt may follow one that may have run.
	Repeatable bool
	// NewConnection asks for a connection opened for this attempt, because an earlier
	// attempt at the same request met a connection that had gone silent.
	NewConnection bool
}

// Response is what a backend server answered. A body up to the buffer limit has
// been read whole and checked; a longer one is read from Body, whose Read
// returns an error where the answer is cut short.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Leaving says that the executor gave notice with this answer.
	Leaving bool
}

// Transport sends single attempts.
type Transport interface {
	// Send makes exactly one attempt and never replays it. Each error is a
	// *verdict.Error whose verdict speaks for this attempt. The deadline of ctx
	// bounds the attempt.
	Send(ctx context.Context, target Target, request *Request) (*Response, error)
}
