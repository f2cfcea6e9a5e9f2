// Package submission ensures that each non-repeatable request with an idempotency
// key runs at most once.
//
// The key is either a ticket or chosen by the caller. The entry instance that minted a
// ticket decides about it from its memory; a key chosen by the caller needs an exclusive
// claim in the platform's store. Either yields a grant, the right to send the submission
// once.
package submission

import (
	"context"
	"net/http"

	"github.com/tarragonreach/tarragonreach/api/verdict"
)

// Key identifies a submission of one tenant. Value is a ticket, or an idempotency
// key that the caller chose.
type Key struct {
	Tenant string
	Value  string
}

// Outcome is the result of a submission at this entry instance.
type Outcome struct {
	Verdict verdict.Verdict
	Status  int
	Header  http.Header
	// Body is the response body, or nil if it was too large to keep.
	Body []byte
}

// Permit is the right to send one submission to a backend server.
type Permit interface {
	// Finish records the outcome; it must be called exactly once.
	Finish(outcome Outcome)
}

// Guard decides whether a request with a key may be forwarded.
type Guard interface {
	// Begin returns a Permit, or a *verdict.Error whose verdict applies to the whole
	// submission, earlier attempts included. attempt is the caller's attempt count
	// from 1; zero means not given.
	Begin(ctx context.Context, key Key, attempt int) (Permit, error)
	// NextTicket mints a ticket for the tenant.
	NextTicket(tenant string) string
}

// Refuser is implemented by a Guard that also gives the verdict of a refusal made
// before Begin.
type Refuser interface {
	// Refusal returns NotRun only if no earlier copy of the submission can have run;
	// attempt is as in Begin.
	Refusal(key Key, attempt int) verdict.Verdict
}
