package submission

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/tarragonreach/tarragonreach/api/verdict"
)

var errNoStore = errors.New("this entry instance has no store for claims")

// ticketMemoryMargin is how long a ticket's record outlives the ticket.
const ticketMemoryMargin = time.Minute

// Deduplicator is the Guard of one entry instance.
type Deduplicator struct {
	options    Options
	mint       *mint
	memory     *memory
	claims     *claims // nil without a store
	background *background
	metrics    *metrics
	latest     atomic.Int64 // the latest time seen, Unix nanoseconds
}

var (
	_ Guard   = (*Deduplicator)(nil)
	_ Refuser = (*Deduplicator)(nil)
)

// New returns a Keeper, or an error if Options.Self can't be put into a ticket.
// Close ends it.
func New(options Options) (*Deduplicator, error) {
	options = options.withDefaults()
	m, err := newMint(options.Self, options.TicketLifetime)
	if err != nil {
		return nil, fmt.Errorf("submission: %w", err)
	}
	k := &Deduplicator{
		options: options,
		mint:    m,
		memory:  newMemory(options.MaxRecords, options.MaxBodyBytes),
		metrics: newMetrics(options.Scope),
	}
	k.background = newBackground(func() { k.metrics.jobsGivenUp.Inc(1) })
	if options.Store != nil {
		k.claims = k.newClaims()
	}
	return k, nil
}

func (k *Deduplicator) newClaims() *claims {
	o := k.options
	return &claims{
		store:       o.Store,
		leases:      &leases{store: o.Store, retention: o.Retention},
		budget:      newBudget(o.CallsPerSecond, o.CallBurst, o.ClaimTimeout/2),
		breaker:     &breaker{},
		callTimeout: o.ClaimTimeout / 2,
		now:         k.now,
		phaseOf:     k.stateOfClaim,
	}
}

// SetBudget changes the bound on this entry instance's calls of the store, such
// as when the number of entry instances that share the store changes.
func (k *Deduplicator) SetBudget(callsPerSecond float64, burst int) {
	if k.claims != nil {
		k.claims.budget.set(callsPerSecond, burst)
	}
}

// Close ends the clean-up in the background after a last try until ctx ends.
func (k *Deduplicator) Close(ctx context.Context) { k.background.close(ctx) }

// clockStep is how far the clock may go back without being held.
const clockStep = 100 * time.Millisecond

// now returns the time, which goes back by clockStep at most: a ticket that has
// expired stays so for long enough.
func (k *Deduplicator) now() time.Time {
	now := k.options.Now()
	latest := k.latest.Load()
	if ahead := latest - now.UnixNano(); ahead > int64(clockStep) {
		return time.Unix(0, latest)
	}
	if now.UnixNano()-latest > int64(clockStep) {
		k.latest.CompareAndSwap(latest, now.UnixNano())
	}
	return now
}

// Records returns the number of submissions remembered.
func (k *Deduplicator) Records() int { return k.memory.size() }

// NextTicket implements Guard.
func (k *Deduplicator) NextTicket(tenant string) string { return k.mint.next(tenant, k.now()) }

// Begin implements Guard.
func (k *Deduplicator) Begin(ctx context.Context, key Key, attempt int) (Permit, error) {
	pass, err := k.begin(ctx, key, attempt)
	k.metrics.count(err)
	return pass, err
}

func (k *Deduplicator) begin(ctx context.Context, key Key, attempt int) (Permit, error) {
	if len(key.Value) == 0 || len(key.Value) > MaxKeyBytes {
		return nil, badKey()
	}
	if isTicket(key.Value) {
		return k.beginTicket(ctx, key, attempt)
	}
	return k.beginOwn(ctx, key, attempt)
}

// Refusal implements Refuser.
func (k *Deduplicator) Refusal(key Key, attempt int) verdict.Verdict {
	seen, known := k.memory.look(key, k.now())
	if known && seen.phase != PhaseReleased {
		return verdict.Of(duplicate(seen))
	}
	if k.isUnused(key) {
		return verdict.NotRun
	}
	return vouched(attempt, known)
}

// isUnused reports whether the key is a ticket of which this entry instance
// alone knows that it has no grant in use.
func (k *Deduplicator) isUnused(key Key) bool {
	if !isTicket(key.Value) {
		return false
	}
	t, err := decodeTicket(key.Value)
	if err != nil {
		return true
	}
	isMine := t.minter == k.mint.self && t.incarnation == k.mint.incarnation
	return isMine && k.mint.genuine(t, key.Tenant) && k.now().Before(t.expires())
}

// opened is a submission that has a record here and is still to be decided elsewhere.
type opened struct {
	grant  grantID
	before view
	// attempt is the caller's count, raised where a copy has been seen here before.
	attempt int
}

// open makes a record for a submission that another entry instance or the store
// decides about.
func (k *Deduplicator) open(key Key, attempt int) (opened, *verdict.Error) {
	now := k.now()
	o := opening{key: key, grant: newGrant(), expires: now.Add(k.options.MemoryRetention)}
	how, before := k.memory.begin(o, now)
	switch how {
	case startedBefore:
		return opened{}, duplicate(before)
	case startRefusedFull:
		return opened{}, memoryFull(vouched(attempt, false))
	}
	if before.phase != PhaseUnknown {
		attempt = max(attempt, repeatedAttempt)
	}
	return opened{grant: o.grant, before: before, attempt: attempt}, nil
}

// repeatedAttempt is the least count of a caller's attempt that is not its first.
const repeatedAttempt = 2

// giveUp ends a grant that is not going to be used.
func (k *Deduplicator) giveUp(key Key, grant grantID) { k.memory.end(key, grant, notRun, k.now()) }

func newGrant() grantID {
	var g grantID
	_, _ = rand.Read(g[:]) // never fails
	return g
}
