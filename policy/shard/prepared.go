package shard

import (
	"slices"
	"time"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/job"
)

// A start needs a durable record of its run and executor, so that an owner starts nothing while the
// store does not respond. For the tasks that come next, the record is written ahead, with the job's
// progress: a prepared start. See docs/design/prepared-starts.md.

const (
	// storeSilentAfter is the age of the open batch from which prepared starts are used. The store
	// responds in about 4 ms; one that takes 240 ms delays two batches in a row, the open one and
	// the one with the start.
	storeSilentAfter = 100 * time.Millisecond
	// maxPreparedTasks bounds the prepared starts of one job, each of which takes about 100 bytes.
	maxPreparedTasks = 32
	// maxPreparedScan bounds the executors that are examined for a step besides those of the
	// steps before it.
	maxPreparedScan = 16
	// usePreparedInterval is the minimum time between two searches for prepared starts to use.
	usePreparedInterval = 20 * time.Millisecond
	// maxPreparedNotes bounds the notes between two calls of TakePreparedNotes; further ones are
	// dropped.
	maxPreparedNotes = 64
)

// preparedStart is a run that is written ahead for a task without a run. It is always as the last
// planned write of the job has it, so that no later write can hide a start that was sent.
type preparedStart struct {
	number   int
	executor *executorState
	version  int64 // of the job, in the first write with it
}

// preparedStarts is the part of a Shard for prepared starts.
type preparedStarts struct {
	confirmedAt time.Time // when the term was last confirmed; zero if that is not known
	searchedAt  time.Time // when prepared starts to use were last searched
	scanned     int       // executors that were examined for steps
	counts      PreparedCounts
	notes       []StartNote
}

// PreparedCounts counts prepared starts.
type PreparedCounts struct {
	Prepared   int
	Used       int // sent without waiting for the store
	Superseded int // replaced, because the task was started otherwise or the executor is gone
}

// TakePreparedNotes returns the prepared starts that were used since the last call, and the counts
// since then.
func (s *Shard) TakePreparedNotes() ([]StartNote, PreparedCounts) {
	notes, counts := s.prepared.notes, s.prepared.counts
	s.prepared.notes, s.prepared.counts = nil, PreparedCounts{}
	return notes, counts
}

// ConfirmTerm records when the store last confirmed the owner's term: when the last request that
// succeeded was sent. No prepared start is used before the first call.
func (s *Shard) ConfirmTerm(at time.Time) { s.prepared.confirmedAt = at }

// preparesStarts reports whether starts are prepared: from the first configuration with tenants, even if
// the list is empty, to the end of the term.
func (s *Shard) preparesStarts() bool { return s.tenants != nil }

// prepare prepares the starts of the job that come next, for the write that is being built.
func (b *builder) prepare(j *jobState) {
	if !b.shard.preparesStarts() || j.state.Final() || j.terminating() || j.Queue.Advice != nil || len(j.occurrences) == 0 {
		return
	}
	o := j.occurrences[0]
	left := maxPreparedTasks
	for _, st := range o.steps {
		if st.tasksLeft > 0 && mayBePrepared(st.def) {
			left = b.prepareStep(o, st, left)
		}
	}
}

// mayBePrepared reports whether starts of the step may be prepared. Those of long-running tasks,
// gangs and steps that need one rack depend on the places of other runs.
func mayBePrepared(def *job.Step) bool {
	return !def.LongRunning && !def.Gang && !def.SameRack && !def.BestEffort
}

// prepareStep prepares at most left starts of the step, and returns how many are left then.
func (b *builder) prepareStep(o *occurrence, st *step, left int) int {
	next := st.blockers > 0 && o.blockersRun(st)
	var places *preparedPlaces
	for _, t := range st.tasks {
		if t.done || t.current != nil {
			continue
		}
		if p := t.prepared; p != nil {
			if p.executor.remains() {
				left--
				continue
			}
			b.shard.supersede(t)
		}
		if !next || left <= 0 || t.crashes.suspect() {
			continue
		}
		if places == nil {
			places = b.newPreparedPlaces(o, st)
		}
		e := places.take()
		if e == nil {
			return left
		}
		t.lastRun++
		t.prepared = &preparedStart{number: t.lastRun, executor: e, version: st.job.version}
		b.shard.prepared.counts.Prepared++
		left--
	}
	return left
}

// blockersRun reports whether all tasks that the step waits for run or are done.
func (o *occurrence) blockersRun(st *step) bool {
	for _, dependency := range st.def.After {
		for _, t := range o.steps[dependency].tasks {
			if !t.done && (t.current == nil || t.current.stopping) {
				return false
			}
		}
	}
	return true
}

// remains reports whether starts that were prepared for the executor may still be used one day.
func (e *executorState) remains() bool {
	return e.listed && !e.ended && !e.everDraining && !e.cordoned()
}

// supersede drops the prepared start of a task, if there is one. The next write of its job must be
// without it.
func (s *Shard) supersede(t *task) {
	if t.prepared != nil {
		t.prepared = nil
		s.prepared.counts.Superseded++
	}
}

