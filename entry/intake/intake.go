// Package intake is the callers' API: it accepts jobs, returns their states and cancels
// them.
//
// A job is accepted only once it is stored. Where the operator has configured tenants and late jobs are
// rejected, a short job that would start too late is not accepted. A response of 429 or 503 to a submission
// guarantees that the job is not stored and never will be. If the outcome is unknown, the
// response is 504.
package intake

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/uber-go/tally/v4"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/job"
	"github.com/tarragonreach/tarragonreach/entry/operatorconfig"
	"github.com/tarragonreach/tarragonreach/platform/kv"
	"github.com/tarragonreach/tarragonreach/platform/submission"
)

// Store is the part of the store that the intake uses.
type Store interface {
	Get(ctx context.Context, key string) (kv.Item, error)
	// GetStale is like Get, but its result may be seconds old. It does not count toward the store's rate.
	GetStale(ctx context.Context, key string) (kv.Item, error)
	// RateLimited reports whether the store has lately refused reads since its rate is exceeded.
	RateLimited() bool
	Txn(ctx context.Context, t kv.Txn) (kv.TxnResult, error)
	// Unavailable reports whether the store has not responded to this instance for a while,
	// and since when.
	Unavailable() (since time.Time, unavailable bool)
	// Responds reports whether the store responds to this instance.
	Responds(ctx context.Context) bool
	// Timeout bounds an attempt of a call, counted from 1.
	Timeout(attempt int) time.Duration
}

// Configuration is the operator's configuration as this instance knows it.
type Configuration interface {
	// Knowledge returns the present knowledge.
	Knowledge() operatorconfig.Knowledge
	// AwaitRecent waits until it is recent or ctx ends, and returns the knowledge then.
	AwaitRecent(ctx context.Context) operatorconfig.Knowledge
}

// Intake handles requests of callers.
type Intake struct {
	store   Store
	config  Configuration
	logger  *slog.Logger
	scope   tally.Scope
	leaving func() bool
	// admissions is nil if no job is rejected for lack of capacity.
	admissions Admissions
	summary    summary
	peers      Peers         // nil if requests are not passed on
	reads      chan struct{} // holds an element for each read in progress
	// waitedInVainAt is when a request last waited in vain for a recent configuration; nil before the first.
	waitedInVainAt atomic.Pointer[time.Time]
	counts         sharedCounts
	withdrawals    withdrawalLimits
}

// New returns an intake. While leaving reports true, connections are closed after the
// response.
func New(store Store, config Configuration, leaving func() bool, logger *slog.Logger, scope tally.Scope) *Intake {
	return &Intake{
		store: store, config: config, logger: logger, scope: scope, leaving: leaving,
		reads: make(chan struct{}, maxConcurrentReads), counts: sharedCounts{byService: map[cluster.Service]*countRead{}},
	}
}

const (
	// defaultDeadline is how long a caller without a deadline header is assumed to wait.
	defaultDeadline = 3 * time.Second
	// deadlineMargin is how long before the caller's deadline the response is sent.
	deadlineMargin = 250 * time.Millisecond
	// maxDeadline bounds how long a request is handled, whatever deadline its caller names.
	maxDeadline = 1 * time.Minute
	// defaultRetryAfter is the Retry-After of responses of 503 while the store responds.
	defaultRetryAfter = 1 * time.Second
	// noRetryAfter stands for a response without Retry-After.
	noRetryAfter = -1 * time.Second
	// maxConfigWait bounds how long a request waits for a recent configuration.
	maxConfigWait = 600 * time.Millisecond
	// vainWaitPause is how long after a wait in vain reads don't wait.
	vainWaitPause = 2 * time.Second
	// defaultMaxBody bounds bodies, in bytes, if the configuration does not.
	defaultMaxBody = 256 << 10
)

// Handler returns the handler of the callers' listener.
func (i *Intake) Handler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	engine.NoRoute(i.serve)
	return engine
}

// response is what a caller receives.
type response struct {
	status     int
	body       any
	retryAfter time.Duration
	reason     string // for the log
	refusal    string // why the caller's identity does not allow the request; empty otherwise
	outcome    outcome
}

