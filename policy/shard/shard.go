package shard

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/job"
)

const (
	// clockDrift is how much slower an executor's clock may run: 2%, plus a margin.
	clockDrift = 0.03
	// leaseMargin covers the rounding of times on the wire.
	leaseMargin = 200 * time.Millisecond
	// resendInterval is the time before a command without a response is sent again.
	resendInterval = 300 * time.Millisecond
	// retryAfterRefusal is the time before a task whose start was refused is tried again.
	retryAfterRefusal = 200 * time.Millisecond
	// retryAfterFailure is the time before a task that failed is started again.
	retryAfterFailure = 50 * time.Millisecond
	// orphanStopTime is how long after an executor has listed a run that is not expected there its
	// task is not started: the run has to be stopped first.
	orphanStopTime = 1 * time.Second
	// pollPause is the pause between two polls that lets completions accumulate.
	pollPause = 60 * time.Millisecond
	// pollRetry is the pause after a failed poll, for each failed call in a row.
	pollRetry = 300 * time.Millisecond
	// pollWait is how long a poll waits for a completion, and so how often leases are
	// renewed.
	pollWait = 1500 * time.Millisecond
	// evacuationPollWait replaces pollWait while long-running tasks have to move: the
	// next one may leave only once the previous one was seen running elsewhere.
	evacuationPollWait = 200 * time.Millisecond
	// ackDelay bounds how long an executor waits for the acknowledgement of a completion.
	ackDelay = 1 * time.Second
	// waitingInterval is the minimum time between two writes of the counts of waiting jobs.
	waitingInterval = 1 * time.Second
	// maxPollRetry bounds the pause after a failed poll.
	maxPollRetry = 2 * time.Second
	// maxCommandsInFlight bounds the commands in flight to one executor.
	maxCommandsInFlight = 2
	// maxUnsentStarts is how many times a start that can't be sent is tried.
	maxUnsentStarts = 2
	// maxResponseAge is the age up to which an executor's last response shows its
	// present state; a poll and its retry take less.
	maxResponseAge = 2500 * time.Millisecond
	// maxStartSends is how many times a start is sent before the run is stopped instead.
	maxStartSends = 4
	// maxClockAge is the age of the last reading of an idle executor's clock at which the
	// executor is polled: the first lease of a run is shorter by clockDrift of that age.
	maxClockAge = 30 * time.Second
)

// Limits holds the durations of run leases, and the allowance of the tenants' rates.
type Limits struct {
	RunLease    time.Duration // requested by each poll and start
	MaxRunLease time.Duration // the longest lease that an executor grants
	Rate        RateAllowance
}

