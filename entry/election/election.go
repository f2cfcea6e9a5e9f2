// Package election lets one instance at a time have a duty. The holder's key lives
// under a lease of the store; the revision at which the key was created is the
// fencing token of the term, and rises with every term.
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

	"golang.org/x/sys/unix"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/entry/follow"
	"github.com/tarragonreach/tarragonreach/entry/layout"
	"github.com/tarragonreach/tarragonreach/platform/backoff"
	"github.com/tarragonreach/tarragonreach/platform/kv"
)

const (
	// leaseTTL bounds how long a duty is vacant after its holder died.
	leaseTTL = 1800 * time.Millisecond
	// renewEvery leaves room for three attempts within a TTL.
	renewInterval = 450 * time.Millisecond
	// callTimeout bounds one call to the store.
	callTimeout = 1200 * time.Millisecond
	// standBack is how long an instance leaves a vacant duty to others for each duty
	// that it has already, so that duties spread over instances.
	heldDutyDelay = 400 * time.Millisecond
	// ampleCores is the processor room with which an instance leads a service through
	// a peak.
	sufficientCores = 0.35
	// scantStandBack is how much longer an instance with less waits: one with more,
	// even if it has two duties already, comes first.
	lowCapacityDelay = 900 * time.Millisecond
	// jitter spreads the candidates of one duty.
	maxJitter = 150 * time.Millisecond
	// pollEvery is how often candidates look whether a duty is vacant.
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

// Term is one holding of a duty.
type Term struct {
	Duty  string
	Token int64 // fencing token
	// Revision is that of the holder's key. A write under the condition that the
	// key still has it happens within the term.
	Revision kv.Revision
	lease    kv.LeaseID
	renewed  *atomic.Int64 // when the last renewal that succeeded was asked for; clock nanoseconds
}

// Age is how long ago the term was certainly held. It counts while the machine is
// suspended, and does not follow steps of the time of day.
func (t Term) Age() time.Duration { return clock() - time.Duration(t.renewed.Load()) }

// LeaseValid reports whether the lease can't have lapsed yet, unless the store took it
// away. A holder that acts only then never acts beside its successor for long.
func (t Term) LeaseValid() bool { return t.Age() < leaseTTL }

// clock reads a clock that runs on while the machine is suspended.
func clock() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(fmt.Sprintf("the boot-time clock can't be read: %v", err)) // Linux always has it
	}
	return time.Duration(ts.Nano())
}

// Condition holds as long as the term lasts.
func (t Term) Condition() kv.Condition {
	return kv.Condition{Key: layout.OwnerKey(t.Duty), Revision: t.Revision}
}

// Election keeps track of all duties for one instance.
type Election struct {
	store    Store
	instance fleet.InstanceID
	zone     fleet.AvailabilityZone
	logger   *slog.Logger
	cores    float64

	vacancies *vacancies
	// claiming holds a token while a duty is being claimed: the next claim must know
	// whether this one succeeded.
	claiming chan struct{}
	held     atomic.Int64
	// won is when this instance took a duty last.
	lastWon atomic.Pointer[time.Time]
}

// New returns an election for an instance with some processor cores, or a share of one.
func New(store Store, instance fleet.InstanceID, zone fleet.AvailabilityZone, cores float64, logger *slog.Logger) *Election {
	return &Election{
		store: store, instance: instance, zone: zone, cores: cores, logger: logger,
		vacancies: newVacancies(), claiming: make(chan struct{}, 1),
	}
}

// Follow keeps track of the duties until ctx ends.
func (e *Election) Follow(ctx context.Context) {
	apply := func(c follow.Change) {
		if first := e.vacancies.apply(c, time.Now()); first {
			go e.releaseStaleDuties(ctx, c.Events)
		}
	}
	f := follow.Follower{Store: e.store, Prefix: layout.OwnersPrefix, Apply: apply, Logger: e.logger}
	f.Run(ctx)
}

// releaseLeftOver removes the keys that an earlier process of this instance left: it is
// gone, and nobody need wait until its leases lapse. Were it still there, it would lose
// the duty as by a lapsed lease.
func (e *Election) releaseStaleDuties(ctx context.Context, events []kv.Event) {
	for _, event := range events {
		holder, err := layout.Decode[layout.Holder](event.Key, event.Value)
		if err != nil {
			e.logger.Error("holder of a duty can't be read", "key", event.Key, "error", err)
			continue
		}
		if holder.Instance == e.instance {
			e.release(ctx, event.Item)
		}
	}
}

func (e *Election) release(ctx context.Context, stale kv.Item) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	result, err := e.store.Txn(ctx, kv.Txn{
		Conditions: []kv.Condition{{Key: stale.Key, Revision: stale.Revision}},
		Deletes:    []string{stale.Key},
	})
	e.logger.Info("duty of an earlier process released", "key", stale.Key, "token", int64(stale.Created), "applied", result.Applied, "error", err)
}

