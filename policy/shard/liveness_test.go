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

// The promise of RULES.md, LOST: a job of which nothing runs though a task's turn has
// come, with room for it twice over and under half of the room in use, begins within
// startBound, as long as these seconds and the calmBefore before them are calm. A task
// that lasts is judged by itself, from lastingRest after its last run.
const (
	startBound  = 3 * time.Second
	calmBefore  = 4 * time.Second
	lastingRest = 6 * time.Second
	judgeEvery  = 100 * time.Millisecond
	// workOff is long enough for one executor to do all that a schedule hands in.
	workOff = 10 * time.Minute
)

// executorFaults are what is wrong with an executor.
type executorFaults struct {
	dark     bool // listed, and reached by nobody
	refusing bool // answers that it is unhealthy
	failing  bool // all that runs there fails
	crawling bool // tasks stand still
	draining bool
}

func (f executorFaults) any() bool { return f.dark || f.refusing || f.failing || f.crawling }

// liveSim is the part of a world that judges whether tasks start in time.
type liveSim struct {
	calmSince time.Time
	tookOver  time.Time
	owedSince map[job.TaskID]time.Time // index -1 stands for a whole job
	lastEnd   map[job.TaskID]time.Time
	// lastHost is where the last run was stored to begin.
	lastHost map[job.TaskID]*executorSim
	goneAt   map[*executorSim]time.Time
	hopeless map[job.ID]bool
	due      map[job.ID]time.Time
	cordoned map[cluster.ExecutorID]Evacuation
	small    bool // no job needs most of an executor
	doable   bool // no job that can't be done
	quiet    bool // no job lasts, so that an idle owner hears nothing

	noisyUntil     time.Time // calls are lost or late until then
	muteUntil      time.Time // watches are silent until then
	listAt         time.Time // what happens until then is heard then, by a listing
	storeDownSince time.Time
}

func newLiveWorld(t *rapid.T) *world {
	w := newWorld(t)
	w.live = &liveSim{
		calmSince: w.now, owedSince: map[job.TaskID]time.Time{}, lastEnd: map[job.TaskID]time.Time{}, lastHost: map[job.TaskID]*executorSim{}, goneAt: map[*executorSim]time.Time{},
		small:    rapid.Bool().Draw(t, "small jobs"),
		quiet:    rapid.Bool().Draw(t, "without lasting jobs"),
		hopeless: map[job.ID]bool{}, due: map[job.ID]time.Time{}, cordoned: map[cluster.ExecutorID]Evacuation{},
	}
	for i := range rapid.IntRange(0, 3).Draw(t, "executors fewer") {
		delete(w.executors, cluster.ExecutorID(fmt.Sprintf("i-%d", i+1)))
	}
	w.relist()
	return w
}

// fate draws what becomes of a call; only in a time of trouble on the links is any lost.
func (l *liveSim) fate(w *world, o *ownerSim, e *executorSim) fate {
	reached := e != nil && !e.faults.dark && e.cut == (o != w.owner)
	if e != nil && !e.alive {
		reached = w.reborn(e)
	}
	if o != w.owner && e != nil && !e.cut && !e.faults.dark {
		reached = true // its cut is over, or it was frozen
	}
	switch {
	case !reached:
		return rapid.SampledFrom([]fate{fateNotSent, fateNotSent + 1}).Draw(w.t, "unreachable")
	case w.now.Before(l.noisyUntil):
		return rapid.SampledFrom([]fate{fateFine, fateFine, fateAnswerLost, fateLate, fateNotSent}).Draw(w.t, "fate")
	default:
		return fateFine
	}
}

// reborn reports whether another executor answers at the address of one that is gone.
func (w *world) reborn(gone *executorSim) bool {
	for _, e := range w.executors {
		if e.alive && e.address == gone.address && !e.cut && !e.faults.dark {
			return true
		}
	}
	return false
}

// round reports whether an owner writes now, as entry/owner does.
func (l *liveSim) round(w *world, o *ownerSim) bool {
	if o == w.owner && !l.storeDownSince.IsZero() {
		return false
	}
	return o.batch != nil || o.shard.Pending(w.now)
}

