package shard

import (
	"slices"
	"time"

	"github.com/tarragonreach/tarragonreach/api/job"
)

// Reason is why a job has no running task.
type Reason string

// The reasons.
const (
	// ReasonNoExecutor: no executor that the step may use is usable now.
	ReasonNoExecutor Reason = "no-usable-executor"
	// ReasonNoCapacity: the usable executors lack free capacity.
	ReasonNoCapacity Reason = "no-room"
	// ReasonReserved: free capacity is held for the larger tasks of another job.
	ReasonReserved Reason = "reserved-for-larger"
	// ReasonLimited: a limit keeps its tasks from starting: the pause after a failure, the
	// maximum per executor, executors without a ticket, or unready members of a gang.
	ReasonLimited Reason = "held-by-a-limit"
	// ReasonAwaitsAdvice: it has no tickets, and a request for them is in flight.
	ReasonAwaitsAdvice Reason = "awaits-advice"
	// ReasonAwaitsAdviceTurn: it has no tickets, and no request for them has been sent yet.
	ReasonAwaitsAdviceTurn Reason = "awaits-advice-turn"
	// ReasonNotPermitted: it has no tickets, and the advice service has permitted none of the executors that the last
	// request for them named.
	ReasonNotPermitted Reason = "no-executor-permitted"
	// ReasonTenantLimit: its tenant has as much running as its limit, or what this service has of
	// it, allows.
	ReasonTenantLimit Reason = "tenant-limit"
	// ReasonUnconfirmed: it has runs, but each is unconfirmed or being stopped.
	ReasonUnconfirmed Reason = "start-unsettled"
	// ReasonStoreUnavailable: it is schedulable, but the store has not stored the last batch.
	ReasonStoreUnavailable Reason = "store-away"
	// ReasonOwnerOverloaded: it is schedulable, but the owner is CPU-starved.
	ReasonOwnerOverloaded Reason = "owner-short-of-time"
	// ReasonNotItsTurn: it is schedulable, but other jobs go first.
	ReasonNotItsTurn Reason = "not-its-turn"
	// ReasonBeyondRate: it is beyond the rate of its tenant, and usable executors lack free capacity
	// or other jobs go first.
	ReasonBeyondRate Reason = "beyond-rate"
	// ReasonNotExamined: more jobs wait than one report examines.
	ReasonNotExamined Reason = "not-examined"
)

// Reasons lists all reasons.
var Reasons = []Reason{
	ReasonNoExecutor, ReasonNoCapacity, ReasonReserved, ReasonLimited, ReasonAwaitsAdvice,
	ReasonAwaitsAdviceTurn, ReasonNotPermitted, ReasonTenantLimit, ReasonUnconfirmed,
	ReasonStoreUnavailable, ReasonOwnerOverloaded, ReasonNotItsTurn, ReasonBeyondRate, ReasonNotExamined,
}

const (
	// storeUnavailableAfter is how long the store may take for a batch before it counts as
	// unavailable.
	storeUnavailableAfter = 1 * time.Second
	// maxReportSamples bounds the samples of one report.
	maxReportSamples = 32
	// maxReportTasks bounds the waiting tasks of a step that a report examines.
	maxReportTasks = 32
	// maxReportChecks bounds the checks of a step against an executor in one report.
	maxReportChecks = 20_000
)

// Report describes the jobs that are due and have no running task, and why, the long-running
// tasks without a live run, and the unusable executors.
type Report struct {
	Jobs     int                    // jobs without a running task
	Oldest   time.Duration          // longest time that one of them has waited
	ByReason map[Reason]ReasonCount // these jobs by reason
	// Samples holds the reasons of some of them; later reports hold others.
	Samples map[job.ID]Reason
	// Schedulable is how many of the waiting tasks of all jobs could start at the same
	// time on the free capacity of usable executors; SchedulableOldest is the longest time
	// that a job has had such tasks.
	Schedulable       int
	SchedulableOldest time.Duration
	// Batches counts the batches since the last report, Full those of them with Batch.Full
	// set; Storing is the age of the open batch.
	Batches, Full int
	Storing       time.Duration
	LongRunning   LongRunningReport
	Advice        []AdviceReport // by queue; those with nothing to report are left out
	Reservation   ReservationReport
	Executors     ExecutorReport
	Tenants       []TenantReport // by name; none if the operator configured none
}

// ReasonCount counts the jobs that wait for one reason, with the one that has waited
// longest.
type ReasonCount struct {
	Jobs       int
	Oldest     job.ID
	OldestWait time.Duration
}

// batchStats counts batches between two reports.
type batchStats struct {
	total, full int
	openedAt    time.Time // when the last one was opened
}

func (s *batchStats) record(now time.Time, full bool) {
	s.total++
	if full {
		s.full++
	}
	s.openedAt = now
}

