package shard

import (
	"time"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/job"
)

// Evacuation says whether and how an executor is to be emptied.
type Evacuation uint8

const (
	// NotEvacuated executors may be given work.
	NotEvacuated Evacuation = iota
	// EvacuateGracefully lets short runs end by themselves.
	EvacuateGracefully
	// EvacuatePreempting also stops the runs of late jobs: the machine is wanted for jobs
	// of another service that can still be in time.
	EvacuatePreempting
)

// cordoned reports whether the executor is to be emptied.
func (e *executorState) cordoned() bool { return e.evacuation != NotEvacuated }

// executorState is one life of a machine as its owner knows it.
type executorState struct {
	cluster.Executor
	listed       bool // in the latest list
	everDraining bool // was ever listed as draining
	evacuation   Evacuation
	replaced     bool // another executor answers at its address

	used job.Resources
	runs map[job.TaskID]*run
	// lasting counts the runs that go on until their job is cancelled, serving those
	// that have users of their own.
	longRunning int
	serving     int
	// strays are runs that it lists though none is due there.
	orphans map[orphanKey]*orphan

	polled        bool // has answered a look with our fencing token
	clockMs       int64
	clockAt       time.Time
	renewalPaused bool // the last look with a lease got no answer
	// leaseBound is when all that runs there has certainly ended, if nobody renews.
	leaseBound time.Time

	commandsInFlight int
	// ordersAt is until when no run needs an order, unless wake was called since.
	commandsAt     time.Time
	polling        bool
	pollAt         time.Time // not before
	lastResponse   time.Time // last answer
	failedCalls    int       // looks and orders without an answer, in a row
	lastFailedPoll time.Time // when the last look without an answer was sent

	appliedSequence int64 // ends up to here were taken in
	durableSequence int64 // ends up to here were acknowledged
	ackedSequence   int64 // ends up to here the executor knows as acknowledged
	pending         []pendingCompletion

	health health
	// stalledUntil is until when it gets no work since tasks stood still there.
	stalledUntil time.Time
}

// pendingEnd is an end whose effect is not durable yet.
type pendingCompletion struct {
	sequence int64
	job      *jobState
	version  int64
}

type orphanKey struct {
	task job.TaskID
	run  int
}

type orphan struct {
	inFlight bool
	nextSend time.Time
}

func newExecutor(e cluster.Executor) *executorState {
	return &executorState{Executor: e, runs: map[job.TaskID]*run{}, orphans: map[orphanKey]*orphan{}}
}

// wake notes that a run or a stray may need an order now.
func (e *executorState) markDue() { e.commandsAt = time.Time{} }

// free is the room that nothing takes or may take.
func (e *executorState) free() job.Resources { return e.Capacity.Sub(e.used) }

func (e *executorState) addRun(r *run) {
	e.markDue()
	e.runs[r.task.id] = r
	e.used = e.used.Add(r.task.step.def.Reservation())
	e.countRun(r.task.step, 1)
}

func (e *executorState) countRun(st *step, by int) {
	st.runs += by
	st.job.runs += by
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
	e.used = e.used.Sub(r.task.step.def.Reservation())
	e.countRun(r.task.step, -1)
}

// clock estimates the executor's clock; it is never ahead by more than the drift.
func (e *executorState) clock(now time.Time) int64 {
	return e.clockMs + now.Sub(e.clockAt).Milliseconds()
}

// extendBound notes that a lease of length d was sent at now.
func (e *executorState) extendLeaseBound(now time.Time, d time.Duration) {
	age := now.Sub(e.clockAt)
	bound := now.Add(d + time.Duration(clockDrift*float64(d+age)) + leaseMargin)
	if bound.After(e.leaseBound) {
		e.leaseBound = bound
	}
}

// acknowledge advances seenEnd over the ends whose effect is durable.
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

// usable reports whether new runs may be placed there.
func (e *executorState) usable(now time.Time) bool {
	return e.listed && e.polled && !e.Draining && !e.everDraining && !e.cordoned() && !e.replaced &&
		e.failedCalls == 0 && len(e.orphans) == 0 && !e.health.suspect(now) && !now.Before(e.stalledUntil)
}

// usableExecutors returns the executors on which new runs may be placed, by ID.
func (s *Shard) usableExecutors(now time.Time) []*executorState {
	var list []*executorState
	for _, e := range s.sortedExecutors() {
		if e.usable(now) {
			list = append(list, e)
		}
	}
	return list
}

// countOf returns how many runs of a step the executor has.
func (e *executorState) runsOf(s *step) int {
	n := 0
	for _, r := range e.runs {
		if r.task.step == s {
			n++
		}
	}
	return n
}

// hasLasting reports whether any task runs there until its job is cancelled.
func (e *executorState) hasLongRunning() bool { return e.longRunning > 0 }
