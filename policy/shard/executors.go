package shard

import (
	"cmp"
	"slices"
	"time"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/execution"
	"github.com/tarragonreach/tarragonreach/api/job"
)

// Evacuation is whether and how an executor is evacuated.
type Evacuation uint8

const (
	// NotEvacuated allows new work on the executor.
	NotEvacuated Evacuation = iota
	// EvacuateGracefully lets short runs complete.
	EvacuateGracefully
	// EvacuatePreempting also stops runs of late jobs: the machine is needed for jobs of
	// another service that can still be in time.
	EvacuatePreempting
)

// Cordon is a request of the fleet planner to evacuate an executor. The ID distinguishes it
// from earlier and later cordons of the same executor.
type Cordon struct {
	ID         string
	Evacuation Evacuation
}

// cordoned reports whether the executor is evacuated and gets no new work.
func (e *executorState) cordoned() bool { return e.cordon.Evacuation != NotEvacuated }

// executorState is the owner's view of one incarnation of an executor.
type executorState struct {
	cluster.Executor
	// token is the fencing token of all calls to it; zero until there is one above outdatedToken,
	// up to which calls to earlier incarnations may be on their way.
	token           int64
	outdatedToken   int64
	ackToken        int64             // the highest token of a poll with an acknowledgement; where starts are prepared, zero if no such poll is open
	openAcks        int               // polls with an acknowledgement that were not answered
	restarted       bool              // there was an earlier incarnation
	supersededAt    time.Time         // when a later incarnation was learned of; zero if there is none
	doubtedAt       time.Time         // when a reply last seemed to come from another one; zero after a poll
	former          []*executorState  // earlier incarnations, the earliest first, whose runs are not settled
	claimed         bool              // only an entry states this birth; see entries.go
	replaced        *executorState    // the incarnation known before, while this one is only claimed
	rival           *cluster.Executor // the latest entry of an earlier birth, while this one is only claimed
	disproved       cluster.Birth     // of the last entry that a response of this incarnation has disproved
	entered         bool              // an entry of this incarnation was applied
	provenAddress   string            // where it has responded, or had runs of an earlier owner
	entryAddress    string            // in its latest entry
	entryCapacity   job.Resources     // in its latest entry, since capacitySince
	capacitySince   time.Time
	grantedCapacity job.Resources // up to which that of the latest entry counts; see enter
	listed          bool          // in the latest list
	everDraining    bool          // was ever listed as draining
	cordon          Cordon
	// reportedEmpty is set once a load has shown it without runs under the present cordon.
	reportedEmpty bool
	ended         bool // it has ended: another executor has its address or its machine, or none has
	knownSince    time.Time

	used job.Resources
	runs map[job.TaskID]*run
	// runOrder holds the same runs in the order in which they were added.
	runOrder []*run
	// longRunning is the number of runs of long-running tasks; serving is the number of
	// runs of latency-sensitive tasks, which serve users.
	longRunning int
	serving     int
	// orphans are runs that the executor lists though this owner expects none there.
	orphans map[orphanKey]*orphan

	polled        bool  // has responded to a poll with our fencing token
	clockMs       int64 // the executor's clock at clockAt, as of its last poll response
	clockAt       time.Time
	clockSentAt   time.Time // when the poll with that response was sent
	clockInTimeAt time.Time // when the last poll response came in time
	renewalPaused bool      // the last poll failed: no lease renewal until one succeeds
	// leaseBound is when the leases of all runs there have certainly expired, unless
	// they are renewed.
	leaseBound time.Time
	unreached  unreachedExecutor

	commandsInFlight int
	// commandsAt is the time before which no run needs a command; markDue resets it.
	commandsAt    time.Time
	polling       bool
	longResponse  bool      // the response to the poll in flight may be long
	longAllowedAt time.Time // when the latest poll with a long response before the first contact was sent
	pollAt        time.Time // earliest time of the next poll
	lastResponse  time.Time // when the last successful poll response came
	failedCalls   int       // failed polls and commands in a row
	// unansweredCalls is the number of calls without a response since the last one with a
	// response, be it a refusal; missingLists is the number of machine lists since then that
	// lack the executor.
	unansweredCalls int
	missingLists    int
	aliveMs         int64     // the latest time on its clock at which it is known to have lived
	trials          int       // runs there that are isolated
	reserved        bool      // for the trial of a suspect; see isolation.go
	hold            *hold     // keeps room for a large task; nil if none does
	heldSince       time.Time // when the present or last period of holds began; see mayHold
	failingSince    time.Time // when the first of the unanswered calls failed; zero if there are none
	lastFailedPoll  time.Time // when the last failed poll was sent
	// responseExpectedAt is when the response was expected at the latest to the last poll that was sent before
	// leaseBound.
	responseExpectedAt time.Time
	inTimeSentAt       time.Time // when the last call was sent that got a response in time
	witness            bool      // its response is wanted; see searchWitnesses

	appliedSequence int64 // completions up to here were applied
	durableSequence int64 // completions up to here are durable, to be acknowledged
	ackedSequence   int64 // completions up to here were acknowledged to the executor
	pending         []pendingCompletion

	health health
	// stalledUntil is the time until which it gets no work because tasks stalled there.
	stalledUntil time.Time
}

