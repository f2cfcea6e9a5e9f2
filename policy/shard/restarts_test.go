package shard

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/execution"
	"github.com/tarragonreach/tarragonreach/api/job"
)

// restarts is the part of a world in which executors crash and start again under their IDs. A
// later incarnation knows nothing of an earlier one: no runs, numbers, tokens, or clock.
type restarts struct {
	// former holds the entries of earlier incarnations that are still listed.
	former  map[cluster.ExecutorID]formerEntry
	givenUp map[job.TaskID][]givenUpRun
	// endedAt holds when each run first ended.
	endedAt map[execution.RunRef]time.Time
}

// givenUpRun is a run that an owner gave up.
type givenUpRun struct {
	GiveUpNote
	at time.Time
	// unaware is set if the executor had started again without the owner's knowledge.
	unaware bool
}

func newRestarts() *restarts {
	return &restarts{former: map[cluster.ExecutorID]formerEntry{}, givenUp: map[job.TaskID][]givenUpRun{}, endedAt: map[execution.RunRef]time.Time{}}
}

type formerEntry struct {
	entry cluster.Executor
	until time.Time
}

// formerEntry returns the entry of an earlier incarnation if it is still listed.
func (r *restarts) formerEntry(id cluster.ExecutorID, now time.Time) (cluster.Executor, bool) {
	if r == nil {
		return cluster.Executor{}, false
	}
	f, found := r.former[id]
	return f.entry, found && now.Before(f.until)
}

// latest returns the executor that a call reaches by now which was sent to another incarnation.
func (w *world) latest(e *executorSim) *executorSim {
	if w.restarts == nil {
		return e
	}
	return w.executors[e.id]
}

// startAgain crashes an executor and starts it again under its ID: at once or after a while, at the
// same address or another one, of the same kind or another one, once or twice in a row. Its former
// entry may stay listed meanwhile and longer.
func (w *world) startAgain(e *executorSim) {
	if listed := w.listEntry(e); listed {
		w.restarts.former[e.id] = formerEntry{e.entry(), w.now.Add(w.randomTicks("former entry", 2500))}
	}
	e.alive = false
	address := e.address
	if rapid.IntRange(0, 3).Draw(w.t, "other address") == 0 {
		address += "0"
	}
	next := w.newExecutorSim(e.id, address)
	next.alive, next.partitioned, next.startedAgain = false, e.partitioned, true
	next.otherRack = e.otherRack != (rapid.IntRange(0, 3).Draw(w.t, "other kind") == 0)
	w.executors[e.id] = next
	down := time.Duration(0)
	if rapid.Bool().Draw(w.t, "down") {
		down = w.randomTicks("down time", 3000)
	}
	// A crash by itself right after an isolated start looks like one by its task.
	again := w.crashing == nil && rapid.IntRange(0, 4).Draw(w.t, "again") == 0
	w.after(down+time.Millisecond, func() {
		next.alive, next.startedAt, next.born = true, w.now, cluster.Birth(w.now.UnixMilli())
		if again && w.executors[e.id] == next {
			w.after(w.randomTicks("lives", 1500), func() {
				if next.alive && w.executors[e.id] == next {
					w.startAgain(next)
				}
			})
		}
	})
	w.after(down+w.randomTicks("entry", 2500), w.refreshExecutors)
	w.after(down+2500*time.Millisecond, w.refreshExecutors)
}

// knows reports whether the present owner has polled this incarnation of the executor.
func (w *world) knows(e *executorSim) bool {
	state := w.owner.shard.executors[e.id]
	return state != nil && state.Born == e.born && state.polled
}

// unaware reports whether the owner does not know of the present incarnation of an executor. One that only an entry of
// another writer states, with a birth that no incarnation has, tells it nothing.
func (w *world) unaware(o *ownerSim, id cluster.ExecutorID) bool {
	state := o.shard.executors[id]
	return state == nil || state.Born < w.executors[id].born || state.claimed && state.Born != w.executors[id].born
}

// unforeseen reports whether nothing that an owner does could prevent that a start breaks a rule: it
// got no response or was sent by a replaced owner, this incarnation has not been polled, so that it
// knows no fencing token, and what the start would collide with, or the decision that its run was
// over, is older than this incarnation, or was decided by an owner that could not know it.
func (w *world) unforeseen(e *executorSim, s execution.Start) bool {
	byReplacedOwner := s.Token < w.owner.token
	if !e.startedAgain || !w.executingLate && !byReplacedOwner || w.knows(e) {
		return false
	}
	if w.unaware(w.owner, e.id) {
		return true
	}
	if at, ended := w.restarts.endedAt[s.RunRef]; ended && at.Before(e.startedAt) {
		return true // the start is a duplicate
	}
	for _, g := range w.restarts.givenUp[s.Task] {
		if g.Run == s.Run && (g.unaware || g.at.Before(e.startedAt)) {
			return true
		}
	}
	j := w.jobs[s.Task.Job]
	if at, acked := j.ackedAt[s.Task]; acked && at.Before(e.startedAt) {
		return true
	}
	for _, other := range w.executors {
		if r := other.running[s.Task]; r != nil && other.alive && r.startedAt.Before(e.startedAt) {
			return true
		}
	}
	return false
}

