package submission

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/tarragonreach/tarragonreach/api/verdict"
	"github.com/tarragonreach/tarragonreach/platform"
)

// capacityRetryAfter is the RetryAfter of refusals at the limit of remembered
// submissions.
const capacityRetryAfter = 5 * time.Second

// verdictByAttempt returns the verdict of a refusal that by itself proves nothing
// about earlier attempts: NotRun only if attempt is 1 or not given (zero), and this
// entry instance has no record of the key.
func verdictByAttempt(attempt int, known bool) verdict.Verdict {
	if attempt <= 1 && !known {
		return verdict.NotRun
	}
	return verdict.MayHaveRun
}

func badKey() *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.CodeBadRequest,
		fmt.Sprintf("an idempotency key has 1 to %d bytes", MaxKeyBytes))
}

// invalidTicket refuses a ticket that no entry instance can ever have accepted for
// this tenant.
func invalidTicket() *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.CodeTicketInvalid, "the ticket was not minted for this tenant")
}

func expiredTicket(v verdict.Verdict) *verdict.Error {
	return verdict.New(v, verdict.CodeTicketInvalid, "the ticket has expired; this attempt was not forwarded")
}

func minterReplaced(v verdict.Verdict) *verdict.Error {
	return verdict.New(v, verdict.CodeTicketMinterUnreachable,
		"the entry instance that minted the ticket has been replaced; this attempt was not forwarded")
}

func minterUnreachable(v verdict.Verdict, cause error) *verdict.Error {
	e := verdict.New(v, verdict.CodeTicketMinterUnreachable,
		"the entry instance that minted the ticket does not respond; this attempt was not forwarded")
	e.Err = cause
	return e
}

func memoryFull(v verdict.Verdict) *verdict.Error {
	e := verdict.New(v, verdict.CodeClaimCapacity, "the limit of remembered submissions is reached; this attempt was not forwarded")
	e.RetryAfter = capacityRetryAfter
	return e
}

// claimFailed refuses a key that the caller chose and that could not be claimed.
func claimFailed(v verdict.Verdict, cause error) *verdict.Error {
	e := verdict.New(v, verdict.CodeClaimUnavailable, "the key could not be claimed; this attempt was not forwarded")
	e.Err = cause
	var exhausted *budgetError
	switch {
	case errors.As(cause, &exhausted):
		e.Code, e.RetryAfter = verdict.CodeClaimCapacity, max(exhausted.retryAfter, time.Second)
	case errors.Is(cause, platform.ErrRateLimited):
		e.Code, e.RetryAfter = verdict.CodeClaimCapacity, time.Second
	case errors.Is(cause, errStoreUnavailable):
		e.RetryAfter = breakerPause
	}
	return e
}

// withContextCause sets the code and detail of e if the caller's context has ended,
// which then is the cause of the refusal.
func withContextCause(ctx context.Context, e *verdict.Error) *verdict.Error {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		e.Code, e.Detail = verdict.CodeCanceled, "the caller canceled the request; this attempt was not forwarded"
	case ctx.Err() != nil:
		e.Code, e.Detail = verdict.CodeTimeout, "the deadline has passed; this attempt was not forwarded"
	}
	return e
}
