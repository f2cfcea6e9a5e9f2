package shard

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/execution"
	"github.com/tarragonreach/tarragonreach/api/job"
)

// The liveness rule: a job without a running task starts one within startBound, provided
// that in all that time
//   - one of its tasks is not blocked, and would fit twice into the free capacity;
//   - less than half of all capacity is in use;
//   - there is no fault, and there was none in the faultFreePeriod before.
//
// Long-running tasks are checked one by one, from longRunningPause after their last run.
const (
	startBound       = 3 * time.Second
	faultFreePeriod  = 4 * time.Second
	longRunningPause = 6 * time.Second
	checkInterval    = 100 * time.Millisecond
	// finishTimeout is long enough for one executor to run all jobs of a schedule.
	finishTimeout = 10 * time.Minute
)

// executorFaults are the present faults of an executor, and whether it is draining.
type executorFaults struct {
	unreachable bool // listed, but no owner reaches it
	refusing    bool // refuses all calls as unhealthy
	failing     bool // all its runs fail
	stalled     bool // its runs make no progress
	draining    bool
	// refusingStarts is set while it refuses starts as unhealthy, but no other calls.
	refusingStarts bool
}

func (f executorFaults) any() bool {
	return f.unreachable || f.refusing || f.failing || f.stalled || f.refusingStarts
}

// livenessSim is the part of a world that checks whether tasks start in time.
type livenessSim struct {
	faultFreeSince time.Time
	startableSince map[job.TaskID]time.Time // since when a task should run; index -1 stands for the whole job
	lastEnd        map[job.TaskID]time.Time
	alwaysFails    map[job.ID]bool
	dueAt          map[job.ID]time.Time
	cordoned       map[cluster.ExecutorID]Evacuation
	smallJobs      bool // no task needs half of an executor or more
	noFailingJobs  bool // no job fails on every executor
	noLongRunning  bool // no long-running jobs, so that an idle owner makes no polls

	callFaultsUntil   time.Time // calls are lost or delayed until then
	watchStalledUntil time.Time // the owner's watches are stalled until then
	relistAt          time.Time // changes before this time are observed then, by a listing
	storeDownSince    time.Time
	storeSlowUntil    time.Time

	longRunning *longRunningSim // nil unless the test checks long-running tasks above all
}

func newLivenessWorld(t *rapid.T) *world {
	w := newWorld(t)
	w.liveness = &livenessSim{
		faultFreeSince: w.now, startableSince: map[job.TaskID]time.Time{}, lastEnd: map[job.TaskID]time.Time{},
		smallJobs:     rapid.Bool().Draw(t, "small jobs"),
		noLongRunning: rapid.Bool().Draw(t, "no long-running jobs"),
		alwaysFails:   map[job.ID]bool{}, dueAt: map[job.ID]time.Time{}, cordoned: map[cluster.ExecutorID]Evacuation{},
	}
	for i := range rapid.IntRange(0, 3).Draw(t, "executors removed") {
		delete(w.executors, cluster.ExecutorID(fmt.Sprintf("i-%d", i+1)))
	}
	w.refreshExecutors()
	return w
}

// drawCallOutcome draws what happens to a call; calls to reachable executors are lost or
// delayed only until callFaultsUntil.
func (l *livenessSim) drawCallOutcome(w *world, o *ownerSim, e *executorSim) callOutcome {
	reached := e != nil && !e.faults.unreachable && e.partitioned == (o != w.owner)
	if e != nil && !e.alive {
		reached = w.addressReused(e)
	}
	if o != w.owner && e != nil && !e.partitioned && !e.faults.unreachable {
		reached = true // the partition of this zombie has ended, or it was frozen
	}
	switch {
	case !reached:
		return rapid.SampledFrom([]callOutcome{callNotSent, callNotSent + 1}).Draw(w.t, "unreachable")
	case w.now.Before(l.callFaultsUntil):
		return rapid.SampledFrom([]callOutcome{callDelivered, callDelivered, callResponseLost, callDelayed, callNotSent}).Draw(w.t, "call outcome")
	default:
		return callDelivered
	}
}

