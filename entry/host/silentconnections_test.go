package host_test

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/tarragonreach/tarragonreach/entry/election"
	"github.com/tarragonreach/tarragonreach/entry/layout"
	"github.com/tarragonreach/tarragonreach/entry/storehealth"
	"github.com/tarragonreach/tarragonreach/platform/kv"
	"github.com/tarragonreach/tarragonreach/platform/standin"
)

// All connections of an instance to the store go silent for good, at any moment and repeatedly: the
// instance keeps its duty, since the store serves new connections.
func TestDutyIsKeptWhenConnectionsToTheStoreGoSilent(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		pauses := rapid.SliceOfN(rapid.IntRange(1200, 4000), 1, 3).Draw(rt, "pauses ms")
		var terms int
		synctest.Test(t, func(*testing.T) { terms = termsWithSilentConnections(pauses) })
		assert.Equal(rt, terms, 1)
	})
}

// termsWithSilentConnections returns how many terms the only candidate for a duty needs while its
// connections go silent after each of the pauses.
func termsWithSilentConnections(pausesMs []int) int {
	network := newNetwork()
	store := &faultyStore{Store: standin.NewStore()}
	server := store.serve(network)
	health := storehealth.New(kv.NewWithDial(storeAddress, network.dial("front-0")), func(bool, int) {})
	e := election.New(health, "front-0", "palermo", 1, slog.New(slog.DiscardHandler))
	ctx, cancel := context.WithCancel(context.Background())
	terms := 0
	var running sync.WaitGroup
	running.Go(func() { e.Follow(ctx) })
	running.Go(func() { health.Probe(ctx) })
	running.Go(func() {
		e.Campaign(ctx, layout.FleetDuty, func(ctx context.Context, _ election.Term) {
			terms++
			<-ctx.Done()
		})
	})
	for _, pause := range pausesMs {
		time.Sleep(time.Duration(pause) * time.Millisecond)
		store.begin(storeSpell{fault: connectionsSilent})
	}
	time.Sleep(3 * time.Second)
	cancel()
	_ = server.Close() // ends all calls
	running.Wait()
	health.CloseIdle()
	return terms
}

// Many connections of an instance to the store are idle when all go silent: a call succeeds at its
// second attempt, not only once each of them has been tried.
func TestIdleConnectionsThatWentSilentAreTriedOnce(t *testing.T) {
	const idle = 8
	synctest.Test(t, func(t *testing.T) {
		network := newNetwork()
		store := &faultyStore{Store: standin.NewStore()}
		server := store.serve(network)
		health := storehealth.New(kv.NewWithDial(storeAddress, network.dial("front-0")), func(bool, int) {})
		defer func() {
			_ = server.Close() // ends all calls
			health.CloseIdle()
		}()
		get := func(timeout time.Duration) error {
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			_, err := health.Get(ctx, "a")
			return err
		}
		var calls sync.WaitGroup
		for range idle {
			calls.Go(func() { _ = get(time.Second) }) // opens a connection
		}
		calls.Wait()
		store.begin(storeSpell{fault: connectionsSilent})
		time.Sleep(time.Millisecond)
		assert.ErrorIs(t, get(health.Timeout(1)), context.DeadlineExceeded)
		assert.ErrorIs(t, get(health.Timeout(2)), kv.ErrNotFound)
	})
}
