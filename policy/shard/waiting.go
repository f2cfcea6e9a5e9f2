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
	storeUnavailableAfter = 1 * time.Second
	// reportNames bounds the jobs that one report names.
	maxReportSamples = 32
	// reportTasks bounds the tasks of a step that a report looks at.
	maxReportTasks = 32
	// reportChecks bounds how often a report compares a step with an executor.
	maxReportChecks = 20_000
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
type batchStats struct {
	total, full int
	openedAt    time.Time // when the last one was made
}

func (s *batchStats) record(now time.Time, full bool) {
	s.total++
	if full {
		s.full++
	}
	s.openedAt = now
}

// Waiting reports on the jobs that have nothing running; short says that the owner is short
// of processor time. It takes a time that grows with the jobs, and is to be called at most
// once a second.
func (s *Shard) Waiting(now time.Time, overloaded bool) Report {
	b := newReportBuilder(s, now, overloaded)
	for _, j := range s.jobs {
		b.examine(j)
	}
	b.setSamples()
	r := b.report
	r.Batches, r.Full, r.Storing = s.batchStats.total, s.batchStats.full, s.openBatchAge(now)
	s.batchStats = batchStats{openedAt: s.batchStats.openedAt}
	return r
}

// openFor is how long the store has had the open batch.
func (s *Shard) openBatchAge(now time.Time) time.Duration {
	if s.pendingBatch == nil {
		return 0
	}
	return now.Sub(s.batchStats.openedAt)
}

// candidate is a usable executor with the room that is left beside the tasks which were
// found to fit there.
type candidate struct {
	*executorState
	remaining job.Resources
}

// waiter makes one report.
type reportBuilder struct {
	shard             *Shard
	now               time.Time
	usable            []candidate
	maxFree           job.Resources // no candidate has more room of any kind
	checksLeft        int           // still allowed
	checksExhausted   bool          // more would have been needed
	schedulableReason Reason        // of what fits
	report            Report
	samples           map[job.ID]Reason
	sampleIDs         []job.ID // to be named: the first ones after the last that was
}

func newReportBuilder(s *Shard, now time.Time, overloaded bool) *reportBuilder {
	b := &reportBuilder{shard: s, now: now, checksLeft: maxReportChecks, schedulableReason: ReasonNotItsTurn, samples: map[job.ID]Reason{}}
	b.report = Report{ByReason: map[Reason]ReasonCount{}, Samples: map[job.ID]Reason{}}
	switch {
	case s.openBatchAge(now) >= storeUnavailableAfter:
		b.schedulableReason = ReasonStoreUnavailable
	case overloaded:
		b.schedulableReason = ReasonOwnerOverloaded
	}
	for _, e := range s.usableExecutors(now) {
		b.usable = append(b.usable, candidate{e, e.free()})
	}
	b.updateMaxFree()
	return b
}

// findMost takes in how much room is left.
func (b *reportBuilder) updateMaxFree() {
	b.maxFree = job.Resources{}
	for _, c := range b.usable {
		b.maxFree = job.Resources{
			MilliCPU: max(b.maxFree.MilliCPU, c.remaining.MilliCPU),
			MemoryMB: max(b.maxFree.MemoryMB, c.remaining.MemoryMB),
			GPU:      max(b.maxFree.GPU, c.remaining.GPU),
		}
	}
}

// examine takes one job into the report.
func (b *reportBuilder) examine(j *jobState) {
	if j.terminating() || j.state.Final() {
		return
	}
	fits := 0
	reason := Reason("")
	for _, o := range j.occurrences {
		for _, st := range o.steps {
			n, stepReason := b.examineStep(st)
			fits += n
			if reason == "" || stepReason == b.schedulableReason {
				reason = stepReason
			}
		}
	}
	b.noteSchedulable(j, fits)
	switch {
	case j.runs > 0 && !j.isRunning():
		b.noteIdle(j, ReasonUnconfirmed)
	case j.runs == 0 && reason != "":
		b.noteIdle(j, reason)
	default:
		j.idleSince = time.Time{}
	}
}

func (b *reportBuilder) noteSchedulable(j *jobState, tasks int) {
	if tasks == 0 {
		j.schedulableSince = time.Time{}
		return
	}
	if j.schedulableSince.IsZero() {
		j.schedulableSince = b.now
	}
	b.report.Schedulable += tasks
	b.report.SchedulableOldest = max(b.report.SchedulableOldest, b.now.Sub(j.schedulableSince))
}