// addressReused reports whether another executor responds at the address of a crashed one.
func (w *world) addressReused(crashed *executorSim) bool {
	for _, e := range w.executors {
		if e.alive && e.address == crashed.address && !e.partitioned && !e.faults.unreachable {
			return true
		}
	}
	return false
}

// mayWrite reports whether an owner writes a batch now, under the conditions of entry/owner.
func (l *livenessSim) mayWrite(w *world, o *ownerSim) bool {
	if o == w.owner && !l.storeDownSince.IsZero() {
		return false
	}
	return o.batch != nil || o.shard.Pending(w.now)
}

// decideOutcome draws how long a run takes and how it ends.
func (l *livenessSim) decideOutcome(w *world, e *executorSim, r *runSim, def job.Step) {
	id := r.ref.Task.Job
	r.endReason = execution.EndedDone
	r.endsAt = w.now.Add(time.Duration(rapid.IntRange(10, 35).Draw(w.t, "work ticks")) * 20 * time.Millisecond)
	if l.alwaysFails[id] || e.faults.failing {
		r.endReason = execution.EndedFailed
	}
	if def.LongRunning {
		r.endsAt = w.now.Add(time.Hour)
		if e.faults.failing {
			r.endsAt = w.now.Add(time.Second)
		}
	}
	if e.faults.stalled {
		r.endsAt = r.endsAt.Add(time.Hour)
	}
}

// disturbed reports whether there is any fault now.
func (w *world) disturbed() bool {
	if w.disturbedApartFromExecutors() {
		return true
	}
	for _, e := range w.executors {
		if e.alive && (e.partitioned || e.faults.any()) {
			return true
		}
	}
	return false
}

// disturbedApartFromExecutors reports whether there is now a fault of the store, of the
// owner, of its watches or of its calls.
func (w *world) disturbedApartFromExecutors() bool {
	l := w.liveness
	return w.now.Before(l.callFaultsUntil) || w.now.Before(l.watchStalledUntil) || w.now.Before(l.relistAt) ||
		!l.storeDownSince.IsZero() || w.now.Before(l.storeSlowUntil) || w.now.Before(w.owner.pausedUntil)
}

// checkStartTimes fails the test if the liveness rule is violated.
func (w *world) checkStartTimes() {
	l := w.liveness
	if w.disturbed() {
		l.faultFreeSince = w.now
	}
	startable := map[job.TaskID]bool{}
	if !w.halfUsed() {
		for _, id := range w.jobIDs() {
			w.collectStartable(w.jobs[id], startable)
		}
	}
	for id := range l.startableSince {
		if !startable[id] {
			delete(l.startableSince, id)
		}
	}
	for id := range startable {
		if _, known := l.startableSince[id]; !known {
			l.startableSince[id] = w.now
		}
		since := l.startableSince[id]
		if earliest := l.faultFreeSince.Add(faultFreePeriod); since.Before(earliest) {
			since = earliest
		}
		if w.now.Sub(since) > startBound {
			w.t.Fatalf("LOST: %s is startable for %s and not running, no faults for %s: %s", id, w.now.Sub(l.startableSince[id]), w.now.Sub(l.faultFreeSince), w.describe(id.Job))
		}
	}
}

// collectStartable collects the tasks of a job that should run and do not.
func (w *world) collectStartable(j *storedJob, startable map[job.TaskID]bool) {
	id := j.record.ID
	if j.state.Final() || !j.cancelledAt.IsZero() || w.liveness.dueAt[id].After(w.now) || w.outOfAttempts(j) {
		return
	}
	running := false
	var waiting []job.TaskID
	for s, def := range j.record.Definition.Steps {
		if !w.unblocked(j, s) {
			continue
		}
		for i := range def.Count {
			task := job.TaskID{StepID: job.StepID{Job: id, Step: s}, Index: i}
			switch {
			case w.isRunning(task):
				running = true
			case j.everDone[task] || w.capacityFor(task, def) < 2:
			case def.LongRunning:
				if w.now.Sub(w.liveness.lastEnd[task]) > longRunningPause {
					startable[task] = true
				}
			default:
				waiting = append(waiting, task)
			}
		}
	}
	if !running && len(waiting) > 0 {
		startable[job.TaskID{StepID: job.StepID{Job: id}, Index: -1}] = true
	}
}

