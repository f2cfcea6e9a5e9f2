package backend

import (
	"net"
	"time"
)

// A connection whose peer's packets no longer arrive is found by the kernel
// within about keepAliveIdle + keepAliveCount*keepAliveInterval.
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
