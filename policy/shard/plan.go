package shard

import (
	"slices"
	"time"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/job"
)

// Batch is what must become durable together before its starts may be sent.
type Batch struct {
	Jobs []JobWrite
	// Waiting counts the unstarted jobs by queue; nil keeps what is stored.
	Waiting map[string]int
	// Load is the input of the fleet planner; nil keeps what is stored.
	Load *Load
	// Admission is published for the instances; nil keeps what is stored.
	Admission *Admission
	// Unreached is stored with the write marker.
	Unreached Unreached
	// Full is set if writes or starts were left out for lack of entries.
	Full bool

	starts    []*run
	plannedAt time.Time
}

// JobWrite is the new durable state of one job.
type JobWrite struct {
	ID           job.ID
	Queue        string
	Tenant       cluster.TenantName
	State        job.State
	StateChanged bool      // the state that callers read changes
	Progress     *Progress // nil if the job is final
	HadProgress  bool      // progress was stored before
	Cancelled    bool

	job     *jobState
	version int64
}

// Entries returns how many entries of a store transaction the write takes: one for the
// progress, or, if the job is final, one each to remove the record, stored progress and
// a cancellation; and one for the state if it changes.
func (w JobWrite) Entries() int {
	return entriesOf(w.State, w.StateChanged, w.HadProgress, w.Cancelled)
}

func entriesOf(state job.State, stateChanged, hadProgress, cancelled bool) int {
	n := 1
	if stateChanged {
		n++
	}
	if state.Final() && hadProgress {
		n++
	}
	if state.Final() && cancelled {
		n++
	}
	return n
}

// entries returns how many entries a write of the job takes in its present state.
func (j *jobState) entries() int {
	return entriesOf(j.state, j.state != j.published, j.progressStored, j.cancelled)
}

// StartNote describes one start of a batch for the log.
type StartNote struct {
	Task     job.TaskID
	Run      int
	Executor cluster.ExecutorID
	UntilMs  int64         // end of its lease on the executor's clock
	Free     job.Resources // free on the executor after the starts
}

// Starts returns the starts that the batch makes durable.
func (b *Batch) Starts() []StartNote {
	notes := make([]StartNote, len(b.starts))
	for i, r := range b.starts {
		notes[i] = StartNote{r.task.id, r.number, r.executor.ID, r.untilMs, r.executor.free()}
	}
	return notes
}

const (
	// waitingEntries is how many entries the counts of waiting jobs take.
	waitingEntries = 1
	// loadEntries is how many entries the load takes.
	loadEntries = 1
)

// Batch returns what must be stored next, in at most maxEntries entries of a store
// transaction, or nil. It plans the starts that fit. A batch is open until Committed;
// there is one at a time.
func (s *Shard) Batch(now time.Time, maxEntries int) *Batch {
	if s.pendingBatch != nil || s.fenced {
		return nil
	}
	s.expireRuns(now)
	s.grantCapacities(now)
	if s.batchCommitted {
		s.batchCommitted = false
		s.NoteObservation(now.Sub(s.batchStats.openedAt)) // no load was published meanwhile
	}
	s.decideExcess(now)
	s.updateSurpluses(now)
	s.resetBlocked()
	b := &builder{shard: s, now: now, entriesLeft: maxEntries - loadEntries, startsLeft: s.startBudget(), included: map[*jobState]bool{}}
	changed := b.changed()
	b.reserveAdmission()
	b.addWaiting()
	b.addFinal(changed)
	b.addDelayed(changed)
	b.startSuspects()
	b.addStarts()
	b.boundBlocked()
	b.addAdmission()
	b.addRest(changed)
	b.addLoad()
	batch := b.build()
	s.planAt = now.Add(replanInterval)
	if batch == nil {
		s.dirty = false
		return nil
	}
	s.pendingBatch = batch
	s.batchStats.record(now, batch.Full)
	return batch
}

// replanInterval bounds how late the shard acts on the passage of time: a task may be
// tried again, a scheduled one is due, or a lease has expired.
const replanInterval = 100 * time.Millisecond

