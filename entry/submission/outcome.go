package submission

import "github.com/tarragonreach/tarragonreach/api/verdict"

// Phase says where a submission stands.
type Phase uint8

// The phases of a submission.
const (
	// PhaseUnknown means that the entry instance that knew has been replaced.
	PhaseUnknown Phase = iota
	// PhaseInProgress means that it was begun and has not ended.
	PhaseInProgress
	// PhaseEnded means that it ran or may have run.
	PhaseEnded
	// PhaseReleased means that it ended without having run and may be begun again.
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

// phaseOf returns the phase that an outcome leads to.
func phaseOf(outcome Outcome) Phase {
	if outcome.Verdict == verdict.NotRun {
		return PhaseReleased
	}
	return PhaseEnded
}

// notRun is the outcome of a grant that was not used.
var notRun = Outcome{Verdict: verdict.NotRun}

// size returns about how many bytes the answer takes in memory.
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

// trimmed drops a body that is longer than limit.
func (o Outcome) trimmed(limit int) Outcome {
	if len(o.Body) > limit {
		o.Body = nil
	}
	return o
}