// fillIn decides how a run goes.
func (l *liveSim) fillIn(w *world, e *executorSim, r *runSim, def job.Step) {
	id := r.ref.Task.Job
	r.how = execution.EndedDone
	r.endsAt = w.now.Add(time.Duration(rapid.IntRange(10, 35).Draw(w.t, "work ticks")) * 20 * time.Millisecond)
	if l.hopeless[id] || e.faults.failing {
		r.how = execution.EndedFailed
	}
	if def.LongRunning {
		r.endsAt = w.now.Add(time.Hour)
		if e.faults.failing {
			r.endsAt = w.now.Add(time.Second)
		}
	}
	if e.faults.crawling {
		r.endsAt = r.endsAt.Add(time.Hour)
	}
}

// disturbed reports whether anything is wrong now.
func (w *world) disturbed() bool {
	l := w.live
	if w.now.Before(l.noisyUntil) || w.now.Before(l.muteUntil) || w.now.Before(l.listAt) || !l.storeDownSince.IsZero() || w.now.Before(w.owner.stalled) {
		return true
	}
	for _, e := range w.executors {
		if e.alive && (e.cut || e.faults.any()) {
			return true
		}
	}
	return false
}

// judge fails the test where a task is owed for too long.
func (w *world) judge() {
	l := w.live
	if w.disturbed() {
		l.calmSince = w.now
	}
	owed := map[job.TaskID]bool{}
	if !w.halfUsed() {
		for _, id := range w.jobIDs() {
			w.collectOwed(w.jobs[id], owed)
		}
	}
	for id := range l.owedSince {
		if !owed[id] {
			delete(l.owedSince, id)
		}
	}
	for id := range owed {
		if _, known := l.owedSince[id]; !known {
			l.owedSince[id] = w.now
		}
		since := l.owedSince[id]
		if earliest := l.calmSince.Add(calmBefore); since.Before(earliest) {
			since = earliest
		}
		if w.now.Sub(since) > startBound {
			w.t.Fatalf("LOST: %s is owed for %s, calm for %s: %s", id, w.now.Sub(l.owedSince[id]), w.now.Sub(l.calmSince), w.describe(id.Job))
		}
	}
}

// collectOwed notes what of a job ought to run and does not.
func (w *world) collectOwed(j *storedJob, owed map[job.TaskID]bool) {
	id := j.record.ID
	if j.state.Final() || !j.cancelled.IsZero() || w.live.due[id].After(w.now) || w.spent(j) {
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
			case w.isRunning(task) || w.mayRunUnseen(task):
				running = true
			case j.doneEver[task] || w.roomFor(task, def) < 2:
			case def.LongRunning:
				if w.now.Sub(w.live.lastEnd[task]) > lastingRest {
					owed[task] = true
				}
			default:
				waiting = append(waiting, task)
			}
		}
	}
	if !running && len(waiting) > 0 {
		owed[job.TaskID{StepID: job.StepID{Job: id}, Index: -1}] = true
	}
}

// spent reports whether a task has no attempt left, so that the job is about to fail.
func (w *world) spent(j *storedJob) bool {
	for task, failures := range j.failNoted {
		if failures >= j.record.Queue.MaxAttempts && !j.record.Definition.Steps[task.Step].LongRunning {
			return true
		}
	}
	return false
}

