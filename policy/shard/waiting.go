package shard

import (
	"slices"
	"time"

	"github.com/tarragonreach/tarragonreach/api/job"
)

// Reason says why nothing of a job runs.
type Reason string

// The reasons.
const (
	// ReasonNoExecutor: no executor that the step may use takes work now.
	ReasonNoExecutor Reason = "no-usable-executor"
	// ReasonNoCapacity: those that do have no room.
	ReasonNoCapacity Reason = "no-room"
	// ReasonLimited: a limit holds its tasks: the pause after a failure, the number for
	// each executor, a ticket, or the rest of a gang.
	ReasonLimited Reason = "held-by-a-limit"
	// ReasonUnconfirmed: runs were decided that nobody has seen at work.
	ReasonUnconfirmed Reason = "start-unsettled"
	// ReasonStoreUnavailable: it fits, and the store does not take the last batch.
	ReasonStoreUnavailable Reason = "store-away"
	// ReasonOwnerOverloaded: it fits, and the owner is short of processor time.
	ReasonOwnerOverloaded Reason = "owner-short-of-time"
	// ReasonNotItsTurn: it fits, and others go first.
	ReasonNotItsTurn Reason = "not-its-turn"
	// ReasonNotExamined: too many jobs wait for all to be examined.
	ReasonNotExamined Reason = "not-examined"
)

// Reasons are all of them.
var Reasons = []Reason{
	ReasonNoExecutor, ReasonNoCapacity, ReasonLimited, ReasonUnconfirmed,
	ReasonStoreUnavailable, ReasonOwnerOverloaded, ReasonNotItsTurn, ReasonNotExamined,
}

const (
	// slowStore is how long the store may take for a batch before it counts as away.
	slowStore = 1 * time.Second
	// reportNames bounds the jobs that one report names.
	reportNames = 32
	// reportTasks bounds the tasks of a step that a report looks at.
	reportTasks = 32
	// reportChecks bounds how often a report compares a step with an executor.
	reportChecks = 20_000
)

// Report says what has nothing running though it is due, and why.
type Report struct {
	Jobs     int                    // that have nothing running
	Oldest   time.Duration          // how long the first of them has waited
	ByReason map[Reason]ReasonCount // of these jobs
	// Samples gives the reasons of some of them; later reports name others.
	Samples map[job.ID]Reason
	// Schedulable counts the tasks, of any job, that wait though usable executors have room
	// for all of them together; FittingOldest is how long that has been so for the first
	// of their jobs.
	Schedulable       int
	SchedulableOldest time.Duration
	// Batches counts the batches since the last report, Full those that left something
	// out; Storing is how long the store has had the one that is open.
	Batches, Full int
	Storing       time.Duration
}

// ReasonCount is how many jobs wait for one reason, and which has waited longest.
type ReasonCount struct {
	Jobs       int
	Oldest     job.ID
	OldestWait time.Duration
}

// pipeline counts batches between two reports.
type pipeline struct {
	batches, full int
	opened        time.Time // when the last one was made
}

func (p *pipeline) open(now time.Time, full bool) {
	p.batches++
	if full {
		p.full++
	}
	p.opened = now
}

// Waiting reports on the jobs that have nothing running; short says that the owner is short
// of processor time. It takes a time that grows with the jobs, and is to be called at most
// once a second.
func (s *Shard) Waiting(now time.Time, short bool) Report {
	w := newWaiter(s, now, short)
	for _, j := range s.jobs {
		w.examine(j)
	}
	w.name()
	r := w.report
	r.Batches, r.Full, r.Storing = s.pipeline.batches, s.pipeline.full, s.openFor(now)
	s.pipeline = pipeline{opened: s.pipeline.opened}
	return r
}

// openFor is how long the store has had the open batch.
func (s *Shard) openFor(now time.Time) time.Duration {
	if s.pendingBatch == nil {
		return 0
	}
	return now.Sub(s.pipeline.opened)
}

// candidate is a usable executor with the room that is left beside the tasks which were
// found to fit there.
type candidate struct {
	*executorState
	left job.Resources
}

// waiter makes one report.
type waiter struct {
	shard   *Shard
	now     time.Time
	usable  []candidate
	most    job.Resources // no candidate has more room of any kind
	checks  int           // still allowed
	spent   bool          // more would have been needed
	fitting Reason        // of what fits
	report  Report
	waiting map[job.ID]Reason
	next    []job.ID // to be named: the first ones after the last that was
}

func newWaiter(s *Shard, now time.Time, short bool) *waiter {
	w := &waiter{shard: s, now: now, checks: reportChecks, fitting: ReasonNotItsTurn, waiting: map[job.ID]Reason{}}
	w.report = Report{ByReason: map[Reason]ReasonCount{}, Samples: map[job.ID]Reason{}}
	switch {
	case s.openFor(now) >= slowStore:
		w.fitting = ReasonStoreUnavailable
	case short:
		w.fitting = ReasonOwnerOverloaded
	}
	for _, e := range s.usableExecutors(now) {
		w.usable = append(w.usable, candidate{e, e.free()})
	}
	w.findMost()
	return w
}

// findMost takes in how much room is left.
func (w *waiter) findMost() {
	w.most = job.Resources{}
	for _, c := range w.usable {
		w.most = job.Resources{
			MilliCPU: max(w.most.MilliCPU, c.left.MilliCPU),
			MemoryMB: max(w.most.MemoryMB, c.left.MemoryMB),
			GPU:      max(w.most.GPU, c.left.GPU),
		}
	}
}

