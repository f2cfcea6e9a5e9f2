package election

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/entry/layout"
	"github.com/tarragonreach/tarragonreach/platform/call"
	"github.com/tarragonreach/tarragonreach/platform/kv"
)

// rateLimitedStore refuses renewals at times, since the rate of reads is exceeded.
type rateLimitedStore struct {
	*memoryStore
	refuses func() bool

	mu      sync.Mutex
	renewed time.Time
	longest time.Duration // between two renewals that the store accepted
	calls   int
}

func (s *rateLimitedStore) KeepAlive(context.Context, kv.LeaseID) error {
	time.Sleep(5 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.refuses() {
		return call.RefusedFor(call.Response{Status: http.StatusTooManyRequests}, kv.ErrRateLimited)
	}
	s.longest = max(s.longest, time.Since(s.renewed))
	s.renewed = time.Now()
	return nil
}

// Guards against a duty whose lease expires since the store refuses some renewals, although its holder is
// well: they count toward the rate of reads, which other requests may exceed for the rest of a second.
func TestRefusedRenewalsEndTheTerm(t *testing.T) {
	for name, refuses := range map[string]func(sinceStart time.Duration) bool{
		"a second at a time": func(d time.Duration) bool { return d%(3100*time.Millisecond) < time.Second },
		"half of them":       func(time.Duration) bool { return rand.IntN(2) == 0 },
		"all":                func(time.Duration) bool { return true },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				started := time.Now()
				store := &rateLimitedStore{memoryStore: newMemoryStore(), renewed: started}
				store.refuses = func() bool { return refuses(time.Since(started)) }
				e := New(store, "n-1", "a", 1, slog.New(slog.DiscardHandler))
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				e.renew(ctx, Term{Duty: layout.ServiceDuty("s"), renewed: &atomic.Int64{}}, func() {})
				assert.Assert(t, store.longest < leaseTTL, "%v without a renewal", store.longest)
				assert.Assert(t, store.calls < 60*20, "%d calls in a minute", store.calls)
			})
		})
	}
}
