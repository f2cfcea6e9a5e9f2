package shard

import (
	"slices"
	"time"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/job"
)

// jobState is a job that is not final, or whose final state is not durable yet.
type jobState struct {
	Record
	use       *tenantUse // of the job's tenant; nil without one
	state     job.State
	published job.State // the durable state, which callers read
	cancelled bool
	failed    bool

	// occurrences holds those that are due and not finished.
	occurrences    []*occurrence
	finished       []bool // by occurrence
	nextOccurrence int    // the first occurrence not created yet

	criticalPath     time.Duration // of the steps' estimates
	initialRemaining time.Duration // the same with margins: the remaining time before the first start

	longRunning   bool  // runs until it is cancelled
	excess        bool  // beyond the rate of its tenant; decided once
	queueDeadline int64 // the deadline that orders the queue, nanoseconds since 1970

	share *tenantShare // of its tenant
	// initialReady is the need of the steps that depend on no other, unless the job is scheduled.
	initialReady job.Resources

	version        int64 // increases with every change
	durableVersion int64 // the latest version that is stored
	progressStored bool  // whether progress was ever stored
	runs           int   // current runs of all its tasks
	// idleSince is since when the job has had no running task, and schedulableSince since
	// when it has had schedulable tasks; otherwise they are zero. Waiting sets both.
	idleSince        time.Time
	schedulableSince time.Time
	// changedAt is when Batch first found the change that is not durable yet; zero if none.
	changedAt time.Time
}

type occurrence struct {
	number    int
	steps     []*step
	stepsLeft int // steps not done
}

type step struct {
	id        job.StepID
	def       *job.Step
	job       *jobState
	tasks     []*task
	tasksLeft int // tasks not done
	runs      int // current runs of its tasks
	blockers  int // steps in After that are not done
	failures  int // of the whole gang; 0 for other steps
	tickets   tickets
	// unplacedSince is since when ready tasks of a long-running step have found no capacity;
	// zero if there are none.
	unplacedSince time.Time
	// reservedSince is when room was first held for its tasks; heldBackAt is when a batch last
	// refused them room that is held for another step.
	reservedSince time.Time
	reservation   *reservation // nil if no room is held
	heldBackAt    time.Time
	backfillTimes [2]expectedTime // near its data, and away from it
	// failuresOn holds the failures of a long-running step by executor.
	failuresOn map[cluster.Incarnation]stepFailures
}

type task struct {
	id         job.TaskID
	step       *step
	lastRun    int // the highest run number decided
	current    *run
	done       bool
	failures   int
	checkpoint string
	retryAt    time.Time
	crashes    crashRecord
	avoid      cluster.Incarnation // where it last failed, stalled or was refused
	prepared   *preparedStart      // nil if there is none
	// missingSince is since when a long-running task has had no live run; zero if it has one.
	// Waiting sets it.
	missingSince time.Time
}

// delayRetry lets the task's next run start at the given time at the earliest.
func (t *task) delayRetry(until time.Time) {
	if until.After(t.retryAt) {
		t.retryAt = until
	}
}

// phase is what is known about a run.
type phase uint8

const (
	decided     phase = iota // not durable yet
	unconfirmed              // durable; not confirmed by the executor
	confirmed                // the executor has or had the run
	inherited                // decided by an earlier owner; not seen by this one yet
)

// run is one execution of a task, kept for as long as it may use capacity on its executor.
type run struct {
	task     *task
	number   int
	executor *executorState
	phase    phase
	untilMs  int64 // end of its first lease on the executor's clock
	ticket   string

	checkpoint string // from which it resumes

	inFlight      bool      // a command for it is in flight
	sentAt        time.Time // when the start was first sent; zero if it was not, or by another owner
	lastSentAt    time.Time // when the start was last sent
	startSends    int       // start commands that may have arrived
	startAttempts int       // start commands, including those that were not sent
	nextSend      time.Time
	confirmedAt   time.Time
	expectedEnd   time.Time // see Shard.expectedEnd
	startedAt     time.Time // when the executor was first known to have it
	presentMs     int64     // the same on the executor's clock; zero if it is not known to have it
	unanswered    bool      // a start of it got no response, and may be carried out late
	brokeOff      bool      // its start was broken off at once, without a response
	trial         bool      // isolated, to find out whether its task crashes executors
	prepared      bool      // inherited as a prepared start, which may never have been sent
	writtenAhead  bool      // decided as the task's prepared start, which is durable

	stopping         bool
	stopReason       StopReason
	stopAcknowledged bool
	percent          int   // speed that the executor reported, percent of full speed
	usage            int64 // as execution.Running.Usage
	throttle         int   // percent that the executor has applied; 100 at first
	wantedThrottle   int
}

