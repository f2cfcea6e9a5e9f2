package backend

import (
	"net"
	"time"
)

// Within about keepAliveIdle + keepAliveCount*keepAliveInterval, the kernel detects that
// the peer of a connection no longer sends packets.
const (
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
)

func newDialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
		Control: limitUnacknowledged,
	}
}
