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
