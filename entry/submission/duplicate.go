package submission

import (
	"fmt"

	"github.com/tarragonreach/tarragonreach/api/verdict"
)

// DuplicateError is the cause of a refusal with verdict.CodeDuplicate. It carries
// the state of the first copy of the submission.
type DuplicateError struct {
	Phase Phase
	// Outcome is the first copy's outcome if Phase is PhaseEnded; its Body is nil if
	// the response is no longer in memory.
	Outcome Outcome
}

// Error implements error.
func (e *DuplicateError) Error() string {
	if e.Phase == PhaseEnded && e.Outcome.Status != 0 {
		return fmt.Sprintf("the first copy ended with status %d", e.Outcome.Status)
	}
	return "the first copy's state is " + e.Phase.String()
}

// duplicate returns the refusal of a copy of a submission that was begun before.
func duplicate(seen view) *verdict.Error {
	v := verdict.MayHaveRun
	if seen.phase == PhaseEnded {
		v = seen.outcome.Verdict
	}
	first := &DuplicateError{Phase: seen.phase, Outcome: seen.outcome}
	e := verdict.New(v, verdict.CodeDuplicate, first.Error()+"; this copy was not forwarded")
	e.Err = first
	return e
}
