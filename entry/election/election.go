// Package election elects one instance at a time for a duty. The holder's key is attached
// to a lease of the store; the revision at which the key was created is the fencing token
// of the term, and rises with every term.
package election

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/entry/bootclock"
	"github.com/tarragonreach/tarragonreach/entry/follow"
	"github.com/tarragonreach/tarragonreach/entry/layout"
	"github.com/tarragonreach/tarragonreach/platform/backoff"
	"github.com/tarragonreach/tarragonreach/platform/kv"
)

const (
	// leaseTTL bounds how long a duty stays without an active holder after its holder crashed.
	leaseTTL = 1800 * time.Millisecond
	// renewInterval allows three attempts within a TTL.
	renewInterval = 450 * time.Millisecond
	// refusedPause bounds the random pause after a renewal that the store refuses.
	refusedPause = 120 * time.Millisecond
	// callTimeout bounds one call to the store.
	callTimeout = 1200 * time.Millisecond
	// heldDutyDelay is the claim delay for each duty that an instance holds already: how
	// long it leaves a vacant duty to other instances, so that duties spread over them.
	heldDutyDelay = 400 * time.Millisecond
	// sufficientCores is the CPU capacity in cores that suffices for leading a service
	// through a peak.
	sufficientCores = 0.35
	// lowCapacityDelay is the additional claim delay of an instance with less capacity: an
	// instance with sufficientCores claims earlier even if it holds two duties already.
	lowCapacityDelay = 900 * time.Millisecond
	// maxJitter bounds the random delay that spreads the claims of one duty's candidates.
	maxJitter = 150 * time.Millisecond
	// pollInterval is the time between two checks of a candidate whether a duty is vacant.
	pollInterval = 100 * time.Millisecond
)

// Store is the part of the store that an election uses.
type Store interface {
	follow.Store
	Get(ctx context.Context, key string) (kv.Item, error)
	Txn(ctx context.Context, t kv.Txn) (kv.TxnResult, error)
	Grant(ctx context.Context, ttl time.Duration) (kv.Lease, error)
	KeepAlive(ctx context.Context, id kv.LeaseID) error
	Revoke(ctx context.Context, id kv.LeaseID) error
}

// Term is the period for which an instance holds a duty.
type Term struct {
	Duty  layout.Duty
	Token int64 // fencing token
	// Revision is the revision of the holder's key. A write under the condition that the
	// key still has this revision happens within the term.
	Revision kv.Revision
	lease    kv.LeaseID
	renewed  *atomic.Int64 // when the last successful grant or renewal was sent, in nanoseconds of clock
	began    func(token int64) (time.Time, bool)
	// handedOver is set once the holder gives up the duty in favour of another instance.
	handedOver   *atomic.Bool
	lastHandover *atomic.Pointer[time.Time] // of the instance
}

// Began returns when this instance first observed that a term of the same duty had begun,
// this one or an earlier one; false if it did not observe that, or long ago.
func (t Term) Began(token int64) (time.Time, bool) {
	if t.began == nil {
		return time.Time{}, false
	}
	return t.began(token)
}

// Age returns the time since the last successful grant or renewal of the lease was sent. It
// counts time in which the machine is suspended, and ignores steps of the wall clock.
func (t Term) Age() time.Duration { return clock() - time.Duration(t.renewed.Load()) }

// noteRenewal records a successful renewal that was sent at the given time of clock. Responses may
// overtake each other.
func (t Term) noteRenewal(sentAt time.Duration) {
	for {
		last := t.renewed.Load()
		if last >= int64(sentAt) || t.renewed.CompareAndSwap(last, int64(sentAt)) {
			return
		}
	}
}

// LeaseValid reports whether the lease can't have expired yet, unless the store revoked it.
// A holder that acts only while it is valid overlaps with its successor only briefly.
func (t Term) LeaseValid() bool { return t.Age() < leaseTTL }

// clock counts time in which the machine is suspended.
var clock = bootclock.Now

