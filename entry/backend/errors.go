package backend

import (
	"context"
	"errors"
	"net/http"

	"github.com/tarragonreach/tarragonreach/api/verdict"
)

// acquireError maps an error of pool.get to the error of the attempt.
func acquireError(ctx context.Context, err error) *verdict.Error {
	if errors.Is(err, errPoolFull) {
		return verdict.New(verdict.NotRun, verdict.CodeBackendServerBusy, "all connections to the executor are in use")
	}
	return connectFailedError(ctx, err)
}

// connectFailedError returns the error of an attempt that had no usable connection.
func connectFailedError(ctx context.Context, err error) *verdict.Error {
	e := verdict.New(verdict.NotRun, verdict.CodeConnectFailed, "no connection to the executor")
	e.Err = err
	return withContextCode(ctx, e)
}

// unwrittenError returns the error of an exchange of which no byte was written. The
// client keeps the connection open only if it rejects the request as invalid.
func unwrittenError(ctx context.Context, r *http.Request, isOpen bool, err error) *verdict.Error {
	if isOpen && ctx.Err() == nil {
		return badRequest(err)
	}
	return withStreamCode(r, connectFailedError(ctx, err))
}

// withStreamCode changes the code to CodeCanceled if the caller's body stream failed.
func withStreamCode(r *http.Request, e *verdict.Error) *verdict.Error {
	if stream, ok := r.Body.(*streamedRequestBody); ok && stream.broken.Load() {
		e.Code, e.Detail = verdict.CodeCanceled, "the caller's request body ended early"
	}
	return e
}

// lostError returns the error of an attempt of which some bytes were written.
func lostError(ctx context.Context, c *connection, r *http.Request, err error) *verdict.Error {
	e := verdict.New(verdict.MayHaveRun, verdict.CodeConnectionLost, "the connection was lost before the response")
	e.Err = err
	if c.halfOpen.Load() {
		e.Detail = "the response is overdue and its connection was closed as half-open"
		return e
	}
	return withStreamCode(r, withContextCode(ctx, e))
}

// withContextCode changes the code to the reason why the context ended, if it did.
func withContextCode(ctx context.Context, e *verdict.Error) *verdict.Error {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		e.Code, e.Detail = verdict.CodeTimeout, "the attempt timed out"
	case ctx.Err() != nil:
		e.Code, e.Detail = verdict.CodeCanceled, "the caller canceled the request"
	}
	return e
}
