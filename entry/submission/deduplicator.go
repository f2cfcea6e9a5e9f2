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

// ticketMemoryMargin is how long a ticket's record is kept after the ticket expires.
const ticketMemoryMargin = time.Minute

// Deduplicator is the Guard of one entry instance.
type Deduplicator struct {
	options    Options
	mint       *mint
	memory     *memory
	claims     *claims // nil without a store
	background *background
	metrics    *metrics
	latest     atomic.Int64 // latest time recorded by now, at most clockTolerance behind; Unix nanoseconds
}

var (
	_ Guard   = (*Deduplicator)(nil)
	_ Refuser = (*Deduplicator)(nil)
)

// New returns a Deduplicator, or an error if Options.Self can't be encoded in a
// ticket. Close stops its background work.
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

// SetBudget changes the limit on this entry instance's store calls for claims, for
// example when the number of entry instances that share the store changes.
func (d *Deduplicator) SetBudget(callsPerSecond float64, burst int) {
	if d.claims != nil {
		d.claims.budget.set(callsPerSecond, burst)
	}
}

// Close stops the background clean-up after trying each queued job once more,
// until ctx ends.
func (d *Deduplicator) Close(ctx context.Context) { d.background.close(ctx) }

// clockTolerance is how far the clock may go back before now returns the latest
// recorded time instead.
const clockTolerance = 100 * time.Millisecond

// now returns the time, which goes back by twice clockTolerance at most, far less than
// ticketMemoryMargin. Thus a ticket whose record was dropped stays expired.
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

// isUnusedTicket reports whether a key without a grant in this entry instance's memory,
// released ones aside, certainly has none on any entry instance: it is a malformed
// ticket, or a valid one minted by this run of this entry instance.
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

// pendingSubmission is a submission that is recorded in this entry instance's memory
// while the ticket's minter or the store decides about it.
type pendingSubmission struct {
	grant  grantID
	before view // state of earlier copies at this entry instance
	// attempt is the caller's attempt count, raised to repeatedAttempt if this entry
	// instance has seen a copy before.
	attempt int
}

// recordPending adds a record for a submission that another entry instance or the
// store decides about.
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

// repeatedAttempt is the lowest attempt count that is not a first attempt.
const repeatedAttempt = 2

// releaseGrant ends a grant that will not be used.
func (d *Deduplicator) releaseGrant(key Key, grant grantID) {
	d.memory.end(key, grant, outcomeNotRun, d.now())
}

func newGrant() grantID {
	var g grantID
	_, _ = rand.Read(g[:]) // never fails
	return g
}
