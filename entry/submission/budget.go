package submission

import (
	"context"
	"errors"
	"time"

	"golang.org/x/time/rate"

	"github.com/tarragonreach/tarragonreach/platform/backoff"
)

// errBudgetExhausted is returned when the store calls reserved for claims are used up.
var errBudgetExhausted = errors.New("the budget of store calls for claims is exhausted")

// budgetError carries the time after which a call is likely to be allowed.
type budgetError struct{ retryAfter time.Duration }

// Error implements error.
func (e *budgetError) Error() string { return errBudgetExhausted.Error() }

// Unwrap returns errBudgetExhausted.
func (e *budgetError) Unwrap() error { return errBudgetExhausted }

// budget limits the rate of store calls, so that a burst of submissions leaves
// capacity for leases and configuration. Clean-up uses only calls that claims leave
// over.
type budget struct {
	limiter *rate.Limiter
	maxWait time.Duration
}

func newBudget(perSecond float64, burst int, maxWait time.Duration) *budget {
	return &budget{
		limiter: rate.NewLimiter(rate.Limit(perSecond), burst),
		maxWait: maxWait,
	}
}

// take waits until one call for a claim is allowed, for maxWait at most.
func (b *budget) take(ctx context.Context, now time.Time) error {
	reservation := b.limiter.ReserveN(now, 1)
	delay := reservation.DelayFrom(now)
	if delay > b.maxWait || exceedsDeadline(ctx, now, delay) {
		reservation.CancelAt(now)
		return &budgetError{retryAfter: delay}
	}
	if err := backoff.Sleep(ctx, delay); err != nil {
		reservation.CancelAt(now)
		return err
	}
	return nil
}

// takeSpare takes one call for clean-up if there is one to spare.
func (b *budget) takeSpare(now time.Time) bool {
	reserve := float64(b.limiter.Burst()) / 2 // tokens that clean-up leaves for claims
	return b.limiter.TokensAt(now) > reserve && b.limiter.AllowN(now, 1)
}

// set changes the rate and the burst.
func (b *budget) set(perSecond float64, burst int) {
	b.limiter.SetLimit(rate.Limit(perSecond))
	b.limiter.SetBurst(burst)
}

func exceedsDeadline(ctx context.Context, now time.Time, delay time.Duration) bool {
	deadline, ok := ctx.Deadline()
	return ok && now.Add(delay).After(deadline)
}