// takePrepared ends the preparation of a task that is started by a decision. It reports whether the
// run is the prepared one: on the same executor, and durable; its number then stays.
func (s *Shard) takePrepared(t *task, e *executorState) bool {
	p := t.prepared
	if p == nil {
		return false
	}
	if p.executor != e || t.step.job.durableVersion < p.version {
		s.supersede(t)
		return false
	}
	t.prepared = nil
	return true
}

// preparedPlaces are the executors on which the tasks of a step may be prepared to start.
type preparedPlaces struct {
	builder  *builder
	step     *step
	list     []preparedPlace
	extended bool // by executors that run no task of the steps before
}

type preparedPlace struct {
	executor *executorState
	room     job.Resources // that is expected to be free for the step
	taken    int           // tasks prepared there
}

// newPreparedPlaces returns the executors of the steps before, each with the capacity that becomes
// free there when these are done.
func (b *builder) newPreparedPlaces(o *occurrence, st *step) *preparedPlaces {
	p := &preparedPlaces{builder: b, step: st}
	for _, dependency := range st.def.After {
		for _, t := range o.steps[dependency].tasks {
			if t.current != nil {
				p.add(t.current.executor, t.step.def.Reservation())
			}
		}
	}
	return p
}

// add adds capacity that becomes free on an executor, if the step may use it.
func (p *preparedPlaces) add(e *executorState, room job.Resources) {
	for i := range p.list {
		if p.list[i].executor == e {
			p.list[i].room = p.list[i].room.Add(room)
			return
		}
	}
	if p.suits(e) {
		p.list = append(p.list, preparedPlace{executor: e, room: room})
	}
}

// suits reports whether the step may start on the executor. Far from its data a task takes much
// longer than estimated.
func (p *preparedPlaces) suits(e *executorState) bool {
	def := p.step.def
	return e.acceptsWork(p.builder.now) && p.step.allows(e, p.builder.now) && (def.Affinity == "" || e.Rack() == def.Affinity)
}

// take returns the executor with the most room for one more task of the step; if there is none with
// enough, the best one, where room may become free.
func (p *preparedPlaces) take() *executorState {
	need := p.step.def.Reservation()
	best := p.best()
	if (best == nil || !need.Fits(best.room)) && !p.extended {
		p.extend()
		best = p.best()
	}
	if best == nil {
		return nil
	}
	best.room = best.room.Sub(need)
	best.taken++
	return best.executor
}

func (p *preparedPlaces) best() *preparedPlace {
	need := p.step.def.Reservation()
	limit := p.step.def.MaxPerServer
	var best *preparedPlace
	for i := range p.list {
		place := &p.list[i]
		if limit > 0 && place.taken >= limit {
			continue
		}
		if best == nil || place.betterThan(best, need) {
			best = place
		}
	}
	return best
}

func (p *preparedPlace) betterThan(other *preparedPlace, need job.Resources) bool {
	if fits := need.Fits(p.room); fits != need.Fits(other.room) {
		return fits
	}
	return p.room.MilliCPU > other.room.MilliCPU
}

// extend adds free capacity: that of the executors in the list, and of some others in turn.
func (p *preparedPlaces) extend() {
	p.extended = true
	for i := range p.list {
		p.list[i].room = p.list[i].room.Add(p.list[i].executor.free())
	}
	s := p.builder.shard
	known := len(p.list)
	all := s.sortedExecutors()
	examined := 0
	for i := 0; i < len(all) && examined < maxPreparedScan; i++ {
		s.prepared.scanned++
		e := all[s.prepared.scanned%len(all)]
		if !e.confirmed() {
			continue
		}
		examined++
		if !p.has(e, known) {
			p.add(e, e.free())
		}
	}
}

// has reports whether the executor is among the first n of the list.
func (p *preparedPlaces) has(e *executorState, n int) bool {
	for i := range p.list[:n] {
		if p.list[i].executor == e {
			return true
		}
	}
	return false
}

// usePrepared starts tasks by their prepared starts if the store does not respond.
func (s *Shard) usePrepared(now time.Time) {
	silent := s.openBatchAge(now) >= storeSilentAfter && !s.prepared.confirmedAt.IsZero()
	if !silent || now.Sub(s.prepared.searchedAt) < usePreparedInterval {
		return
	}
	s.prepared.searchedAt = now
	lease := s.preparedLease(now)
	s.sendDecided(lease, now)
	if !s.hasPreparedReady(lease, now) {
		return
	}
	for _, j := range s.startOrder(now) {
		for t := range j.preparedTasks() {
			if s.mayUsePrepared(t, lease, now) {
				s.startPrepared(t, lease, now)
			}
		}
	}
}

// hasPreparedReady reports whether any prepared start may be used.
func (s *Shard) hasPreparedReady(lease time.Duration, now time.Time) bool {
	for _, j := range s.queue.jobs {
		for t := range j.preparedTasks() {
			if s.mayUsePrepared(t, lease, now) {
				return true
			}
		}
	}
	return false
}

