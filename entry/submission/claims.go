package submission

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/tarragonreach/tarragonreach/api/verdict"
	"github.com/tarragonreach/tarragonreach/platform"
)

// maxAcquireTries bounds the tries of one acquire while other entry instances keep
// changing the claim.
const maxAcquireTries = 4

var (
	errContended = errors.New("the claim was changed concurrently")
	errRetry     = fmt.Errorf("retry: %w", errContended)
	errTooSlow   = errors.New("creating the claim took so long that it would expire before the end of its retention")
)

// claims creates and removes claims in the platform's store.
type claims struct {
	store       platform.Store
	leases      *leases
	budget      *budget
	breaker     *breaker
	callTimeout time.Duration
	now         func() time.Time
	// claimState returns the state of the submission behind another grant's claim.
	claimState func(ctx context.Context, key Key, c claim) view
}

// heldClaim is a claim that this entry instance holds.
type heldClaim struct {
	storeKey string
	claim    claim
	revision platform.Revision
	lease    claimLease
}

// acquisition is the result of acquire: held is set if this entry instance holds
// the claim, else other is the state of the grant that holds it. After an error
// uncertain reports whether the claim may exist.
type acquisition struct {
	held      *heldClaim
	other     view
	uncertain bool
}

// acquirer holds the parameters of one call of acquire.
type acquirer struct {
	*claims
	key      Key
	storeKey string
	mine     claim
	value    []byte
}

// acquire stores mine as the submission's claim, or returns the state of the grant
// that holds the claim already. After a write that may have taken effect without a
// response, it reads the claim back. After an error the claim may exist; its grant
// must never be used.
func (c *claims) acquire(ctx context.Context, key Key, mine claim) (acquisition, error) {
	value, err := mine.encode()
	if err != nil {
		return acquisition{}, err
	}
	a := &acquirer{claims: c, key: key, storeKey: claimKey(key), mine: mine, value: value}
	var uncertain bool
	last := errContended
	for range maxAcquireTries {
		got, err := a.tryOnce(ctx)
		uncertain = uncertain || got.uncertain
		if err == nil && (got.held != nil || got.other.phase != PhaseReleased) {
			return got, nil
		}
		if err != nil {
			last = err
		}
		if isFinal(err) {
			break
		}
	}
	return acquisition{uncertain: uncertain}, last
}

// tryOnce creates the claim or, if one exists, reads it and takes it over if its
// holder released it. acquire calls it again after an error other than a finalError.
func (a *acquirer) tryOnce(ctx context.Context) (acquisition, error) {
	lease, err := a.lease(ctx)
	if isRefused(err) {
		return acquisition{}, &finalError{err}
	}
	if err != nil {
		return acquisition{}, err // a lease whose grant got no response expires unused
	}
	revision, err := a.create(ctx, a.storeKey, a.value, lease)
	if err == nil {
		return a.confirmHeld(revision, lease)
	}
	uncertain := !hadNoEffect(err)
	if isRefused(err) {
		return acquisition{}, &finalError{err}
	}
	entry, err := a.get(ctx, a.storeKey)
	if errors.Is(err, platform.ErrNotFound) {
		return acquisition{uncertain: uncertain}, errRetry
	}
	if err != nil {
		return acquisition{uncertain: uncertain}, &finalError{fmt.Errorf("read the claim back: %w", err)}
	}
	got, err := a.resolveExisting(ctx, entry, lease)
	got.uncertain = got.uncertain || uncertain
	return got, err
}

// resolveExisting handles a claim that exists: the grant's own, one held by another
// grant, or one that was released and may be taken over.
func (a *acquirer) resolveExisting(ctx context.Context, entry platform.Entry, lease claimLease) (acquisition, error) {
	found := decodeClaim(entry.Value)
	if found.Grant == a.mine.Grant {
		return a.confirmHeld(entry.Revision, lease)
	}
	state := a.claimState(ctx, a.key, found)
	if state.phase != PhaseReleased {
		return acquisition{other: state}, nil
	}
	revision, err := a.takeOver(ctx, entry, a.value, lease)
	if err == nil {
		return a.confirmHeld(revision, lease)
	}
	return acquisition{uncertain: !hadNoEffect(err)}, errRetry
}

// confirmHeld returns the claim as held if it lasts for the whole retention.
func (a *acquirer) confirmHeld(revision platform.Revision, lease claimLease) (acquisition, error) {
	if !a.leases.covers(lease, a.now()) {
		return acquisition{uncertain: true}, &finalError{errTooSlow}
	}
	held := &heldClaim{storeKey: a.storeKey, claim: a.mine, revision: revision, lease: lease}
	return acquisition{held: held}, nil
}

// finalError is an error after which acquire does not try again.
type finalError struct{ error }

// Unwrap returns the cause.
func (e *finalError) Unwrap() error { return e.error }

func isFinal(err error) bool {
	var final *finalError
	return errors.As(err, &final)
}

