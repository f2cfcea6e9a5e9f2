package shard

import (
	"maps"
	"slices"
	"time"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/job"
)

const (
	// clockDrift is how much slower an executor's clock may run: 2%, and a margin.
	clockDrift = 0.03
	// leaseMargin covers the rounding of times on the wire.
	leaseMargin = 200 * time.Millisecond
	// resendEvery spaces repeated orders without an answer.
	resendEvery = 300 * time.Millisecond
	// retryAfterRefusal spaces starts of a task that was refused room.
	retryAfterRefusal = 200 * time.Millisecond
	// retryAfterFailure spaces starts of a task that failed.
	retryAfterFailure = 50 * time.Millisecond
	// lookPause lets ends gather between two looks.
	lookPause = 60 * time.Millisecond
	// lookRetry spaces looks without an answer.
	lookRetry = 300 * time.Millisecond
	// lookWait is how long a look waits for an end; leases are renewed as often.
	lookWait = 1500 * time.Millisecond
	// evacuationLookWait is the same while lasting tasks have to move: the next one may
	// leave once the last one was seen at work elsewhere.
	evacuationLookWait = 200 * time.Millisecond
	// ackDelay bounds how long an executor waits to hear that an end was taken in.
	ackDelay = 1 * time.Second
	// suspectFailures in a row make an executor suspect.
	suspectFailures = 4
	// suspectTime is how long a suspect gets no work before a trial.
	suspectTime = 4 * time.Second
	// waitingEvery bounds how often the counts of waiting jobs are stored.
	waitingEvery = 1 * time.Second
	// maxLookRetry bounds the pause between looks without an answer.
	maxLookRetry = 2 * time.Second
	// ordersAtOnce bounds the orders on their way to one executor.
	ordersAtOnce = 2
	// unsentTries is how often a start that can't be sent is tried.
	unsentTries = 2
	// seenRecently is the age up to which an executor's answer counts as present; a
	// look and its retry take less.
	seenRecently = 2500 * time.Millisecond
	// startSends is how often a start is sent before it is given up and stopped.
	startSends = 4
)

// Limits are the figures of a deployment.
type Limits struct {
	RunLease    time.Duration // asked for by each look and start
	MaxRunLease time.Duration // the longest that an executor grants
}

// Shard is the state of one service. It is not safe for concurrent use.
type Shard struct {
	limits    Limits
	token     int64 // fencing token
	jobs      map[job.ID]*jobState
	queue     deadlineQueue   // the same jobs
	advised   map[job.ID]bool // of these, the ones whose steps need advice
	executors map[cluster.ExecutorID]*executorState
	sorted    []*executorState // by ID; nil after a change of executors
	touched   bool             // something changed that a new plan may use
	planAt    time.Time        // when to plan again, if nothing changes before
	fenced    bool
	grantsOff bool // the term is not confirmed: no lease of a run is renewed

	waiting      map[string]int // as stored last
	waitingAt    time.Time
	waitingDirty bool

	loadAt      time.Time
	lastLoad    Load      // as stored last
	aliveAt     time.Time // when the shard was called last
	stalledAt   time.Time // when it was called again after a long gap
	evacuating  bool      // lasting tasks have to leave an executor
	evacuateDue bool      // a look may allow another lasting task to leave
	evacuatedAt time.Time
	leaving     []*executorState // that are to be emptied, or leave by themselves
	loadUrgent  bool             // a cordon was set or an executor under one became empty
	arrivedWork int64            // core-milliseconds
	arrivedJobs int64

	pendingBatch *Batch

	pipeline    pipeline
	namedLast   job.ID    // the last job that a report named
	questionsAt time.Time // when to look again for steps that need advice
}

// New returns the shard of an owner with a fencing token.
func New(limits Limits, token int64) *Shard {
	return &Shard{
		limits: limits, token: token,
		jobs:      map[job.ID]*jobState{},
		advised:   map[job.ID]bool{},
		executors: map[cluster.ExecutorID]*executorState{},
		waiting:   map[string]int{},
	}
}

// Fenced reports whether an executor has seen a higher fencing token: the owner
// must step down.
func (s *Shard) Fenced() bool { return s.fenced }

// LeaseRenewalWindow is how long after its term was last confirmed an owner may renew leases of
// runs. A successor that can't reach an executor takes its runs for gone after the
// longest lease, counted from its takeover; the last lease of its predecessor must
// have lapsed by then.
func LeaseRenewalWindow(l Limits) time.Duration { return l.MaxRunLease - l.RunLease }

// AllowLeaseRenewal says whether leases of runs may be renewed.
func (s *Shard) AllowLeaseRenewal(allowed bool) { s.grantsOff = !allowed }

// HasJob reports whether a job was taken in and is not final.
func (s *Shard) HasJob(id job.ID) bool { return s.jobs[id] != nil }

// Jobs returns how many jobs are not final.
func (s *Shard) Jobs() int { return len(s.jobs) }

// AddJob takes in an accepted job, with what an earlier owner stored of it, if
// anything. Known jobs are left as they are.
func (s *Shard) AddJob(r Record, p *Progress, now time.Time) {
	if s.jobs[r.ID] != nil {
		return
	}
	j := newJob(r)
	s.jobs[r.ID] = j
	s.queue.add(j)
	s.noteAdvice(j)
	s.touched, s.waitingDirty = true, true
	if !j.lasts() {
		s.arrivedWork += workOf(r)
		s.arrivedJobs++
	}
	if p == nil {
		j.createDue(now)
		return
	}
	j.restore(*p, now)
	s.inherit(j, *p, now)
	j.settle()
}

