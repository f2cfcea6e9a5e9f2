package owner

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/execution"
	"github.com/tarragonreach/tarragonreach/policy/shard"
)

// silentExecutor never responds, and counts the polls that are in flight.
type silentExecutor struct {
	Executor
	inFlight, most atomic.Int64
}

func (e *silentExecutor) Poll(ctx context.Context, _ execution.PollRequest) (execution.PollResponse, error) {
	e.most.Store(max(e.most.Load(), e.inFlight.Add(1)))
	defer e.inFlight.Add(-1)
	<-ctx.Done()
	return execution.PollResponse{}, ctx.Err()
}

func (e *silentExecutor) Close() {}

// Guards against polls without a response that take all descriptors while they are awaited after their time limits: of an
// executor with a run, and of an entry behind which there may be none.
func TestSilentExecutorHoldsManyConnections(t *testing.T) {
	for name, c := range map[string]struct {
		progress shard.Progress
		most     int64
	}{
		"with a run": {shard.Progress{Tasks: []shard.TaskProgress{{Run: 1, Executor: "i-1", Address: "a:1"}}}, maxLatePolls + 1},
		"unknown":    {shard.Progress{}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer synctest.Wait()
				defer cancel()
				e := &silentExecutor{}
				dial := func(cluster.ExecutorID, string) Executor { return e }
				o := pollingOwner(ctx, dial, []cluster.Executor{{ID: "i-1", Address: "a:1"}, {ID: "i-2", Address: "a:2"}}, c.progress)
				for range 30 * time.Second / tickInterval {
					o.drain()
					now := time.Now()
					o.shard.Tick(now)
					for _, poll := range o.shard.Polls(now) {
						if poll.Executor.ID == "i-1" {
							o.poll(poll)
						}
					}
					time.Sleep(tickInterval)
				}
				assert.Equal(t, e.most.Load(), c.most)
			})
		})
	}
}
