package main

import (
	"errors"
	"net/http"
)

// Exit codes; they are stable.
const (
	exitFailed      = 1
	exitWrongInput  = 2
	exitConflict    = 3
	exitUnreachable = 4
)

// usageError is wrong input on the command line.
type usageError struct{ text string }

// Error returns what is wrong and what would be right.
func (e *usageError) Error() string { return e.text }

// unreachableError says that no entry instance answered.
type unreachableError struct{ err error }

// Error returns the cause.
func (e *unreachableError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *unreachableError) Unwrap() error { return e.err }

func exitCode(err error) int {
	var usage *usageError
	var unreachable *unreachableError
	var problem *problemError
	switch {
	case errors.As(err, &usage):
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