// inherit adds the runs that an earlier owner may have begun.
func (s *Shard) inherit(j *jobState, p Progress, now time.Time) {
	for _, tp := range p.Tasks {
		t := j.task(job.TaskID{StepID: job.StepID{Job: j.ID, Occurrence: tp.Occurrence, Step: tp.Step}, Index: tp.Index})
		if t == nil || tp.Executor == "" {
			continue
		}
		e := s.executors[tp.Executor]
		if e == nil {
			e = newExecutor(cluster.Executor{ID: tp.Executor, Address: tp.Address})
			s.executors[tp.Executor] = e
			s.sorted = nil
		}
		if e.leaseBound.IsZero() {
			e.clockAt = now
			e.extendBound(now, s.limits.MaxRunLease)
		}
		r := &run{task: t, number: tp.Run, executor: e, phase: inherited, paced: 100, paceWanted: 100}
		t.current = r
		e.take(r)
	}
}

// Cancel ends a job; it reports whether the job is known.
func (s *Shard) Cancel(id job.ID) bool {
	j := s.jobs[id]
	if j == nil {
		return false
	}
	if j.cancelled || j.state.Final() {
		return true
	}
	j.cancelled = true
	s.touched, s.waitingDirty = true, true
	s.stopAll(j, StopCancelled)
	j.settle()
	return true
}

// stopAll stops all runs of a job.
func (s *Shard) stopAll(j *jobState, reason StopReason) {
	for _, o := range j.occurrences {
		for _, st := range o.steps {
			for _, t := range st.tasks {
				s.stop(t.current, reason)
			}
		}
	}
}

// stop asks for the end of a run. A run that nobody was told of is dropped at once.
func (s *Shard) stop(r *run, reason StopReason) {
	if r == nil || r.stopping {
		return
	}
	r.stopping, r.stopReason = true, reason
	r.nextSend = time.Time{}
	r.executor.wake()
}

// SetExecutors takes in the latest list of the service's executors.
func (s *Shard) SetExecutors(list []cluster.Executor, now time.Time) {
	for _, e := range s.executors {
		e.listed = false
	}
	for _, listed := range list {
		e := s.executors[listed.ID]
		if e == nil {
			e = newExecutor(listed)
			s.executors[listed.ID] = e
			s.sorted = nil
		}
		if listed.Draining && !e.drained {
			e.drained = true
		}
		e.Executor = listed
		e.listed = true
	}
	maps.DeleteFunc(s.executors, func(_ cluster.ExecutorID, e *executorState) bool {
		return !e.listed && len(e.runs) == 0
	})
	s.sorted = nil
	s.touched = true
	s.noteLeaving()
	s.evacuate(now)
}

// noteLeaving collects the executors that are to be emptied, or leave by themselves.
func (s *Shard) noteLeaving() {
	s.leaving = s.leaving[:0]
	for _, e := range s.sortedExecutors() {
		if e.drained || e.cordoned() {
			s.leaving = append(s.leaving, e)
		}
	}
}

// Cordon sets which executors are to be emptied, and how.
func (s *Shard) Cordon(ids map[cluster.ExecutorID]Evacuation, now time.Time) {
	for _, e := range s.executors {
		if e.emptying != ids[e.ID] {
			e.emptying = ids[e.ID]
			s.loadUrgent = true
		}
	}
	s.touched = true
	s.noteLeaving()
	s.evacuate(now)
}

// SetQueues takes in the present terms of the queues. Jobs of one that is missing keep theirs.
func (s *Shard) SetQueues(list []cluster.Queue) {
	terms := make(map[string]QueuePolicy, len(list))
	for _, q := range list {
		terms[q.Name] = QueuePolicyOf(q)
	}
	for _, j := range s.jobs {
		if present, found := terms[j.Queue.Name]; found {
			j.Queue = present
			s.noteAdvice(j)
		}
	}
	s.queue.renew()
}

// sortedExecutors returns the executors by ID; the list must not be changed.
func (s *Shard) sortedExecutors() []*executorState {
	if s.sorted != nil {
		return s.sorted
	}
	s.sorted = make([]*executorState, 0, len(s.executors))
	for _, id := range slices.Sorted(maps.Keys(s.executors)) {
		s.sorted = append(s.sorted, s.executors[id])
	}
	return s.sorted
}

func (e *executorState) sortedRuns() []*run {
	list := slices.Collect(maps.Values(e.runs))
	sortRuns(list)
	return list
}

func sortRuns(list []*run) {
	slices.SortFunc(list, func(a, b *run) int { return compareTasks(a.task.id, b.task.id) })
}

func compareTasks(a, b job.TaskID) int {
	switch {
	case a.Job != b.Job:
		if a.Job < b.Job {
			return -1
		}
		return 1
	case a.Occurrence != b.Occurrence:
		return a.Occurrence - b.Occurrence
	case a.Step != b.Step:
		return a.Step - b.Step
	default:
		return a.Index - b.Index
	}
}
