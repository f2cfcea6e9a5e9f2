// Package verdict holds the errors that state whether a request may have run.
//
// Every error on the path of a request carries a Verdict. An error without one counts
// as MayHaveRun, which is the only safe assumption.
package verdict

import (
	"errors"
	"fmt"
	"time"
)

// Verdict is whether a request has run on a backend server.
type Verdict uint8

const (
	// MayHaveRun means that the outcome is unknown: the request ran, is running or will
	// never run.
	MayHaveRun Verdict = iota
	// NotRun means that the request did not run and never will run.
	NotRun
	// Ran means that a backend server ran the request and responded.
	Ran
)

// String returns the value of the Tarragon-Verdict header.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not-run"
	case Ran:
		return "ran"
	default:
		return "may-have-run"
	}
}

// Parse parses the value of a Tarragon-Verdict header.
func Parse(s string) (Verdict, error) {
	for _, v := range []Verdict{MayHaveRun, NotRun, Ran} {
		if v.String() == s {
			return v, nil
		}
	}
	return MayHaveRun, fmt.Errorf("verdict %q: want ran, not-run or may-have-run", s)
}

// Error is an error on the path of a request.
type Error struct {
	// Verdict applies to the whole submission, including all earlier attempts.
	Verdict Verdict
	// Code is the stable reason that callers and metrics see.
	Code Code
	// Detail is one sentence for human readers.
	Detail string
	// RetryAfter is the time after which the caller should retry; zero if unknown.
	RetryAfter time.Duration
	// Err is the cause, if any.
	Err error
}

// New returns an Error without a cause.
func New(v Verdict, code Code, detail string) *Error {
	return &Error{Verdict: v, Code: code, Detail: detail}
}

// Error formats the code, the detail, the verdict and the cause.
func (e *Error) Error() string {
	text := fmt.Sprintf("%s (%s): %s", e.Code, e.Verdict, e.Detail)
	if e.Err == nil {
		return text
	}
	return fmt.Sprintf("%s: %v", text, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Of returns the verdict that err carries. A nil error means Ran; an error
// without a verdict means MayHaveRun.
func Of(err error) Verdict {
	if err == nil {
		return Ran
	}
	var e *Error
	if errors.As(err, &e) {
		return e.Verdict
	}
	return MayHaveRun
}

// CodeOf returns the reason code that err carries, or CodeInternal.
func CodeOf(err error) Code {
	var e *Error
	if errors.As(err, &e) {
		return e.Code
	}
	return CodeInternal
}
