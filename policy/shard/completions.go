package shard

import (
	"time"

	"github.com/tarragonreach/tarragonreach/api/execution"
)

// applyCompletion applies one completion.
func (s *Shard) applyCompletion(e *executorState, row execution.Ended, now time.Time) {
	t := s.taskOf(row.Task)
	if t == nil || t.current == nil || t.current.number != row.Run || t.current.executor != e {
		s.applyLateCompletion(e, row, t)
		return
	}
	r := t.current
	e.removeRun(r)
	t.current = nil
	j := t.step.job
	j.markChanged()
	t.clearOfCrashes() // the executor outlived the run
	if row.Checkpoint != "" && t.step.def.Checkpointing {
		t.setCheckpoint(row.Checkpoint)
	}
	switch row.Reason {
	case execution.EndedDone:
		s.noteCompletion(r, now)
		s.learnRunTime(r, now)
		s.applyDone(e, t)
	case execution.EndedFailed:
		s.applyFailed(e, t, now)
	}
	j.finalise()
	s.dirty = true
	e.pending = append(e.pending, pendingCompletion{sequence: row.Sequence, job: j, version: j.version})
}

// applyLateCompletion applies the completion of a run that was given up. If its work
// was done nevertheless, its task needs no further run.
func (s *Shard) applyLateCompletion(e *executorState, row execution.Ended, t *task) {
	if t != nil && row.Reason == execution.EndedDone && !t.done && !t.step.def.LongRunning && !t.step.def.Gang {
		s.noteLateCompletion(e, row.RunRef, t)
		t.step.job.markChanged()
		t.step.job.finishTask(t)
		s.stop(t.current, StopDoneBefore)
		t.step.job.finalise()
		s.dirty = true
	}
	pending := pendingCompletion{sequence: row.Sequence}
	if j := s.jobs[row.Task.Job]; j != nil {
		// It may have been applied before, and be listed again before that is durable.
		pending.job, pending.version = j, j.version
	}
	e.pending = append(e.pending, pending)
}

// setCheckpoint stores a checkpoint; that of a gang member applies to all members.
func (t *task) setCheckpoint(value string) {
	t.checkpoint = value
	if !t.step.def.Gang {
		return
	}
	for _, member := range t.step.tasks {
		member.checkpoint = value
	}
}

func (s *Shard) applyDone(e *executorState, t *task) {
	if t.step.def.LongRunning {
		return
	}
	e.health.recordSuccess()
	j := t.step.job
	if !t.step.def.Gang {
		j.finishTask(t)
		return
	}
	for _, member := range t.step.tasks {
		j.finishTask(member)
	}
}

func (s *Shard) applyFailed(e *executorState, t *task, now time.Time) {
	if t.done {
		return // completed by an earlier run
	}
	t.delayRetry(now.Add(retryAfterFailure))
	t.avoid = e.Incarnation()
	if t.step.def.LongRunning {
		t.step.noteFailure(e.Incarnation(), now)
		return
	}
	e.health.recordFailure(t.id.Job, now)
	t.failures++
	failures := t.failures
	if t.step.def.Gang {
		t.step.failures++
		failures = t.step.failures
	}
	j := t.step.job
	if failures >= j.Queue.MaxAttempts && !j.cancelled {
		s.failJob(j)
	}
}

// failJob gives a job up: its runs are stopped, and it starts no others.
func (s *Shard) failJob(j *jobState) {
	j.failed = true
	s.waitingDirty = true
	s.stopAll(j, StopJobFailed)
}