// awaitsConfirmation reports whether a start of the run may have arrived, but is not known to have.
func (r *run) awaitsConfirmation() bool { return r.phase == unconfirmed && r.startSends > 0 }

func newJob(r Record) *jobState {
	j := &jobState{Record: r, state: job.Queued, published: job.Queued, version: 1, durableVersion: 1}
	j.longRunning = slices.ContainsFunc(r.Definition.Steps, func(s job.Step) bool { return s.LongRunning })
	j.finished = make([]bool, r.Definition.Schedule.Occurrences())
	j.criticalPath = criticalPath(r.Definition.Steps, func(s *job.Step, _ int) time.Duration { return s.Estimate })
	if r.Definition.Schedule.Count == 0 {
		j.initialReady = initialReady(r.Definition.Steps)
	}
	j.initialRemaining = criticalPath(r.Definition.Steps, func(s *job.Step, _ int) time.Duration { return withMargin(s.Estimate) + stepOverhead })
	return j
}

// criticalPath returns the largest sum of costs along the dependencies of the steps.
func criticalPath(steps []job.Step, cost func(s *job.Step, number int) time.Duration) time.Duration {
	ends := make([]time.Duration, len(steps))
	var longest time.Duration
	for i := range steps {
		var start time.Duration
		for _, dependency := range steps[i].After {
			start = max(start, ends[dependency])
		}
		ends[i] = start + cost(&steps[i], i)
		longest = max(longest, ends[i])
	}
	return longest
}

// createDue creates the occurrences that are due.
func (j *jobState) createDue(now time.Time) {
	for j.nextOccurrence < len(j.finished) && !j.Definition.Schedule.Due(j.nextOccurrence).After(now) {
		if !j.finished[j.nextOccurrence] {
			j.occurrences = append(j.occurrences, newOccurrence(j, j.nextOccurrence))
		}
		j.nextOccurrence++
	}
}

func newOccurrence(j *jobState, number int) *occurrence {
	o := &occurrence{number: number, stepsLeft: len(j.Definition.Steps)}
	for i := range j.Definition.Steps {
		def := &j.Definition.Steps[i]
		s := &step{id: job.StepID{Job: j.ID, Occurrence: number, Step: i}, def: def, job: j, tasksLeft: def.Count, blockers: countDependencies(def)}
		s.tasks = make([]*task, def.Count)
		for n := range s.tasks {
			s.tasks[n] = &task{id: job.TaskID{StepID: s.id, Index: n}, step: s}
		}
		o.steps = append(o.steps, s)
	}
	return o
}

// countDependencies returns how many steps must be done first; callers may list a step
// more than once.
func countDependencies(def *job.Step) int {
	after := slices.Sorted(slices.Values(def.After))
	return len(slices.Compact(after))
}

func (j *jobState) occurrence(number int) *occurrence {
	i := slices.IndexFunc(j.occurrences, func(o *occurrence) bool { return o.number == number })
	if i < 0 {
		return nil
	}
	return j.occurrences[i]
}

func (j *jobState) task(id job.TaskID) *task {
	o := j.occurrence(id.Occurrence)
	if o == nil || id.Step >= len(o.steps) || id.Index >= len(o.steps[id.Step].tasks) {
		return nil
	}
	return o.steps[id.Step].tasks[id.Index]
}

// restore applies the progress that an earlier owner stored.
func (j *jobState) restore(p Progress, now time.Time) {
	j.progressStored = true
	for _, k := range p.Done {
		if k < len(j.finished) {
			j.finished[k] = true
		}
	}
	j.createDue(now)
	for _, tp := range p.Tasks {
		t := j.task(job.TaskID{StepID: job.StepID{Job: j.ID, Occurrence: tp.Occurrence, Step: tp.Step}, Index: tp.Index})
		if t == nil {
			continue
		}
		j.state, j.published = job.Running, job.Running
		t.lastRun, t.failures, t.checkpoint = tp.Run, tp.Failures, tp.Checkpoint
		t.crashes = crashRecord{crashes: tp.Crashes, evidence: tp.CrashEvidence, trial: tp.Trial}
		if t.step.def.Gang {
			t.step.failures = max(t.step.failures, tp.Failures)
		}
		if tp.Done {
			j.finishTask(t)
		}
		if !t.step.def.LongRunning && tp.Failures >= j.Queue.MaxAttempts {
			j.failed = true // the earlier owner was lost before all runs had ended
		}
		if t.crashes.crashesExecutors() {
			j.failed = true // as above
		}
	}
}

