package election

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/entry/layout"
	"github.com/tarragonreach/tarragonreach/platform/backoff"
	"github.com/tarragonreach/tarragonreach/policy/handover"
)

// leader is an instance that campaigns for one duty and hands it over as soon as it may.
type leader struct {
	id    fleet.InstanceID
	cores float64
	// delay is how much later than the others it begins to follow the duties: it is cut off from the store.
	delay time.Duration
}

// holding is a term that an instance has begun.
type holding struct {
	by fleet.InstanceID
	at time.Time
}

// runLeaders lets the instances campaign for a time and returns the terms of the duty in their order.
func runLeaders(t *testing.T, leaders []leader, store Store, d time.Duration) []holding {
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	var mu sync.Mutex
	var terms []holding
	var candidates []Candidate
	for _, l := range leaders {
		candidates = append(candidates, Candidate{l.id, l.cores})
	}
	for _, l := range leaders {
		e := New(store, l.id, "z", l.cores, slog.New(slog.DiscardHandler))
		e.SetCandidates(func() []Candidate { return append([]Candidate(nil), candidates...) })
		running.Go(func() {
			if backoff.Sleep(ctx, l.delay) != nil {
				return
			}
			running.Go(func() { e.Follow(ctx) })
			e.Campaign(ctx, layout.ServiceDuty("s"), func(ctx context.Context, term Term) {
				mu.Lock()
				terms = append(terms, holding{l.id, time.Now()})
				mu.Unlock()
				handOverWhenAllowed(ctx, e, term)
			})
		})
	}
	time.Sleep(d)
	cancel()
	running.Wait()
	return terms
}

func handOverWhenAllowed(ctx context.Context, e *Election, term Term) {
	for backoff.Sleep(ctx, 100*time.Millisecond) == nil {
		if _, found := e.Successor(term); found {
			term.HandOver()
			return
		}
	}
}

// Guards against an overloaded small instance that keeps a duty which it claimed while the larger ones
// were cut off from the store.
func TestSmallInstanceKeepsADutyBesideLargerOnes(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		leaders := []leader{{id: "small-0", cores: 0.192}, {id: "small-1", cores: 0.192}}
		outage := time.Duration(rapid.IntRange(2000, 20000).Draw(r, "outage ms")) * time.Millisecond
		for i := range rapid.IntRange(1, 4).Draw(r, "large") {
			leaders = append(leaders, leader{id: fleet.InstanceID(rune('a' + i)), cores: 0.8, delay: outage})
		}
		synctest.Test(t, func(t *testing.T) {
			terms := runLeaders(t, leaders, newMemoryStore(), outage+handover.MinSpacing+5*time.Second)
			last := terms[len(terms)-1]
			assert.Assert(t, last.by != "small-0" && last.by != "small-1", "held by %s", last.by)
		})
	})
}

// Guards against a service that changes its owner again and again while the instances with more CPU
// capacity are registered but can't claim duties.
func TestHandoversInVainAreRare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		leaders := []leader{{id: "small-0", cores: 0.192}, {id: "small-1", cores: 0.192}, {id: "cut-off", cores: 0.8, delay: time.Hour}}
		terms := runLeaders(t, leaders, newMemoryStore(), time.Minute)
		assert.Assert(t, len(terms) >= 3)
		for i := 2; i < len(terms); i++ {
			spacing := terms[i].at.Sub(terms[i-2].at)
			assert.Assert(t, spacing >= handover.MinSpacing, "two handovers in %s", spacing)
		}
	})
}

// Guards against handovers to an instance that gains nothing by them.
func TestNoSuccessorWithoutFreeCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		store := newMemoryStore()
		busy := New(store, "busy", "z", 0.8, slog.New(slog.DiscardHandler))
		var running sync.WaitGroup
		running.Go(func() { busy.Follow(ctx) })
		running.Go(func() {
			busy.Campaign(ctx, layout.ServiceDuty("other"), func(ctx context.Context, _ Term) { <-ctx.Done() })
		})
		leaders := []leader{{id: "small", cores: 0.192}, {id: "equal", cores: 0.3, delay: time.Hour}, {id: "busy", cores: 0.8, delay: time.Hour}}
		terms := runLeaders(t, leaders, store, time.Minute)
		assert.Equal(t, len(terms), 1)
		cancel()
		running.Wait()
	})
}

// Guards against an overloaded instance that keeps two duties beside idle ones like it, and against one that hands
// over both at once.
func TestInstanceWithTwoDutiesKeepsBothWhenOverloaded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		store := newMemoryStore()
		var running sync.WaitGroup
		both := New(store, "both", "z", 0.192, slog.New(slog.DiscardHandler))
		both.SetCandidates(func() []Candidate { return []Candidate{{"idle", 0.192}} })
		running.Go(func() { both.Follow(ctx) })
		handedOver := make(chan struct{}, 2)
		for _, duty := range []cluster.Service{"a", "b"} {
			running.Go(func() {
				both.Campaign(ctx, layout.ServiceDuty(duty), func(ctx context.Context, term Term) {
					handOverWhenAllowed(ctx, both, term)
					handedOver <- struct{}{}
					<-ctx.Done()
				})
			})
		}
		time.Sleep(2*handover.MinTerm - time.Second)
		assert.Equal(t, len(handedOver), 1)
		cancel()
		running.Wait()
	})
}