// outOfAttempts reports whether a task has no attempt left, so that the job is about to
// fail.
func (w *world) outOfAttempts(j *storedJob) bool {
	for task, failures := range j.ackedFailures {
		if failures >= j.record.Queue.MaxAttempts && !j.record.Definition.Steps[task.Step].LongRunning {
			return true
		}
	}
	return false
}

func (w *world) unblocked(j *storedJob, step int) bool {
	for _, dependency := range j.record.Definition.Steps[step].After {
		for i := range j.record.Definition.Steps[dependency].Count {
			if !j.everDone[job.TaskID{StepID: job.StepID{Job: j.record.ID, Step: dependency}, Index: i}] {
				return false
			}
		}
	}
	return true
}

func (w *world) isRunning(task job.TaskID) bool {
	for _, e := range w.executors {
		if e.alive && e.running[task] != nil {
			return true
		}
	}
	return false
}

// usage returns the used and the free resources.
func (e *executorSim) usage() (used, free job.Resources) {
	for _, r := range e.running {
		used = used.Add(r.need)
	}
	return used, e.capacity.Sub(used)
}

// acceptsWork reports whether an executor may be given work.
func (w *world) acceptsWork(e *executorSim) bool {
	return e.alive && !e.faults.draining && !e.drained && w.liveness.cordoned[e.id] == NotEvacuated
}

// capacityFor returns how many times a task fits, by what the executors really run.
func (w *world) capacityFor(task job.TaskID, def job.Step) int {
	n := 0
	for _, e := range w.executors {
		n += w.capacityOn(e, task, def)
	}
	return n
}

// capacityOn returns how many times a task fits on an executor, by what it really runs.
func (w *world) capacityOn(e *executorSim, task job.TaskID, def job.Step) int {
	if !w.acceptsWork(e) || !w.allows(e, task.StepID, def) {
		return 0
	}
	_, free := e.usage()
	fits := fitCount(def.Reservation(), free)
	if def.MaxPerServer > 0 {
		running := 0
		for other := range e.running {
			if other.StepID == task.StepID {
				running++
			}
		}
		fits = min(fits, max(0, def.MaxPerServer-running))
	}
	return fits
}

// halfUsed reports whether at least half of all capacity is in use.
func (w *world) halfUsed() bool {
	var all, used job.Resources
	for _, e := range w.executors {
		if !e.alive {
			continue
		}
		u, _ := e.usage()
		all, used = all.Add(e.capacity), used.Add(u)
	}
	return 2*used.MilliCPU >= all.MilliCPU || 2*used.MemoryMB >= all.MemoryMB
}

// checkedStep advances time by d and checks the liveness rule.
func (w *world) checkedStep(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.step(min(checkInterval, end.Sub(w.now)))
		if w.liveness.longRunning != nil {
			w.checkLongRunning()
			continue
		}
		w.checkStartTimes()
	}
}

// after runs a function after d.
func (w *world) after(d time.Duration, run func()) {
	w.timers = append(w.timers, timer{w.now.Add(d), run})
}

// whenObserved runs a function as soon as the owner's watches deliver a change made now.
func (w *world) whenObserved(run func()) {
	l := w.liveness
	if w.now.Before(l.relistAt) {
		w.after(l.relistAt.Sub(w.now), run)
		return
	}
	if !w.now.Before(l.watchStalledUntil) {
		run()
		return
	}
	l.relistAt = w.now.Add(w.randomTicks("watch stall", 1800))
	w.after(l.relistAt.Sub(w.now), run)
}

func (w *world) refreshWhenObserved() { w.whenObserved(w.refreshExecutors) }

// livenessTakeOver replaces the owner and applies the stored cordons to the new one.
func (w *world) livenessTakeOver() {
	w.replaceOwner()
	if l := w.liveness.longRunning; l != nil {
		l.lastTakeover = w.now
	}
	w.owner.shard.SetCordons(cordons(w.liveness.cordoned), w.now)
}