// Campaign holds the duty again and again until ctx ends. Each time, lead is called
// with a context that ends with the term; the term is given up when lead returns.
func (e *Election) Campaign(ctx context.Context, duty string, lead func(context.Context, Term)) {
	c := campaign{duty: duty, since: time.Now()}
	for ctx.Err() == nil {
		term, err := e.win(ctx, c)
		if err != nil {
			continue // win waits by itself and ends with ctx
		}
		e.logger.Info("duty taken", "duty", duty, "token", term.Token, "held", e.held.Load())
		e.lead(ctx, term, lead)
		e.held.Add(-1)
		e.logger.Info("duty given up", "duty", duty, "token", term.Token)
	}
}

func (e *Election) lead(ctx context.Context, term Term, lead func(context.Context, Term)) {
	termCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	var renewing sync.WaitGroup
	renewing.Go(func() { e.renew(termCtx, term, cancel) })
	lead(termCtx, term)
	cancel()
	renewing.Wait()
	e.revoke(term)
}

// revoke ends the term's lease, so that a successor need not wait for its end.
func (e *Election) revoke(term Term) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	err := e.store.Revoke(ctx, term.lease)
	if err != nil && !errors.Is(err, kv.ErrLeaseLost) {
		e.logger.Warn("lease of a duty not ended", "duty", term.Duty, "error", err)
	}
}

// renew keeps the term's lease until it is lost.
func (e *Election) renew(ctx context.Context, term Term, lost func()) {
	for backoff.Sleep(ctx, renewInterval) == nil {
		sentAt := clock()
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err := e.store.KeepAlive(callCtx, term.lease)
		cancel()
		if err == nil {
			term.renewed.Store(int64(sentAt))
		}
		if errors.Is(err, kv.ErrLeaseLost) {
			e.logger.Warn("lease of a duty lost", "duty", term.Duty, "token", term.Token)
			lost()
			return
		}
	}
}

// campaign is the candidacy of this instance for a duty.
type campaign struct {
	duty string
	// since is when it began. The others learn of a duty at about the same time, which
	// may be long after it fell vacant.
	since time.Time
}

// win waits until it is this instance's turn to take the duty, and takes it.
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

// turn returns how long this instance still leaves a vacant duty to others: by how long it
// is vacant, and after each duty that this instance takes, since claims may have been
// refused for longer than the others wait.
func (e *Election) claimDelay(c campaign, jitter time.Duration) (wait time.Duration, vacant bool) {
	since, vacant := e.vacancies.since(layout.OwnerKey(c.duty))
	if since.Before(c.since) {
		since = c.since
	}
	wait = e.baseClaimDelay(int(e.held.Load())) + jitter - time.Since(since)
	if won := e.lastWon.Load(); won != nil {
		wait = max(wait, heldDutyDelay-time.Since(*won))
	}
	return wait, vacant
}

// claimInTurn claims the duty after the claims of others by this instance that are on
// their way, if it is still its turn then: each duty that it has makes it wait longer.
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
	if err == nil {
		e.held.Add(1)
		now := time.Now()
		e.lastWon.Store(&now)
	}
	return term, err
}

// deference is how long this instance leaves a vacant duty to others that have fewer
// duties, or more processor room.
func (e *Election) baseClaimDelay(held int) time.Duration {
	delay := time.Duration(held) * heldDutyDelay
	if e.cores < sufficientCores {
		delay += lowCapacityDelay
	}
	return delay
}

func (e *Election) claim(ctx context.Context, duty string) (Term, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	renewed := &atomic.Int64{}
	renewed.Store(int64(clock()))
	lease, err := e.store.Grant(ctx, leaseTTL)
	if err != nil {
		return Term{}, fmt.Errorf("lease for duty %s: %w", duty, err)
	}
	holder := layout.Holder{Instance: e.instance, Zone: e.zone, Term: fmt.Sprintf("%016x", rand.Uint64())}
	value, err := layout.Encode(holder)
	if err != nil {
		return Term{}, err
	}
	key := layout.OwnerKey(duty)
	result, err := e.store.Txn(ctx, kv.Txn{
		Conditions: []kv.Condition{{Key: key}},
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
	return Term{}, fmt.Errorf("duty %s is taken: %w", duty, errors.Join(err, errTaken))
}

var (
	errTaken       = errors.New("another instance was first")
	errClaimNotDue = errors.New("another duty was taken meanwhile")
)

// confirm finds out whether a claim without an answer took effect.
func (e *Election) confirm(ctx context.Context, duty string, holder layout.Holder, lease kv.LeaseID) (Term, error) {
	item, err := e.store.Get(ctx, layout.OwnerKey(duty))
	if err != nil {
		return Term{}, fmt.Errorf("duty %s: %w", duty, err)
	}
	found, err := layout.Decode[layout.Holder](item.Key, item.Value)
	if err != nil {
		return Term{}, err
	}
	if found.Term != holder.Term {
		return Term{}, fmt.Errorf("duty %s: %w", duty, errTaken)
	}
	return Term{Duty: duty, Token: int64(item.Created), Revision: item.Revision, lease: lease}, nil
}
