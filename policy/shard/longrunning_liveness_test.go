package shard

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/execution"
	"github.com/tarragonreach/tarragonreach/api/job"
	"github.com/tarragonreach/tarragonreach/policy/adviceflow"
)

// The rule for long-running tasks: each has a run within longRunningBound after the last
// fault began or ended and after it lost its last run, provided that it fits twice into the
// free capacity of executors without faults that its constraints allow. It is stricter than
// the liveness rule in that faults of executors may last.
const longRunningBound = 9 * time.Second

const (
	// ticketValidity is how long the tickets of the advised queue are valid.
	ticketValidity = 3 * time.Second
	// adviceTime is how long the advice service takes.
	adviceTime = 100 * time.Millisecond
	// slowedPause is how long a slowed owner gets no processor time, and slowedWork how long
	// it gets some between two pauses.
	slowedPause = maxTickGap + 20*time.Millisecond
	slowedWork  = 80 * time.Millisecond
)

// longRunningSim is the part of a liveness world that checks long-running tasks.
type longRunningSim struct {
	lastFault    time.Time                // when a fault last began or ended
	missingSince map[job.TaskID]time.Time // since when a task should have a run
	cutAt        map[*executorSim]time.Time
	// lastExecutor is the executor of the last run that a batch stored.
	lastExecutor map[job.TaskID]*executorSim
	lastTakeover time.Time
	slowedUntil  time.Time // the owner gets no processor time repeatedly until then
}

func newLongRunningWorld(t *rapid.T) *world {
	w := newLivenessWorld(t)
	w.liveness.longRunning = &longRunningSim{
		lastFault: w.now, missingSince: map[job.TaskID]time.Time{}, cutAt: map[*executorSim]time.Time{}, lastExecutor: map[job.TaskID]*executorSim{},
	}
	w.liveness.noFailingJobs = rapid.Bool().Draw(t, "no failing jobs")
	for i := range rapid.IntRange(2, 5).Draw(t, "executors added") {
		w.addExecutor(fmt.Sprintf("10.0.2.%d:80", i))
	}
	for _, e := range w.sortedExecutors() {
		e.otherRack = rapid.Bool().Draw(t, "other rack")
	}
	w.refreshExecutors()
	return w
}

// sortedExecutors returns the executors in the order in which they were added.
func (w *world) sortedExecutors() []*executorSim {
	var list []*executorSim
	for i := 1; i <= w.executorsAdded; i++ {
		if e := w.executors[cluster.ExecutorID(fmt.Sprintf("i-%d", i))]; e != nil {
			list = append(list, e)
		}
	}
	return list
}

func (w *world) drawLongRunningStep() job.Step {
	return job.Step{
		LongRunning:    true,
		Count:          rapid.IntRange(1, 6).Draw(w.t, "long-running tasks"),
		Need:           job.Resources{MilliCPU: rapid.Int64Range(100, 1200).Draw(w.t, "long-running cpu"), MemoryMB: rapid.Int64Range(50, 1200).Draw(w.t, "long-running memory")},
		MaxUnavailable: rapid.IntRange(0, 2).Draw(w.t, "max unavailable"),
		MaxPerServer:   rapid.SampledFrom([]int{0, 1, 1, 2}).Draw(w.t, "long-running max per server"),
		BestEffort:     rapid.IntRange(0, 3).Draw(w.t, "best effort") == 0,
		SameRack:       rapid.IntRange(0, 4).Draw(w.t, "long-running same rack") == 0,
		RequiredLabel:  rapid.SampledFrom([]string{"", "", "", "a", "r1-2"}).Draw(w.t, "label"),
		Checkpointing:  rapid.Bool().Draw(w.t, "long-running checkpointing"),
		Affinity:       rapid.SampledFrom([]string{"", "", "r1-1"}).Draw(w.t, "affinity"),
	}
}

// allows reports whether an executor meets the constraints of a step, capacity and
// MaxPerServer aside.
func (w *world) allows(e *executorSim, id job.StepID, def job.Step) bool {
	if def.RequiredLabel != "" && !slices.Contains(e.labels(), def.RequiredLabel) {
		return false
	}
	return w.jobs[id.Job].record.Queue.Advice == nil || advisable(e.id)
}

// advisable reports whether the advice service permits steps of the advised queue on an
// executor.
func advisable(id cluster.ExecutorID) bool {
	number, err := strconv.Atoi(strings.TrimPrefix(string(id), "i-"))
	return err == nil && number%3 != 0
}

// requestAdvice sends the requests that the flow of the owner's process admits.
func (w *world) requestAdvice(o *ownerSim) {
	need, found := o.shard.AdviceNeed(w.now)
	for ; found && o.adviceFlow.Admits(need.Configured, w.now); need, found = o.shard.AdviceNeed(w.now) {
		w.sendAdviceRequest(o, o.shard.RequestAdvice(need, w.now), o.adviceFlow.Begin(need.Configured, w.now))
	}
}