// describeStart describes the circumstances of a start that breaks a rule.
func (w *world) describeStart(e *executorSim, s execution.Start) string {
	if w.restarts == nil {
		return ""
	}
	text := fmt.Sprintf(" (late %t, sent to an earlier incarnation %t, token %d, owner's token %d, executor born %d, age %s, highest token there %d",
		w.executingLate, w.sentToEarlier, s.Token, w.owner.token, e.born, w.now.Sub(e.startedAt), e.fence)
	if state := w.owner.shard.executors[e.id]; state != nil {
		text += fmt.Sprintf("; to the owner born %d, polled %t, token %d, outdated token %d", state.Born, state.polled, state.token, state.outdatedToken)
	}
	for _, other := range w.executors {
		r := other.running[s.Task]
		if r == nil || !other.alive {
			continue
		}
		text += fmt.Sprintf("; run %d on %s started %s ago, late %t, unforeseen %t, executor born %d, age %s, highest token %d",
			r.ref.Run, other.id, w.now.Sub(r.startedAt), r.late, r.unforeseen, other.born, w.now.Sub(other.startedAt), other.fence)
		if state := w.owner.shard.executors[other.id]; state != nil {
			text += fmt.Sprintf(", to the owner born %d, polled %t, token %d, former %d, runs %d, failed calls %d, partitioned %t", state.Born, state.polled, state.token, len(state.former), len(state.runs), state.failedCalls, other.partitioned)
		}
	}
	for _, g := range w.restarts.givenUp[s.Task] {
		text += fmt.Sprintf("; run %d on %s given up %s ago: %s", g.Run, g.Executor, w.now.Sub(g.at), g.Reason)
	}
	return text + ")"
}

// noteEnd records when a run first ended.
func (r *restarts) noteEnd(run execution.RunRef, now time.Time) {
	if r == nil {
		return
	}
	if _, ended := r.endedAt[run]; !ended {
		r.endedAt[run] = now
	}
}

// noteGivenUp keeps the notes of an owner, to describe a start that breaks a rule.
func (w *world) noteGivenUp(o *ownerSim) {
	for _, n := range o.shard.TakeGiveUpNotes() {
		if w.restarts != nil {
			w.restarts.givenUp[n.Task] = append(w.restarts.givenUp[n.Task], givenUpRun{n, w.now, w.unaware(o, n.Executor)})
		}
	}
}

// listEntry reports whether the entry of the executor is listed.
func (w *world) listEntry(e *executorSim) bool {
	_, stale := w.restarts.formerEntry(e.id, w.now)
	return e.alive && !e.partitioned && !stale
}

// settledAfterRestart is the time after which the entry of the last incarnation is listed.
const settledAfterRestart = 8 * time.Second

// Executors start again under their IDs, beside all other faults: once the faults end, each task starts
// in time.
func TestTasksStartWithinBoundAfterRestartsUnderTheSameID(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		w := newLivenessWorld(t)
		w.restarts = newRestarts()
		w.liveness.noFailingJobs = true
		for range rapid.IntRange(5, 30).Draw(t, "faults") {
			w.injectLivenessFault()
			if e := w.pickExecutor("starts again"); e != nil && rapid.IntRange(0, 2).Draw(t, "restart") == 0 {
				w.startAgain(e)
				w.liveness.faultFreeSince = w.now.Add(settledAfterRestart)
			}
			w.checkedStep(w.randomTicks("pause", rapid.SampledFrom([]int{1000, 1000, 4000}).Draw(t, "longest pause")))
		}
		w.step(settledAfterRestart)
		w.healAndCheck()
	})
}

// Tasks crash the executors that start them, which start again under their IDs, often at once: such a
// task is given up, and no other one is.
func TestTasksThatCrashExecutorsAreGivenUpThoughTheseKeepTheirIDs(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		w.crashing, w.restarts = newCrashingTasks(), newRestarts()
		w.crashing.callsSucceed = rapid.Bool().Draw(t, "calls succeed")
		for range rapid.IntRange(5, 20).Draw(t, "faults") {
			w.injectCrashFault()
			w.step(time.Duration(rapid.IntRange(1, 60).Draw(t, "pause")) * 40 * time.Millisecond)
		}
		w.healAndFinish()
	})
}

// Executors start again under their IDs, beside all other faults.
func TestExecutorThatStartsAgainUnderItsIDRunsNoTaskTwice(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		w.restarts = newRestarts()
		for range rapid.IntRange(10, 40).Draw(t, "faults") {
			w.injectFault()
			for range rapid.IntRange(1, 40).Draw(t, "pause") {
				w.step(40 * time.Millisecond)
			}
		}
		w.healAndFinish()
	})
}
