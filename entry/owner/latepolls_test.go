package owner

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/execution"
	"github.com/tarragonreach/tarragonreach/api/job"
	"github.com/tarragonreach/tarragonreach/policy/shard"
)

// lateExecutor responds to each poll after a delay, with one completion.
type lateExecutor struct {
	Executor
	delay time.Duration
	ended execution.Ended
}

func (e lateExecutor) Poll(ctx context.Context, _ execution.PollRequest) (execution.PollResponse, error) {
	select {
	case <-time.After(e.delay):
		return execution.PollResponse{Reply: execution.Reply{ClockMs: 1000}, Ended: []execution.Ended{e.ended}}, nil
	case <-ctx.Done():
		return execution.PollResponse{}, ctx.Err()
	}
}

func (e lateExecutor) Close() {}

// polledJob is the job of a pollingOwner.
const polledJob = job.ID("00000000000000aa")

// pollingOwner returns an owner that calls its executors through dial and leads a service with one task.
func pollingOwner(ctx context.Context, dial Dial, executors []cluster.Executor, progress shard.Progress) *Owner {
	o := &Owner{
		Options: Options{Service: testService, Logger: slog.New(slog.DiscardHandler), Scope: tally.NoopScope, Dial: dial},
		shard:   shard.New(shard.Limits{RunLease: 5 * time.Second, MaxRunLease: 10 * time.Second}, 1),
		events:  make(chan event, eventQueueSize), ctx: ctx, clients: map[cluster.ExecutorID]executorClient{},
	}
	o.shard.SetExecutors(executors, time.Now())
	record := shard.Record{ID: polledJob, Accepted: time.Now(), Definition: job.Definition{Steps: []job.Step{{Count: 1}}}}
	o.shard.AddJob(record, &progress, time.Now())
	return o
}

// All responses come seconds after the time limit of a poll. The completion in them must be read.
func TestCompletionInALatePollResponseIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		ended := execution.Ended{
			RunRef:   execution.RunRef{Task: job.TaskID{StepID: job.StepID{Job: polledJob}}, Run: 1},
			Sequence: 1, Reason: execution.EndedDone,
		}
		dial := func(cluster.ExecutorID, string) Executor { return lateExecutor{delay: 4 * time.Second, ended: ended} }
		progress := shard.Progress{Tasks: []shard.TaskProgress{{Run: 1, Executor: "i-1", Address: "a:1"}}}
		o := pollingOwner(ctx, dial, []cluster.Executor{{ID: "i-1", Address: "a:1"}}, progress)
		for range 5 * time.Second / tickInterval {
			o.drain()
			now := time.Now()
			o.shard.Tick(now)
			for _, poll := range o.shard.Polls(now) {
				o.poll(poll)
			}
			if b := o.shard.Batch(now, 29); b != nil {
				o.shard.Committed()
			}
			time.Sleep(tickInterval)
		}
		assert.Assert(t, !o.shard.HasJob(polledJob))
	})
}