// livenessSubmit accepts a random job if the store is available.
func (w *world) livenessSubmit() {
	l := w.liveness
	if !l.storeDownSince.IsZero() {
		return
	}
	id := testID(w.submitted)
	w.submitted++
	r := Record{
		ID: id, Accepted: w.now,
		Definition: job.Definition{Payload: "p", Steps: w.drawSteps()},
		Queue:      QueuePolicy{Name: "q", MaxAttempts: 2, Stretch: 2, TargetDuration: time.Second, Priority: rapid.IntRange(0, 2).Draw(w.t, "priority")},
	}
	if l.longRunning != nil && rapid.IntRange(0, 3).Draw(w.t, "advised") == 0 {
		r.Queue.Name, r.Queue.Advice = "advised", &cluster.Advice{Validity: ticketValidity}
	}
	switch {
	case r.Definition.Steps[0].LongRunning:
	case rapid.IntRange(0, 7).Draw(w.t, "scheduled") == 0:
		l.dueAt[id] = w.now.Add(time.Duration(rapid.IntRange(0, 8000).Draw(w.t, "due ms")) * time.Millisecond)
		r.Definition.Schedule = job.Schedule{Count: 1, First: l.dueAt[id], Interval: time.Second}
	case !l.noFailingJobs && rapid.IntRange(0, 7).Draw(w.t, "always fails") == 0:
		l.alwaysFails[id] = true
	}
	stored := &storedJob{
		record: r, state: job.Queued,
		ackedDone: map[job.TaskID]bool{}, ackedAt: map[job.TaskID]time.Time{}, ackedFailures: map[job.TaskID]int{}, everDone: map[job.TaskID]bool{},
	}
	w.jobs[id] = stored
	w.whenObserved(func() {
		if !stored.state.Final() { // an owner does not add jobs again that it has made final
			w.owner.shard.AddJob(r, clone(stored.progress), w.now)
		}
	})
}

func (w *world) drawSteps() []job.Step {
	if w.liveness.longRunning != nil && rapid.Bool().Draw(w.t, "long-running job") {
		return []job.Step{w.drawLongRunningStep()}
	}
	var steps []job.Step
	for i := range rapid.IntRange(1, 3).Draw(w.t, "steps") {
		s := job.Step{
			Count:         rapid.IntRange(1, 6).Draw(w.t, "tasks"),
			Need:          job.Resources{MilliCPU: rapid.Int64Range(200, 1900).Draw(w.t, "cpu"), MemoryMB: rapid.Int64Range(50, 1900).Draw(w.t, "memory")},
			Estimate:      500 * time.Millisecond,
			Checkpointing: rapid.Bool().Draw(w.t, "checkpointing"),
			MaxPerServer:  rapid.SampledFrom([]int{0, 0, 0, 1, 2}).Draw(w.t, "max per server"),
			SameRack:      rapid.IntRange(0, 5).Draw(w.t, "same rack") == 0,
		}
		if !w.liveness.smallJobs && rapid.IntRange(0, 3).Draw(w.t, "large") == 0 {
			s.Need.MilliCPU = rapid.Int64Range(2000, 4000).Draw(w.t, "large cpu")
		}
		if i > 0 {
			s.After = []int{rapid.IntRange(0, i-1).Draw(w.t, "after")}
		}
		steps = append(steps, s)
	}
	if !w.liveness.noLongRunning && rapid.IntRange(0, 5).Draw(w.t, "long-running") == 0 {
		steps = steps[:1]
		steps[0].LongRunning, steps[0].MaxUnavailable = true, 1
		steps[0].Need = job.Resources{MilliCPU: 200, MemoryMB: 100}
		steps[0].MaxPerServer = 0
	}
	return steps
}

