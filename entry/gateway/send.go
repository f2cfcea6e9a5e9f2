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

// release gives the slot back; the time in it is counted up to now. A nil lease
// has been released already.
func (l *slotLease) release(outcome dispatch.Outcome) {
	if l == nil {
		return
	}
	now := time.Now()
	l.service.Release(l.executor, l.class, outcome, now.Sub(l.started), now)
}

// send takes a slot, sends the request and retries it once where that is safe. A
// streamed answer comes with its slot still held.
func (g *Gateway) send(x *exchange) (*backend.Response, *slotLease, *verdict.Error) {
	x.service.live.Earn()
	lease, refusal := g.acquire(x, nil)
	if refusal != nil {
		return nil, nil, refusal
	}
	answer, failure := g.attempt(x, lease)
	if failure == nil || isStream(answer) || !g.mayRetry(x, failure) {
		return g.settle(x, lease, answer, failure)
	}
	lease.release(lease.outcomeOf(failure))
	next := g.acquireRetry(x, lease.executor, failure)
	if next == nil {
		return g.settle(x, nil, answer, failure)
	}
	second, failure := g.attempt(x, next)
	if second == nil && answer != nil {
		next.release(next.outcomeOf(failure))
		return answer, nil, nil // A 5xx answer in hand is better than none.
	}
	discard(answer)
	return g.settle(x, next, second, failure)
}

// settle returns the answer if there is one, else the failure with the verdict
// over all attempts. A nil lease has been released already.
func (g *Gateway) settle(x *exchange, lease *slotLease, answer *backend.Response, failure *verdict.Error) (*backend.Response, *slotLease, *verdict.Error) {
	if answer != nil {
		return answer, lease, nil
	}
	if lease != nil {
		lease.release(lease.outcomeOf(failure))
	}
	failure.Verdict = x.verdict
	return nil, nil, failure
}

// isStream reports whether the answer has not been read whole.
func isStream(answer *backend.Response) bool {
	if answer == nil {
		return false
	}
	_, streamed := wholeLength(answer)
	return streamed
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

// await returns the grant of a queued request. A caller that gives up leaves the
// queue at once.
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
		return verdict.New(verdict.NotRun, verdict.CodeCanceled, "the caller gave up while the request waited")
	}
	refusal := verdict.New(verdict.NotRun, verdict.CodeTimeout, "the timeout ended while the request waited")
	refusal.RetryAfter = time.Second
	return refusal
}

// attempt sends the request once. A 5xx answer comes back with both the answer
// and a failure, because another executor may do better.
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
	if deadline := x.attemptDeadline(now); deadline.Before(x.deadline) {
		x.ctx.watch(executor, now, deadline)
	}
	answer, err := g.options.Transport.Send(x.ctx, x.target(executor), &x.request)
	returned = true
	x.ctx.unwatch()
	if err != nil {
		failure := x.bodyFailure(asError(err))
		x.verdict = combine(x.verdict, failure.Verdict)
		g.noteLeaving(executor, failure.Code == verdict.CodeBackendServerLeaving)
		return nil, failure
	}
	g.noteLeaving(executor, answer.Leaving)
	x.verdict = verdict.Ran
	if failedStatus(answer.Status) {
		detail := "the backend server answered " + strconv.Itoa(answer.Status)
		return answer, verdict.New(verdict.Ran, verdict.CodeConnectionLost, detail)
	}
	return answer, nil
}

func (x *exchange) target(e *dispatch.Executor) backend.Target {
	return backend.Target{
		ID:            e.ID,
		Address:       e.Address,
		Connections:   e.Connections,
		ReadinessPath: x.service.spec.ReadinessPath,
	}
}

// attemptDeadline leaves time for a retry where one is possible and likely to
// finish, since the executor may have stopped answering.
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

// discard closes an answer that nobody reads.
func discard(answer *backend.Response) {
	if answer != nil && answer.Body != nil {
		_ = answer.Body.Close()
	}
}
