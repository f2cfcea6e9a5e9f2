package duty

import (
	"context"
	"math/rand/v2"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	_ "github.com/tarragonreach/tarragonreach/api/rapidseed"
	"github.com/tarragonreach/tarragonreach/platform"
	"github.com/tarragonreach/tarragonreach/platform/memory"
)

const effectKey = "effect"

// worker writes its epoch to one key during its term, with pauses between reading, checking
// and writing, since a process may be suspended at any point.
type worker struct {
	store    *memory.View
	random   *rand.Rand
	maxPause time.Duration
}

func (w worker) sleep() { time.Sleep(time.Duration(w.random.Int64N(int64(w.maxPause)))) }

func (w worker) act(ctx context.Context, term Term) {
	store := Fence(pausingStore{w.store, w.sleep}, term)
	for ctx.Err() == nil {
		w.step(ctx, store, term)
		w.sleep()
	}
	// A process that resumes after the end of its term may write before it checks its context.
	w.step(context.WithoutCancel(ctx), store, term)
}

func (w worker) step(ctx context.Context, store platform.Store, term Term) {
	entry, err := store.Get(ctx, effectKey)
	if err != nil {
		return
	}
	w.sleep()
	value := strconv.AppendInt(nil, term.Epoch, 10)
	_, _ = store.Swap(ctx, effectKey, value, entry.Revision, 0)
}

// pausingStore pauses between the check of the term and the write.
type pausingStore struct {
	platform.Store
	sleep func()
}

// Swap implements platform.Store.
func (s pausingStore) Swap(ctx context.Context, key string, value []byte, prev platform.Revision, lease platform.LeaseID) (platform.Revision, error) {
	s.sleep()
	return s.Store.Swap(ctx, key, value, prev, lease)
}

// Several holders pause at any point, while the store loses responses, is unavailable and
// expires leases. After a write of a later term, no write of an earlier term takes effect.
func TestEpochsOfEffectsNeverDecrease(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		lost := rapid.IntRange(0, 30).Draw(rt, "lost")
		maxPause := time.Duration(rapid.IntRange(1, 30).Draw(rt, "pause")) * time.Second
		synctest.Test(t, func(t *testing.T) { runHolders(t, seed, lost, maxPause) })
	})
}

func runHolders(t *testing.T, seed uint64, lost int, maxPause time.Duration) {
	p := memory.New(time.Now)
	_, err := p.Create(t.Context(), effectKey, []byte("0"), 0)
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	random := rand.New(rand.NewPCG(seed, 0))
	for i := range 3 {
		id := fleet.InstanceID(strconv.Itoa(i))
		view := p.From(string(id))
		random := rand.New(rand.NewPCG(seed, uint64(i)+1))
		w := worker{store: view, random: random, maxPause: maxPause}
		lessee := New(view, Options{Self: id, Zone: zone})
		go lessee.Run(ctx, "capacity", func(ctx context.Context, term Term) { w.act(ctx, term) })
	}
	for range 40 {
		time.Sleep(time.Duration(random.Int64N(int64(20 * time.Second))))
		id := strconv.Itoa(random.IntN(3))
		p.From(id).SetFaults(memory.Faults{Down: random.IntN(2) == 0})
		p.SetFaults(memory.Faults{LostResponsePercent: lost, Down: random.IntN(6) == 0})
		if random.IntN(5) == 0 {
			p.ExpireLeases()
		}
	}
	cancel()
	p.SetFaults(memory.Faults{})
	time.Sleep(time.Hour)
	assertEpochsGrow(t, p)
}

// assertEpochsGrow checks that the epochs of all writes to effectKey never decrease.
func assertEpochsGrow(t *testing.T, p *memory.Platform) {
	events, err := p.Watch(t.Context(), effectKey, 0)
	assert.NilError(t, err)
	last := int64(0)
	for _, event := range events.Events {
		epoch, err := strconv.ParseInt(string(event.Entry.Value), 10, 64)
		assert.NilError(t, err)
		assert.Assert(t, epoch >= last, "epoch %d took effect after %d", epoch, last)
		last = epoch
	}
}