// Shard is the state of one service. It is not safe for concurrent use.
type Shard struct {
	limits          Limits
	token           int64 // fencing token of the term
	latestToken     int64 // the highest one known that belongs to this term; see NoteRevision
	tokenWanted     bool  // an executor needs a higher one
	jobs            map[job.ID]*jobState
	queue           deadlineQueue                         // the same jobs, by deadline
	tenants         map[cluster.TenantName]cluster.Tenant // as the operator configured them last
	shares          map[cluster.TenantName]*tenantShare   // of the tenants that had jobs in this term
	shareList       []*tenantShare                        // the same, in the order of their first jobs
	undecided       []*jobState                           // jobs of which decideExcess has yet to decide
	observedAt      time.Time                             // jobs added now were accepted after that; zero during a takeover
	order           shareOrder                            // reused by each ordering
	surplusAt       time.Time                             // when updateSurpluses was called last
	uses            map[cluster.TenantName]*tenantUse     // of the tenants that have had jobs or limits
	blocked         []*tenantUse                          // those that the last batch kept from starting tasks
	orphaned        []*tenantUse                          // those with orphans, possibly repeated
	advised         map[job.ID]bool                       // the jobs whose steps need advice
	executors       map[cluster.ExecutorID]*executorState // the latest incarnations
	retired         map[cluster.ExecutorID]retiredIncarnation
	sorted          []*executorState // by ID; nil after a change of executors
	dirty           bool             // something changed that may allow new starts or writes
	firstListAt     time.Time        // when executors were listed first
	plannedAt       time.Time        // when starts were planned last
	planAt          time.Time        // when to plan again if nothing changes before
	fenced          bool
	renewalDisabled bool // leases of runs must not be renewed: the term is not confirmed

	// commandWindow bounds the commands in flight to all executors; zero for no bound. commandsFrom is the
	// executor that comes first next time, since the bound left it out.
	commandWindow int
	commandsFrom  cluster.ExecutorID

	unreached unreachedExecutors
	path      responsePath

	waitingStoredAt time.Time
	waitingDirty    bool

	loadComputedAt time.Time
	lastLoad       Load      // as stored last
	loadDueSince   time.Time // when the load was first due; see loadWaits
	loadHeld       bool      // what loadWaits returned last
	// lastMeanCapacity is the mean capacity of the confirmed executors when there were last any.
	lastMeanCapacity job.Resources
	lastTick         time.Time // when Tick was called last
	resumedAt        time.Time // when Tick was called after the last long gap
	evacuating       bool      // long-running tasks have to leave an executor
	evacuateDue      bool      // a poll result may allow another long-running task to leave
	evacuatedAt      time.Time
	leaving          []*executorState // executors that are cordoned or draining
	storingTime      time.Duration    // smoothed; see NoteStored
	loadUrgent       bool             // a cordon changed or a cordoned executor became empty
	arrivedWork      int64            // core-milliseconds, of the short jobs added in this term
	arrivedJobs      int64
	// observationGaps is as Load.ObservationGaps; batchCommitted is set until the next batch
	// is planned.
	observationGaps int64
	batchCommitted  bool

	pendingBatch *Batch

	suspects   map[*task]bool // tasks under which an executor crashed, and some that were cleared
	crashCount int            // crashes recorded by this owner
	reserved   int            // executors reserved for trials
	// crashingTaskFound is set when a task is given up because it crashes executors, until the
	// next batch sets crashingUntil.
	crashingTaskFound bool
	crashingUntil     time.Time
	crashNotes        []CrashNote
	givenUp           []GiveUpNote
	lateCompletions   []LateCompletionNote
	restartNotes      []RestartNote

	unusable unusablePeriods
	prepared preparedStarts

	admission         admissionState
	needs             needMix
	runTimes          runTimes
	reservations      []*reservation // the oldest first
	reservationCounts ReservationCounts
	searchFrom        int // the position in the usable executors at which the next search starts

	batchStats   batchStats
	lastSample   job.ID // the last job among the samples of the last report
	adviceSearch adviceSearch
	adviceCounts map[string]*AdviceCounts // by queue
}

// New returns an empty shard for an owner with the given fencing token.
func New(limits Limits, token int64) *Shard {
	return &Shard{
		limits: limits, token: token, latestToken: token,
		jobs:      map[job.ID]*jobState{},
		advised:   map[job.ID]bool{},
		shares:    map[cluster.TenantName]*tenantShare{},
		executors: map[cluster.ExecutorID]*executorState{},
		retired:   map[cluster.ExecutorID]retiredIncarnation{},
		suspects:  map[*task]bool{},
		uses:      map[cluster.TenantName]*tenantUse{},
		needs:     needMix{factor: largeFactor},

		adviceCounts: map[string]*AdviceCounts{},
	}
}

// Fenced reports whether an executor has seen a higher fencing token: the owner
// must step down.
func (s *Shard) Fenced() bool { return s.fenced }

// LeaseRenewalWindow returns how long an owner may renew leases of runs after its term was
// last confirmed. A successor that can't reach an executor, and does not know that it has
// ended, considers the runs there lost after the longest lease, counted from the takeover; the
// last lease that its predecessor renewed must have expired by then.
func LeaseRenewalWindow(l Limits) time.Duration { return l.MaxRunLease - l.RunLease }

// AllowLeaseRenewal sets whether polls may renew leases of runs.
func (s *Shard) AllowLeaseRenewal(allowed bool) { s.renewalDisabled = !allowed }

// HasJob reports whether a job was added and is not final.
func (s *Shard) HasJob(id job.ID) bool { return s.jobs[id] != nil }

// Jobs returns how many jobs are not final.
func (s *Shard) Jobs() int { return len(s.jobs) }

// AddJob adds an accepted job, with the progress that an earlier owner stored, or nil.
// A job that was added before is left as it is.
func (s *Shard) AddJob(r Record, p *Progress, now time.Time) {
	if s.jobs[r.ID] != nil {
		return
	}
	j := newJob(r)
	j.share = s.shareOf(r.Tenant)
	s.undecided = append(s.undecided, j)
	j.use = s.tenantUse(r.Tenant)
	s.jobs[r.ID] = j
	s.queue.add(j)
	s.updateAdvised(j)
	s.needs.note(j, now)
	s.dirty, s.waitingDirty = true, true
	if p == nil {
		j.createDue(now)
		return
	}
	j.restore(*p, now)
	s.addSuspects(j)
	s.inheritRuns(j, *p, now)
	j.finalise()
}

