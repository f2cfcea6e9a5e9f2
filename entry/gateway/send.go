package gateway

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/tarragonreach/tarragonreach/api/verdict"
	"github.com/tarragonreach/tarragonreach/entry/backend"
	"github.com/tarragonreach/tarragonreach/entry/dispatch"
	"github.com/tarragonreach/tarragonreach/policy/retry"
)

// slotLease is a slot held for an attempt.
type slotLease struct {
	service  *dispatch.Service
	executor *dispatch.Executor
	class    string
	started  time.Time
}

// release releases the slot and records the attempt's run time up to now. A nil lease
// has been released already.
func (l *slotLease) release(outcome dispatch.Outcome) {
	if l == nil {
		return
	}
	now := time.Now()
	l.service.Release(l.executor, l.class, outcome, now.Sub(l.started), now)
}

// send acquires a slot, sends the request and retries it once where that is safe. The
// lease is nil if the slot has been released already; a streaming response always comes
// with its lease.
func (g *Gateway) send(x *exchange) (*backend.Response, *slotLease, *verdict.Error) {
	x.service.live.Earn()
	lease, refusal := g.acquire(x, nil)
	if refusal != nil {
		return nil, nil, refusal
	}
	response, failure := g.attempt(x, lease)
	if failure == nil || isStreaming(response) || !g.mayRetry(x, failure) {
		return g.resolve(x, lease, response, failure)
	}
	lease.release(lease.outcomeOf(failure))
	retryLease := g.acquireRetry(x, lease.executor, failure)
	if retryLease == nil {
		return g.resolve(x, nil, response, failure)
	}
	retryResponse, failure := g.attempt(x, retryLease)
	if retryResponse == nil && response != nil {
		retryLease.release(retryLease.outcomeOf(failure))
		return response, nil, nil // The first attempt's 5xx response is better than none.
	}
	discard(response)
	return g.resolve(x, retryLease, retryResponse, failure)
}

// resolve returns the response if there is one, else the failure with the verdict that
// covers all attempts. A nil lease has been released already.
func (g *Gateway) resolve(x *exchange, lease *slotLease, response *backend.Response, failure *verdict.Error) (*backend.Response, *slotLease, *verdict.Error) {
	if response != nil {
		return response, lease, nil
	}
	if lease != nil {
		lease.release(lease.outcomeOf(failure))
	}
	failure.Verdict = x.verdict
	return nil, nil, failure
}

// isStreaming reports whether the response's body is still to be read from the executor.
func isStreaming(response *backend.Response) bool {
	if response == nil {
		return false
	}
	_, streaming := bufferedLength(response)
	return streaming
}

// acquire waits for a slot.
func (g *Gateway) acquire(x *exchange, exclude *dispatch.Executor) (*slotLease, *verdict.Error) {
	live := x.service.live
	x.waiter.Request = dispatch.Request{
		Class:      x.class.Name,
		Priority:   x.class.Priority,
		Tenant:     x.tenant,
		Weight:     x.weight,
		Deadline:   x.deadline,
		Repeatable: x.repeatable,
		Exclude:    exclude,
	}
	grant, queued := live.Acquire(&x.waiter, time.Now())
	if queued {
		grant = x.await()
	}
	if grant.Err != nil {
		return nil, grant.Err
	}
	lease := &x.leases[x.attempts]
	*lease = slotLease{service: live, executor: grant.Executor, class: x.class.Name, started: time.Now()}
	return lease, nil
}

// await returns the grant of a queued request. A request that is canceled or times out
// leaves the queue at once.
func (x *exchange) await() dispatch.Grant {
	select {
	case grant := <-x.grants:
		return grant
	case <-x.ctx.Done():
	}
	if !x.service.live.Cancel(&x.waiter) {
		grant := <-x.grants
		if grant.Executor == nil {
			return grant
		}
		x.service.live.Release(grant.Executor, x.class.Name, dispatch.Neutral, 0, time.Now())
	}
	return dispatch.Grant{Err: endedWhileQueued(x.ctx)}
}

func endedWhileQueued(ctx context.Context) *verdict.Error {
	if errors.Is(ctx.Err(), context.Canceled) {
		return verdict.New(verdict.NotRun, verdict.CodeCanceled, "the caller canceled the request while it was queued")
	}
	refusal := verdict.New(verdict.NotRun, verdict.CodeTimeout, "the timeout expired while the request was queued")
	refusal.RetryAfter = time.Second
	return refusal
}

// attempt sends the request once. A response whose status counts as failed is returned
// together with a failure, because another executor may succeed.
func (g *Gateway) attempt(x *exchange, lease *slotLease) (*backend.Response, *verdict.Error) {
	x.attempts++
	returned := false
	defer func() {
		if !returned { // The transport panicked; the server logs it.
			lease.release(dispatch.Neutral)
		}
	}()
	now := time.Now()
	lease.started = now
	executor := lease.executor
	x.request.Header = x.outgoingHeader()
	deadline := x.attemptDeadline(now)
	x.request.RunTime = x.service.live.ClassRunTime(x.class.Name)
	x.request.OverdueAfter = 0
	if deadline.Before(x.deadline) {
		x.request.OverdueAfter = deadline.Sub(now)
		x.ctx.watch(executor, now, deadline)
	}
	response, err := g.options.Transport.Send(x.ctx, x.target(executor), &x.request)
	returned = true
	x.ctx.unwatch()
	if err != nil {
		failure := x.bodyFailure(asError(err))
		x.verdict = combine(x.verdict, failure.Verdict)
		g.noteLeaving(executor, failure.Code == verdict.CodeBackendServerLeaving)
		return nil, failure
	}
	g.noteLeaving(executor, response.Leaving)
	x.verdict = verdict.Ran
	if failedStatus(response.Status) {
		detail := "the backend server responded with status " + strconv.Itoa(response.Status)
		return response, verdict.New(verdict.Ran, verdict.CodeConnectionLost, detail)
	}
	return response, nil
}

func (x *exchange) target(e *dispatch.Executor) backend.Target {
	return backend.Target{
		ID:            e.ID,
		Address:       e.Address,
		Connections:   e.Connections,
		ReadinessPath: x.service.spec.ReadinessPath,
	}
}

// attemptDeadline returns the deadline of the current attempt. Where a retry is possible
// and likely to complete, it leaves half of the remaining time for it, since the
// executor may have become unresponsive.
func (x *exchange) attemptDeadline(now time.Time) time.Time {
	half := x.timeLeft(now) / 2
	expected := x.service.live.RunTime(x.class.Name)
	if !x.repeatable || x.request.Stream != nil || x.attempts >= retry.MaxAttempts || half < dispatch.MinAttemptFactor*expected {
		return x.deadline
	}
	return now.Add(half)
}

// failedStatus reports whether a status counts against the executor.
func failedStatus(status int) bool {
	switch status {
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	default:
		return false
	}
}

// discard closes the body of a response that is not used; response may be nil.
func discard(response *backend.Response) {
	if response != nil && response.Body != nil {
		_ = response.Body.Close()
	}
}
