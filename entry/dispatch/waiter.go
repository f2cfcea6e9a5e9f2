package dispatch

import (
	"time"

	"github.com/tarragonreach/tarragonreach/api/verdict"
	"github.com/tarragonreach/tarragonreach/policy/admission"
)

// Request is what dispatching needs to know of a request.
type Request struct {
	Class      string
	Priority   int
	Tenant     string
	Weight     int
	Deadline   time.Time
	Repeatable bool
	// Exclude is the executor that failed the request's last attempt; a request
	// with one is a retry.
	Exclude *Executor
}

// Waiter is a request that asks for a slot. It may be reused after it has been
// granted, refused or canceled.
type Waiter struct {
	Request Request
	// Deliver takes the outcome of a queued request, exactly once unless Cancel
	// returned true. It must not block.
	Deliver func(Grant)

	queued  admission.Waiter[*Waiter]
	isRetry bool // queued among the retries
}

// Grant is an executor with a slot taken, or the refusal.
type Grant struct {
	Executor *Executor
	Err      *verdict.Error // its verdict is always NotRun for this attempt
}

// refuse returns a refusal that advises when to come back.
func refuse(code verdict.Code, detail string, retryAfter time.Duration) *verdict.Error {
	err := verdict.New(verdict.NotRun, code, detail)
	err.RetryAfter = retryAfter
	return err
}