// isRefused reports whether the call had no effect and is not worth retrying now.
func isRefused(err error) bool {
	return errors.Is(err, errBudgetExhausted) || errors.Is(err, errStoreUnavailable) ||
		errors.Is(err, platform.ErrRateLimited) || verdict.Of(err) == verdict.NotRun
}

// hadNoEffect reports whether a failed write is certain to have changed nothing.
func hadNoEffect(err error) bool { return isStoreResponse(err) || isRefused(err) }

// lease returns the lease for claims created now and grants a new one if needed.
func (c *claims) lease(ctx context.Context) (claimLease, error) {
	if lease, ok := c.leases.get(c.now()); ok {
		return lease, nil
	}
	var lease claimLease
	err := c.call(ctx, func(ctx context.Context) error {
		var err error
		lease, err = c.leases.grant(ctx, c.now())
		return err
	})
	if err != nil {
		return claimLease{}, fmt.Errorf("grant a lease for claims: %w", err)
	}
	return lease, nil
}

func (c *claims) create(ctx context.Context, storeKey string, value []byte, lease claimLease) (platform.Revision, error) {
	var revision platform.Revision
	err := c.call(ctx, func(ctx context.Context) error {
		var err error
		revision, err = c.store.Create(ctx, storeKey, value, lease.id)
		return err
	})
	if errors.Is(err, platform.ErrLeaseLost) {
		c.leases.discard(lease)
	}
	return revision, err
}

func (c *claims) get(ctx context.Context, storeKey string) (platform.Entry, error) {
	var entry platform.Entry
	err := c.call(ctx, func(ctx context.Context) error {
		var err error
		entry, err = c.store.Get(ctx, storeKey)
		return err
	})
	return entry, err
}

// takeOver replaces a claim whose holder released it. The write is conditional on
// the claim's revision, so that only one entry instance succeeds.
func (c *claims) takeOver(ctx context.Context, entry platform.Entry, value []byte, lease claimLease) (platform.Revision, error) {
	var revision platform.Revision
	err := c.call(ctx, func(ctx context.Context) error {
		var err error
		revision, err = c.store.Swap(ctx, entry.Key, value, entry.Revision, lease.id)
		return err
	})
	return revision, err
}

// call makes one store call if the breaker and the budget allow it.
func (c *claims) call(ctx context.Context, do func(ctx context.Context) error) error {
	if err := c.breaker.allow(c.now()); err != nil {
		return err
	}
	if err := c.budget.take(ctx, c.now()); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, c.callTimeout)
	defer cancel()
	err := do(ctx)
	c.breaker.report(isStoreResponse(err), c.now())
	return err
}

// isStoreResponse reports whether err is a response that a working store may give.
func isStoreResponse(err error) bool {
	if err == nil {
		return true
	}
	for _, response := range []error{
		platform.ErrNotFound, platform.ErrExists, platform.ErrConflict, platform.ErrLeaseLost, platform.ErrRateLimited,
	} {
		if errors.Is(err, response) {
			return true
		}
	}
	return false
}

// remove deletes a claim that was released, using spare calls only. It reports
// whether this is complete and need not be retried.
func (c *claims) remove(ctx context.Context, held heldClaim) bool {
	if held.revision == 0 {
		return c.findAndRemove(ctx, held)
	}
	return c.callSpare(ctx, func(ctx context.Context) error {
		return c.store.Delete(ctx, held.storeKey, held.revision)
	})
}

// findAndRemove deletes a claim that may or may not have been created.
func (c *claims) findAndRemove(ctx context.Context, held heldClaim) bool {
	var entry platform.Entry
	var err error
	responded := c.callSpare(ctx, func(ctx context.Context) error {
		entry, err = c.store.Get(ctx, held.storeKey)
		return err
	})
	if !responded || err != nil || decodeClaim(entry.Value).Grant != held.claim.Grant {
		return responded
	}
	held.revision = entry.Revision
	return c.remove(ctx, held)
}

// recordOutcome writes the outcome into the claim, so that it remains available
// after this entry instance has been replaced. It reports whether this is complete.
func (c *claims) recordOutcome(ctx context.Context, held heldClaim) bool {
	value, err := held.claim.encode()
	if err != nil {
		return true
	}
	return c.callSpare(ctx, func(ctx context.Context) error {
		_, err := c.store.Swap(ctx, held.storeKey, value, held.revision, held.lease.id)
		return err
	})
}

// callSpare makes one call for clean-up if the budget has calls to spare. It reports
// whether the store responded other than with a rate limit.
func (c *claims) callSpare(ctx context.Context, do func(ctx context.Context) error) bool {
	now := c.now()
	if c.breaker.allow(now) != nil || !c.budget.takeSpare(now) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, c.callTimeout)
	defer cancel()
	err := do(ctx)
	c.breaker.report(isStoreResponse(err), c.now())
	return isStoreResponse(err) && !errors.Is(err, platform.ErrRateLimited)
}
