package peers

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/policy/reach"
)

type silentStore struct {
	Store
	silent atomic.Bool
}

func (s *silentStore) Silent() bool { return s.silent.Load() }

// Guards against surveys that open connections without bound while the store is silent for long, that go on
// afterwards, or whose result outlasts the silence.
func TestSurveyLoadsThePeers(t *testing.T) {
	const (
		instances = 40
		seconds   = 60
		// dialTime is how long a connection to a peer that is cut off is tried, whatever the timeout of the request.
		dialTime = 1 * time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		store := &silentStore{}
		var dials, open, most atomic.Int64
		dial := func(_ context.Context, _, _ string) (net.Conn, error) {
			dials.Add(1)
			most.Store(max(most.Load(), open.Add(1)))
			defer open.Add(-1)
			time.Sleep(dialTime)
			return nil, &net.OpError{Op: "dial", Err: errors.New("no response")}
		}
		p := New(store, Peer{ID: "self", Zone: "a"}, dial, slog.New(slog.DiscardHandler), tally.NoopScope)
		listed := map[fleet.InstanceID]Peer{}
		for n := range instances {
			id := fleet.InstanceID(fmt.Sprintf("n-%d", n))
			listed[id] = Peer{ID: id, Zone: "a", Address: fmt.Sprintf("n-%d:1", n)}
		}
		p.apply(listed)
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { p.runSurvey(ctx) })
		time.Sleep(seconds * time.Second)
		assert.Equal(t, dials.Load(), int64(0))

		store.silent.Store(true)
		time.Sleep(surveyTimeout + 2*silenceCheck)
		assert.Equal(t, p.Assessment(), reach.Assessment{CutOff: true, RetryAtOnce: true})
		time.Sleep(seconds * time.Second)
		assert.Assert(t, most.Load() <= 2*maxAttempts, "%d", most.Load())
		assert.Assert(t, dials.Load() <= (seconds+1)*maxAttempts, "%d", dials.Load())

		store.silent.Store(false)
		assert.Equal(t, p.Assessment(), reach.Assessment{})
		time.Sleep(surveyInterval)
		before := dials.Load()
		time.Sleep(seconds * time.Second)
		assert.Equal(t, dials.Load(), before)
		cancel()
		running.Wait()
		time.Sleep(dialTime)
	})
}