// Condition returns a condition that holds as long as the term lasts.
func (t Term) Condition() kv.Condition {
	return kv.Condition{Key: layout.OwnerKey(t.Duty), Revision: t.Revision}
}

// Election campaigns for duties on behalf of one instance.
type Election struct {
	store    Store
	instance fleet.InstanceID
	zone     fleet.AvailabilityZone
	logger   *slog.Logger
	cores    float64

	vacancies *vacancies
	// candidates returns the other instances; nil if they are not known.
	candidates func() []Candidate
	// claiming is a semaphore that serialises claims: the delay of a claim depends on
	// whether the previous one succeeded.
	claiming chan struct{}
	held     atomic.Int64
	// lastWon is when this instance last won a duty; nil before the first one.
	lastWon atomic.Pointer[time.Time]
	// lastHandover is when this instance last handed over a duty; nil before.
	lastHandover atomic.Pointer[time.Time]
}

// New returns an election for an instance with the given CPU capacity in cores, which may
// be a fraction.
func New(store Store, instance fleet.InstanceID, zone fleet.AvailabilityZone, cores float64, logger *slog.Logger) *Election {
	return &Election{
		store: store, instance: instance, zone: zone, cores: cores, logger: logger,
		vacancies: newVacancies(), claiming: make(chan struct{}, 1),
	}
}

// Follow keeps track of the duties until ctx ends.
func (e *Election) Follow(ctx context.Context) {
	unreadable := follow.NewSkipped(e.logger, "holders of duties not readable")
	apply := func(c follow.Change) {
		first := e.vacancies.apply(c, time.Now())
		if stale := e.staleHolders(c, first, unreadable); len(stale) > 0 {
			go e.releaseDuties(ctx, stale)
		}
	}
	f := follow.Follower{Store: e.store, Prefix: layout.OwnersPrefix, Apply: apply, Logger: e.logger}
	f.Run(ctx)
}

// staleHolders returns the keys of a change that no instance holds: those of an earlier process of
// this instance, if the change is the first listing, and those without a lease, which another writer has
// left: instances claim duties with one. So no candidate waits until the leases of the former expire, or
// for ever for the latter. If the earlier process still runs, it loses the duty as if its lease had expired.
func (e *Election) staleHolders(c follow.Change, first bool, unreadable *follow.Skipped) []kv.Item {
	unreadable.Begin(c)
	defer unreadable.Log()
	var stale []kv.Item
	for _, event := range c.Events {
		if event.Removed {
			continue
		}
		holder, err := layout.Decode[layout.Holder](event.Key, event.Value)
		if err != nil {
			unreadable.Add(event.Key, err)
		}
		if event.Lease == 0 || err == nil && first && holder.Instance == e.instance {
			stale = append(stale, event.Item)
		}
	}
	return stale
}

func (e *Election) releaseDuties(ctx context.Context, stale []kv.Item) {
	for _, item := range stale {
		e.release(ctx, item)
	}
}

func (e *Election) release(ctx context.Context, stale kv.Item) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	result, err := e.store.Txn(ctx, kv.Txn{
		Conditions: []kv.Condition{{Key: stale.Key, Revision: stale.Revision}},
		Deletes:    []string{stale.Key},
	})
	e.logger.Info("duty without a holder released", "key", stale.Key, "token", int64(stale.Created), "applied", result.Applied, "error", err)
}

// Campaign campaigns for the duty until ctx ends. For each term it calls lead with a context
// that ends with the term; when lead returns, the term is given up.
func (e *Election) Campaign(ctx context.Context, duty layout.Duty, lead func(context.Context, Term)) {
	c := campaign{duty: duty, since: time.Now()}
	for ctx.Err() == nil {
		term, err := e.win(ctx, c)
		if err != nil {
			continue // win sleeps before each claim and returns when ctx ends
		}
		e.logger.Info("duty taken", "duty", duty.String(), "kind", string(duty.Kind), "token", term.Token, "held", e.held.Load())
		e.lead(ctx, term, lead)
		e.held.Add(-1)
		handedOver := term.handedOver.Load()
		if handedOver {
			c.leftUntil = time.Now().Add(handoverDelay)
		}
		e.logger.Info("duty given up", "duty", duty.String(), "kind", string(duty.Kind), "token", term.Token, "handed_over", handedOver)
	}
}

