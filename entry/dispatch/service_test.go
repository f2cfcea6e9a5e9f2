package dispatch

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/api/verdict"
	"github.com/tarragonreach/tarragonreach/policy/health"
	"gotest.tools/v3/assert"
)

// sharedSource is a random source that is safe for concurrent use.
type sharedSource struct{}

func (sharedSource) Uint64() uint64 { return rand.Uint64() }

func newTestService(endpoints ...Endpoint) *Service {
	s := New("svc", "z1", DefaultSettings(), rand.New(sharedSource{}))
	s.SetMembers(endpoints, 0, epoch)
	return s
}

func endpoint(id string, share int) Endpoint {
	return Endpoint{ID: fleet.InstanceID(id), Zone: "z1", Slots: share, Share: share}
}

// acquire requests a slot and waits for the grant or refusal.
func acquire(s *Service, priority int) Grant {
	grants := make(chan Grant, 1)
	w := &Waiter{Request: Request{Class: "c", Priority: priority, Deadline: epoch.Add(time.Hour), Repeatable: true}}
	w.Deliver = func(g Grant) { grants <- g }
	grant, queued := s.Acquire(w, epoch)
	if !queued {
		return grant
	}
	return <-grants
}

// TestEveryWaiterGetsASlot guards against a waiter that stays queued forever because the
// last slot was released before the waiter was counted.
func TestEveryWaiterGetsASlot(t *testing.T) {
	s := newTestService(endpoint("a", 2), endpoint("b", 1))
	var running, maxRunning, served atomic.Int64
	var callers sync.WaitGroup
	for i := range 32 {
		callers.Go(func() {
			for range 200 {
				g := acquire(s, i%3)
				if g.Err != nil {
					t.Errorf("refused: %v", g.Err)
					return
				}
				current := running.Add(1)
				for previousMax := maxRunning.Load(); current > previousMax && !maxRunning.CompareAndSwap(previousMax, current); previousMax = maxRunning.Load() {
				}
				running.Add(-1)
				s.Release(g.Executor, "c", Succeeded, time.Microsecond, epoch)
				served.Add(1)
			}
		})
	}
	callers.Wait()
	assert.Equal(t, served.Load(), int64(32*200))
	assert.Assert(t, maxRunning.Load() <= 3, "%d at once", maxRunning.Load())
	assert.Equal(t, s.InFlight()+s.Waiting(), 0)
}

func TestMassCancellationEmptiesTheQueue(t *testing.T) {
	const waiterCount = 100_000
	s := newTestService(endpoint("a", 1))
	s.SetMembers([]Endpoint{endpoint("a", 1)}, waiterCount, epoch)
	grant := acquire(s, 0)
	waiters := make([]*Waiter, waiterCount)
	for i := range waiters {
		waiters[i] = &Waiter{Request: Request{Priority: i % 3, Tenant: string(rune('a' + i%20)), Deadline: epoch.Add(time.Hour)}}
		if _, queued := s.Acquire(waiters[i], epoch); !queued {
			t.Fatalf("waiter %d was not queued", i)
		}
	}
	for i, w := range waiters {
		if !s.Cancel(w) {
			t.Fatalf("waiter %d was not canceled", i)
		}
	}
	assert.Equal(t, s.Waiting(), 0)
	s.Release(grant.Executor, "", Neutral, 0, epoch)
	assert.Equal(t, s.InFlight(), 0)
}

func TestLastExecutorLeavingRefusesWaiters(t *testing.T) {
	s := newTestService(endpoint("a", 1))
	acquire(s, 0)
	refusals := 0
	for range 3 {
		w := &Waiter{Request: Request{Deadline: epoch.Add(time.Hour)}}
		w.Deliver = func(g Grant) {
			assert.Equal(t, g.Err.Code, verdict.CodeNoBackendServer)
			refusals++
		}
		s.Acquire(w, epoch)
	}
	s.SetMembers(nil, 0, epoch)
	assert.Equal(t, refusals, 3)
	assert.Equal(t, s.Waiting(), 0)
}

func TestProbationTakesOneRequestAtATime(t *testing.T) {
	s := newTestService(endpoint("a", 4), endpoint("b", 4))
	a := s.Executors()[0]
	for range s.settings.Health.ConsecutiveFailures {
		a.inFlight.Add(1)
		s.Release(a, "c", Failed, 0, epoch)
	}
	assert.Equal(t, a.State(), health.Ejected)
	later := epoch.Add(s.settings.Health.BaseEjection)
	s.Tick(later)
	assert.Equal(t, a.State(), health.Probation)
	first, second := acquire(s, 0), acquire(s, 0)
	assert.Equal(t, first.Executor, a, "a repeatable request is used as the trial")
	assert.Assert(t, second.Executor != a)
	s.Release(a, "c", Succeeded, time.Millisecond, later)
	for range s.settings.Health.ReturnSuccesses - 1 {
		g := acquire(s, 0)
		assert.Equal(t, g.Executor, a)
		s.Release(a, "c", Succeeded, time.Millisecond, later)
	}
	assert.Equal(t, a.State(), health.Healthy)
	assert.Equal(t, a.Limit(), 1, "it returns with slow start")
}