func (w *world) unblocked(j *storedJob, step int) bool {
	for _, before := range j.record.Definition.Steps[step].After {
		for i := range j.record.Definition.Steps[before].Count {
			if !j.doneEver[job.TaskID{StepID: job.StepID{Job: j.record.ID, Step: before}, Index: i}] {
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

// mayRunUnseen reports whether a task's last run was on an executor that is gone without
// a trace, and could still run there as far as an owner can know: until the lease that
// its executor may have been given has lapsed.
func (w *world) mayRunUnseen(task job.TaskID) bool {
	e := w.live.lastHost[task]
	if e == nil || e.alive || w.reborn(e) {
		return false
	}
	own := w.live.goneAt[e].Add(certainlyOver(testLimits.RunLease))
	inherited := w.live.tookOver.Add(certainlyOver(testLimits.MaxRunLease))
	return w.now.Before(own) || w.now.Before(inherited)
}

// certainlyOver is how long after its renewal a lease has lapsed on every clock.
func certainlyOver(lease time.Duration) time.Duration {
	return lease + time.Duration(clockDrift*float64(lease)) + leaseMargin
}

func (e *executorSim) room() (used, free job.Resources) {
	for _, r := range e.running {
		used = used.Add(r.need)
	}
	return used, e.capacity.Sub(used)
}

// sound reports whether an executor may be given work.
func (w *world) sound(e *executorSim) bool {
	return e.alive && !e.faults.draining && w.live.cordoned[e.id] == NotEvacuated
}

// roomFor is how often a task fits, by what the executors really run.
func (w *world) roomFor(task job.TaskID, def job.Step) int {
	n := 0
	for _, e := range w.executors {
		if !w.sound(e) {
			continue
		}
		_, free := e.room()
		fits := fitting(def.Reservation(), free)
		if def.MaxPerServer > 0 {
			here := 0
			for other := range e.running {
				if other.StepID == task.StepID {
					here++
				}
			}
			fits = min(fits, max(0, def.MaxPerServer-here))
		}
		n += fits
	}
	return n
}

// halfUsed reports whether half of the room is in use.
func (w *world) halfUsed() bool {
	var all, used job.Resources
	for _, e := range w.executors {
		if !e.alive {
			continue
		}
		u, _ := e.room()
		all, used = all.Add(e.capacity), used.Add(u)
	}
	return 2*used.MilliCPU >= all.MilliCPU || 2*used.MemoryMB >= all.MemoryMB
}

// liveStep lets time pass under the judge's eyes.
func (w *world) liveStep(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.step(min(judgeEvery, end.Sub(w.now)))
		w.judge()
	}
}

// after runs something later.
func (w *world) after(d time.Duration, run func()) {
	w.delayed = append(w.delayed, delayedCall{w.now.Add(d), run})
}

// hears runs something as soon as the owner's watches show it.
func (w *world) hears(run func()) {
	l := w.live
	if w.now.Before(l.listAt) {
		w.after(l.listAt.Sub(w.now), run)
		return
	}
	if !w.now.Before(l.muteUntil) {
		run()
		return
	}
	l.listAt = w.now.Add(w.ms("silence", 1800))
	w.after(l.listAt.Sub(w.now), run)
}

func (w *world) hearsExecutors() { w.hears(w.relist) }

// liveTakeOver replaces the owner, and tells the next one what the store holds.
func (w *world) liveTakeOver() {
	w.takeOver()
	w.live.tookOver = w.now
	w.owner.shard.Cordon(w.live.cordoned, w.now)
}

// liveSubmit has a job accepted, if the store answers.
func (w *world) liveSubmit() {
	l := w.live
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
	switch {
	case r.Definition.Steps[0].LongRunning:
	case rapid.IntRange(0, 7).Draw(w.t, "timed") == 0:
		l.due[id] = w.now.Add(time.Duration(rapid.IntRange(0, 8000).Draw(w.t, "due ms")) * time.Millisecond)
		r.Definition.Schedule = job.Schedule{Count: 1, First: l.due[id], Interval: time.Second}
	case !l.doable && rapid.IntRange(0, 7).Draw(w.t, "hopeless") == 0:
		l.hopeless[id] = true
	}
	stored := &storedJob{
		record: r, state: job.Queued,
		doneNoted: map[job.TaskID]bool{}, failNoted: map[job.TaskID]int{}, doneEver: map[job.TaskID]bool{},
	}
	w.jobs[id] = stored
	w.hears(func() {
		if !stored.state.Final() { // an owner keeps which jobs it has made final
			w.owner.shard.AddJob(r, clone(stored.progress), w.now)
		}
	})
}

func (w *world) drawSteps() []job.Step {
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
		if !w.live.small && rapid.IntRange(0, 3).Draw(w.t, "large") == 0 {
			s.Need.MilliCPU = rapid.Int64Range(2000, 4000).Draw(w.t, "large cpu")
		}
		if i > 0 {
			s.After = []int{rapid.IntRange(0, i-1).Draw(w.t, "after")}
		}
		steps = append(steps, s)
	}
	if !w.live.quiet && rapid.IntRange(0, 5).Draw(w.t, "lasting") == 0 {
		steps = steps[:1]
		steps[0].LongRunning, steps[0].MaxUnavailable = true, 1
		steps[0].Need = job.Resources{MilliCPU: 200, MemoryMB: 100}
		steps[0].MaxPerServer = 0
	}
	return steps
}

func (w *world) liveCancel() {
	if w.submitted == 0 || !w.live.storeDownSince.IsZero() {
		return
	}
	id := testID(rapid.IntRange(0, w.submitted-1).Draw(w.t, "cancelled"))
	j := w.jobs[id]
	if j.state.Final() || !j.cancelled.IsZero() {
		return
	}
	j.cancelled = w.now
	w.hears(func() { w.owner.shard.Cancel(id) })
}

// crash ends an executor; another life may begin at its address.
func (w *world) crash(e *executorSim, next bool) {
	e.alive = false
	w.live.goneAt[e] = w.now
	e.cut, e.faults = false, executorFaults{}
	if next {
		w.addExecutor(e.address)
	}
	w.hearsExecutors()
}

// setFault begins or ends a fault of an executor.
func (w *world) setFault(e *executorSim, kind int) {
	f := &e.faults
	switch kind {
	case 0:
		f.dark = !f.dark
	case 1:
		f.refusing = !f.refusing
	case 2:
		f.failing = !f.failing
	default:
		f.crawling = !f.crawling
		for _, r := range e.running { // what crawled goes on
			if !f.crawling && r.endsAt.Sub(w.now) > 50*time.Minute && !w.jobs[r.ref.Task.Job].record.Definition.Steps[r.ref.Task.Step].LongRunning {
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
	w.live.cordoned = ids
	w.hears(func() { w.owner.shard.Cordon(w.live.cordoned, w.now) })
}

// ms draws a time in whole ticks.
func (w *world) ms(label string, most int) time.Duration {
	return time.Duration(rapid.IntRange(1, most/20).Draw(w.t, label)) * 20 * time.Millisecond
}

// liveTrouble does one random thing.
func (w *world) liveTrouble() {
	l := w.live
	switch kind := rapid.IntRange(0, 21).Draw(w.t, "trouble"); kind {
	case 0, 1, 2, 3, 4, 5:
		w.liveSubmit()
		return
	case 6:
		w.liveCancel()
		return
	case 7: // the terms of the queue change
		w.owner.shard.SetQueues([]cluster.Queue{{Name: "q", MaxAttempts: 2, Stretch: 3, TargetDuration: w.ms("target", 4000), Priority: 1}})
		return
	case 8, 9, 10, 11: // an executor's fault begins or ends, or that of all
		if e := w.pickExecutor("faulty"); e != nil {
			w.setFault(e, kind-8)
		}
		if rapid.IntRange(0, 2).Draw(w.t, "everywhere") == 0 {
			w.setFaultEverywhere(kind - 8)
		}
	case 12:
		if e := w.pickExecutor("crashes"); e != nil {
			w.crash(e, true)
		}
	case 13: // cut off, or back
		if e := w.pickExecutor("cut"); e != nil {
			e.cut = !e.cut
			w.hearsExecutors()
		}
	case 14: // an executor leaves in order, and the next begins elsewhere
		if e := w.pickExecutor("drains"); e != nil && !e.faults.draining {
			e.faults.draining = true
			w.addExecutor(fmt.Sprintf("10.0.1.%d:80", w.lives))
			w.hearsExecutors()
			w.after(6*time.Second, func() { w.crash(e, false) })
		}
	case 15: // the owner dies
		w.liveTakeOver()
	case 16: // the owner freezes or is cut off from the store, and goes on later
		w.zombies = append(w.zombies, w.owner)
		w.owner.stalled = w.now.Add(w.ms("frozen", 8000))
		w.liveTakeOver()
		if len(w.zombies) > 2 {
			w.zombies = w.zombies[1:]
		}
	case 17: // the owner is starved of processor time
		w.owner.stalled = w.now.Add(w.ms("starved", 4000))
	case 18:
		w.storeAway()
	case 19:
		l.noisyUntil = w.now.Add(w.ms("noisy", 4000))
	case 20:
		l.muteUntil = w.now.Add(w.ms("mute", 4000))
	case 21: // a cordon is set or taken back
		if e := w.pickExecutor("cordoned"); e != nil {
			w.setCordon(map[cluster.ExecutorID]Evacuation{e.id: rapid.SampledFrom([]Evacuation{NotEvacuated, EvacuateGracefully, EvacuatePreempting}).Draw(w.t, "emptying")})
		}
	}
	l.calmSince = w.now
}

// storeAway takes the store away for a while. The owner's lease may lapse meanwhile, or
// pause; answers may be lost, which its caller finds out.
func (w *world) storeAway() {
	if !w.live.storeDownSince.IsZero() {
		return
	}
	w.live.storeDownSince = w.now
	lapses := rapid.Bool().Draw(w.t, "leases lapse")
	w.after(w.ms("store down", 6000), func() {
		w.live.storeDownSince = time.Time{}
		w.live.calmSince = w.now
		if lapses {
			w.zombies = append(w.zombies, w.owner)
			w.liveTakeOver()
		}
	})
}

// heal ends all trouble.
func (w *world) heal() {
	l := w.live
	l.noisyUntil, l.muteUntil = time.Time{}, time.Time{}
	l.storeDownSince = time.Time{}
	for _, e := range w.executors {
		e.cut = false
		for kind, wrong := range []bool{e.faults.dark, e.faults.refusing, e.faults.failing, e.faults.crawling} {
			if wrong && e.alive {
				w.setFault(e, kind)
			}
		}
	}
	w.owner.stalled = time.Time{}
	l.cordoned = map[cluster.ExecutorID]Evacuation{}
	w.owner.shard.Cordon(nil, w.now)
	w.relist()
	l.calmSince = w.now
}

// liveSettle heals everything, and checks that all goes on in time, that new jobs do,
// and that all that was accepted becomes final.
func (w *world) liveSettle() {
	w.heal()
	for range 10 {
		w.liveStep(w.ms("calm", 2000))
		w.liveSubmit()
	}
	w.liveStep(8 * time.Second)
	for _, id := range w.jobIDs() {
		j := w.jobs[id]
		if j.record.Definition.Steps[0].LongRunning && j.cancelled.IsZero() {
			j.cancelled = w.now
			w.owner.shard.Cancel(id)
		}
	}
	open := w.jobIDs()
	for end := w.now.Add(workOff); len(open) > 0 && w.now.Before(end); {
		w.liveStep(time.Second)
		open = slices.DeleteFunc(open, func(id job.ID) bool { return w.jobs[id].state.Final() })
	}
	if len(open) > 0 {
		w.t.Fatalf("LOST: %d jobs are not final in the end; %s is %s: %s", len(open), open[0], w.jobs[open[0]].state, w.describe(open[0]))
	}
}

// Whatever went wrong before, a task whose turn has come and that has room runs within
// the bound once all is calm.
func TestNoTaskWaitsWhereThereIsRoomOnceCalm(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { playLive(newLiveWorld(t), true) })
}

// playLive plays a schedule; doable leaves out jobs that can't be done.
func playLive(w *world, doable bool) {
	w.live.doable = doable
	for range rapid.IntRange(5, 30).Draw(w.t, "troubles") {
		w.liveTrouble()
		w.liveStep(w.ms("pause", rapid.SampledFrom([]int{1000, 1000, 4000}).Draw(w.t, "longest pause")))
	}
	w.liveSettle()
}
