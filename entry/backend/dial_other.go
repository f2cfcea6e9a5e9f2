//go:build !linux

package backend

import "syscall"

// limitUnacknowledged does nothing where the socket option is missing.
func limitUnacknowledged(_, _ string, _ syscall.RawConn) error { return nil }
