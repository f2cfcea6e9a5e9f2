package backend

import (
	"context"
	"errors"
	"net/http"

	"github.com/tarragonreach/tarragonreach/api/verdict"
)

// connectError is the error of an attempt for which there was no connection.
func connectError(ctx context.Context, err error) *verdict.Error {
	if errors.Is(err, errPoolFull) {
		return verdict.New(verdict.NotRun, verdict.CodeBackendServerBusy, "all connections to the executor are in use")
	}
	return unsentError(ctx, err)
}

// unsentError is the error of an attempt of which no byte was written.
func unsentError(ctx context.Context, err error) *verdict.Error {
	e := verdict.New(verdict.NotRun, verdict.CodeConnectFailed, "no connection to the executor")
	e.Err = err
	return withContextCode(ctx, e)
}

// unwrittenError is the error of an exchange of which no byte was written. The
// client keeps a connection open only where it does not accept the request.
func unwrittenError(ctx context.Context, r *http.Request, isOpen bool, err error) *verdict.Error {
	if isOpen && ctx.Err() == nil {
		return badRequest(err)
	}
	return withStreamCode(r, unsentError(ctx, err))
}

// withStreamCode names the end of the caller's stream as the cause, where it was one.
func withStreamCode(r *http.Request, e *verdict.Error) *verdict.Error {
	if stream, ok := r.Body.(*streamedRequest); ok && stream.broken.Load() {
		e.Code, e.Detail = verdict.CodeCanceled, "the caller's body broke off"
	}
	return e
}

// lostError is the error of an attempt of which some bytes were written.
func lostError(ctx context.Context, c *connection, r *http.Request, err error) *verdict.Error {
	e := verdict.New(verdict.MayHaveRun, verdict.CodeConnectionLost, "the connection was lost before the answer")
	e.Err = err
	if c.halfOpen.Load() {
		e.Detail = "the answer is overdue and its connection was closed as silent"
		return e
	}
	return withStreamCode(r, withContextCode(ctx, e))
}

// withContextCode names the end of the context as the cause, where it was one.
func withContextCode(ctx context.Context, e *verdict.Error) *verdict.Error {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		e.Code, e.Detail = verdict.CodeTimeout, "the attempt's time is up"
	case ctx.Err() != nil:
		e.Code, e.Detail = verdict.CodeCanceled, "the caller went away"
	}
	return e
}
