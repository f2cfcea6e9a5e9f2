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
	d := &Deduplicator{
		options: options,
		mint:    m,
		memory:  newMemory(options.MaxRecords, options.MaxBodyBytes),
		metrics: newMetrics(options.Scope),
	}
	d.background = newBackground(func() { d.metrics.jobsGivenUp.Inc(1) })
	if options.Store != nil {
		d.claims = d.newClaims()
	}
	return d, nil
}

func (d *Deduplicator) newClaims() *claims {
	o := d.options
	return &claims{
		store:       o.Store,
		leases:      &leases{store: o.Store, retention: o.Retention},
		budget:      newBudget(o.CallsPerSecond, o.CallBurst, o.ClaimTimeout/2),
		breaker:     &breaker{},
		callTimeout: o.ClaimTimeout / 2,
		now:         d.now,
		claimState:  d.claimState,
	}
}

// SetBudget changes the bound on this entry instance's calls of the store, such
// as when the number of entry instances that share the store changes.
func (d *Deduplicator) SetBudget(callsPerSecond float64, burst int) {
	if d.claims != nil {
		d.claims.budget.set(callsPerSecond, burst)
	}
}

// Close ends the clean-up in the background after a last try until ctx ends.
func (d *Deduplicator) Close(ctx context.Context) { d.background.close(ctx) }

// clockStep is how far the clock may go back without being held.
const clockTolerance = 100 * time.Millisecond

// now returns the time, which goes back by clockStep at most: a ticket that has
// expired stays so for long enough.
func (d *Deduplicator) now() time.Time {
	now := d.options.Now()
	latest := d.latest.Load()
	if ahead := latest - now.UnixNano(); ahead > int64(clockTolerance) {
		return time.Unix(0, latest)
	}
	if now.UnixNano()-latest > int64(clockTolerance) {
		d.latest.CompareAndSwap(latest, now.UnixNano())
	}
	return now
}

// Records returns the number of submissions remembered.
func (d *Deduplicator) Records() int { return d.memory.size() }

// NextTicket implements Guard.
func (d *Deduplicator) NextTicket(tenant string) string { return d.mint.next(tenant, d.now()) }

// Begin implements Guard.
func (d *Deduplicator) Begin(ctx context.Context, key Key, attempt int) (Permit, error) {
	permit, err := d.begin(ctx, key, attempt)
	d.metrics.count(err)
	return permit, err
}

func (d *Deduplicator) begin(ctx context.Context, key Key, attempt int) (Permit, error) {
	if len(key.Value) == 0 || len(key.Value) > MaxKeyBytes {
		return nil, badKey()
	}
	if isTicket(key.Value) {
		return d.beginTicket(ctx, key, attempt)
	}
	return d.beginCallerKey(ctx, key, attempt)
}

// Refusal implements Refuser.
func (d *Deduplicator) Refusal(key Key, attempt int) verdict.Verdict {
	seen, known := d.memory.lookup(key, d.now())
	if known && seen.phase != PhaseReleased {
		return verdict.Of(duplicate(seen))
	}
	if d.isUnusedTicket(key) {
		return verdict.NotRun
	}
	return verdictByAttempt(attempt, known)
}

// isUnused reports whether the key is a ticket of which this entry instance
// alone knows that it has no grant in use.
func (d *Deduplicator) isUnusedTicket(key Key) bool {
	if !isTicket(key.Value) {
		return false
	}
	t, err := decodeTicket(key.Value)
	if err != nil {
		return true
	}
	isMine := t.minter == d.mint.self && t.incarnation == d.mint.incarnation
	return isMine && d.mint.genuine(t, key.Tenant) && d.now().Before(t.expires())
}

// opened is a submission that has a record here and is still to be decided elsewhere.
type pendingSubmission struct {
	grant  grantID
	before view
	// attempt is the caller's count, raised where a copy has been seen here before.
	attempt int
}

// open makes a record for a submission that another entry instance or the store
// decides about.
func (d *Deduplicator) recordPending(key Key, attempt int) (pendingSubmission, *verdict.Error) {
	now := d.now()
	params := beginParams{key: key, grant: newGrant(), expires: now.Add(d.options.MemoryRetention)}
	result, before := d.memory.begin(params, now)
	switch result {
	case beginDuplicate:
		return pendingSubmission{}, duplicate(before)
	case beginRefusedFull:
		return pendingSubmission{}, memoryFull(verdictByAttempt(attempt, false))
	}
	if before.phase != PhaseUnknown {
		attempt = max(attempt, repeatedAttempt)
	}
	return pendingSubmission{grant: params.grant, before: before, attempt: attempt}, nil
}

// repeatedAttempt is the least count of a caller's attempt that is not its first.
const repeatedAttempt = 2

// giveUp ends a grant that is not going to be used.
func (d *Deduplicator) releaseGrant(key Key, grant grantID) {
	d.memory.end(key, grant, notRun, d.now())
}

func newGrant() grantID {
	var g grantID
	_, _ = rand.Read(g[:]) // never fails
	return g
}