// preparedTasks yields the tasks with prepared starts whose blockers have ended.
func (j *jobState) preparedTasks() func(yield func(*task) bool) {
	return func(yield func(*task) bool) {
		if !j.started() || j.terminating() || j.Queue.Advice != nil || len(j.occurrences) == 0 {
			return
		}
		for _, st := range j.occurrences[0].steps {
			if st.blockers > 0 || st.tasksLeft == 0 {
				continue
			}
			for _, t := range st.tasks {
				if t.prepared != nil && t.current == nil && !t.done && !yield(t) {
					return
				}
			}
		}
	}
}

// preparedLease returns the longest lease of a run that begins now. A successor that can't reach the
// executor considers the run lost after MaxRunLease, counted from its takeover, which is later than
// the last confirmation of this term.
func (s *Shard) preparedLease(now time.Time) time.Duration {
	since := max(0, now.Sub(s.prepared.confirmedAt))
	return time.Duration(float64(s.limits.MaxRunLease-since-leaseMargin) / (1 + clockDrift))
}

// mayUsePrepared reports whether a task, whose blockers have ended, may start by its prepared start
// with a lease of the given length.
func (s *Shard) mayUsePrepared(t *task, lease time.Duration, now time.Time) bool {
	p := t.prepared
	if t.step.job.durableVersion < p.version {
		return false // a successor would not know of it
	}
	if u := t.step.job.use; u != nil && !u.admitsAhead(t.step.def) {
		return false
	}
	if now.Before(t.retryAt) || !t.step.allows(p.executor, now) || !t.step.def.Reservation().Fits(p.executor.free()) {
		return false
	}
	return s.mayStartAhead(t, p.executor, lease, now)
}

// mayStartAhead reports whether a start of the task that is written ahead may be sent to the executor
// before the open batch is durable, room and the limits of the step aside.
func (s *Shard) mayStartAhead(t *task, e *executorState, lease time.Duration, now time.Time) bool {
	if t.crashes.suspect() || withMargin(t.step.def.Estimate) > lease || s.mayBeListedUnreached(e.ID) {
		return false
	}
	return s.executors[e.ID] == e && e.acceptsWork(now) && e.token != 0 && s.hasStartToken(e)
}

// sendDecided lets those starts of the open batch be sent that were written ahead. They are taken out
// of the batch, which has their runs all the same.
func (s *Shard) sendDecided(lease time.Duration, now time.Time) {
	b := s.pendingBatch
	b.starts = slices.DeleteFunc(b.starts, func(r *run) bool {
		e := r.executor
		kept := r.writtenAhead && r.phase == decided && !r.stopping && e.runs[r.task.id] == r
		if !kept || !s.mayStartAhead(r.task, e, lease, now) {
			return false
		}
		r.phase = unconfirmed
		e.markDue()
		s.noteUsed(r, min(s.limits.RunLease, lease), now)
		return true
	})
}

// noteUsed sets the lease of a start that is sent ahead of the store, and notes it for the log.
func (s *Shard) noteUsed(r *run, lease time.Duration, now time.Time) {
	e := r.executor
	r.untilMs = e.clock(now) + lease.Milliseconds()
	e.extendLeaseBound(now, lease)
	s.prepared.counts.Used++
	if len(s.prepared.notes) < maxPreparedNotes {
		s.prepared.notes = append(s.prepared.notes, StartNote{r.task.id, r.number, e.ID, r.untilMs, e.free()})
	}
}

// mayBeListedUnreached reports whether the stored list of unreached executors contains this one, or
// will if the open batch becomes durable: no run may start there then.
func (s *Shard) mayBeListedUnreached(id cluster.ExecutorID) bool {
	if s.unreached.listed(id) {
		return true
	}
	if s.pendingBatch == nil {
		return false
	}
	_, listed := s.pendingBatch.Unreached[id]
	return listed
}

// startPrepared starts a task by its prepared start, whose run and executor are durable.
func (s *Shard) startPrepared(t *task, longest time.Duration, now time.Time) {
	p, e := t.prepared, t.prepared.executor
	r := &run{
		task: t, number: p.number, executor: e, phase: unconfirmed,
		checkpoint: t.checkpoint,
		throttle:   100, wantedThrottle: 100,
	}
	t.prepared = nil
	t.current = r
	t.crashes.trial = false
	e.addRun(r)
	t.step.job.markChanged()
	s.dirty = true
	s.noteUsed(r, min(s.limits.RunLease, longest), now)
}

// noteAcknowledgement records that a poll with an acknowledgement is sent.
func (e *executorState) noteAcknowledgement(token int64) {
	e.ackToken = token
	e.openAcks++
}

// settleAcknowledgement records that a poll with an acknowledgement was answered, or was certainly
// not sent. Without an open one, no later incarnation can get an acknowledgement late, and a start
// needs no higher token than the last one; during an outage of the store there is none.
func (s *Shard) settleAcknowledgement(e *executorState, poll Poll) {
	if poll.Request.AckedThrough == 0 {
		return
	}
	e.openAcks--
	if e.openAcks == 0 && s.preparesStarts() {
		e.ackToken = 0
	}
}

// mayBeUnsent reports whether the run was inherited as a prepared start and has not been seen.
func (r *run) mayBeUnsent() bool { return r.prepared && r.phase == inherited }