func (e *Election) lead(ctx context.Context, term Term, lead func(context.Context, Term)) {
	termCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	var background sync.WaitGroup
	background.Go(func() { e.renew(termCtx, term, cancel) })
	background.Go(func() { e.yield(termCtx, term, cancel) })
	lead(termCtx, term)
	cancel()
	background.Wait()
	e.revoke(term)
}

// revoke revokes the term's lease, so that a successor does not wait until it expires.
func (e *Election) revoke(term Term) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	err := e.store.Revoke(ctx, term.lease)
	if err != nil && !errors.Is(err, kv.ErrLeaseLost) {
		e.logger.Warn("lease of a duty not revoked", "duty", term.Duty.String(), "error", err)
	}
}

// renew renews the term's lease until ctx ends or the lease is lost; then it calls lost. A renewal
// does not wait for the response to the previous one, whose connection may have gone silent.
func (e *Election) renew(ctx context.Context, term Term, lost func()) {
	var pending sync.WaitGroup
	defer pending.Wait()
	for backoff.Sleep(ctx, renewInterval) == nil {
		pending.Go(func() { e.renewOnce(ctx, term, lost) })
	}
}

func (e *Election) renewOnce(ctx context.Context, term Term, lost func()) {
	sentAt := clock()
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := e.store.KeepAlive(callCtx, term.lease)
	// Renewals count toward the rate of reads, which other requests may exceed for a while. The next
	// renewal takes over after renewInterval.
	for began := time.Now(); errors.Is(err, kv.ErrRateLimited) && time.Since(began) < renewInterval; {
		if backoff.Sleep(callCtx, rand.N(refusedPause)) != nil {
			return
		}
		sentAt = clock()
		err = e.store.KeepAlive(callCtx, term.lease)
	}
	if err == nil {
		term.noteRenewal(sentAt)
	}
	if errors.Is(err, kv.ErrLeaseLost) && ctx.Err() == nil {
		e.logger.Warn("lease of a duty lost", "duty", term.Duty.String(), "token", term.Token)
		lost()
	}
}

// campaign is the candidacy of this instance for a duty.
type campaign struct {
	duty layout.Duty
	// since is when the campaign began. All instances begin to campaign for a new duty at
	// about the same time, which may be long after it became vacant.
	since time.Time
	// leftUntil is until when the duty is left to other instances after a handover; zero without one.
	leftUntil time.Time
}

// win waits until the duty is vacant and this instance's claim delay is over, and claims it.
func (e *Election) win(ctx context.Context, c campaign) (Term, error) {
	jitter := rand.N(maxJitter)
	pause := pollInterval
	for {
		if err := backoff.Sleep(ctx, pause); err != nil {
			return Term{}, err
		}
		wait, vacant := e.claimDelay(c, jitter)
		switch {
		case !vacant:
			pause = pollInterval
		case wait > 0:
			pause = min(wait, pollInterval)
		default:
			return e.claimIfDue(ctx, c, jitter)
		}
	}
}

// claimDelay returns the remaining time before this instance may claim a vacant duty. It
// counts from when the duty became vacant or the campaign began, whichever is later. In
// addition, an instance that has won a duty waits heldDutyDelay before its next claim: if
// the store refused all claims for a while, the delays of all instances are over when it
// accepts them again.
func (e *Election) claimDelay(c campaign, jitter time.Duration) (wait time.Duration, vacant bool) {
	since, vacant := e.vacancies.since(layout.OwnerKey(c.duty))
	if e.earlierHolder(c.duty) != "" {
		return 0, false
	}
	if since.Before(c.since) {
		since = c.since
	}
	wait = e.baseClaimDelay(int(e.held.Load())) + jitter - time.Since(since)
	if won := e.lastWon.Load(); won != nil {
		wait = max(wait, heldDutyDelay-time.Since(*won))
	}
	return max(wait, time.Until(c.leftUntil)), vacant
}

