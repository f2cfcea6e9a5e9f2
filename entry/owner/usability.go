package owner

import (
	"time"

	"github.com/tarragonreach/tarragonreach/policy/shard"
)

// logUsabilityChanges logs the executors that have been unusable for longer than the longest
// run lease, and those of them for which that is over.
func (o *Owner) logUsabilityChanges(changes []shard.UsabilityChange, now time.Time) {
	for _, c := range changes {
		logger := o.Logger.With("executor", string(c.Executor), "reason", string(c.Reason),
			"since", c.Since.UTC().Format(time.RFC3339Nano), "unusable_ms", now.Sub(c.Since).Milliseconds())
		switch c.State {
		case shard.UnusableForLong:
			logger.Warn("executor unusable")
		case shard.UsableAgain:
			logger.Info("executor usable again")
		case shard.NoLongerListed:
			logger.Info("unusable executor no longer listed")
		}
	}
}

// logSuspicions logs the executors that became suspect since the last report, with the jobs
// that failed there, and those for which a successful run has cleared the suspicion.
func (o *Owner) logSuspicions(changes []shard.SuspicionChange, now time.Time) {
	for _, c := range changes {
		logger := o.Logger.With("executor", string(c.Executor), "since", c.Since.UTC().Format(time.RFC3339Nano),
			"suspect_ms", now.Sub(c.Since).Milliseconds(), "failed_jobs", c.FailedJobs)
		if c.Cleared {
			logger.Info("executor no longer suspect")
			continue
		}
		logger.Warn("executor suspect")
	}
}

// logCrashes logs the tasks that are suspected of crashing executors, and counts them.
func (o *Owner) logCrashes() {
	for _, n := range o.shard.TakeCrashNotes() {
		o.Scope.Counter("crash_suspects").Inc(1)
		logger := o.Logger.With("task", n.Task.String(), "executor", string(n.Executor), "crashes", n.Crashes, "evidence", n.Evidence, "suspects", n.Suspects)
		if n.GivenUp {
			o.Scope.Counter("crashing_tasks_given_up").Inc(1)
			logger.Warn("task given up: it crashes the executors that start it")
			continue
		}
		logger.Info("executor crashed under a task")
	}
}

// logRestarts logs the executors that have started again under their IDs, and counts them.
func (o *Owner) logRestarts() {
	for _, n := range o.shard.TakeRestartNotes() {
		o.Scope.Tagged(map[string]string{"evidence": string(n.Evidence)}).Counter("executor_restarts").Inc(1)
		o.Logger.Info("executor started again", "executor", string(n.Executor), "former_born", int64(n.Former),
			"born", int64(n.Born), "evidence", string(n.Evidence), "runs", n.Runs)
	}
}

// logGivenUp logs the runs that were given up without a completion, and the completions of such runs
// that arrived afterwards, and counts them.
func (o *Owner) logGivenUp() {
	now := time.Now()
	for _, n := range o.shard.TakeGiveUpNotes() {
		o.Scope.Tagged(map[string]string{"reason": string(n.Reason)}).Counter("runs_given_up").Inc(1)
		o.Logger.Info("run given up", "task", n.Task.String(), "run", n.Run, "executor", string(n.Executor),
			"reason", string(n.Reason), "applied_ends", n.Applied, "acked_ends", n.Acked,
			"failed_calls", n.FailedCalls, "unheard_ms", unheardMs(n.LastResponse, now))
	}
	for _, n := range o.shard.TakeLateCompletionNotes() {
		o.Scope.Counter("late_completions").Inc(1)
		o.Logger.Warn("run given up had been completed", "task", n.Task.String(), "run", n.Run, "executor", string(n.Executor),
			"restarts", n.Restarts)
	}
}

// measureExecutors sets the gauges of the listed and the unusable executors.
func (o *Owner) measureExecutors(r shard.ExecutorReport) {
	o.Scope.Gauge("listed_executors").Update(float64(r.Listed))
	for _, reason := range shard.UnusableReasons {
		scope := o.Scope.Tagged(map[string]string{"reason": string(reason)})
		scope.Gauge("unusable_executors").Update(float64(r.Unusable[reason]))
	}
}

// neverHeard stands in a log line for the age of a response that there was not.
const neverHeard = -1

// unheardMs returns the age of an executor's last response in milliseconds, or neverHeard.
func unheardMs(lastResponse, now time.Time) int64 {
	if lastResponse.IsZero() {
		return neverHeard
	}
	return now.Sub(lastResponse).Milliseconds()
}