// pendingCompletion is a completion whose state change is not durable yet.
type pendingCompletion struct {
	sequence int64
	job      *jobState
	version  int64
}

type orphanKey struct {
	task job.TaskID
	run  int
}

func compareOrphans(a, b orphanKey) int {
	return cmp.Or(compareTasks(a.task, b.task), cmp.Compare(a.run, b.run))
}

type orphan struct {
	inFlight bool
	nextSend time.Time
}

func newExecutor(e cluster.Executor, now time.Time) *executorState {
	return &executorState{Executor: e, knownSince: now, runs: map[job.TaskID]*run{}, orphans: map[orphanKey]*orphan{}}
}

// recordCall records whether a call got a response of the executor.
func (e *executorState) recordCall(delivery Delivery, refusal execution.Refusal, now time.Time) {
	if delivery == Responded && refusal != execution.RefusedWrongExecutor {
		e.unansweredCalls, e.missingLists, e.failingSince = 0, 0, time.Time{}
		return
	}
	if e.unansweredCalls == 0 {
		e.failingSince = now
	}
	e.unansweredCalls++
}

// markDue notes that a run or an orphan may need a command now.
func (e *executorState) markDue() { e.commandsAt = time.Time{} }

// overcommitted reports whether its runs use more than its capacity, which may have shrunk.
func (e *executorState) overcommitted() bool { return !e.used.Fits(e.Capacity) }

// free returns the capacity that no run uses or may use.
func (e *executorState) free() job.Resources { return e.Capacity.Sub(e.used) }

func (e *executorState) addRun(r *run) {
	e.markDue()
	e.runs[r.task.id] = r
	e.runOrder = append(e.runOrder, r)
	e.used = e.used.Add(r.task.step.def.Reservation())
	e.countRun(r.task.step, 1)
}

func (e *executorState) countRun(st *step, by int) {
	st.runs += by
	st.job.runs += by
	st.job.share.countRun(st, by)
	if u := st.job.use; u != nil {
		u.used = u.used.Add(multiply(st.def.Need, by))
	}
	if st.def.LongRunning {
		e.longRunning += by
	}
	if st.def.TargetLatency > 0 {
		e.serving += by
	}
}

func (e *executorState) removeRun(r *run) {
	if e.runs[r.task.id] != r {
		return
	}
	delete(e.runs, r.task.id)
	e.endTrial(r)
	e.runOrder = slices.DeleteFunc(e.runOrder, func(other *run) bool { return other == r })
	e.used = e.used.Sub(r.task.step.def.Reservation())
	e.countRun(r.task.step, -1)
}

// clock returns a lower bound of the executor's clock, in milliseconds. A lease that is
// counted from it therefore lasts no longer than requested, however old the last reading
// is. A later owner relies on that when it fences off this one.
func (e *executorState) clock(now time.Time) int64 {
	elapsed := float64(now.Sub(e.clockAt).Milliseconds())
	return e.clockMs + int64(elapsed*(1-clockDrift))
}

// extendLeaseBound moves leaseBound past the end of a lease of length d sent at now.
func (e *executorState) extendLeaseBound(now time.Time, d time.Duration) {
	if bound := now.Add(maxLeaseTime(d)); bound.After(e.leaseBound) {
		e.leaseBound = bound
	}
}

// maxLeaseTime returns the time after which a lease of length d, counted on an executor's
// clock, has certainly expired.
func maxLeaseTime(d time.Duration) time.Duration {
	return d + time.Duration(clockDrift*float64(d)) + leaseMargin
}

// advanceDurable advances durableSequence over the completions whose state change is
// durable.
func (e *executorState) advanceDurable() {
	for len(e.pending) > 0 {
		first := e.pending[0]
		if first.job != nil && first.job.durableVersion < first.version {
			return
		}
		e.durableSequence = first.sequence
		e.pending = e.pending[1:]
	}
}

// allowsTrial reports whether a trial run may be placed there: the executor is suspect, its
// pause is over, and no other short run there may still show whether it is healthy.
func (e *executorState) allowsTrial(now time.Time) bool {
	return e.available(now) && e.health.trialDue(now) && len(e.runs) == e.longRunning
}

// usableExecutors returns the executors on which new runs may be placed without
// restriction, by ID.
func (s *Shard) usableExecutors(now time.Time) []*executorState {
	return s.executorsWith(func(e *executorState) bool { return e.usable(now) })
}

// trialExecutors returns the suspect executors on which a trial run may be placed, by ID.
func (s *Shard) trialExecutors(now time.Time) []*executorState {
	return s.executorsWith(func(e *executorState) bool { return e.allowsTrial(now) })
}

func (s *Shard) executorsWith(condition func(*executorState) bool) []*executorState {
	var list []*executorState
	for _, e := range s.sortedExecutors() {
		if condition(e) {
			list = append(list, e)
		}
	}
	return list
}

// runsOf returns how many runs of a step the executor has.
func (e *executorState) runsOf(s *step) int {
	n := 0
	for _, r := range e.runs {
		if r.task.step == s {
			n++
		}
	}
	return n
}

// hasLongRunning reports whether the executor has runs of long-running tasks.
func (e *executorState) hasLongRunning() bool { return e.longRunning > 0 }
