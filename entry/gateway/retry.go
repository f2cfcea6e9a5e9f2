package gateway

import (
	"errors"
	"time"

	"github.com/tarragonreach/tarragonreach/api/verdict"
	"github.com/tarragonreach/tarragonreach/entry/dispatch"
	"github.com/tarragonreach/tarragonreach/platform/backoff"
	"github.com/tarragonreach/tarragonreach/policy/retry"
)

// mayRetry reports whether to make another attempt and charges it to the retry budget.
func (g *Gateway) mayRetry(x *exchange, failure *verdict.Error) bool {
	refusal := retry.Decide(retry.Attempt{
		Number:        x.attempts,
		CallerAttempt: x.callerAttempt,
		Repeatable:    x.repeatable,
		Replayable:    x.request.Stream == nil,
		Verdict:       x.verdict,
		Code:          failure.Code,
		TimeLeft:      x.timeLeft(time.Now()),
		RunTime:       x.service.live.RunTime(x.class.Name),
	})
	if refusal == retry.None && !x.service.live.SpendRetry() {
		refusal = retry.BudgetExhausted
	}
	g.metrics.recordRetry(refusal)
	return refusal == retry.None
}

// acquireRetry pauses, then waits for a slot of another executor. It returns nil if the
// request ended meanwhile or was refused.
func (g *Gateway) acquireRetry(x *exchange, failed *dispatch.Executor, failure *verdict.Error) *slotLease {
	x.request.NewConnection = failure.Code == verdict.CodeTimeout || failure.Code == verdict.CodeConnectionLost
	x.ctx = x.ctx.renewed()
	if backoff.Sleep(x.ctx, retry.Pause(x.timeLeft(time.Now()), g.rng)) != nil {
		return nil
	}
	lease, err := g.acquire(x, failed)
	if err != nil {
		return nil
	}
	return lease
}

// outcomeOf returns how a failure counts for the executor.
func (l *slotLease) outcomeOf(failure *verdict.Error) dispatch.Outcome {
	switch failure.Code {
	case verdict.CodeBackendServerBusy:
		return dispatch.Busy
	case verdict.CodeBackendServerLeaving, verdict.CodeCanceled, verdict.CodeBodyTooLarge, verdict.CodeBadRequest:
		return dispatch.Neutral
	case verdict.CodeTimeout:
		return l.overdueOutcome()
	default:
		return dispatch.Failed
	}
}

// overdueOutcome counts a timeout against the executor only where the attempt lasted at
// least dispatch.OverdueFactor times the expected run time: a timeout shorter than that
// says nothing about the executor.
func (l *slotLease) overdueOutcome() dispatch.Outcome {
	if time.Since(l.started) >= dispatch.OverdueFactor*l.service.RunTime(l.class) {
		return dispatch.Failed
	}
	return dispatch.Neutral
}

// asError returns err as a *verdict.Error. An error without a verdict gets MayHaveRun.
func asError(err error) *verdict.Error {
	var verdictErr *verdict.Error
	if errors.As(err, &verdictErr) {
		copied := *verdictErr
		return &copied
	}
	unknown := verdict.New(verdict.MayHaveRun, verdict.CodeInternal, "unexpected internal error")
	unknown.Err = err
	return unknown
}

// noteLeaving reports an executor's own notice of leaving to the directory.
func (g *Gateway) noteLeaving(e *dispatch.Executor, leaving bool) {
	if leaving {
		g.options.Directory.NoteLeaving(e.ID)
	}
}
