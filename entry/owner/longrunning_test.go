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

// longRunningLine is a log line about long-running tasks without a live run.
type longRunningLine struct {
	Tasks     int                          `json:"tasks"`
	OldestMs  int64                        `json:"oldest_ms"`
	ByReason  map[shard.Reason]int         `json:"why"`
	Samples   []longRunningEntry           `json:"samples"`
	Executors int                          `json:"executors"`
	Unusable  map[shard.UnusableReason]int `json:"unusable"`
}

// addInheritedTask adds a job of one long-running task whose run an earlier owner started
// on i-1.
func addInheritedTask(o *Owner) {
	o.shard.AddJob(shard.Record{
		ID: "00000000000000aa", Accepted: time.Now(), Definition: job.Definition{Steps: []job.Step{{Count: 1, LongRunning: true}}},
	}, &shard.Progress{Tasks: []shard.TaskProgress{{Run: 3, Executor: "i-1", Address: "i-1:80"}}}, time.Now())
}

// A long-running task whose executor does not respond is in the metrics at once, and in the
// log once a second from longWait on.
func TestLongRunningTaskOfAnUnreachableExecutorIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o, log, scope := reportingOwner()
		addInheritedTask(o)
		pollFor(o, 5*time.Second, shard.NotSent, func(shard.Poll) execution.PollResponse { return execution.PollResponse{} })
		assert.Equal(t, gauge(scope, "long_running_missing", shard.ReasonExecutorUnreachable), 1.0)
		assert.Equal(t, gauge(scope, "long_running_missing", shard.ReasonNoExecutor), 0.0)
		assert.Equal(t, gauge(scope, "long_running_missing_oldest_seconds", ""), 4.0) // found at 1 s
		lines := linesOf[longRunningLine](t, log, "long-running tasks don't run")
		assert.Equal(t, len(lines), 2) // at 4 and 5 s
		leaseLeft := int64(10_500 - 5_000)
		assert.DeepEqual(t, lines[1], longRunningLine{
			Tasks: 1, OldestMs: 4000, ByReason: map[shard.Reason]int{shard.ReasonExecutorUnreachable: 1},
			Samples: []longRunningEntry{{
				Task: "00000000000000aa.0.0.0", Reason: shard.ReasonExecutorUnreachable, MissingMs: 4000, Run: 3,
				Executor: "i-1", LeaseLeftMs: &leaseLeft,
			}},
			Unusable: map[shard.UnusableReason]int{},
		})
	})
}

// A sample names an executor and its times only while a run may still be there.
func TestLongRunningSampleIsLoggedWithWhatIsKnown(t *testing.T) {
	task := job.TaskID{StepID: job.StepID{Job: "00000000000000aa"}}
	lastContact, leaseLeft := int64(0), int64(-20)
	for _, c := range []struct {
		name   string
		sample shard.LongRunningSample
		want   longRunningEntry
	}{
		{"no run", shard.LongRunningSample{Task: task, Reason: shard.ReasonNoCapacity, Missing: time.Second},
			longRunningEntry{Task: "00000000000000aa.0.0.0", Reason: shard.ReasonNoCapacity, MissingMs: 1000}},
		{"no contact", shard.LongRunningSample{Task: task, Run: 2, Executor: "i-1", LeaseLeft: -20 * time.Millisecond},
			longRunningEntry{Task: "00000000000000aa.0.0.0", Run: 2, Executor: "i-1", LeaseLeftMs: &leaseLeft}},
		{"contact", shard.LongRunningSample{Task: task, Run: 2, Executor: "i-1", LeaseLeft: -20 * time.Millisecond, Contacted: true},
			longRunningEntry{Task: "00000000000000aa.0.0.0", Run: 2, Executor: "i-1", LeaseLeftMs: &leaseLeft, LastContactMs: &lastContact}},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.DeepEqual(t, longRunningEntryOf(c.sample), c.want)
		})
	}
}

// A task that waits beside a running one of its job is logged, though no job waits.
func TestLongRunningTaskBesideARunningOneIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o, log, _ := reportingOwner()
		o.shard.SetExecutors([]cluster.Executor{{ID: "i-1", Address: "i-1:80", Capacity: job.Resources{MilliCPU: 1000}}}, time.Now())
		definition := job.Definition{Steps: []job.Step{{Count: 2, LongRunning: true, Need: job.Resources{MilliCPU: 1000}}}}
		o.shard.AddJob(shard.Record{ID: "00000000000000aa", Accepted: time.Now(), Definition: definition}, nil, time.Now())
		reportFor(o, 200*time.Millisecond) // the executor is polled
		running := startBatch(o)
		assert.Equal(t, len(running), 1)
		pollFor(o, 5*time.Second, shard.Responded, func(shard.Poll) execution.PollResponse { return execution.PollResponse{Running: running} })
		assert.Equal(t, len(waitingLines(t, log)), 0)
		lines := linesOf[longRunningLine](t, log, "long-running tasks don't run")
		assert.Equal(t, len(lines), 3) // at 3, 4 and 5 s
		assert.Equal(t, lines[2].Tasks, 1)
		assert.DeepEqual(t, lines[2].ByReason, map[shard.Reason]int{shard.ReasonNoCapacity: 1})
		assert.Equal(t, lines[2].Executors, 1)
	})
}

// startBatch stores the next batch, and confirms and returns its starts.
func startBatch(o *Owner) []execution.Running {
	now := time.Now()
	o.shard.Batch(now, 29)
	o.shard.Committed()
	var running []execution.Running
	for _, command := range o.shard.Commands(now) {
		o.shard.HandleCommandResult(command, shard.Responded, execution.Reply{}, now)
		running = append(running, execution.Running{RunRef: command.Start.RunRef, Percent: 100})
	}
	return running
}
