package duty

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/api/verdict"
	"github.com/tarragonreach/tarragonreach/platform/memory"
)

const zone = "palermo"

// holder runs one lessee and records its terms.
type holder struct {
	lessee *Lessee
	cancel context.CancelFunc
	mu     sync.Mutex
	terms  []Term
}

// term returns the holder's i-th term.
func (h *holder) term(i int) Term {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.terms[i]
}

// count returns how many terms the holder has had.
func (h *holder) count() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.terms)
}

// start runs a lessee that holds each of its terms until the term ends.
func start(t *testing.T, store *memory.View, id fleet.InstanceID) *holder {
	h := &holder{}
	h.lessee = New(store, Options{Self: id, Zone: zone})
	var ctx context.Context
	ctx, h.cancel = context.WithCancel(t.Context())
	go h.lessee.Run(ctx, "capacity", func(ctx context.Context, term Term) {
		h.mu.Lock()
		h.terms = append(h.terms, term)
		h.mu.Unlock()
		<-ctx.Done()
	})
	return h
}

func (h *holder) holds() bool { return len(h.lessee.Held(time.Now())) > 0 }

func TestOneHolderAndQuickHandover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := memory.New(time.Now)
		first := start(t, p.View, "a")
		synctest.Wait()
		second := start(t, p.View, "b")
		time.Sleep(time.Minute)
		assert.Assert(t, first.holds())
		assert.Assert(t, !second.holds())

		first.cancel()
		time.Sleep(2 * pollInterval)
		assert.Assert(t, second.holds(), "a duty given up is acquired at the next poll")
		assert.Assert(t, second.term(0).Epoch > first.term(0).Epoch)
		second.cancel()
		synctest.Wait()
	})
}

func TestHolderStopsBeforeTheLeaseExpiresDuringAStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := memory.New(time.Now)
		h := start(t, p.View, "a")
		synctest.Wait()
		assert.Assert(t, h.holds())
		down := time.Now()
		p.SetFaults(memory.Faults{Down: true})
		for h.holds() {
			time.Sleep(100 * time.Millisecond)
		}
		assert.Assert(t, time.Since(down) < TTL-3*time.Second, "stopped after %s", time.Since(down))
		assert.Assert(t, !h.term(0).Valid(time.Now()))

		p.SetFaults(memory.Faults{})
		time.Sleep(TTL + 2*pollInterval)
		assert.Assert(t, h.holds(), "the duty is acquired again after the outage")
		assert.Assert(t, h.term(1).Epoch > h.term(0).Epoch)
		h.cancel()
		synctest.Wait()
	})
}

func TestShortOutageDoesNotEndTheTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := memory.New(time.Now)
		h := start(t, p.View, "a")
		synctest.Wait()
		p.SetFaults(memory.Faults{Down: true})
		time.Sleep(4 * time.Second)
		p.SetFaults(memory.Faults{})
		time.Sleep(time.Minute)
		assert.Equal(t, h.count(), 1)
		h.cancel()
		synctest.Wait()
	})
}

func TestExpiredLeaseEndsTheTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := memory.New(time.Now)
		h := start(t, p.View, "a")
		synctest.Wait()
		p.ExpireLeases()
		time.Sleep(renewInterval + time.Second)
		assert.Assert(t, !h.term(0).Valid(time.Now()))
		h.cancel()
		synctest.Wait()
	})
}

// Responses to grants, creations and renewals are lost at random: the duty is acquired
// all the same.
func TestLostResponsesOnGrantCreateAndRenewal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := memory.New(time.Now)
		p.SetFaults(memory.Faults{LostResponsePercent: 40})
		h := start(t, p.View, "a")
		time.Sleep(time.Hour)
		assert.Assert(t, h.count() > 0)
		h.cancel()
		synctest.Wait()
	})
}

func TestATermEndsWhenTheMachineWasSuspended(t *testing.T) {
	began := time.Now()
	term := Term{window: newWindow(began, windowLength)}
	assert.Assert(t, term.Valid(began.Add(windowLength-time.Second)))
	// The monotonic clock has stopped during the suspension, the wall clock has not.
	suspended := began.Round(0).Add(windowLength)
	assert.Assert(t, !term.Valid(suspended))
	assert.Assert(t, !Term{}.Valid(began), "the zero term is not valid")
}

func TestTermIsGivenUpWhenActReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := memory.New(time.Now)
		ctx, cancel := context.WithCancel(t.Context())
		lessee := New(p, Options{Self: "a", Zone: zone})
		acts := 0
		go lessee.Run(ctx, "capacity", func(context.Context, Term) { acts++ })
		synctest.Wait()
		assert.Equal(t, acts, 1)
		page, err := p.List(t.Context(), keyPrefix, "", 1)
		assert.NilError(t, err)
		assert.Equal(t, len(page.Entries), 0)
		cancel()
		synctest.Wait()
	})
}

func TestOnlyCandidatesRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := memory.New(time.Now)
		ctx, cancel := context.WithCancel(t.Context())
		lessee := New(p, Options{Zone: zone, Candidate: func() bool { return false }})
		go lessee.Run(ctx, "capacity", func(context.Context, Term) {})
		time.Sleep(time.Minute)
		assert.Equal(t, p.Calls().Reads+p.Calls().Writes, int64(0))
		cancel()
		synctest.Wait()
	})
}

func TestFencedWriteIsNotMadeDuringAStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := memory.New(time.Now)
		h := start(t, p.View, "a")
		synctest.Wait()
		fenced := Fence(p, h.term(0))
		revision, err := fenced.Create(t.Context(), "page", nil, 0)
		assert.NilError(t, err)
		p.SetFaults(memory.Faults{Down: true})
		_, err = fenced.Swap(t.Context(), "page", nil, revision, 0)
		assert.Equal(t, verdict.Of(err), verdict.NotRun)
		p.SetFaults(memory.Faults{})
		p.ExpireLeases()
		assert.Equal(t, verdict.CodeOf(fenced.Delete(t.Context(), "page", revision)), CodeTermOver)
		assert.Assert(t, !h.term(0).Valid(time.Now()), "the holder has detected the end of its term")
		h.cancel()
		synctest.Wait()
	})
}
