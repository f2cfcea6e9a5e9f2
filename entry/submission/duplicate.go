package submission

import (
	"fmt"

	"github.com/tarragonreach/tarragonreach/api/verdict"
)

// DuplicateError is the cause of a refusal with verdict.CodeDuplicate. It says
// how the first copy of the submission stands.
type DuplicateError struct {
	Phase Phase
	// Outcome is the first one's outcome where Phase is PhaseEnded; its Body is
	// nil where the answer is no longer in memory.
	Outcome Outcome
}

// Error implements error.
func (e *DuplicateError) Error() string {
	if e.Phase == PhaseEnded && e.Outcome.Status != 0 {
		return fmt.Sprintf("the first copy ended with status %d", e.Outcome.Status)
	}
	return "the first copy's state is " + e.Phase.String()
}

// duplicate refuses a copy of a submission that was begun before.
func duplicate(seen view) *verdict.Error {
	v := verdict.MayHaveRun
	if seen.phase == PhaseEnded {
		v = seen.outcome.Verdict
	}
	first := &DuplicateError{Phase: seen.phase, Outcome: seen.outcome}
	e := verdict.New(v, verdict.CodeDuplicate, first.Error()+"; this copy was not sent on")
	e.Err = first
	return e
}
