package host

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
)

const (
	// descriptorsInterval is the time between two counts of the open descriptors.
	descriptorsInterval = time.Second
	// acceptLogInterval is the minimum time between two log lines about failed accepts of a listener.
	acceptLogInterval = 10 * time.Second
	// descriptorsPath lists the open descriptors of the process.
	descriptorsPath = "/proc/self/fd"
)

// reportDescriptors reports the number of open descriptors of the process until ctx ends. Where the
// system does not list them, there is no such metric.
func reportDescriptors(ctx context.Context, scope tally.Scope) {
	ticker := time.NewTicker(descriptorsInterval)
	defer ticker.Stop()
	for {
		entries, err := os.ReadDir(descriptorsPath)
		if err != nil {
			return
		}
		scope.Gauge("open_descriptors").Update(float64(len(entries)))
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// countingListener counts and logs the accepts that fail, such as for lack of descriptors. The server
// repeats those that are temporary without a trace.
type countingListener struct {
	net.Listener
	failed   tally.Counter
	logger   *slog.Logger
	loggedAt atomic.Pointer[time.Time] // nil before the first line
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil && !errors.Is(err, net.ErrClosed) {
		l.failed.Inc(1)
		now := time.Now()
		if last := l.loggedAt.Load(); last == nil || now.Sub(*last) >= acceptLogInterval {
			l.loggedAt.Store(&now)
			l.logger.Warn("connection not accepted", "address", l.Addr().String(), "error", err)
		}
	}
	return conn, err
}
