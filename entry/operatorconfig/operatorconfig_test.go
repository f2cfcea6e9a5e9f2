package operatorconfig

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/platform/call"
	"github.com/tarragonreach/tarragonreach/platform/kv"
	"github.com/tarragonreach/tarragonreach/platform/registry"
)

const applyWithin = 3 * time.Second

// refusedLatency is the time that a read takes while the store refuses some.
const refusedLatency = 20 * time.Millisecond

// fakeStore returns one configuration. Its watches bring nothing.
type fakeStore struct {
	value string
	reads atomic.Int64
	down  atomic.Bool
	// refusing reports whether the store refuses a read now; nil for never.
	refusing atomic.Pointer[func() bool]
}

func (s *fakeStore) Range(ctx context.Context, _, _ string, _ kv.Consistency) (kv.Page, error) {
	s.reads.Add(1)
	if s.down.Load() {
		<-ctx.Done()
		return kv.Page{}, ctx.Err()
	}
	if refusing := s.refusing.Load(); refusing != nil {
		time.Sleep(refusedLatency)
		if (*refusing)() {
			return kv.Page{}, errRateLimited
		}
	}
	return kv.Page{Items: []kv.Item{{Key: registry.ConfigKey, Value: []byte(s.value), Revision: 1}}, AsOf: 1}, nil
}

func (s *fakeStore) Watch(ctx context.Context, _ string, _ kv.Revision, wait time.Duration) (kv.Events, error) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
	return kv.Events{}, ctx.Err()
}

func (s *fakeStore) Txn(context.Context, kv.Txn) (kv.TxnResult, error) {
	panic("the configuration is short for the link")
}

func (s *fakeStore) CloseIdle() {}

// bootClock is virtual time, and the time for which the machine was suspended.
type bootClock struct {
	booted    time.Time
	suspended atomic.Int64
	reads     atomic.Int64
	stopped   atomic.Bool
}

func (c *bootClock) now() time.Duration {
	c.reads.Add(1)
	if c.stopped.Load() {
		return 0
	}
	return time.Since(c.booted) + time.Duration(c.suspended.Load())
}

// run runs a follower in virtual time while check runs.
func run(t *testing.T, value string, revokeWithin time.Duration, check func(t *testing.T, f *Follower, s *fakeStore, c *bootClock)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		store, clock := &fakeStore{value: value}, &bootClock{booted: time.Now()}
		options := Options{ApplyWithin: applyWithin, RevokeWithin: revokeWithin, BootClock: clock.now}
		f := New(store, options, func(*cluster.Config) {}, slog.New(slog.DiscardHandler), tally.NoopScope)
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { f.Run(ctx) })
		synctest.Wait()
		check(t, f, store, clock)
		cancel()
		running.Wait()
	})
}

const (
	withTenants    = `{"version":1,"tenants":[{"name":"north","api-keys":["k"]}]}`
	withoutTenants = `{"version":1}`
)

// A configuration that was read before a suspension must not count as recent after it, although no
// monotonic time has passed; the next answered read makes it recent again.
func TestSuspensionAgesTheConfiguration(t *testing.T) {
	run(t, withTenants, 5*time.Second, func(t *testing.T, f *Follower, _ *fakeStore, c *bootClock) {
		assert.Assert(t, f.Knowledge().Recent)
		c.suspended.Store(int64(time.Hour))
		assert.Assert(t, !f.Knowledge().Recent)
		assert.Equal(t, f.Age(), time.Hour)
		time.Sleep(applyWithin / 2)
		assert.Assert(t, f.Knowledge().Recent)
	})
}

// A boot clock that stands still, as that of the machine does in virtual time, must not hide the age.
func TestMonotonicTimeAgesTheConfiguration(t *testing.T) {
	run(t, withTenants, 5*time.Second, func(t *testing.T, f *Follower, s *fakeStore, c *bootClock) {
		c.stopped.Store(true)
		s.down.Store(true)
		time.Sleep(2 * applyWithin)
		assert.Equal(t, f.Age(), 2*applyWithin)
		assert.Assert(t, !f.Knowledge().Recent)
	})
}

// A key must not be accepted later than its revocation may take, whichever of the bounds is shorter,
// and must be accepted while reads are answered.
func TestBoundsOfARecentConfiguration(t *testing.T) {
	for _, c := range []struct {
		value  string
		revoke time.Duration
		recent time.Duration // up to which age
	}{
		{withTenants, 0, 2250 * time.Millisecond},
		{withTenants, 5 * time.Second, 2250 * time.Millisecond},
		{withTenants, 2 * time.Second, 1600 * time.Millisecond},
		{withTenants, 500 * time.Millisecond, 400 * time.Millisecond},
		{withoutTenants, 500 * time.Millisecond, 2250 * time.Millisecond},
	} {
		run(t, c.value, c.revoke, func(t *testing.T, f *Follower, s *fakeStore, _ *bootClock) {
			for range 100 {
				time.Sleep(37 * time.Millisecond)
				assert.Assert(t, f.Knowledge().Recent, "%+v: age %v", c, f.Age())
			}
			s.down.Store(true)
			time.Sleep(c.recent - f.Age())
			assert.Assert(t, f.Knowledge().Recent, "%+v", c)
			time.Sleep(time.Millisecond)
			assert.Assert(t, !f.Knowledge().Recent, "%+v", c)
		})
	}
}

