//go:build !linux

package backend

import "syscall"

// limitUnacknowledged does nothing: TCP_USER_TIMEOUT exists on Linux only.
func limitUnacknowledged(_, _ string, _ syscall.RawConn) error { return nil }
