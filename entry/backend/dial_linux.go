package backend

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// unacknowledgedTimeout is how long written bytes may stay unacknowledged before
// the kernel closes the connection.
const unacknowledgedTimeout = 4 * time.Second

// limitUnacknowledged sets unacknowledgedTimeout on the socket.
func limitUnacknowledged(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledgedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionErr
}
