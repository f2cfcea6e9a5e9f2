package shard

import (
	"time"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/execution"
)

// GiveUpReason is why an owner holds that a run is over, or never began, without having read its
// completion.
type GiveUpReason string

// The reasons.
const (
	GivenUpUnsent  GiveUpReason = "not-sent"       // its start was never sent
	GivenUpRefused GiveUpReason = "refused"        // the executor refused its start
	GivenUpAbsent  GiveUpReason = "not-listed"     // the executor lists it neither as running nor as ended
	GivenUpEnded   GiveUpReason = "executor-ended" // its executor has ended
	GivenUpExpired GiveUpReason = "lease-expired"  // its executor does not respond, and all leases there have expired
	// GivenUpPrepared: an earlier owner prepared its start, and the executor does not list it.
	GivenUpPrepared GiveUpReason = "prepared-only"
)

// GiveUpNote describes a run that was given up, with what is known of its executor's completions.
type GiveUpNote struct {
	execution.RunRef
	Executor cluster.ExecutorID
	Reason   GiveUpReason
	Applied  int64 // number of the last completion that was applied
	Acked    int64 // number up to which completions were acknowledged to the executor
	// LastResponse is when the executor last responded to a poll of this owner; zero if it has not.
	LastResponse time.Time
	FailedCalls  int // calls to the executor that failed in a row
}

// LateCompletionNote describes a completion of a run that was given up, and did its task's work.
type LateCompletionNote struct {
	execution.RunRef
	Executor cluster.ExecutorID
	Restarts int // runs of the task that were decided since
}

// maxGiveUpNotes bounds the notes between two calls of TakeGiveUpNotes; further ones are dropped.
const maxGiveUpNotes = 64

// TakeGiveUpNotes returns the notes since the last call.
func (s *Shard) TakeGiveUpNotes() []GiveUpNote {
	notes := s.givenUp
	s.givenUp = nil
	return notes
}

func (s *Shard) noteGivenUp(r *run, reason GiveUpReason) {
	if len(s.givenUp) == maxGiveUpNotes {
		return
	}
	e := r.executor
	s.givenUp = append(s.givenUp, GiveUpNote{
		RunRef: r.ref(), Executor: e.ID, Reason: reason, Applied: e.appliedSequence, Acked: e.ackedSequence,
		LastResponse: e.lastResponse, FailedCalls: e.failedCalls,
	})
}

// TakeLateCompletionNotes returns the notes since the last call.
func (s *Shard) TakeLateCompletionNotes() []LateCompletionNote {
	notes := s.lateCompletions
	s.lateCompletions = nil
	return notes
}

func (s *Shard) noteLateCompletion(e *executorState, ref execution.RunRef, t *task) {
	if len(s.lateCompletions) < maxGiveUpNotes {
		s.lateCompletions = append(s.lateCompletions, LateCompletionNote{RunRef: ref, Executor: e.ID, Restarts: t.lastRun - ref.Run})
	}
}