func (w *world) livenessCancel() {
	if w.submitted == 0 || !w.liveness.storeDownSince.IsZero() {
		return
	}
	id := testID(rapid.IntRange(0, w.submitted-1).Draw(w.t, "cancelled"))
	j := w.jobs[id]
	if j.state.Final() || !j.cancelledAt.IsZero() {
		return
	}
	j.cancelledAt = w.now
	w.whenObserved(func() { w.owner.shard.Cancel(id) })
}

// crash ends an executor; with restart, another one starts at its address.
func (w *world) crash(e *executorSim, restart bool) {
	e.alive = false
	e.partitioned, e.faults = false, executorFaults{}
	if restart {
		w.addExecutor(e.address)
	}
	w.refreshWhenObserved()
}

// setFault begins or ends a fault of an executor.
func (w *world) setFault(e *executorSim, kind int) {
	f := &e.faults
	switch kind {
	case 0:
		f.unreachable = !f.unreachable
	case 1:
		f.refusing = !f.refusing
	case 2:
		f.failing = !f.failing
	default:
		f.stalled = !f.stalled
		for _, r := range e.running { // stalled short runs continue
			if !f.stalled && r.endsAt.Sub(w.now) > 50*time.Minute && !w.jobs[r.ref.Task.Job].record.Definition.Steps[r.ref.Task.Step].LongRunning {
				r.endsAt = w.now.Add(500 * time.Millisecond)
			}
		}
	}
}

func (w *world) setFaultEverywhere(kind int) {
	for _, e := range w.executors {
		if e.alive {
			w.setFault(e, kind)
		}
	}
}

func (w *world) setCordon(ids map[cluster.ExecutorID]Evacuation) {
	w.liveness.cordoned = ids
	w.whenObserved(func() { w.owner.shard.SetCordons(cordons(w.liveness.cordoned), w.now) })
}

// randomTicks draws a time of up to maxMs milliseconds, in whole ticks of 20 ms.
func (w *world) randomTicks(label string, maxMs int) time.Duration {
	return time.Duration(rapid.IntRange(1, maxMs/20).Draw(w.t, label)) * 20 * time.Millisecond
}

// injectLivenessFault submits or cancels a job, or injects one random fault.
func (w *world) injectLivenessFault() {
	l := w.liveness
	switch kind := rapid.IntRange(0, 21).Draw(w.t, "fault"); kind {
	case 0, 1, 2, 3, 4, 5:
		w.livenessSubmit()
		return
	case 6:
		w.livenessCancel()
		return
	case 7: // the queue policy changes
		w.owner.shard.SetQueues([]cluster.Queue{{Name: "q", MaxAttempts: 2, Stretch: 3, TargetDuration: w.randomTicks("target", 4000), Priority: 1}})
		return
	case 8, 9, 10, 11: // a fault begins or ends, on one executor or on all
		if e := w.pickExecutor("faulty"); e != nil {
			w.setFault(e, kind-8)
		}
		if rapid.IntRange(0, 2).Draw(w.t, "on all executors") == 0 {
			w.setFaultEverywhere(kind - 8)
		}
	case 12:
		if e := w.pickExecutor("crashes"); e != nil {
			w.crash(e, true)
		}
	case 13: // an executor is partitioned from the owner, or reachable again
		if e := w.pickExecutor("partitioned"); e != nil {
			e.partitioned = !e.partitioned
			w.refreshWhenObserved()
		}
	case 14: // an executor drains, and a new one starts at another address
		if e := w.pickExecutor("drains"); e != nil && !e.faults.draining {
			e.faults.draining = true
			w.addExecutor(fmt.Sprintf("10.0.1.%d:80", w.executorsAdded))
			w.refreshWhenObserved()
			w.after(6*time.Second, func() { w.crash(e, false) })
		}
	case 15: // the owner crashes
		w.livenessTakeOver()
	case 16: // the owner freezes or loses the store, is replaced, and continues as a zombie
		w.zombies = append(w.zombies, w.owner)
		w.owner.pausedUntil = w.now.Add(w.randomTicks("frozen", 8000))
		w.livenessTakeOver()
		if len(w.zombies) > 2 {
			w.zombies = w.zombies[1:]
		}
	case 17: // the owner is CPU-starved
		w.owner.pausedUntil = w.now.Add(w.randomTicks("starved", 4000))
	case 18:
		w.storeOutage()
	case 19:
		l.callFaultsUntil = w.now.Add(w.randomTicks("call faults", 4000))
	case 20:
		l.watchStalledUntil = w.now.Add(w.randomTicks("watches stalled", 4000))
	case 21: // a cordon is set or removed
		if e := w.pickExecutor("cordoned"); e != nil {
			w.setCordon(map[cluster.ExecutorID]Evacuation{e.id: rapid.SampledFrom([]Evacuation{NotEvacuated, EvacuateGracefully, EvacuatePreempting}).Draw(w.t, "evacuation")})
		}
	}
	l.faultFreeSince = w.now
}

