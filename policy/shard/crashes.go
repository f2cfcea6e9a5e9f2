package shard

import (
	"time"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/execution"
	"github.com/tarragonreach/tarragonreach/api/job"
)

// A task may crash each executor that starts it. Since other tasks start there at the same time,
// and executors also crash for other reasons, a crash alone proves nothing: the tasks that had
// just started become suspects, and isolation (isolation.go) tells them apart. See
// docs/design/crashing-tasks.md.

const (
	// survivalTime is how long an executor must have lived after a start for the task to be
	// cleared of crashing executors at its start.
	survivalTime = 300 * time.Millisecond
	// promptFailure is how soon after a start calls to the executor must fail for the crash to be
	// a prompt one.
	promptFailure = 60 * time.Millisecond
	// promptEvidence and lateEvidence are the weights of a crash with a task as the only suspect;
	// a task with sufficientEvidence is given up. If calls fail only later, the run may have been
	// over. A run that may never have arrived is no evidence.
	promptEvidence     = 4
	lateEvidence       = 1
	sufficientEvidence = 6
	// groupEvidence is the weight of a prompt crash with a few tasks that were tried together.
	groupEvidence = 2
	// maxCrashes is how many executors may crash under a suspect, whatever the evidence.
	maxCrashes = 5
)

// crashRecord is what is known about the executors that crashed under a task. The first three
// fields are durable.
type crashRecord struct {
	crashes  int // executors that crashed while the task was a suspect
	evidence int // that it was the task; see promptEvidence
	// trial is set while the current run is isolated from other starts.
	trial   bool
	number  int       // of the last crash, in the order in which this owner recorded them
	waiting time.Time // since when the task has waited for its trial; zero if it does not
}

// suspect reports whether the task may be the cause of a crash.
func (c *crashRecord) suspect() bool { return c.crashes > 0 }

// repeated reports whether several executors have crashed under the task: it must not run beside
// others if that can be avoided.
func (c *crashRecord) repeated() bool { return c.crashes > 1 }

// crashesExecutors reports whether the task crashes executors, as far as can be known.
func (c *crashRecord) crashesExecutors() bool {
	return c.evidence >= sufficientEvidence || c.crashes >= maxCrashes
}

// CrashNote describes what a crash of an executor says about one task, for the log.
type CrashNote struct {
	Task     job.TaskID
	Executor cluster.ExecutorID
	Crashes  int // of executors under the task so far
	Evidence int // that the task was the cause, of sufficientEvidence
	Suspects int // of this crash
	GivenUp  bool
}

// TakeCrashNotes returns the notes since the last call.
func (s *Shard) TakeCrashNotes() []CrashNote {
	notes := s.crashNotes
	s.crashNotes = nil
	return notes
}

// recordCrash records that an executor has ended, before its runs are discarded. The runs that
// it may have started, and did not survive for survivalTime, are suspects.
func (s *Shard) recordCrash(e *executorState) {
	var suspects []*run
	for _, r := range e.sortedRuns() {
		if r.mayHaveStarted() && !r.survived() && !r.task.step.def.Gang {
			suspects = append(suspects, r)
		}
	}
	if len(suspects) > 0 {
		s.crashCount++
	}
	only := onlySuspect(suspects)
	for _, r := range suspects {
		s.noteCrash(r, r == only, len(suspects))
	}
}

// onlySuspect returns the suspect that alone may have caused a crash, or nil. An earlier owner
// isolated the trials that this one has inherited, but which of the other runs had survived
// there is not known any more.
func onlySuspect(suspects []*run) *run {
	if len(suspects) == 1 {
		return suspects[0]
	}
	var only *run
	for _, r := range suspects {
		if r.phase != inherited || !r.task.crashes.trial {
			continue
		}
		if only != nil {
			return nil
		}
		only = r
	}
	return only
}

// noteCrash records a crash under a suspect. An executor that was draining, or could be taken
// away as empty, may have ended as planned: it is no evidence.
func (s *Shard) noteCrash(r *run, only bool, suspects int) {
	t, e := r.task, r.executor
	leaving := e.everDraining || e.reportedEmpty
	t.crashes.crashes++
	evidence := r.crashEvidence()
	switch {
	case leaving:
	case only:
		t.crashes.evidence += evidence
	case r.trial && evidence == promptEvidence:
		t.crashes.evidence += groupEvidence
	}
	t.crashes.number = s.crashCount
	s.suspects[t] = true
	j := t.step.job
	j.markChanged()
	givenUp := t.crashes.crashesExecutors() && !j.terminating()
	if givenUp {
		s.crashingTaskFound = true
		s.failJob(j)
	}
	s.crashNotes = append(s.crashNotes, CrashNote{
		Task: t.id, Executor: e.ID, Crashes: t.crashes.crashes, Evidence: t.crashes.evidence, Suspects: suspects, GivenUp: givenUp,
	})
}

// addSuspects adds the tasks of a restored job that an earlier owner suspected.
func (s *Shard) addSuspects(j *jobState) {
	for _, o := range j.occurrences {
		for _, st := range o.steps {
			for _, t := range st.tasks {
				if t.crashes.suspect() {
					s.suspects[t] = true
				}
			}
		}
	}
}

// mayHaveStarted reports whether the executor may have started the run.
func (r *run) mayHaveStarted() bool {
	return r.phase == confirmed || r.phase == inherited && !r.prepared || r.awaitsConfirmation()
}

// survived reports whether the executor has lived for survivalTime since it was first known to
// have the run, by its own clock: an owner that is CPU-starved reads responses late.
func (r *run) survived() bool {
	return r.presentMs > 0 && r.executor.aliveMs-r.presentMs >= survivalTime.Milliseconds()
}

// noteAlive records a time on the executor's clock at which it lived, and clears the tasks on
// trial that have survived there.
func (s *Shard) noteAlive(e *executorState, clockMs int64) {
	e.aliveMs = max(e.aliveMs, clockMs)
	if e.trials == 0 {
		return
	}
	for _, r := range e.sortedRuns() {
		if r.trial && r.survived() {
			e.endTrial(r)
			r.task.clearOfCrashes()
			s.dirty = true
		}
	}
}

// noteStartResult records what the result of a start command says about its executor's life.
func (r *run) noteStartResult(delivery Delivery, reply execution.Reply, now time.Time) {
	switch {
	case delivery == Responded && reply.Refusal == execution.NotRefused && r.presentMs == 0:
		r.presentMs = reply.ClockMs
	case delivery == Ambiguous && now.Sub(r.sentAt) <= promptFailure:
		r.brokeOff = true
	}
}

// crashEvidence returns the weight of a crash under the run alone. It is prompt if calls to the
// executor began to fail soon after the start was sent, and have got no response since.
func (r *run) crashEvidence() int {
	failing := r.executor.failingSince
	prompt := !r.sentAt.IsZero() && !failing.IsZero() && failing.Sub(r.sentAt) <= promptFailure
	switch {
	case r.phase != inherited && r.presentMs == 0 && !r.brokeOff:
		return 0
	case prompt:
		return promptEvidence
	default:
		return lateEvidence
	}
}

// endTrial ends the isolation of a run, if it is isolated.
func (e *executorState) endTrial(r *run) {
	if r.trial {
		r.trial = false
		e.trials--
	}
}

// clearOfCrashes records that the task does not crash executors.
func (t *task) clearOfCrashes() {
	if t.crashes.suspect() {
		t.crashes = crashRecord{}
		t.step.job.markChanged()
	}
}