// Waiting reports on the jobs that have no running task, on the long-running tasks and on the
// executors; overloaded is whether the owner is CPU-starved. Its cost grows with the numbers of
// jobs, long-running tasks and executors: call it at most once a second.
func (s *Shard) Waiting(now time.Time, overloaded bool) Report {
	s.decideExcess(now)
	b := newReportBuilder(s, now, overloaded)
	for _, j := range s.jobs {
		b.examine(j)
	}
	b.setSamples()
	r := b.report
	r.Batches, r.Full, r.Storing = s.batchStats.total, s.batchStats.full, s.openBatchAge(now)
	s.batchStats = batchStats{openedAt: s.batchStats.openedAt}
	r.Advice = s.adviceReports(now)
	r.Executors = s.executorReport(now)
	r.Tenants = s.tenantReports()
	r.Reservation = s.reservationReport()
	return r
}

// openBatchAge returns how long the store has had the open batch; 0 without one.
func (s *Shard) openBatchAge(now time.Time) time.Duration {
	if s.pendingBatch == nil {
		return 0
	}
	return now.Sub(s.batchStats.openedAt)
}

// candidate is a usable executor with the free capacity that a report has not yet reserved
// for waiting tasks.
type candidate struct {
	*executorState
	remaining job.Resources
}

// reportBuilder builds one report.
type reportBuilder struct {
	shard             *Shard
	now               time.Time
	usable            []candidate
	maxFree           job.Resources // upper bound of the remaining amounts; see updateMaxFree
	checksLeft        int           // checks of a step against an executor still allowed
	checksExhausted   bool          // more checks would have been needed
	schedulableReason Reason        // why schedulable tasks wait
	report            Report
	portions          map[*tenantUse]job.Resources // reserved for waiting tasks
	samples           map[job.ID]Reason
	sampleIDs         []job.ID // sorted: the first ones after the last sample of the last report
}

func newReportBuilder(s *Shard, now time.Time, overloaded bool) *reportBuilder {
	b := &reportBuilder{shard: s, now: now, checksLeft: maxReportChecks, schedulableReason: ReasonNotItsTurn, samples: map[job.ID]Reason{}}
	b.report = Report{ByReason: map[Reason]ReasonCount{}, Samples: map[job.ID]Reason{}}
	b.report.LongRunning.ByReason = map[Reason]int{}
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

// updateMaxFree sets maxFree to the largest remaining amounts of the candidates. It need
// not be called after each reservation: amounts that are too large cost checks only.
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

// examine adds one job to the report.
func (b *reportBuilder) examine(j *jobState) {
	if j.terminating() || j.state.Final() {
		return
	}
	fits := 0
	reason := Reason("")
	for _, o := range j.occurrences {
		for _, st := range o.steps {
			n, stepReason := b.examineStep(st)
			b.examineLongRunning(st, n, stepReason)
			fits += n
			if reason == "" || stepReason == b.schedulableReason {
				reason = stepReason
			}
		}
	}
	b.noteSchedulable(j, fits)
	if j.excess && (reason == ReasonNoCapacity || reason == ReasonNotItsTurn) {
		reason = ReasonBeyondRate
	}
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

// noteIdle counts a job without a running task. The wait of an unscheduled job that has
// never started is counted from its acceptance, any other from when a report first found
// the job idle.
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

// addSample keeps the first jobs by ID after the last sample of the last report.
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

// setSamples completes the samples and records where the next report continues.
func (b *reportBuilder) setSamples() {
	b.report.Samples = b.samples
	b.shard.lastSample = ""
	if len(b.sampleIDs) == maxReportSamples {
		b.shard.lastSample = b.sampleIDs[maxReportSamples-1]
	}
}

// examineStep counts the schedulable tasks of a step and returns why its first waiting
// task waits; "" if the step is blocked or no task waits.
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
	case len(b.shard.reservations) > 0 && !st.heldBackAt.IsZero() && st.heldBackAt.Equal(b.shard.plannedAt):
		return 0, ReasonReserved
	}
	if n = b.withinPortion(st, n); n == 0 {
		return 0, ReasonTenantLimit
	}
	return b.fitTasks(st, n)
}

// fitTasks reserves capacity for up to n tasks of the step, for a gang for all n or none,
// and returns why the first one waits.
func (b *reportBuilder) fitTasks(st *step, n int) (fits int, reason Reason) {
	saved := b.usable
	if st.def.Gang {
		saved = slices.Clone(saved)
	}
	fits, allowed := b.reserve(st, n)
	if st.def.Gang && fits < n {
		b.usable, fits = saved, 0
	}
	if fits < n {
		b.updateMaxFree()
	}
	b.notePortion(st, fits)
	switch {
	case fits > 0:
		return fits, b.schedulableReason
	case b.checksExhausted:
		return 0, ReasonNotExamined
	case allowed:
		return 0, ReasonNoCapacity
	case b.shard.lacksTickets(st, b.now):
		return 0, st.tickets.reason()
	case st.def.MaxPerServer > 0 || st.job.Queue.Advice != nil:
		return 0, ReasonLimited
	default:
		return 0, ReasonNoExecutor
	}
}

// reserve reserves capacity for up to n tasks of the step; allowed reports whether any
// examined executor meets its constraints.
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
		reserved := min(n-fits, st.capacityOn(c.executorState, c.remaining))
		for range reserved {
			c.remaining = c.remaining.Sub(st.def.Reservation())
		}
		fits += reserved
	}
	return fits, allowed
}

// anyReady reports whether one of the first waiting tasks may start now; it assumes so
// after maxReportTasks.
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

// isRunning reports whether a run of the job is confirmed and not being stopped.
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