// noteIdle counts a job that has nothing running: since it was accepted, where nothing has
// ever run, or since a report first found it so.
func (b *reportBuilder) noteIdle(j *jobState, reason Reason) {
	if j.idleSince.IsZero() {
		j.idleSince = b.now
		if !j.started() && j.Definition.Schedule.Count == 0 && j.Accepted.Before(b.now) {
			j.idleSince = j.Accepted
		}
	}
	idle := b.now.Sub(j.idleSince)
	b.report.Jobs++
	b.report.Oldest = max(b.report.Oldest, idle)
	count := b.report.ByReason[reason]
	count.Jobs++
	if count.Oldest == "" || idle > count.OldestWait {
		count.Oldest, count.OldestWait = j.ID, idle
	}
	b.report.ByReason[reason] = count
	b.addSample(j.ID, reason)
}

// propose keeps the first jobs by ID after the last one that was named.
func (b *reportBuilder) addSample(id job.ID, reason Reason) {
	if id <= b.shard.lastSample {
		return
	}
	at, _ := slices.BinarySearch(b.sampleIDs, id)
	if at == maxReportSamples {
		return
	}
	b.sampleIDs = slices.Insert(b.sampleIDs, at, id)
	b.samples[id] = reason
	if len(b.sampleIDs) > maxReportSamples {
		delete(b.samples, b.sampleIDs[maxReportSamples])
		b.sampleIDs = b.sampleIDs[:maxReportSamples]
	}
}

func (b *reportBuilder) setSamples() {
	b.report.Samples = b.samples
	b.shard.lastSample = ""
	if len(b.sampleIDs) == maxReportSamples {
		b.shard.lastSample = b.sampleIDs[maxReportSamples-1]
	}
}

// step counts the tasks of a step that wait though they fit, and says why the first one
// waits; it says nothing of a step whose turn has not come.
func (b *reportBuilder) examineStep(st *step) (fits int, reason Reason) {
	n := st.tasksLeft - st.runs
	switch {
	case st.blockers > 0 || n <= 0:
		return 0, ""
	case len(b.usable) == 0:
		return 0, ReasonNoExecutor
	case st.def.Gang && n < len(st.tasks) || !st.anyReady(b.now):
		return 0, ReasonLimited
	case !st.def.Reservation().Fits(b.maxFree):
		return 0, ReasonNoCapacity
	}
	return b.fitTasks(st, n)
}

// findRoom takes the room of up to n tasks of the step, or of all of a gang, and says why
// the first one waits.
func (b *reportBuilder) fitTasks(st *step, n int) (fits int, reason Reason) {
	usable := b.usable
	if st.def.Gang {
		usable = slices.Clone(usable)
	}
	fits, allowed := b.reserve(st, n)
	if st.def.Gang && fits < n {
		b.usable, fits = usable, 0
	}
	if fits < n {
		b.updateMaxFree()
	}
	switch {
	case fits > 0:
		return fits, b.schedulableReason
	case b.checksExhausted:
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
func (b *reportBuilder) reserve(st *step, n int) (fits int, allowed bool) {
	for i := range b.usable {
		if fits == n {
			break
		}
		if b.checksLeft == 0 {
			b.checksExhausted = true
			break
		}
		b.checksLeft--
		c := &b.usable[i]
		if !st.allows(c.executorState, b.now) {
			continue
		}
		allowed = true
		here := min(n-fits, st.capacityOn(c.executorState, c.remaining))
		for range here {
			c.remaining = c.remaining.Sub(st.def.Reservation())
		}
		fits += here
	}
	return fits, allowed
}

// someReady reports whether one of the first tasks that wait may start now.
func (st *step) anyReady(now time.Time) bool {
	seen := 0
	for _, t := range st.tasks {
		if t.current != nil || t.done {
			continue
		}
		seen++
		if !now.Before(t.retryAt) || seen == maxReportTasks {
			return true
		}
	}
	return false
}

// atWork reports whether a run of the job was seen at work and is not being stopped.
func (j *jobState) isRunning() bool {
	for _, o := range j.occurrences {
		for _, st := range o.steps {
			if st.runs > 0 && slices.ContainsFunc(st.tasks, (*task).seenRunning) {
				return true
			}
		}
	}
	return false
}

func (t *task) seenRunning() bool {
	return t.current != nil && t.current.phase == confirmed && !t.current.stopping
}