// finishTask marks a task as done and, with the last task of its step, unblocks the
// steps that depend on it.
func (j *jobState) finishTask(t *task) {
	if t.done {
		return
	}
	t.done = true
	t.step.tasksLeft--
	if t.step.tasksLeft > 0 {
		return
	}
	o := j.occurrence(t.id.Occurrence)
	o.stepsLeft--
	for _, s := range o.steps {
		if slices.Contains(s.def.After, t.id.Step) {
			s.blockers--
		}
	}
}

// closeFinished drops the occurrences whose steps are all done and that have no runs.
func (j *jobState) closeFinished() {
	j.occurrences = slices.DeleteFunc(j.occurrences, func(o *occurrence) bool {
		if o.stepsLeft > 0 || o.hasRuns() {
			return false
		}
		j.finished[o.number] = true
		return true
	})
}

func (o *occurrence) hasRuns() bool {
	for _, s := range o.steps {
		for _, t := range s.tasks {
			if t.current != nil {
				return true
			}
		}
	}
	return false
}

func (j *jobState) hasRuns() bool {
	return slices.ContainsFunc(j.occurrences, (*occurrence).hasRuns)
}

// terminating reports whether the job is cancelled or failed, and so starts no task.
func (j *jobState) terminating() bool { return j.cancelled || j.failed }

// finalise sets the job's final state once it has no runs and needs no further ones.
func (j *jobState) finalise() {
	switch {
	case j.state.Final():
		return
	case j.cancelled:
		if !j.hasRuns() {
			j.setState(job.Cancelled)
		}
	case j.failed:
		if !j.hasRuns() {
			j.setState(job.Failed)
		}
	default:
		j.closeFinished()
		if j.nextOccurrence == len(j.finished) && len(j.occurrences) == 0 {
			j.setState(job.Completed)
		}
	}
}

func (j *jobState) setState(s job.State) {
	j.state = s
	j.markChanged()
}

func (j *jobState) markChanged() { j.version++ }

// started reports whether a first run was ever decided.
func (j *jobState) started() bool { return j.state != job.Queued }

// isLongRunning reports whether the job runs until it is cancelled.
func (j *jobState) isLongRunning() bool { return j.longRunning }

// deadline returns when the completion objective of an unscheduled job ends.
func (j *jobState) deadline() time.Time { return j.Accepted.Add(j.objective()) }

func (j *jobState) objective() time.Duration {
	return time.Duration(j.Queue.Stretch*float64(j.criticalPath)) + j.Queue.TargetDuration
}

const (
	// estimateMargin is the factor by which the slowest task of a step may exceed the
	// estimate for one: estimates are rough and tasks uneven.
	estimateMargin = 1.25
	// stepOverhead is the time between the end of a step and the start of the next one.
	stepOverhead = 120 * time.Millisecond
)

func withMargin(estimate time.Duration) time.Duration {
	return time.Duration(estimateMargin * float64(estimate))
}

// remaining estimates, with a margin, how long the unfinished steps will take.
func (j *jobState) remaining(now time.Time) time.Duration {
	if len(j.occurrences) == 0 || !j.started() {
		return j.initialRemaining
	}
	steps := j.occurrences[0].steps
	return criticalPath(j.Definition.Steps, func(_ *job.Step, number int) time.Duration {
		return steps[number].remaining(now)
	})
}

// remaining estimates, with a margin, how long the tasks of the step will take if all
// can start now.
func (s *step) remaining(now time.Time) time.Duration {
	var longest time.Duration
	for _, t := range s.tasks {
		longest = max(longest, t.remaining(now))
	}
	return longest
}

// remaining estimates, with a margin, how long the task will take if it can start now.
func (t *task) remaining(now time.Time) time.Duration {
	if t.done {
		return 0
	}
	rest := withMargin(t.step.def.Estimate)
	if r := t.current; r != nil && !r.startedAt.IsZero() && !r.stopping {
		rest -= now.Sub(r.startedAt)
	}
	return max(0, rest) + stepOverhead
}