// sendAdviceRequest sends a request to the advice service, which always responds.
func (w *world) sendAdviceRequest(o *ownerSim, request AdviceRequest, call adviceflow.Call) {
	sentAt := w.now
	byExecutor := map[cluster.ExecutorID]string{}
	for _, id := range request.Executors {
		if advisable(id) {
			byExecutor[id] = fmt.Sprint(id, " ", sentAt.Add(ticketValidity).UnixMilli())
		}
	}
	// The service carries out one call at a time.
	if o.adviceBusyUntil.Before(w.now) {
		o.adviceBusyUntil = w.now
	}
	o.adviceBusyUntil = o.adviceBusyUntil.Add(adviceTime)
	o.responses = append(o.responses, responseSim{o.adviceBusyUntil, func() {
		o.adviceFlow.End(call, adviceflow.Answered, w.now)
		o.shard.HandleAdvice(request, AdviceResponse{Tickets: byExecutor, Validity: ticketValidity, SentAt: sentAt}, w.now)
	}})
}

// ticketValid reports whether a start has a valid ticket or needs none.
func (w *world) ticketValid(e *executorSim, s execution.Start) bool {
	if w.jobs[s.Task.Job].record.Queue.Advice == nil {
		return true
	}
	id, validUntil, _ := strings.Cut(s.Ticket, " ")
	until, err := strconv.ParseInt(validUntil, 10, 64)
	return err == nil && id == string(e.id) && w.now.UnixMilli() < until+adviceTime.Milliseconds()
}

// checkLongRunning fails the test if the rule for long-running tasks is violated.
func (w *world) checkLongRunning() {
	sim := w.liveness.longRunning
	if w.disturbedApartFromExecutors() && !w.onlySlowed() {
		sim.lastFault = w.now
	}
	for _, id := range w.jobIDs() {
		j := w.jobs[id]
		for s, def := range j.record.Definition.Steps {
			for i := range def.Count {
				w.checkLongRunningTask(j, job.TaskID{StepID: job.StepID{Job: id, Step: s}, Index: i}, def)
			}
		}
	}
}

// onlySlowed reports whether the only fault apart from those of executors is that the owner
// repeatedly gets no processor time for a moment. The rule holds for it.
func (w *world) onlySlowed() bool {
	pausedUntil := w.owner.pausedUntil
	if !w.now.Before(w.liveness.longRunning.slowedUntil) || pausedUntil.Sub(w.now) > slowedPause {
		return false
	}
	w.owner.pausedUntil = time.Time{}
	otherFault := w.disturbedApartFromExecutors()
	w.owner.pausedUntil = pausedUntil
	return !otherFault
}

func (w *world) checkLongRunningTask(j *storedJob, id job.TaskID, def job.Step) {
	sim := w.liveness.longRunning
	due := def.LongRunning && !j.state.Final() && j.cancelledAt.IsZero()
	if !due || w.isRunning(id) || w.mayRunBehindCut(id) || w.faultlessCapacityFor(id, def) < 2 {
		delete(sim.missingSince, id)
		return
	}
	if sim.missingSince[id].IsZero() {
		sim.missingSince[id] = w.now
	}
	since := sim.missingSince[id]
	if sim.lastFault.After(since) {
		since = sim.lastFault
	}
	if w.now.Sub(since) > longRunningBound {
		w.t.Fatalf("LOST: long-running %s has no run for %s, no fault began or ended for %s: %+v\n%s", id, w.now.Sub(sim.missingSince[id]), w.now.Sub(sim.lastFault), def, w.describe(id.Job))
	}
}

// faultlessCapacityFor returns how many times a task fits on executors without faults.
func (w *world) faultlessCapacityFor(id job.TaskID, def job.Step) int {
	n := 0
	for _, e := range w.executors {
		if e.faults.any() || e.partitioned {
			continue
		}
		n += w.capacityOn(e, id, def)
	}
	return n
}

// mayRunBehindCut reports whether a task's last run was on an executor that is cut off and, by
// the owner's information, may still run there: until the longest possible lease has expired.
func (w *world) mayRunBehindCut(id job.TaskID) bool {
	e := w.liveness.longRunning.lastExecutor[id]
	if e == nil || !e.alive || !e.faults.unreachable && !e.partitioned {
		return false
	}
	own := w.liveness.longRunning.cutAt[e].Add(maxLeaseTime(testLimits.RunLease))
	inherited := w.liveness.longRunning.lastTakeover.Add(maxLeaseTime(testLimits.MaxRunLease))
	return w.now.Before(own) || w.now.Before(inherited)
}

