package host

import (
	"bytes"
	"log/slog"
	"net"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"
)

type failingListener struct {
	net.Listener
	err error
}

func (l failingListener) Accept() (net.Conn, error) { return nil, l.err }
func (l failingListener) Addr() net.Addr            { return &net.TCPAddr{} }

// Accepts that fail for lack of descriptors must be counted, with a bounded log; a closed listener is no failure.
func TestFailedAcceptsLeaveNoTrace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log bytes.Buffer
		scope := tally.NewTestScope("", nil)
		for _, err := range []error{syscall.EMFILE, net.ErrClosed} {
			l := &countingListener{Listener: failingListener{err: err}, failed: scope.Counter("failed_accepts"), logger: slog.New(slog.NewJSONHandler(&log, nil))}
			for range 100 {
				_, got := l.Accept()
				assert.ErrorIs(t, got, err)
				time.Sleep(acceptLogInterval / 50)
			}
		}
		assert.Equal(t, scope.Snapshot().Counters()["failed_accepts+"].Value(), int64(100))
		assert.Equal(t, strings.Count(log.String(), "\n"), 2, log.String())
	})
}
