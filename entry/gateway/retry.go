package gateway

import (
	"errors"
	"time"

	"github.com/tarragonreach/tarragonreach/api/verdict"
	"github.com/tarragonreach/tarragonreach/entry/dispatch"
	"github.com/tarragonreach/tarragonreach/platform/backoff"
	"github.com/tarragonreach/tarragonreach/policy/retry"
)

// mayRetry decides about another attempt and takes it from the budget.
func (g *Gateway) mayRetry(x *exchange, failure *verdict.Error) bool {
	refusal := retry.Decide(retry.Attempt{
		Number:        x.attempts,
		CallerAttempt: x.attempt,
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
	g.metrics.retry(refusal)
	return refusal == retry.None
}

// acquireRetry pauses and waits for a slot of another executor; nil if there is none.
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

// outcomeOf says what a failure means for the executor.
func (l *slotLease) outcomeOf(failure *verdict.Error) dispatch.Outcome {
	switch failure.Code {
	case verdict.CodeBackendServerBusy:
		return dispatch.Busy
	case verdict.CodeBackendServerLeaving, verdict.CodeCanceled, verdict.CodeBodyTooLarge, verdict.CodeBadRequest:
		return dispatch.Neutral
	case verdict.CodeTimeout:
		return l.overdue()
	default:
		return dispatch.Failed
	}
}

// overdue counts a timeout against the executor only where the answer took far
// longer than expected; a short timeout says nothing of the executor.
func (l *slotLease) overdue() dispatch.Outcome {
	if time.Since(l.started) >= dispatch.OverdueFactor*l.service.RunTime(l.class) {
		return dispatch.Failed
	}
	return dispatch.Neutral
}

// asError returns err as a *verdict.Error. An error without a verdict may have run.
func asError(err error) *verdict.Error {
	var known *verdict.Error
	if errors.As(err, &known) {
		copied := *known
		return &copied
	}
	unknown := verdict.New(verdict.MayHaveRun, verdict.CodeInternal, "an unexpected error")
	unknown.Err = err
	return unknown
}

// noteLeaving tells the directory of an executor's own notice.
func (g *Gateway) noteLeaving(e *dispatch.Executor, leaving bool) {
	if leaving {
		g.options.Directory.NoteLeaving(e.ID)
	}
}
