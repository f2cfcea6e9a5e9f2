package backend

import "github.com/tarragonreach/tarragonreach/api/fleet"

// SignalKind says what was found out about an executor.
type SignalKind uint8

// The kinds of signal.
const (
	// SignalHalfOpenConnections means that connections went silent while the
	// executor answers on new ones.
	SignalHalfOpenConnections SignalKind = iota + 1
	// SignalUnreachable means that answers are overdue and that the executor does
	// not answer on a new connection either.
	SignalUnreachable
)

// Signal tells what a probe found out about one executor.
type Signal struct {
	Executor fleet.InstanceID
	Kind     SignalKind
	// Connections is the number of connections that were closed as silent.
	Connections int
}