// record describes a request that was handled, for the log and the metrics.
type record struct {
	method    string
	caller    caller
	job       job.ID
	response  response
	took      time.Duration
	knowledge operatorconfig.Knowledge // by which it was decided
	deadline  time.Duration            // from its arrival to when the response was due
	calls     storeCalls
	// retryAfter is the Retry-After of the response; negative if it has none.
	retryAfter time.Duration
	forCount   bool // it asks for the number of waiting jobs
	relayed    bool // another instance has answered it
}

func (i *Intake) serve(c *gin.Context) {
	start := time.Now()
	c.Request = withArrival(c.Request, start)
	r := record{method: c.Request.Method}
	resp := i.dispatch(c, &r)
	if i.leaving() {
		c.Header("Connection", "close")
	}
	r.retryAfter = wholeSeconds(resp.retryAfter)
	if resp.retryAfter > 0 && resp.outcome.mayDifferElsewhere() && i.assessment().RetryAtOnce {
		r.retryAfter = 0
		c.Header("Connection", "close") // on this one the next attempt would come here again
	}
	if r.retryAfter >= 0 {
		c.Header("Retry-After", strconv.Itoa(int(r.retryAfter/time.Second)))
	}
	if resp.status == http.StatusUnauthorized {
		c.Header("WWW-Authenticate", submission.AuthorizationScheme)
	}
	if resp.body == nil {
		c.Status(resp.status)
		c.Writer.WriteHeaderNow()
	} else {
		c.JSON(resp.status, resp.body)
	}
	r.response, r.took = resp, time.Since(start)
	i.recordRequest(r)
}

// wholeSeconds rounds a Retry-After up to whole seconds. It returns noRetryAfter for zero.
func wholeSeconds(d time.Duration) time.Duration {
	if d <= 0 {
		return noRetryAfter
	}
	return (d + time.Second - 1).Truncate(time.Second)
}

func (i *Intake) recordRequest(r record) {
	queue := r.caller.queue.Name
	ended := r.response.endedAs().String()
	scope := i.scope.Tagged(map[string]string{"queue": queue, "method": methodTag(r.method), "status": strconv.Itoa(r.response.status), "outcome": ended})
	scope.Histogram("request_seconds", tally.DefaultBuckets).RecordDuration(r.took)
	i.recordTenant(r)
	i.summary.add(r)
	if r.method == http.MethodGet && r.response.status == http.StatusOK {
		return // not logged: a successful read changes nothing
	}
	var version int64
	if r.knowledge.Config != nil {
		version = r.knowledge.Config.Version
	}
	attributes := []any{"method", r.method, "job", string(r.job), "queue", queue, "status", r.response.status,
		"outcome", ended, "reason", r.response.reason, "ms", r.took.Milliseconds(), "config", version, "config_age_ms", r.knowledge.Age.Milliseconds(),
		"deadline_ms", r.deadline.Milliseconds(), "retry_after_s", int(r.retryAfter / time.Second), "relayed", r.relayed, "store_calls", r.calls.attempts, "store_rate_limited", r.calls.rateLimited, "store_failed", r.calls.failed,
		"stale_reads", r.calls.stale}
	if r.caller.tenancy {
		attributes = append(attributes, "tenant", string(r.caller.tenant))
	}
	i.logger.Info("request", attributes...)
}

// methodTag returns the method for the metrics, in which callers must not create values.
func methodTag(method string) string {
	switch method {
	case http.MethodGet, http.MethodPost, http.MethodDelete:
		return method
	default:
		return "other"
	}
}

// dispatch handles a request within its deadline.
func (i *Intake) dispatch(c *gin.Context, r *record) response {
	r.deadline = deadlineOf(c.Request)
	ctx, cancel := context.WithTimeout(withStoreCalls(c.Request.Context(), &r.calls), r.deadline)
	defer cancel()
	return i.answerOrRelay(ctx, c, r)
}

// handle handles a request by what this instance and the store know, and records by which knowledge, whose it
// is and which job it is about.
func (i *Intake) handle(ctx context.Context, c *gin.Context, r *record) response {
	k := i.knowledge(ctx, c.Request)
	r.knowledge = k
	who, refusal := i.resolve(k, c.Request)
	r.caller = who
	rest := strings.TrimPrefix(c.Request.URL.Path, who.queue.Prefix)
	id, err := job.ParseID(rest)
	if err == nil {
		r.job = id // also for the log of a refusal
	}
	if refusal != nil {
		return *refusal
	}
	if rest == "" && c.Request.Method == http.MethodGet {
		r.forCount = true
		return i.waitingCount(ctx, who.queue)
	}
	if err != nil {
		return response{status: http.StatusNotFound, reason: "no such job ID", outcome: outcomeNoQueue} // without its text, which may hold anything
	}
	return i.dispatchJob(ctx, c, k.Config.Limits, who, id)
}

