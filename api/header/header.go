// Package header names the HTTP headers between callers, entry instances and
// backend servers.
package header

// Headers of the caller interface.
const (
	// Tenant names the tenant of a request.
	Tenant = "Tarragon-Tenant"
	// Class names the class of a request.
	Class = "Tarragon-Class"
	// Timeout is a Go duration; what is left of it is passed on at each hop.
	Timeout = "Tarragon-Timeout"
	// RequestID identifies one request; a backend server that echoes it must match.
	RequestID = "Tarragon-Request-Id"
	// IdempotencyKey names a submission: a ticket or a key of the caller's own.
	IdempotencyKey = "Idempotency-Key"
	// Attempt counts the caller's attempts at one submission, from 1.
	Attempt = "Tarragon-Attempt"
	// Verdict is on every answer: ran, not-run or may-have-run.
	Verdict = "Tarragon-Verdict"
	// NextTicket offers the caller a fresh ticket.
	NextTicket = "Tarragon-Next-Ticket"
	// RetryAfter tells the caller when to come back, in seconds.
	RetryAfter = "Retry-After"
)
