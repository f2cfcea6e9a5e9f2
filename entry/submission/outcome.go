package submission

import "github.com/tarragonreach/tarragonreach/api/verdict"

// Phase is the state of a submission.
type Phase uint8

// The phases of a submission.
const (
	// PhaseUnknown means that there is no record, or that the entry instance with the
	// record was replaced or does not respond.
	PhaseUnknown Phase = iota
	// PhaseInProgress means that the submission was begun and has not ended.
	PhaseInProgress
	// PhaseEnded means that it ran or may have run.
	PhaseEnded
	// PhaseReleased means that it ended without having run and may begin again.
	PhaseReleased
)

// String returns the phase as callers see it.
func (p Phase) String() string {
	switch p {
	case PhaseInProgress:
		return "in progress"
	case PhaseEnded:
		return "ended"
	case PhaseReleased:
		return "not run"
	default:
		return "unknown"
	}
}

// phaseOf returns the phase after an outcome.
func phaseOf(outcome Outcome) Phase {
	if outcome.Verdict == verdict.NotRun {
		return PhaseReleased
	}
	return PhaseEnded
}

// notRun is the outcome of a grant that was not used.
var outcomeNotRun = Outcome{Verdict: verdict.NotRun}

// size returns the approximate number of bytes of the response in memory.
func (o Outcome) size() int64 {
	n := len(o.Body)
	for name, values := range o.Header {
		n += len(name)
		for _, value := range values {
			n += len(value)
		}
	}
	return int64(n)
}

// trimmed returns the outcome without its body if that is longer than limit bytes.
func (o Outcome) trimmed(limit int) Outcome {
	if len(o.Body) > limit {
		o.Body = nil
	}
	return o
}
