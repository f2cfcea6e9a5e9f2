// Package submission runs each keyed, non-repeatable request at most once.
package submission

import (
	"context"
	"net/http"

	"github.com/tarragonreach/tarragonreach/api/verdict"
)

// Key names a submission of one tenant: a ticket, or a key of the caller's own.
type Key struct {
	Tenant string
	Value  string
}

// Outcome is how a submission ended at this entry instance.
type Outcome struct {
	Verdict verdict.Verdict
	Status  int
	Header  http.Header
	// Body is the answer where it was small enough to keep, else nil.
	Body []byte
}

// Permit is the right to send one submission to a backend server.
type Permit interface {
	// Finish records the outcome; it must be called exactly once.
	Finish(outcome Outcome)
}

// Guard decides whether a keyed request may be sent on.
type Guard interface {
	// Begin returns a Pass, or a *verdict.Error whose verdict speaks for the whole
	// submission. attempt is the caller's own count from 1; zero means not given.
	Begin(ctx context.Context, key Key, attempt int) (Permit, error)
	// NextTicket mints a ticket for the tenant.
	NextTicket(tenant string) string
}

// Refuser is a Guard that also gives the verdict of a refusal made before Begin.
type Refuser interface {
	// Refusal returns NotRun only where no earlier copy of the submission can have
	// run; attempt is as in Begin.
	Refusal(key Key, attempt int) verdict.Verdict
}