// Without tenants, a bound of revocation must cause no further read.
func TestBoundOfRevocationCausesNoReadsWithoutTenants(t *testing.T) {
	reads := func(value string, revokeWithin time.Duration) (count int64) {
		run(t, value, revokeWithin, func(t *testing.T, _ *Follower, s *fakeStore, _ *bootClock) {
			time.Sleep(time.Minute)
			count = s.reads.Load()
		})
		return count
	}
	usual := reads(withoutTenants, 0)
	assert.Equal(t, reads(withoutTenants, 500*time.Millisecond), usual)
	assert.Equal(t, reads(withTenants, 5*time.Second), usual)
	assert.Assert(t, reads(withTenants, 500*time.Millisecond) > usual)
}

// Each request asks for the knowledge once, on instances with a fifth of a core.
func TestKnowledgeReadsTheBootClockOnce(t *testing.T) {
	run(t, withTenants, 5*time.Second, func(t *testing.T, f *Follower, _ *fakeStore, c *bootClock) {
		before := c.reads.Load()
		f.Knowledge()
		assert.Equal(t, c.reads.Load()-before, int64(1))
	})
}

func BenchmarkKnowledge(b *testing.B) {
	f := New(&fakeStore{}, Options{ApplyWithin: applyWithin}, func(*cluster.Config) {}, slog.New(slog.DiscardHandler), tally.NoopScope)
	f.confirm(f.now())
	for b.Loop() {
		f.Knowledge()
	}
}

var errRateLimited = call.RefusedFor(call.Response{Status: http.StatusTooManyRequests}, kv.ErrRateLimited)

// Refused reads must be followed by others soon enough that the configuration stays recent: the store
// refuses all reads for the rest of a second whose rate is used up, or some of them for long. Without
// a recent configuration every request of a caller is refused.
func TestRefusedReadsOutdateTheConfiguration(t *testing.T) {
	for name, refuses := range map[string]func(sinceStart time.Duration) bool{
		"a second at a time": func(d time.Duration) bool { return d%(3100*time.Millisecond) < time.Second },
		"three in ten":       func(time.Duration) bool { return rand.IntN(10) < 3 },
	} {
		t.Run(name, func(t *testing.T) {
			run(t, withTenants, 5*time.Second, func(t *testing.T, f *Follower, s *fakeStore, _ *bootClock) {
				started := time.Now()
				refusing := func() bool { return refuses(time.Since(started)) }
				s.refusing.Store(&refusing)
				outdated := 0
				for range 6000 {
					time.Sleep(10 * time.Millisecond)
					if !f.Knowledge().Recent {
						outdated++
					}
				}
				assert.Equal(t, outdated, 0)
			})
		})
	}
}

// An instance whose reads are all refused must not add more of them than a few a second: many instances
// together would exceed the rate by themselves.
func TestRefusedReadsAreRepeatedWithoutPause(t *testing.T) {
	run(t, withTenants, 5*time.Second, func(t *testing.T, _ *Follower, s *fakeStore, _ *bootClock) {
		refusing := func() bool { return true }
		s.refusing.Store(&refusing)
		before := s.reads.Load()
		time.Sleep(time.Minute)
		assert.Assert(t, s.reads.Load()-before < 12*60, "%d", s.reads.Load()-before)
	})
}

// A value that can't be read, or only in part, must not end the process nor take the configuration in force
// away, and the next readable one applies.
func TestOddConfigurationLeavesTheOneInForceUntilTheNext(t *testing.T) {
	value := func(version int) kv.Item {
		text := fmt.Sprintf(`{"version":%d,"routes":[{"name":"r","host":"h","prefix":"/","service":"terreni"}]}`, version)
		return kv.Item{Key: registry.ConfigKey, Value: []byte(text)}
	}
	for _, odd := range []string{
		"", "null", "[]", "\xff", "{", `{"version":0}`, `{"version":-1}`, `{"version":1e400}`, `{"version":4.5}`, `{"version":"4"}`,
		`{"version":4,"routes":7}`, strings.Repeat("[", 100_000), `{"version":4,"routes":` + strings.Repeat("[", 100_000) + `}`,
	} {
		f := New(&fakeStore{}, Options{ApplyWithin: applyWithin}, func(*cluster.Config) {}, slog.New(slog.DiscardHandler), tally.NoopScope)
		for i, item := range []kv.Item{value(3), {Key: registry.ConfigKey, Value: []byte(odd)}, {Key: registry.ConfigKey + "x", Value: value(9).Value}} {
			item.Revision = kv.Revision(i + 1)
			f.applyItem(item)
			assert.Equal(t, f.Current().Version, int64(3), "%.40s", odd)
		}
		next := value(5)
		next.Revision = 4
		f.applyItem(next)
		assert.Equal(t, f.Current().Version, int64(5), "%.40s", odd)
		assert.Equal(t, len(f.Current().Queues), 1)
	}
}
