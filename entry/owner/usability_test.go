package owner

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/execution"
	"github.com/tarragonreach/tarragonreach/api/job"
	"github.com/tarragonreach/tarragonreach/policy/shard"
)

// usabilityLine is a log line about an executor that has been unusable for long.
type usabilityLine struct {
	Message    string               `json:"msg"`
	Executor   cluster.ExecutorID   `json:"executor"`
	Reason     shard.UnusableReason `json:"reason"`
	Since      time.Time            `json:"since"`
	UnusableMs int64                `json:"unusable_ms"`
}

// reportFor reports for the given time, and responds to polls without runs or completions.
func reportFor(o *Owner, d time.Duration) {
	pollFor(o, d, shard.Responded, func(shard.Poll) execution.PollResponse { return execution.PollResponse{} })
}

// pollFor reports for the given time; all polls have the same result.
func pollFor(o *Owner, d time.Duration, delivery shard.Delivery, respond func(shard.Poll) execution.PollResponse) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(tickInterval)
		now := time.Now()
		o.delays.lastContact = now
		for _, poll := range o.shard.Polls(now) {
			o.shard.HandlePollResult(poll, delivery, respond(poll), now)
		}
		o.report(now)
	}
}

// An executor that is cordoned for long is in the metrics at once, and in the log once after
// the longest lease and once when the cordon has ended.
func TestLongUnusableExecutorIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o, log, scope := reportingOwner()
		o.shard.SetExecutors([]cluster.Executor{{ID: "i-1", Address: "i-1:80"}, {ID: "i-2", Address: "i-2:80"}}, time.Now())
		o.shard.SetCordons(map[cluster.ExecutorID]shard.Cordon{"i-1": {Evacuation: shard.EvacuateGracefully}}, time.Now())
		start := time.Now()
		reportFor(o, 2*time.Second)
		assert.Equal(t, gauge(scope, "listed_executors", ""), 2.0)
		assert.Equal(t, gauge(scope, "unusable_executors", shard.UnusableCordoned), 1.0)
		assert.Equal(t, gauge(scope, "unusable_executors", shard.UnusableNotPolled), 0.0)
		reportFor(o, 20*time.Second)
		o.shard.SetCordons(nil, time.Now())
		reportFor(o, 20*time.Second)
		assert.Equal(t, gauge(scope, "unusable_executors", shard.UnusableCordoned), 0.0)
		lines := linesOf[usabilityLine](t, log, "executor unusable", "executor usable again", "unusable executor no longer listed")
		since := start.Add(time.Second).UTC()
		assert.DeepEqual(t, lines, []usabilityLine{
			{"executor unusable", "i-1", shard.UnusableCordoned, since, 11_000},
			{"executor usable again", "i-1", shard.UnusableCordoned, since, 22_000},
		})
	})
}

// The line about waiting jobs counts the executors, the unusable ones by reason.
func TestWaitingLineCountsUnusableExecutors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o, log, _ := reportingOwner()
		o.shard.SetExecutors([]cluster.Executor{{ID: "i-1"}, {ID: "i-2", Draining: true}, {ID: "i-3"}}, time.Now())
		o.applyJobs(recordAt(t, job.ID("00000000000000aa"), 5), nil, time.Now())
		reportFor(o, longWait)
		lines := waitingLines(t, log)
		assert.Equal(t, len(lines), 1)
		assert.Equal(t, lines[0].Executors, 3)
		assert.DeepEqual(t, lines[0].Unusable, map[shard.UnusableReason]int{shard.UnusableNotPolled: 2, shard.UnusableDraining: 1})
	})
}

// suspicionLine is a log line about the health of an executor.
type suspicionLine struct {
	Message    string             `json:"msg"`
	Executor   cluster.ExecutorID `json:"executor"`
	Since      time.Time          `json:"since"`
	SuspectMs  int64              `json:"suspect_ms"`
	FailedJobs []job.ID           `json:"failed_jobs"`
}

// The runs of four jobs fail on an executor, and then one succeeds: both is in the log by the
// next report.
func TestSuspectExecutorIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o, log, _ := reportingOwner()
		o.shard.SetExecutors([]cluster.Executor{{ID: "i-1", Address: "i-1:80", Capacity: job.Resources{MilliCPU: 1000}}}, time.Now())
		reportFor(o, 200*time.Millisecond) // the executor is polled
		failed := []job.ID{"00000000000000a1", "00000000000000a2", "00000000000000a3", "00000000000000a4"}
		for i, id := range failed {
			endJob(o, id, execution.EndedFailed, int64(i+1))
		}
		suspectAt := time.Now().UTC()
		reportFor(o, 2*time.Second)
		endJob(o, "00000000000000a5", execution.EndedDone, 5)
		reportFor(o, 2*time.Second)
		lines := linesOf[suspicionLine](t, log, "executor suspect", "executor no longer suspect")
		assert.Equal(t, len(lines), 2)
		for i, message := range []string{"executor suspect", "executor no longer suspect"} {
			assert.Equal(t, lines[i].Message, message)
			assert.Equal(t, lines[i].Executor, cluster.ExecutorID("i-1"))
			assert.Equal(t, lines[i].Since, suspectAt)
			assert.DeepEqual(t, lines[i].FailedJobs, failed)
		}
		assert.Assert(t, lines[0].SuspectMs <= reportInterval.Milliseconds())
		assert.Assert(t, lines[1].SuspectMs >= (2*time.Second).Milliseconds())
	})
}

// endJob adds a job of one task, which may fail once, and starts and ends its run.
func endJob(o *Owner, id job.ID, reason execution.EndReason, sequence int64) {
	definition := job.Definition{Steps: []job.Step{{Count: 1, Need: job.Resources{MilliCPU: 1000}, Estimate: time.Second}}}
	queue := shard.QueuePolicy{Name: "q", MaxAttempts: 1}
	o.shard.AddJob(shard.Record{ID: id, Accepted: time.Now(), Definition: definition, Queue: queue}, nil, time.Now())
	ended := execution.Ended{RunRef: startBatch(o)[0].RunRef, Sequence: sequence, Reason: reason}
	for {
		time.Sleep(tickInterval)
		for _, poll := range o.shard.Polls(time.Now()) {
			o.shard.HandlePollResult(poll, shard.Responded, execution.PollResponse{Ended: []execution.Ended{ended}}, time.Now())
			return
		}
	}
}
