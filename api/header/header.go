// Package header holds the names of the HTTP headers between callers, entry instances
// and backend servers.
package header

// Headers of the caller interface.
const (
	// Tenant names the tenant of a request.
	Tenant = "Tarragon-Tenant"
	// Class names the class of a request.
	Class = "Tarragon-Class"
	// Timeout is a Go duration; each hop passes on the time that remains.
	Timeout = "Tarragon-Timeout"
	// RequestID identifies one request; if a backend server echoes it, it must match.
	RequestID = "Tarragon-Request-Id"
	// IdempotencyKey identifies a submission: a ticket or the caller's own key.
	IdempotencyKey = "Idempotency-Key"
	// Attempt counts the caller's attempts at one submission, from 1.
	Attempt = "Tarragon-Attempt"
	// Verdict is set on every response: ran, not-run or may-have-run.
	Verdict = "Tarragon-Verdict"
	// NextTicket offers the caller a fresh ticket.
	NextTicket = "Tarragon-Next-Ticket"
	// RetryAfter is the time in seconds after which the caller should retry.
	RetryAfter = "Retry-After"
)
