package dispatch

import (
	"time"

	"github.com/tarragonreach/tarragonreach/api/verdict"
	"github.com/tarragonreach/tarragonreach/policy/admission"
)

// Request holds the properties of a request that dispatching uses.
type Request struct {
	Class      string
	Priority   int
	Tenant     string
	Weight     int
	Deadline   time.Time
	Repeatable bool
	// Exclude is the executor at which the request's last attempt failed. A request with
	// Exclude is a retry.
	Exclude *Executor
}

// Waiter is a request for a slot. It may be reused after it has been granted, refused or
// canceled.
type Waiter struct {
	Request Request
	// Deliver is called with the outcome of a queued request, exactly once unless Cancel
	// returned true. It must not block.
	Deliver func(Grant)

	queued  admission.Waiter[*Waiter]
	isRetry bool // queued among the retries
}

// Grant is an executor of which a slot has been taken, or a refusal.
type Grant struct {
	Executor *Executor
	Err      *verdict.Error // its verdict is NotRun, since this attempt was not sent
}

// refuse returns a refusal that suggests when to retry.
func refuse(code verdict.Code, detail string, retryAfter time.Duration) *verdict.Error {
	err := verdict.New(verdict.NotRun, code, detail)
	err.RetryAfter = retryAfter
	return err
}
