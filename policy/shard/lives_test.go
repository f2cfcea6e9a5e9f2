package shard

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/tarragonreach/tarragonreach/api/job"
)

// loseExecutorWithRuns ends one executor that has runs, for good.
func (w *world) loseExecutorWithRuns() {
	for _, e := range w.owner.shard.sortedExecutors() {
		if sim := w.executors[e.ID]; len(sim.running) > 0 {
			w.crash(sim, false)
			return
		}
	}
	w.t.Fatalf("no executor has runs")
}

// submitLongRunning accepts a job of one long-running step and returns it.
func (w *world) submitLongRunning(def job.Step) *storedJob {
	def.LongRunning = true
	r := Record{
		ID: testID(w.submitted), Accepted: w.now, Definition: job.Definition{Payload: "p", Steps: []job.Step{def}},
		Queue: QueuePolicy{Name: "q", MaxAttempts: 2, Stretch: 2, TargetDuration: time.Second},
	}
	w.submitted++
	stored := &storedJob{
		record: r, state: job.Queued,
		ackedDone: map[job.TaskID]bool{}, ackedFailures: map[job.TaskID]int{}, everDone: map[job.TaskID]bool{},
	}
	w.jobs[r.ID] = stored
	w.owner.shard.AddJob(r, nil, w.now)
	return stored
}

// missingTasks returns how many of the job's tasks run nowhere.
func (w *world) missingTasks(j *storedJob) int {
	missing := 0
	for i := range j.record.Definition.Steps[0].Count {
		task := job.TaskID{StepID: job.StepID{Job: j.record.ID}, Index: i}
		if !w.isRunning(task) {
			missing++
		}
	}
	return missing
}

// An executor is lost for good at about the time at which its owner is lost too. The successor
// has never reached it, and the leases there may last for long.
func TestLongRunningTaskOfExecutorLostWithItsOwnerStartsAgainInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newLivenessWorld(t)
		w.addExecutor("10.0.2.1:80")
		w.refreshExecutors()
		j := w.submitLongRunning(job.Step{Count: 3, Need: job.Resources{MilliCPU: 200, MemoryMB: 100}, Estimate: time.Second, MaxUnavailable: 1})
		w.step(3 * time.Second)
		w.loseExecutorWithRuns()
		lostAt := w.now
		for range rapid.IntRange(1, 2).Draw(t, "takeovers") {
			w.step(w.randomTicks("until the owner is lost", 2000))
			w.livenessTakeOver()
		}
		due := lostAt.Add(longRunningPause)
		if calm := w.now.Add(faultFreePeriod); calm.After(due) {
			due = calm
		}
		for w.missingTasks(j) > 0 {
			w.step(checkInterval)
			if w.now.Sub(due) > startBound {
				t.Fatalf("LOST: %d tasks do not run %s after their executor was lost: %s", w.missingTasks(j), w.now.Sub(lostAt), w.describe(j.record.ID))
			}
		}
	})
}