// knowledge returns the knowledge to decide a request by. A recent one is waited for only while the
// store responds, and not for a request that another instance has passed on: that one can ask others. Reads
// don't repeat a wait that has just been in vain, since their callers may do better elsewhere.
func (i *Intake) knowledge(ctx context.Context, r *http.Request) operatorconfig.Knowledge {
	k := i.config.Knowledge()
	if k.Recent || k.Config == nil || isRelayed(r) {
		return k
	}
	if i.checkStore() != nil {
		return k
	}
	if last := i.waitedInVainAt.Load(); r.Method == http.MethodGet && last != nil && time.Since(*last) < vainWaitPause {
		return k
	}
	ctx, cancel := context.WithTimeout(ctx, maxConfigWait)
	defer cancel()
	k = i.config.AwaitRecent(ctx)
	if now := time.Now(); !k.Recent {
		i.waitedInVainAt.Store(&now)
	}
	return k
}

func (i *Intake) dispatchJob(ctx context.Context, c *gin.Context, limits cluster.RequestLimits, who caller, id job.ID) response {
	switch c.Request.Method {
	case http.MethodPost:
		definition, failure := readDefinition(c, limits.MaxBodyBytes)
		if failure != nil {
			return *failure
		}
		if refusal := i.confirmIdentity(ctx, c, who); refusal != nil {
			return *refusal
		}
		return i.submit(ctx, who, id, definition)
	case http.MethodGet:
		return i.jobState(ctx, who, id)
	case http.MethodDelete:
		return i.cancel(ctx, who, id)
	default:
		return response{status: http.StatusMethodNotAllowed, reason: "method", outcome: outcomeNoQueue}
	}
}

// confirmIdentity identifies the caller of a submission again once its body was read, which may have
// taken long: its key may have been removed meanwhile.
func (i *Intake) confirmIdentity(ctx context.Context, c *gin.Context, who caller) *response {
	if !who.tenancy {
		return nil
	}
	again, refusal := i.resolve(i.knowledge(ctx, c.Request), c.Request)
	if refusal == nil && (again.tenant != who.tenant || again.queue.Name != who.queue.Name) {
		return &response{status: http.StatusServiceUnavailable, retryAfter: defaultRetryAfter, reason: "the configuration has changed", outcome: outcomeChanging}
	}
	return refusal
}

func readDefinition(c *gin.Context, limit int64) (job.Definition, *response) {
	if limit <= 0 {
		limit = defaultMaxBody
	}
	data, err := io.ReadAll(http.MaxBytesReader(c.Writer, c.Request.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return job.Definition{}, &response{status: http.StatusRequestEntityTooLarge, reason: "body too large"}
	}
	if err != nil {
		return job.Definition{}, &response{status: http.StatusBadRequest, reason: "body broke off"}
	}
	definition, err := submission.Decode(data)
	if err != nil {
		return job.Definition{}, &response{status: http.StatusBadRequest, reason: err.Error(), body: gin.H{"error": err.Error()}}
	}
	return definition, nil
}

// hostOf returns the host of the request without its port.
func hostOf(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.Host)
	if err != nil {
		return r.Host // it has no port
	}
	return host
}

// deadlineOf returns how long the response may take: what the caller waits, less a margin. Without a
// header of a positive number, and with a malformed one, that is defaultDeadline.
func deadlineOf(r *http.Request) time.Duration {
	ms, err := strconv.ParseFloat(r.Header.Get(submission.HeaderDeadline), 64)
	known := err == nil || errors.Is(err, strconv.ErrRange) // then ms is infinite
	wait := defaultDeadline
	switch {
	case !known || !(ms > 0): // also not a number
	case ms >= float64(maxDeadline.Milliseconds()): // compared first: beyond int64, conversions differ by machine
		wait = maxDeadline
	default:
		wait = time.Duration(ms * float64(time.Millisecond))
	}
	return max(wait-deadlineMargin, wait/2)
}