// Committed records that the open batch is durable.
func (s *Shard) Committed() {
	b := s.pendingBatch
	s.pendingBatch = nil
	s.batchCommitted = true
	s.dirty = true
	s.unreached.stored, s.unreached.storedAt = b.Unreached, b.plannedAt
	for _, w := range b.Jobs {
		w.job.durableVersion = w.version
		w.job.changedAt = time.Time{}
		w.job.published = w.State
		w.job.progressStored = true
		if w.State.Final() {
			w.job.durableVersion = w.job.version
			delete(s.jobs, w.ID)
			s.queue.remove(w.job)
			delete(s.advised, w.ID)
		}
	}
	for _, r := range b.starts {
		if r.phase == decided {
			r.phase = unconfirmed
			r.executor.markDue()
		}
	}
	for _, e := range s.executors {
		e.advanceDurable()
	}
}

// Pending reports whether Batch may have something to store or to start.
func (s *Shard) Pending(now time.Time) bool {
	due := s.dirty || (len(s.jobs) > 0 || s.loadHeld) && !now.Before(s.planAt) || s.admission.pending(now)
	return due && s.pendingBatch == nil
}

// builder plans one batch.
type builder struct {
	shard       *Shard
	now         time.Time
	entriesLeft int // entries still free
	startsLeft  int // starts that the commands in flight leave room for
	included    map[*jobState]bool
	jobs        []*jobState
	batch       Batch

	candidates   []*executorState
	trials       []*executorState // suspect executors, for trial runs
	trialsListed bool
	stalled      []*executorState // executors on which tasks stalled, for long-running tasks
	// unplaceable lists needs for which no executor had capacity; see isUnplaceable.
	unplaceable []unplaceable
	// roomless lists needs for which no listed executor had capacity, usable or not; see hasRoom.
	roomless []job.Resources

	uneven          unevenness
	reserved        bool // this batch has made a reservation
	searches        int  // for a reservation
	refusedByHold   bool // the last search for an executor found one that is held
	refusedBySlack  bool // the same, held for a step that has not had its turn
	releases        []expectedRelease
	latestStartStep *step // that latestStartTime is about
	latestStartTime time.Time
}

func (b *builder) addWaiting() {
	s := b.shard
	if !s.waitingDirty || b.now.Sub(s.waitingStoredAt) < waitingInterval {
		return
	}
	counts := map[string]int{}
	for _, j := range s.jobs {
		if !j.started() && !j.terminating() && j.Definition.Schedule.Count == 0 {
			counts[j.Queue.Name]++
		}
	}
	s.waitingDirty = false
	s.waitingStoredAt = b.now
	b.batch.Waiting = counts
	b.entriesLeft -= waitingEntries
}

// add includes the job in the batch if enough entries are left.
func (b *builder) add(j *jobState) {
	if b.included[j] {
		return
	}
	cost := j.entries()
	if cost > b.entriesLeft {
		b.batch.Full = true
		return
	}
	b.entriesLeft -= cost
	b.included[j] = true
	b.jobs = append(b.jobs, j)
}

// startFits reports whether enough entries are left for a start of the job: for its
// progress, and for its state if that changes.
func (b *builder) startFits(j *jobState) bool {
	cost := 0
	if !b.included[j] {
		cost += j.entries()
	}
	if j.state == job.Queued {
		cost++
	}
	if cost > b.entriesLeft {
		b.batch.Full = true
		return false
	}
	return true
}

// addFinal adds the jobs that have become final, since their callers wait for that.
func (b *builder) addFinal(changed []*jobState) {
	for _, j := range changed {
		if j.state.Final() {
			b.add(j)
		}
	}
}

// maxChangeDelay is how long a change of a job may be postponed in favour of starts of
// other jobs.
const maxChangeDelay = 150 * time.Millisecond

// addDelayed adds the jobs whose changes have waited longer than maxChangeDelay:
// executors list completions again until they are acknowledged.
func (b *builder) addDelayed(changed []*jobState) {
	for _, j := range changed {
		if b.now.Sub(j.changedAt) > maxChangeDelay {
			b.add(j)
		}
	}
}

// addRest adds the other changed jobs, as far as entries are left after the starts.
func (b *builder) addRest(changed []*jobState) {
	for _, j := range changed {
		b.add(j)
	}
}