// storeOutage makes the store unavailable for a while. The owner's own lease either expires
// in that time, so that a successor takes over, or outlasts the outage. Lost responses of
// the store are not simulated: the caller of the shard resolves them.
func (w *world) storeOutage() {
	if !w.liveness.storeDownSince.IsZero() {
		return
	}
	w.liveness.storeDownSince = w.now
	expires := rapid.Bool().Draw(w.t, "lease expires")
	w.after(w.randomTicks("store down", 6000), func() {
		w.liveness.storeDownSince = time.Time{}
		w.liveness.faultFreeSince = w.now
		if expires {
			w.zombies = append(w.zombies, w.owner)
			w.livenessTakeOver()
		}
	})
}

// heal ends all faults.
func (w *world) heal() {
	l := w.liveness
	l.callFaultsUntil, l.watchStalledUntil = time.Time{}, time.Time{}
	l.storeDownSince, l.storeSlowUntil = time.Time{}, time.Time{}
	for _, e := range w.executors {
		e.partitioned = false
		e.faults.refusingStarts = false
		for kind, active := range []bool{e.faults.unreachable, e.faults.refusing, e.faults.failing, e.faults.stalled} {
			if active && e.alive {
				w.setFault(e, kind)
			}
		}
	}
	w.owner.pausedUntil = time.Time{}
	l.cordoned = map[cluster.ExecutorID]Evacuation{}
	w.owner.shard.SetCordons(cordons(nil), w.now)
	w.refreshExecutors()
	l.faultFreeSince = w.now
}

// healAndCheck ends all faults, and checks that old and new jobs start in time and that
// all accepted jobs become final.
func (w *world) healAndCheck() {
	w.heal()
	for range 10 {
		w.checkedStep(w.randomTicks("no faults", 2000))
		w.livenessSubmit()
	}
	w.checkedStep(8 * time.Second)
	for _, id := range w.jobIDs() {
		j := w.jobs[id]
		if j.record.Definition.Steps[0].LongRunning && j.cancelledAt.IsZero() {
			j.cancelledAt = w.now
			w.owner.shard.Cancel(id)
		}
	}
	open := w.jobIDs()
	for end := w.now.Add(finishTimeout); len(open) > 0 && w.now.Before(end); {
		w.checkedStep(time.Second)
		open = slices.DeleteFunc(open, func(id job.ID) bool { return w.jobs[id].state.Final() })
	}
	if len(open) > 0 {
		w.t.Fatalf("LOST: %d jobs are not final at the end; %s is %s: %s", len(open), open[0], w.jobs[open[0]].state, w.describe(open[0]))
	}
}

// After any sequence of faults, a task that is not blocked and has capacity runs within
// startBound once the faults have ended.
func TestTasksStartWithinBoundOnceFaultsEnd(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) { runSchedule(newLivenessWorld(t), true) })
}

// runSchedule runs a random schedule of jobs and faults; noFailingJobs leaves out jobs that
// fail on every executor.
func runSchedule(w *world, noFailingJobs bool) {
	w.liveness.noFailingJobs = noFailingJobs
	for range rapid.IntRange(5, 30).Draw(w.t, "faults") {
		w.injectLivenessFault()
		w.checkedStep(w.randomTicks("pause", rapid.SampledFrom([]int{1000, 1000, 4000}).Draw(w.t, "longest pause")))
	}
	w.healAndCheck()
}