// injectLongRunningFault injects a fault of the liveness world, or one of those that leave
// long-running tasks without a run.
func (w *world) injectLongRunningFault() {
	l := w.liveness
	switch rapid.IntRange(0, 15).Draw(w.t, "long-running fault") {
	case 0: // an executor is restarted behind a cut at the same address
		if e := w.pickExecutor("restarted behind a cut"); e != nil {
			e.faults.unreachable = true
			w.after(w.randomTicks("restart", 6000), func() { w.restartBehindCut(e) })
		}
	case 1: // the owner is slowed: it repeatedly gets no processor time
		w.starve(w.randomTicks("slowed", 30000))
	case 2: // the owner is replaced in quick succession
		for range rapid.IntRange(2, 4).Draw(w.t, "takeovers") {
			w.zombies = append(w.zombies, w.owner)
			w.livenessTakeOver()
			w.checkedStep(w.randomTicks("term", 2000))
		}
		w.zombies = w.zombies[max(0, len(w.zombies)-2):]
	case 3: // several executors are cordoned for long
		ids := map[cluster.ExecutorID]Evacuation{}
		for range rapid.IntRange(1, 3).Draw(w.t, "cordons") {
			if e := w.pickExecutor("cordoned for long"); e != nil {
				ids[e.id] = EvacuateGracefully
			}
		}
		w.setCordon(ids)
	case 4: // an executor is listed as draining for a while
		if e := w.pickExecutor("draining for a while"); e != nil && !e.faults.draining {
			e.faults.draining, e.drained = true, true
			w.refreshWhenObserved()
			w.after(w.randomTicks("draining", 4000), func() {
				e.faults.draining = false
				w.refreshWhenObserved()
			})
		}
	case 5: // jobs that always fail make executors suspect
		for range rapid.IntRange(4, 16).Draw(w.t, "failing jobs") {
			if l.storeDownSince.IsZero() {
				w.submitSingleTask(true)
			}
		}
	case 6:
		l.storeSlowUntil = w.now.Add(w.randomTicks("store slow", 6000))
	case 7:
		if e := w.pickExecutor("refuses starts"); e != nil {
			e.faults.refusingStarts = !e.faults.refusingStarts
		}
	case 8: // an executor is lost, and another one starts elsewhere
		if e := w.pickExecutor("lost"); e != nil {
			w.crash(e, false)
			w.addExecutor(fmt.Sprintf("10.0.3.%d:80", w.executorsAdded))
			w.refreshWhenObserved()
		}
	default:
		w.injectLivenessFault()
	}
	w.noteCuts()
	l.faultFreeSince, l.longRunning.lastFault = w.now, w.now
}

// restartBehindCut replaces an executor that is cut off by one at its address that is cut off
// for a while, too.
func (w *world) restartBehindCut(e *executorSim) {
	if !e.alive {
		return
	}
	w.crash(e, true)
	successor := w.executors[cluster.ExecutorID(fmt.Sprintf("i-%d", w.executorsAdded))]
	successor.faults.unreachable = true
	w.after(w.randomTicks("still cut", 6000), func() {
		successor.faults.unreachable = false
		w.liveness.faultFreeSince, w.liveness.longRunning.lastFault = w.now, w.now
	})
	w.noteCuts()
	w.liveness.faultFreeSince, w.liveness.longRunning.lastFault = w.now, w.now
}

// noteCuts records when executors were cut off.
func (w *world) noteCuts() {
	cutAt := w.liveness.longRunning.cutAt
	for _, e := range w.executors {
		if !e.faults.unreachable && !e.partitioned {
			delete(cutAt, e)
		} else if cutAt[e].IsZero() {
			cutAt[e] = w.now
		}
	}
}

// starve slows the owner for d: it gets processor time for short intervals only.
func (w *world) starve(d time.Duration) {
	slowed := w.owner
	if w.now.Before(w.liveness.longRunning.slowedUntil) {
		return // two overlapping sequences of pauses would leave no time between them
	}
	w.liveness.longRunning.slowedUntil = w.now.Add(d)
	for at := time.Duration(0); at < d; at += slowedPause + slowedWork {
		w.after(at, func() { slowed.pausedUntil = w.now.Add(slowedPause) })
	}
}

// healSome ends all faults but those of some executors and, perhaps, cordons.
func (w *world) healSome() {
	faults := map[*executorSim]executorFaults{}
	for _, e := range w.sortedExecutors() {
		if e.alive && e.faults.any() && rapid.IntRange(0, 2).Draw(w.t, "fault lasts") == 0 {
			faults[e] = e.faults
		}
	}
	cordoned := w.liveness.cordoned
	w.heal()
	for e, f := range faults {
		draining := e.faults.draining
		e.faults = f
		e.faults.draining = draining
	}
	if rapid.Bool().Draw(w.t, "cordons last") {
		w.setCordon(cordoned)
	}
	w.noteCuts()
	w.liveness.longRunning.lastFault = w.now
}

// After any sequence of faults, and while faults of some executors and cordons last, each
// long-running task that fits has a run within longRunningBound.
func TestLongRunningTasksRunOnceFaultsEnd(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		w := newLongRunningWorld(t)
		for range rapid.IntRange(5, 25).Draw(t, "faults") {
			w.injectLongRunningFault()
			w.checkedStep(w.randomTicks("pause", rapid.SampledFrom([]int{1000, 1000, 4000}).Draw(t, "longest pause")))
		}
		w.healSome()
		w.checkedStep(2*longRunningBound + startBound)
	})
}
