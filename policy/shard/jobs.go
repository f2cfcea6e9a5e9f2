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
	state     job.State
	published job.State // the state that is durable
	cancelled bool
	failed    bool

	// occurrences holds those that have begun to be due and are not over.
	occurrences    []*occurrence
	finished       []bool // by occurrence
	nextOccurrence int    // the first occurrence not created yet

	criticalPath     time.Duration // longest chain of estimates
	initialRemaining time.Duration // what remains of it before anything has started, with a margin

	longRunning   bool  // it runs until it is cancelled
	queueDeadline int64 // deadline by which it is queued, nanoseconds since 1970

	version        int64 // rises with every change
	durableVersion int64 // the version that is stored
	progressStored bool  // whether progress was ever stored
	runs           int   // of all its tasks
	// idleSince and fitsSince are since when, as far as reports have found, nothing of it
	// runs, and tasks of it wait though they fit.
	idleSince        time.Time
	schedulableSince time.Time
	// changedAt is since when a change waits to become durable; zero where none does.
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
	runs      int // of its tasks that may take room somewhere
	blockers  int // steps in After not done
	failures  int // of a gang as a whole
	tickets   tickets
}

type tickets struct {
	byExecutor   map[cluster.ExecutorID]string
	validUntil   time.Time
	requested    bool
	nextExecutor int // position after the last executor that a question named
	retryAt      time.Time
}

type task struct {
	id         job.TaskID
	step       *step
	lastRun    int // the highest one decided
	current    *run
	done       bool
	failures   int
	checkpoint string
	retryAt    time.Time
	avoid      cluster.ExecutorID // where it failed last
}

// phase says what is known of a run.
type phase uint8

const (
	decided     phase = iota // not durable yet
	unconfirmed              // durable; the executor has not confirmed it
	confirmed                // the executor has or had it
	inherited                // decided by an earlier owner; nothing is known yet
)

// run is one start of a task, for as long as it may take room on its executor.
type run struct {
	task     *task
	number   int
	executor *executorState
	phase    phase
	untilMs  int64 // end of its first lease on the executor's clock
	ticket   string

	checkpoint string // from which it goes on

	inFlight      bool // an order for it is on its way
	startSends    int  // start orders that may have arrived
	startAttempts int  // start orders
	nextSend      time.Time
	confirmedAt   time.Time
	startedAt     time.Time // when the executor first had it, as far as known

	stopping         bool
	stopReason       StopReason
	stopAcknowledged bool
	percent          int
	usage            int64
	throttle         int // percent that the executor was told; 100 at first
	wantedThrottle   int
}

func newJob(r Record) *jobState {
	j := &jobState{Record: r, state: job.Queued, published: job.Queued, version: 1, durableVersion: 1}
	j.longRunning = slices.ContainsFunc(r.Definition.Steps, func(s job.Step) bool { return s.LongRunning })
	j.finished = make([]bool, r.Definition.Schedule.Occurrences())
	j.criticalPath = criticalPath(r.Definition.Steps, func(s *job.Step, _ int) time.Duration { return s.Estimate })
	j.initialRemaining = criticalPath(r.Definition.Steps, func(s *job.Step, _ int) time.Duration { return withMargin(s.Estimate) + stepOverhead })
	return j
}

// chainOf returns the longest sum along the steps' order.
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

// createDue creates the occurrences whose time has come.
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

// earlierSteps is how many steps must be done first; a caller may name one twice.
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

// restore takes in what an earlier owner stored.
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
		if t.step.def.Gang {
			t.step.failures = max(t.step.failures, tp.Failures)
		}
		if tp.Done {
			j.finishTask(t)
		}
		if !t.step.def.LongRunning && tp.Failures >= j.Queue.MaxAttempts {
			j.failed = true // its owner was lost before all its runs had ended
		}
	}
}

// finishTask marks a task as done and unblocks what waited for its step.
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

// closeOver drops the occurrences whose steps are all done and whose runs are gone.
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

// ended reports whether the job needs no further start.
func (j *jobState) terminating() bool { return j.cancelled || j.failed }

// settle moves the job to the final state that its runs allow.
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

// begun reports whether any task has ever started.
func (j *jobState) started() bool { return j.state != job.Queued }

// lasts reports whether the job runs until it is cancelled.
func (j *jobState) isLongRunning() bool { return j.longRunning }

// deadline is when the objective of an unscheduled job ends.
func (j *jobState) deadline() time.Time { return j.Accepted.Add(j.objective()) }

func (j *jobState) objective() time.Duration {
	return time.Duration(j.Queue.Stretch*float64(j.criticalPath)) + j.Queue.TargetDuration
}

const (
	// estimateMargin is by how much the slowest task of a step exceeds the estimate
	// for one: estimates are rough, and tasks uneven.
	estimateMargin = 1.25
	// stepOverhead is the time from the end of a step to the start of the next one.
	stepOverhead = 120 * time.Millisecond
)

func withMargin(estimate time.Duration) time.Duration {
	return time.Duration(estimateMargin * float64(estimate))
}

// remaining estimates, with a margin, how long the steps still to be done take.
func (j *jobState) remaining(now time.Time) time.Duration {
	if len(j.occurrences) == 0 || !j.started() {
		return j.initialRemaining
	}
	steps := j.occurrences[0].steps
	return criticalPath(j.Definition.Steps, func(_ *job.Step, number int) time.Duration {
		return steps[number].remaining(now)
	})
}

// remaining estimates, with a margin, how long the tasks of a step still take if all
// could start now.
func (s *step) remaining(now time.Time) time.Duration {
	var longest time.Duration
	for _, t := range s.tasks {
		longest = max(longest, t.remaining(now))
	}
	return longest
}

// remaining estimates, with a margin, how long the task still takes if it could start
// now.
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
