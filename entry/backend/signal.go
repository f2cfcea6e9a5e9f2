package backend

import "github.com/tarragonreach/tarragonreach/api/fleet"

// SignalKind is what a probe found.
type SignalKind uint8

// The kinds of signal.
const (
	// SignalHalfOpenConnections means that responses are overdue on some connections
	// although the executor responds on new ones.
	SignalHalfOpenConnections SignalKind = iota + 1
	// SignalUnreachable means that responses are overdue and that the executor does
	// not respond on a new connection either.
	SignalUnreachable
)

// Signal is the result of a probe of one executor.
type Signal struct {
	Executor fleet.InstanceID
	Kind     SignalKind
	// Connections is the number of connections that were closed as half-open; it is zero
	// for SignalUnreachable.
	Connections int
}