func TestGainedSlotsAreDelayedAndLostSlotsAreNot(t *testing.T) {
	s := newTestService(endpoint("a", 2))
	a := s.Executors()[0]
	s.SetMembers([]Endpoint{endpoint("a", 5)}, 0, epoch)
	assert.Equal(t, a.Limit(), 2)
	s.Tick(epoch.Add(time.Second))
	assert.Equal(t, a.Limit(), 5)
	s.SetMembers([]Endpoint{endpoint("a", 1)}, 0, epoch.Add(time.Second))
	assert.Equal(t, a.Limit(), 1)
}

func TestBusyResponseLowersTheLimitTemporarily(t *testing.T) {
	s := newTestService(endpoint("a", 4))
	a := s.Executors()[0]
	for range 3 {
		acquire(s, 0)
	}
	s.Release(a, "c", Busy, 0, epoch)
	assert.Equal(t, a.Limit(), 2)
	s.Tick(epoch.Add(2 * busyLimitDuration))
	assert.Equal(t, a.Limit(), 4)
}

func TestOwnZoneFirstThenSpill(t *testing.T) {
	far := endpoint("far", 2)
	far.Zone = "z2"
	s := newTestService(endpoint("near", 2), far)
	var order []string
	for range 4 {
		order = append(order, string(acquire(s, 0).Executor.ID))
	}
	assert.DeepEqual(t, order, []string{"near", "near", "far", "far"})
}

// TestNothingLeaksWhileExecutorsFailAndChange runs requests, cancellations, failures,
// ticks and changes of members concurrently. No waiter and no slot may leak.
func TestNothingLeaksWhileExecutorsFailAndChange(t *testing.T) {
	s := newTestService(endpoint("a", 2), endpoint("b", 2), endpoint("c", 2))
	done := make(chan struct{})
	var updater, callers sync.WaitGroup
	updater.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-done:
				return
			default:
			}
			members := []Endpoint{endpoint("a", 1+i%3), endpoint("b", 2)}
			if i%2 == 0 {
				members = append(members, endpoint("c", 2))
			}
			s.SetMembers(members, 10, epoch.Add(time.Duration(i)*time.Second))
		}
	})
	for i := range 16 {
		callers.Go(func() {
			for n := range 200 {
				churn(s, Outcome((i+n)%4), n%5 == 0)
			}
		})
	}
	callers.Wait()
	close(done)
	updater.Wait()
	assert.Equal(t, s.Waiting(), 0)
	assert.Equal(t, len(s.retries), 0)
	for _, e := range s.Executors() {
		assert.Equal(t, e.InFlight(), 0, "%s", e.ID)
	}
}

// churn requests a slot and releases it with the outcome. If cancels is true and the
// request is still queued, churn cancels the request instead.
func churn(s *Service, outcome Outcome, cancels bool) {
	grants := make(chan Grant, 1)
	w := &Waiter{Request: Request{Class: "c", Deadline: epoch.Add(24 * time.Hour), Repeatable: true}}
	w.Deliver = func(g Grant) { grants <- g }
	grant, queued := s.Acquire(w, epoch)
	if queued {
		if cancels && s.Cancel(w) {
			return
		}
		grant = <-grants
	}
	if grant.Executor != nil {
		s.Release(grant.Executor, "c", outcome, time.Microsecond, epoch)
	}
}

func TestReturningExecutorKeepsItsState(t *testing.T) {
	s := newTestService(endpoint("a", 1), endpoint("b", 1))
	a := acquire(s, 0).Executor
	other := "a"
	if a.ID == "a" {
		other = "b"
	}
	s.SetMembers([]Endpoint{endpoint(other, 1)}, 0, epoch)
	s.SetMembers([]Endpoint{endpoint("a", 1), endpoint("b", 1)}, 0, epoch)
	assert.Equal(t, s.InFlight(), 1, "its request still counts")
	s.Release(a, "c", Succeeded, time.Millisecond, epoch)
	assert.Equal(t, s.InFlight(), 0)
	s.SetMembers([]Endpoint{endpoint(other, 1)}, 0, epoch)
	assert.Equal(t, len(s.retired), 0, "the state of an idle, healthy executor is not kept")
	b := s.Executors()[0]
	b.inFlight.Add(5)
	s.SetMembers([]Endpoint{endpoint("a", 1), endpoint("b", 1)}, 0, epoch)
	for range 5 {
		s.Release(b, "c", Failed, 0, epoch)
	}
	s.SetMembers(nil, 0, epoch)
	assert.Equal(t, s.retired[b.ID], b, "the state of an ejected executor is kept")
	s.SetMembers(nil, 0, epoch.Add(time.Minute))
	assert.Equal(t, len(s.retired), 0, "it is not kept forever")
}
