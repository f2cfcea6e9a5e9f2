package main

import (
	"errors"
	"net/http"

	"github.com/tarragonreach/tarragonreach/cmd/usage"
)

// Exit codes; scripts depend on them, so they don't change.
const (
	exitFailed      = usage.ExitFailed
	exitWrongInput  = usage.ExitWrongInput
	exitConflict    = 3
	exitUnreachable = 4
)

// unreachableError means that the entry instance sent no complete response.
type unreachableError struct{ err error }

// Error returns the cause.
func (e *unreachableError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *unreachableError) Unwrap() error { return e.err }

func exitCode(err error) int {
	var wrong *usage.Error
	var unreachable *unreachableError
	var problem *problemError
	switch {
	case errors.As(err, &wrong):
		return exitWrongInput
	case errors.As(err, &unreachable):
		return exitUnreachable
	case errors.As(err, &problem):
		return problemExitCode(problem.Status)
	default:
		return exitFailed
	}
}

func problemExitCode(status int) int {
	switch status {
	case http.StatusConflict:
		return exitConflict
	case http.StatusBadRequest, http.StatusUnprocessableEntity, http.StatusNotFound, http.StatusRequestEntityTooLarge:
		return exitWrongInput
	case http.StatusServiceUnavailable:
		return exitUnreachable
	default:
		return exitFailed
	}
}
