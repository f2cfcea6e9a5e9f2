package intake

import (
	"context"
	"errors"
	"net/http"

	"github.com/tarragonreach/tarragonreach/api/verdict"
	"github.com/tarragonreach/tarragonreach/platform/call"
	"github.com/tarragonreach/tarragonreach/platform/kv"
)

// outcome is how a request ended. Metrics and log lines carry its name, which never depends on what
// a caller or the store sends.
type outcome uint8

const (
	outcomeNone               outcome = iota // not set: derived from the status
	outcomeAnswered                          // success
	outcomeNoConfig                          // no configuration was read yet
	outcomeConfigNotRecent                   // the configuration is outdated
	outcomeNoQueue                           // no such queue, job ID or method
	outcomeKeyRefused                        // no key, or one that no tenant has
	outcomeOtherTenant                       // the job belongs to another tenant
	outcomeNotFound                          // no such job
	outcomeRejected                          // the job was rejected for lack of capacity
	outcomeStoreRate                         // the store refused the call: its rate is exceeded
	outcomeStoreRefused                      // the store refused the call for another reason
	outcomeStoreNoResponse                   // the store did not respond, or its response can't be used
	outcomeStoreUnavailable                  // no call was made: the store has not responded for a while
	outcomeUnreadable                        // what is stored can't be read
	outcomeDeadline                          // the caller's deadline passed before the store responded
	outcomeCallerGone                        // the caller closed its connection
	outcomeUnknown                           // a write may have taken effect
	outcomeChanging                          // the job or the configuration keeps changing
	outcomeTooManyWithdrawals                // the tenant cancels too many jobs that are not stored
	outcomeInvalid                           // the request is malformed
	outcomeInternal                          // a fault of this instance
	outcomeCount                             // number of outcomes
)

var outcomeNames = [outcomeCount]string{
	outcomeNone: "none", outcomeAnswered: "answered", outcomeNoConfig: "no-config", outcomeConfigNotRecent: "config-not-recent",
	outcomeNoQueue: "no-queue", outcomeKeyRefused: "key-refused", outcomeOtherTenant: "other-tenant", outcomeNotFound: "not-found",
	outcomeRejected: "rejected", outcomeStoreRate: "store-rate-limited", outcomeStoreRefused: "store-refused",
	outcomeStoreNoResponse: "store-no-response", outcomeStoreUnavailable: "store-unavailable", outcomeUnreadable: "unreadable",
	outcomeDeadline: "deadline", outcomeCallerGone: "caller-gone", outcomeUnknown: "unknown", outcomeChanging: "changing",
	outcomeTooManyWithdrawals: "too-many-withdrawals", outcomeInvalid: "invalid", outcomeInternal: "internal",
}

// String returns the name in metrics and log lines.
func (o outcome) String() string { return outcomeNames[min(o, outcomeCount-1)] }

// endedAs returns how the request ended, by the status where the response does not say.
func (r response) endedAs() outcome {
	switch {
	case r.outcome != outcomeNone:
		return r.outcome
	case r.status < http.StatusMultipleChoices:
		return outcomeAnswered
	case r.status >= http.StatusInternalServerError:
		return outcomeInternal
	default:
		return outcomeInvalid
	}
}

// Errors of calls that ended before the store responded.
var (
	errDeadline   = errors.New("the caller's deadline has passed")
	errCallerGone = errors.New("the caller has closed its connection")
)

// contextError returns the error of a request whose context has ended.
func contextError(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.Canceled) {
		return errCallerGone
	}
	return errDeadline
}

// storeOutcome returns the outcome of a request that failed since a call to the store did.
func storeOutcome(err error) outcome {
	var failed *verdict.Error
	switch {
	case errors.Is(err, errCallerGone):
		return outcomeCallerGone
	case errors.Is(err, errDeadline):
		return outcomeDeadline
	case errors.Is(err, kv.ErrRateLimited):
		return outcomeStoreRate
	case !errors.As(err, &failed):
		return outcomeStoreNoResponse
	case failed.Code == codeStoreUnavailable:
		return outcomeStoreUnavailable
	case failed.Code == call.CodeRefused:
		return outcomeStoreRefused
	default:
		return outcomeStoreNoResponse
	}
}

// storeCalls counts the calls to the store that one request made.
type storeCalls struct {
	attempts    int
	rateLimited int // attempts that the store refused since its rate is exceeded
	failed      int // other attempts that the store refused or did not respond to
	stale       int // attempts of stale reads
}

// storeCallsKey is the key of the *storeCalls of a request, in its context.
type storeCallsKey struct{}

func withStoreCalls(ctx context.Context, calls *storeCalls) context.Context {
	return context.WithValue(ctx, storeCallsKey{}, calls)
}

// Names of calls to the store in the metrics.
const (
	callGet      = "get"
	callGetStale = "get-stale"
	callTxn      = "txn"
)

// countStoreCall counts a call to the store that ended with err for the request of ctx, and in the
// metrics by its result.
func (i *Intake) countStoreCall(ctx context.Context, name string, err error) {
	result := outcomeAnswered
	if err != nil && !errors.Is(err, kv.ErrNotFound) && !errors.Is(err, kv.ErrLeaseLost) {
		result = storeOutcome(err)
	}
	i.scope.Tagged(map[string]string{"call": name, "result": result.String()}).Counter("store_calls").Inc(1)
	calls, known := ctx.Value(storeCallsKey{}).(*storeCalls)
	if !known {
		return
	}
	calls.attempts++
	if name == callGetStale {
		calls.stale++
	}
	switch result {
	case outcomeAnswered:
	case outcomeStoreRate:
		calls.rateLimited++
	default:
		calls.failed++
	}
}