// claimIfDue waits for this instance's claims in progress and then claims the duty, if the
// claim is still due: each duty won in the meantime makes the claim delay longer.
func (e *Election) claimIfDue(ctx context.Context, c campaign, jitter time.Duration) (Term, error) {
	select {
	case e.claiming <- struct{}{}:
	case <-ctx.Done():
		return Term{}, ctx.Err()
	}
	defer func() { <-e.claiming }()
	if wait, vacant := e.claimDelay(c, jitter); !vacant || wait > 0 {
		return Term{}, errClaimNotDue
	}
	term, err := e.claim(ctx, c.duty)
	term.began = func(token int64) (time.Time, bool) {
		return e.vacancies.began(layout.OwnerKey(c.duty), kv.Revision(token))
	}
	term.handedOver, term.lastHandover = &atomic.Bool{}, &e.lastHandover
	if err == nil {
		e.held.Add(1)
		now := time.Now()
		e.lastWon.Store(&now)
	}
	return term, err
}

// baseClaimDelay returns the claim delay of this instance while it holds the given number
// of duties. Instances with fewer duties or more CPU capacity have a shorter delay.
func (e *Election) baseClaimDelay(held int) time.Duration {
	delay := time.Duration(held) * heldDutyDelay
	if e.cores < sufficientCores {
		delay += lowCapacityDelay
	}
	return delay
}

func (e *Election) claim(ctx context.Context, duty layout.Duty) (Term, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	conditions, err := e.formerKeyConditions(ctx, duty)
	if err != nil {
		return Term{}, err
	}
	renewed := &atomic.Int64{}
	renewed.Store(int64(clock()))
	lease, err := e.store.Grant(ctx, leaseTTL)
	if err != nil {
		return Term{}, fmt.Errorf("grant a lease for duty %s: %w", duty, err)
	}
	holder := layout.Holder{Instance: e.instance, Zone: e.zone, Term: fmt.Sprintf("%016x", rand.Uint64()), Kind: duty.Kind}
	value, err := layout.Encode(holder)
	if err != nil {
		return Term{}, err
	}
	key := layout.OwnerKey(duty)
	result, err := e.store.Txn(ctx, kv.Txn{
		Conditions: append(conditions, kv.Condition{Key: key}),
		Puts:       []kv.Put{{Key: key, Value: value, Lease: lease.ID}},
	})
	if err == nil && result.Applied {
		return Term{Duty: duty, Token: int64(result.Revision), Revision: result.Revision, lease: lease.ID, renewed: renewed}, nil
	}
	if err != nil && !kv.NotRun(err) {
		term, err := e.confirm(ctx, duty, holder, lease.ID)
		term.renewed = renewed
		return term, err
	}
	return Term{}, fmt.Errorf("duty %s not claimed: %w", duty, errors.Join(err, errTaken))
}

var (
	errTaken       = errors.New("another instance holds it")
	errClaimNotDue = errors.New("claim not due any more")
)

// confirm reads the holder's key to find out whether a claim without a response took effect.
func (e *Election) confirm(ctx context.Context, duty layout.Duty, holder layout.Holder, lease kv.LeaseID) (Term, error) {
	item, err := e.store.Get(ctx, layout.OwnerKey(duty))
	if err != nil {
		return Term{}, fmt.Errorf("confirm the claim of duty %s: %w", duty, err)
	}
	found, err := layout.Decode[layout.Holder](item.Key, item.Value)
	if err != nil {
		return Term{}, err
	}
	if found.Term != holder.Term {
		return Term{}, fmt.Errorf("duty %s not claimed: %w", duty, errTaken)
	}
	return Term{Duty: duty, Token: int64(item.Created), Revision: item.Revision, lease: lease}, nil
}
