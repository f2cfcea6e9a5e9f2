package submission

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/tarragonreach/tarragonreach/api/verdict"
	"github.com/tarragonreach/tarragonreach/platform"
)

// capacityRetryAfter is the advice where the submissions remembered are too many.
const capacityRetryAfter = 5 * time.Second

// vouched returns the verdict of a refusal that proves nothing by itself: NotRun
// only where the caller counts a first attempt and this entry instance has no
// memory of the key.
func vouched(attempt int, known bool) verdict.Verdict {
	if attempt <= 1 && !known {
		return verdict.NotRun
	}
	return verdict.MayHaveRun
}

func badKey() *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.CodeBadRequest,
		fmt.Sprintf("an idempotency key has 1 to %d bytes", MaxKeyBytes))
}

// invalidTicket refuses a ticket that no entry instance can ever have accepted
// for this tenant.
func invalidTicket() *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.CodeTicketInvalid, "the ticket was not minted for this tenant")
}

func expiredTicket(v verdict.Verdict) *verdict.Error {
	return verdict.New(v, verdict.CodeTicketInvalid, "the ticket has expired; this attempt was not sent on")
}

func minterReplaced(v verdict.Verdict) *verdict.Error {
	return verdict.New(v, verdict.CodeTicketMinterUnreachable,
		"the ticket's minter has been replaced; this attempt was not sent on")
}

func minterUnreachable(v verdict.Verdict, cause error) *verdict.Error {
	e := verdict.New(v, verdict.CodeTicketMinterUnreachable,
		"the ticket's minter does not answer; this attempt was not sent on")
	e.Err = cause
	return e
}

func memoryFull(v verdict.Verdict) *verdict.Error {
	e := verdict.New(v, verdict.CodeClaimCapacity, "too many submissions are remembered; this attempt was not sent on")
	e.RetryAfter = capacityRetryAfter
	return e
}

// claimFailed refuses a caller's own key that could not be claimed.
func claimFailed(v verdict.Verdict, cause error) *verdict.Error {
	e := verdict.New(v, verdict.CodeClaimUnavailable, "the key could not be claimed; this attempt was not sent on")
	e.Err = cause
	var over *budgetError
	switch {
	case errors.As(cause, &over):
		e.Code, e.RetryAfter = verdict.CodeClaimCapacity, max(over.after, time.Second)
	case errors.Is(cause, platform.ErrRateLimited):
		e.Code, e.RetryAfter = verdict.CodeClaimCapacity, time.Second
	case errors.Is(cause, errStoreOut):
		e.RetryAfter = breakerPause
	}
	return e
}

// ended names the end of the caller's context as the cause, where it was one.
func ended(ctx context.Context, e *verdict.Error) *verdict.Error {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		e.Code, e.Detail = verdict.CodeCanceled, "the caller went away; this attempt was not sent on"
	case ctx.Err() != nil:
		e.Code, e.Detail = verdict.CodeTimeout, "the time was up; this attempt was not sent on"
	}
	return e
}