// inheritRuns adds the runs that an earlier owner may have started.
func (s *Shard) inheritRuns(j *jobState, p Progress, now time.Time) {
	for _, tp := range p.Tasks {
		t := j.task(job.TaskID{StepID: job.StepID{Job: j.ID, Occurrence: tp.Occurrence, Step: tp.Step}, Index: tp.Index})
		if t == nil || tp.Executor == "" {
			continue
		}
		e := s.holder(tp, now)
		if e.leaseBound.IsZero() {
			s.inheritLeases(e, now)
		}
		r := &run{task: t, number: tp.Run, executor: e, phase: inherited, throttle: 100, wantedThrottle: 100, prepared: tp.Prepared}
		t.current = r
		e.addRun(r)
	}
}

// Cancel cancels a job; it reports whether the shard has the job.
func (s *Shard) Cancel(id job.ID) bool {
	j := s.jobs[id]
	if j == nil {
		return false
	}
	if j.cancelled || j.state.Final() {
		return true
	}
	j.cancelled = true
	s.dirty, s.waitingDirty = true, true
	s.stopAll(j, StopCancelled)
	j.finalise()
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

// stop marks a run to be stopped by a command. A run whose start was never sent is
// discarded without one.
func (s *Shard) stop(r *run, reason StopReason) {
	if r == nil || r.stopping {
		return
	}
	r.stopping, r.stopReason = true, reason
	r.nextSend = time.Time{}
	r.executor.markDue()
}

// SetExecutors applies the latest list of the service's executors.
func (s *Shard) SetExecutors(list []cluster.Executor, now time.Time) {
	for _, e := range s.executors {
		e.listed = false
	}
	for _, listed := range list {
		s.applyEntry(listed, now)
	}
	s.forgetRetired(now)
	maps.DeleteFunc(s.executors, func(_ cluster.ExecutorID, e *executorState) bool {
		unused := !e.listed && len(e.runs) == 0 && len(e.former) == 0
		if unused {
			s.retire(e, now)
		}
		return unused
	})
	s.sorted = nil
	s.dirty = true
	s.updateLeaving()
	s.evacuate(now)
}

// updateLeaving collects the executors that are cordoned or draining.
func (s *Shard) updateLeaving() {
	s.leaving = s.leaving[:0]
	for _, e := range s.sortedExecutors() {
		if e.everDraining || e.cordoned() {
			s.leaving = append(s.leaving, e)
		}
	}
}

// SetCordons sets which executors are cordoned; cordons of executors that are missing from
// the map end.
func (s *Shard) SetCordons(cordons map[cluster.ExecutorID]Cordon, now time.Time) {
	for _, e := range s.executors {
		if e.cordon != cordons[e.ID] {
			e.cordon = cordons[e.ID]
			e.reportedEmpty = false
			s.loadUrgent = true
		}
	}
	s.dirty = true
	s.updateLeaving()
	s.evacuate(now)
}

// SetQueues applies the present policies of the queues. Jobs of a queue that is missing
// keep the policy that they have.
func (s *Shard) SetQueues(list []cluster.Queue) {
	policies := make(map[string]QueuePolicy, len(list))
	for _, q := range list {
		policies[q.Name] = QueuePolicyOf(q)
	}
	for _, j := range s.jobs {
		if policy, found := policies[j.Queue.Name]; found {
			j.Queue = policy
			s.updateAdvised(j)
		}
	}
	s.queue.refresh()
}

// SetTenants applies the present tenants of the operator's configuration. Changed weights apply to
// the rates of jobs that are added later.
func (s *Shard) SetTenants(list []cluster.Tenant) {
	s.tenants = make(map[cluster.TenantName]cluster.Tenant, len(list))
	for _, t := range list {
		s.tenants[t.Name] = t
	}
	for _, t := range s.shareList {
		s.configureShare(t)
	}
	s.dirty = true
}

// sortedExecutors returns the executors by ID; callers must not change the list.
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
	return cmp.Or(
		cmp.Compare(a.Job, b.Job),
		cmp.Compare(a.Occurrence, b.Occurrence),
		cmp.Compare(a.Step, b.Step),
		cmp.Compare(a.Index, b.Index),
	)
}
