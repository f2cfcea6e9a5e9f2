package backend

import (
	"net"
	"time"
)

// The kernel detects a connection whose peer no longer sends packets within
// about keepAliveIdle + keepAliveCount*keepAliveInterval.
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