// changed returns the jobs with changes that are not durable, by time of acceptance.
func (b *builder) changed() []*jobState {
	list := make([]*jobState, 0, len(b.shard.jobs))
	for _, j := range b.shard.jobs {
		if j.version == j.durableVersion {
			continue
		}
		if j.changedAt.IsZero() {
			j.changedAt = b.now
		}
		list = append(list, j)
	}
	slices.SortFunc(list, compareAcceptance)
	return list
}

func (b *builder) addStarts() {
	b.shard.plannedAt = b.now
	b.resumeReservations()
	defer b.closeReservations()
	for _, j := range b.shard.startOrder(b.now) {
		j.createDue(b.now)
		if b.isFullFor(j) || b.skip(j) {
			continue
		}
		for _, o := range j.occurrences {
			for _, st := range o.steps {
				if st.blockers == 0 && st.tasksLeft > 0 {
					b.startStep(st)
				}
			}
		}
	}
}

// isFullFor reports whether the batch certainly has no entry left for the job.
func (b *builder) isFullFor(j *jobState) bool {
	return b.batch.Full && b.entriesLeft <= 0 && !b.included[j]
}

func (b *builder) startStep(st *step) {
	if b.startsLeft <= 0 {
		return
	}
	if b.isUnplaceable(st) && len(b.trialCandidates()) == 0 && !st.def.LongRunning {
		b.considerReservation(st)
		return
	}
	var ready []*task
	for _, t := range st.tasks {
		if t.current == nil && !t.done && !b.now.Before(t.retryAt) && !b.shard.mustIsolate(t, b.now) {
			ready = append(ready, t)
		}
	}
	if len(ready) == 0 || st.def.Gang && len(ready) < len(st.tasks) {
		return
	}
	if !b.startFits(st.job) {
		return
	}
	if !st.def.Gang {
		ready = ready[:min(len(ready), b.startsLeft)]
	}
	admitted := b.withinPortion(st, ready)
	var runs []*run
	if len(admitted) > 0 {
		runs = b.place(st, admitted)
	}
	if len(runs) > 0 {
		b.addRuns(st, runs)
	}
	if len(admitted) < len(ready) {
		b.noteBlocked(st, ready, admitted, len(runs))
	}
}

// addRuns adds the starts of a step's runs to the batch.
func (b *builder) addRuns(st *step, runs []*run) {
	if st.job.state == job.Queued {
		st.job.state = job.Running
		b.shard.waitingDirty = true
		if b.included[st.job] {
			b.entriesLeft-- // the batch stores its state as well
		}
	}
	st.job.markChanged()
	st.tickets.used = true
	b.add(st.job)
	b.batch.starts = append(b.batch.starts, runs...)
	b.startsLeft -= len(runs)
}

// addLoad adds the load after the starts of the batch, if it is due and has changed.
func (b *builder) addLoad() {
	s := b.shard
	if b.now.Sub(s.loadComputedAt) < s.minLoadInterval() || s.loadWaits(b.now) {
		return
	}
	s.loadUrgent, s.loadComputedAt = false, b.now
	load := s.load(b.now)
	if load.equal(s.lastLoad) {
		return
	}
	s.lastLoad = load
	b.batch.Load = &load
}

func (b *builder) build() *Batch {
	b.batch.Unreached = b.shard.currentlyUnreached(b.now)
	unreachedDue := b.shard.unreached.due(b.batch.Unreached, b.now)
	if len(b.jobs) == 0 && b.batch.Waiting == nil && b.batch.Load == nil && b.batch.Admission == nil && !unreachedDue && !b.shard.tokenWanted {
		return nil
	}
	for _, j := range b.jobs {
		b.prepare(j)
		w := JobWrite{
			ID: j.ID, Queue: j.Queue.Name, Tenant: j.Tenant, State: j.state, StateChanged: j.state != j.published,
			HadProgress: j.progressStored, Cancelled: j.cancelled, job: j, version: j.version,
		}
		if !j.state.Final() {
			p := j.progress()
			w.Progress = &p
		}
		b.batch.Jobs = append(b.batch.Jobs, w)
	}
	b.batch.plannedAt = b.now
	return &b.batch
}