// examine takes one job into the report.
func (w *waiter) examine(j *jobState) {
	if j.ended() || j.state.Final() {
		return
	}
	fits := 0
	reason := Reason("")
	for _, o := range j.occurrences {
		for _, st := range o.steps {
			n, why := w.step(st)
			fits += n
			if reason == "" || why == w.fitting {
				reason = why
			}
		}
	}
	w.noteFitting(j, fits)
	switch {
	case j.runs > 0 && !j.atWork():
		w.noteIdle(j, ReasonUnconfirmed)
	case j.runs == 0 && reason != "":
		w.noteIdle(j, reason)
	default:
		j.idleSince = time.Time{}
	}
}

func (w *waiter) noteFitting(j *jobState, tasks int) {
	if tasks == 0 {
		j.fitsSince = time.Time{}
		return
	}
	if j.fitsSince.IsZero() {
		j.fitsSince = w.now
	}
	w.report.Schedulable += tasks
	w.report.SchedulableOldest = max(w.report.SchedulableOldest, w.now.Sub(j.fitsSince))
}

// noteIdle counts a job that has nothing running: since it was accepted, where nothing has
// ever run, or since a report first found it so.
func (w *waiter) noteIdle(j *jobState, reason Reason) {
	if j.idleSince.IsZero() {
		j.idleSince = w.now
		if !j.begun() && j.Definition.Schedule.Count == 0 && j.Accepted.Before(w.now) {
			j.idleSince = j.Accepted
		}
	}
	idle := w.now.Sub(j.idleSince)
	w.report.Jobs++
	w.report.Oldest = max(w.report.Oldest, idle)
	count := w.report.ByReason[reason]
	count.Jobs++
	if count.Oldest == "" || idle > count.OldestWait {
		count.Oldest, count.OldestWait = j.ID, idle
	}
	w.report.ByReason[reason] = count
	w.propose(j.ID, reason)
}

// propose keeps the first jobs by ID after the last one that was named.
func (w *waiter) propose(id job.ID, reason Reason) {
	if id <= w.shard.namedLast {
		return
	}
	at, _ := slices.BinarySearch(w.next, id)
	if at == reportNames {
		return
	}
	w.next = slices.Insert(w.next, at, id)
	w.waiting[id] = reason
	if len(w.next) > reportNames {
		delete(w.waiting, w.next[reportNames])
		w.next = w.next[:reportNames]
	}
}

func (w *waiter) name() {
	w.report.Samples = w.waiting
	w.shard.namedLast = ""
	if len(w.next) == reportNames {
		w.shard.namedLast = w.next[reportNames-1]
	}
}

// step counts the tasks of a step that wait though they fit, and says why the first one
// waits; it says nothing of a step whose turn has not come.
func (w *waiter) step(st *step) (fits int, why Reason) {
	n := st.left - st.runs
	switch {
	case st.blocked > 0 || n <= 0:
		return 0, ""
	case len(w.usable) == 0:
		return 0, ReasonNoExecutor
	case st.def.Gang && n < len(st.tasks) || !st.someReady(w.now):
		return 0, ReasonLimited
	case !st.def.Reservation().Fits(w.most):
		return 0, ReasonNoCapacity
	}
	return w.findRoom(st, n)
}

// findRoom takes the room of up to n tasks of the step, or of all of a gang, and says why
// the first one waits.
func (w *waiter) findRoom(st *step, n int) (fits int, why Reason) {
	before := w.usable
	if st.def.Gang {
		before = slices.Clone(before)
	}
	fits, allowed := w.takeRoom(st, n)
	if st.def.Gang && fits < n {
		w.usable, fits = before, 0
	}
	if fits < n {
		w.findMost()
	}
	switch {
	case fits > 0:
		return fits, w.fitting
	case w.spent:
		return 0, ReasonNotExamined
	case allowed:
		return 0, ReasonNoCapacity
	case st.def.MaxPerServer > 0 || st.job.Queue.Advice != nil:
		return 0, ReasonLimited
	default:
		return 0, ReasonNoExecutor
	}
}

// takeRoom takes the room of up to n tasks of the step; allowed reports whether any
// executor meets its conditions.
func (w *waiter) takeRoom(st *step, n int) (fits int, allowed bool) {
	for i := range w.usable {
		if fits == n {
			break
		}
		if w.checks == 0 {
			w.spent = true
			break
		}
		w.checks--
		c := &w.usable[i]
		if !st.allows(c.executorState, w.now) {
			continue
		}
		allowed = true
		here := min(n-fits, st.roomOn(c.executorState, c.left))
		for range here {
			c.left = c.left.Sub(st.def.Reservation())
		}
		fits += here
	}
	return fits, allowed
}

// someReady reports whether one of the first tasks that wait may start now.
func (st *step) someReady(now time.Time) bool {
	seen := 0
	for _, t := range st.tasks {
		if t.current != nil || t.done {
			continue
		}
		seen++
		if !now.Before(t.retryAt) || seen == reportTasks {
			return true
		}
	}
	return false
}

// atWork reports whether a run of the job was seen at work and is not being stopped.
func (j *jobState) atWork() bool {
	for _, o := range j.occurrences {
		for _, st := range o.steps {
			if st.runs > 0 && slices.ContainsFunc(st.tasks, (*task).seenAtWork) {
				return true
			}
		}
	}
	return false
}

func (t *task) seenAtWork() bool {
	return t.current != nil && t.current.phase == confirmed && !t.current.stopping
}
