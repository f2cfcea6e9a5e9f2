package gateway

import (
	"net/http"
	"time"

	"github.com/tarragonreach/tarragonreach/api/object"
	"github.com/tarragonreach/tarragonreach/api/verdict"
	"github.com/tarragonreach/tarragonreach/entry/backend"
	"github.com/tarragonreach/tarragonreach/entry/dispatch"
	"github.com/tarragonreach/tarragonreach/entry/submission"
	"github.com/tarragonreach/tarragonreach/policy/retry"
)

// exchange is the state of one caller's request. Exchanges are pooled.
type exchange struct {
	service       *serviceEntry
	class         object.Class
	tenant        string
	weight        int
	tenantLimit   int // the tenant's concurrent requests at this entry instance; zero means no limit
	repeatable    bool
	started       time.Time
	deadline      time.Time
	callerAttempt int            // the caller's attempt number, from 1; zero means not given
	submission    submission.Key // its Value is empty where the caller sent no idempotency key

	incoming http.Header // shared with the caller's request; never changed
	request  backend.Request
	stream   *callerStream // nil unless the body is too large to buffer
	attempts int
	// verdict covers all attempts so far.
	verdict verdict.Verdict
	permit  submission.Permit

	ctx    *requestContext
	leases [retry.MaxAttempts]slotLease
	waiter dispatch.Waiter
	grants chan dispatch.Grant
}

func newExchange() *exchange {
	x := &exchange{grants: make(chan dispatch.Grant, 1)}
	x.waiter.Deliver = func(g dispatch.Grant) { x.grants <- g }
	return x
}

// reset clears everything but the channel and its callback.
func (x *exchange) reset() {
	grants, deliver := x.grants, x.waiter.Deliver
	*x = exchange{grants: grants}
	x.waiter.Deliver = deliver
}

// needsPermit reports whether the request is keyed and not repeatable, so that it needs
// a permit of the guard.
func (x *exchange) needsPermit() bool { return x.submission.Value != "" && !x.repeatable }

// timeLeft returns the time until the request's deadline.
func (x *exchange) timeLeft(now time.Time) time.Duration { return x.deadline.Sub(now) }

// combine returns the verdict that covers an earlier and a later attempt.
func combine(earlier, later verdict.Verdict) verdict.Verdict {
	switch {
	case earlier == verdict.Ran || later == verdict.Ran:
		return verdict.Ran
	case earlier == verdict.NotRun:
		return later
	default:
		return verdict.MayHaveRun
	}
}

// serveService handles a request for /s/{service}/{path...}.
func (g *Gateway) serveService(w http.ResponseWriter, r *http.Request) {
	x := g.exchanges.Get().(*exchange)
	defer g.recycle(x)
	x.started = time.Now()
	x.verdict = verdict.NotRun
	if refusal := g.parse(x, r); refusal != nil {
		g.finishRefused(w, x, refusal)
		return
	}
	if !g.tenants.acquire(x.tenant, x.tenantLimit) {
		refusal := verdict.New(g.refusalVerdict(x), verdict.CodeQuotaExceeded, "the tenant has reached its limit of concurrent requests at this entry instance")
		refusal.RetryAfter = time.Second
		g.finishRefused(w, x, refusal)
		return
	}
	defer g.tenants.release(x.tenant, x.tenantLimit)
	x.ctx = newRequestContext(r.Context(), x.deadline)
	defer func() { x.ctx.stop() }()
	g.serveAdmitted(w, r, x)
}

func (g *Gateway) recycle(x *exchange) {
	x.reset()
	g.exchanges.Put(x)
}

// serveAdmitted reads the body, requests a permit where one is needed, and sends the
// request.
func (g *Gateway) serveAdmitted(w http.ResponseWriter, r *http.Request, x *exchange) {
	if refusal := g.readBody(w, r, x); refusal != nil {
		refusal.Verdict = g.refusalVerdict(x)
		g.finishRefused(w, x, refusal)
		return
	}
	if refusal := g.begin(x); refusal != nil {
		g.finishRefused(w, x, refusal)
		return
	}
	response, lease, err := g.send(x)
	if err != nil {
		g.widenVerdict(x, err)
		g.finishRefused(w, x, err)
		return
	}
	g.forwardResponse(w, x, response, lease)
}

// begin requests a permit from the guard where the request needs one.
func (g *Gateway) begin(x *exchange) *verdict.Error {
	if !x.needsPermit() {
		return nil
	}
	if g.options.Guard == nil {
		return verdict.New(g.refusalVerdict(x), verdict.CodeClaimUnavailable, "this entry instance accepts no requests with an idempotency key")
	}
	permit, err := g.options.Guard.Begin(x.ctx, x.submission, x.callerAttempt)
	if err != nil {
		return asError(err)
	}
	x.permit = permit
	return nil
}

// refusalVerdict returns the verdict of a request that is refused before the guard
// decided on it. For a keyed request the verdict covers the whole submission.
func (g *Gateway) refusalVerdict(x *exchange) verdict.Verdict {
	if x.submission.Value == "" {
		return verdict.NotRun
	}
	if refuser, ok := g.options.Guard.(submission.Refuser); ok {
		return refuser.Refusal(x.submission, x.callerAttempt)
	}
	return verdict.MayHaveRun
}

// widenVerdict replaces the verdict not-run of a keyed request without a permit,
// since an earlier copy may have run.
func (g *Gateway) widenVerdict(x *exchange, err *verdict.Error) {
	if err.Verdict == verdict.NotRun && x.permit == nil {
		err.Verdict = g.refusalVerdict(x)
	}
}

// finishPermit reports the outcome of a submission to the guard, if the request has a
// permit.
func (g *Gateway) finishPermit(x *exchange, outcome submission.Outcome) {
	if x.permit == nil {
		return
	}
	x.permit.Finish(outcome)
	x.permit = nil
}

func outcomeOfError(err *verdict.Error) submission.Outcome {
	return submission.Outcome{Verdict: err.Verdict, Status: err.Code.Status()}
}
