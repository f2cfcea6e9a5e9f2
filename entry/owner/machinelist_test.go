package owner

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/execution"
	"github.com/tarragonreach/tarragonreach/api/job"
	"github.com/tarragonreach/tarragonreach/policy/shard"
)

// listedMachines is a machine service that counts its calls.
type listedMachines struct {
	calls      int
	took       time.Duration
	failures   int // calls that fail first
	machines   []cluster.Machine
	incomplete error // as MachineList.Incomplete
	bytes      int   // as MachineList.Bytes
}

func (m *listedMachines) List(ctx context.Context) (cluster.MachineList, error) {
	m.calls++
	time.Sleep(m.took)
	if m.calls <= m.failures {
		return cluster.MachineList{}, errors.New("unavailable")
	}
	return cluster.MachineList{Machines: m.machines, Incomplete: m.incomplete, Bytes: m.bytes}, ctx.Err()
}

// newOwnerWithLostExecutor returns an owner that has inherited a long-running task on i-1, which does not
// respond; i-2 is idle.
func newOwnerWithLostExecutor(ctx context.Context, machines Machines) *Owner {
	limits := shard.Limits{RunLease: 5 * time.Second, MaxRunLease: 10 * time.Second}
	o := &Owner{
		Options: Options{Service: testService, Machines: machines, Logger: slog.New(slog.DiscardHandler)},
		shard:   shard.New(limits, 1), events: make(chan event, eventQueueSize), ctx: ctx,
	}
	capacity := job.Resources{MilliCPU: 4000, MemoryMB: 4000}
	o.shard.SetExecutors([]cluster.Executor{
		{ID: "i-1", Address: "a:1", Capacity: capacity},
		{ID: "i-2", Address: "a:2", Capacity: capacity},
	}, time.Now())
	step := job.Step{Count: 1, Need: job.Resources{MilliCPU: 1000}, LongRunning: true}
	record := shard.Record{ID: "00000000000000aa", Accepted: time.Now(), Definition: job.Definition{Steps: []job.Step{step}}}
	progress := shard.Progress{Tasks: []shard.TaskProgress{{Run: 1, Executor: "i-1", Address: "a:1"}}}
	o.shard.AddJob(record, &progress, time.Now())
	return o
}

// runOwner lets the owner poll and request the machine list until the task starts again, for at
// most limit, and returns how long that took.
func runOwner(o *Owner, limit time.Duration) (took time.Duration, started bool) {
	for begin := time.Now(); time.Since(begin) < limit; time.Sleep(tickInterval) {
		o.drain()
		now := time.Now()
		o.shard.Tick(now)
		for _, poll := range o.shard.Polls(now) {
			delivery := shard.Responded
			if poll.Executor.ID == "i-1" {
				delivery = shard.Ambiguous
			}
			o.shard.HandlePollResult(poll, delivery, execution.PollResponse{Reply: execution.Reply{ClockMs: 1000}}, now)
		}
		o.requestMachineList(now)
		if o.shard.Batch(now, 29) != nil {
			o.shard.Committed()
		}
		if len(o.shard.Commands(now)) > 0 {
			return time.Since(begin), true
		}
	}
	return 0, false
}

func TestTaskOfEndedExecutorStartsAgainByTheMachineList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &listedMachines{took: 100 * time.Millisecond, machines: []cluster.Machine{{ID: "m-2", Executor: "i-2"}, {ID: "m-1"}}}
		took, started := runOwner(newOwnerWithLostExecutor(t.Context(), m), 20*time.Second)
		assert.Assert(t, started)
		assert.Assert(t, took <= 3*time.Second, "started again after %s", took)
	})
}

// An entry that can't be read may be that of the machine with the executor: its task must wait for the
// leases there. Lists that stay incomplete are logged once.
func TestExecutorThatAnIncompleteListLacksWaitsForItsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log bytes.Buffer
		m := &listedMachines{machines: []cluster.Machine{{ID: "m-2", Executor: "i-2"}}, incomplete: errors.New("an entry names no machine")}
		o := newOwnerWithLostExecutor(t.Context(), m)
		o.Logger = slog.New(slog.NewJSONHandler(&log, nil))
		took, started := runOwner(o, 20*time.Second)
		assert.Assert(t, started)
		assert.Assert(t, took > 10*time.Second, "started again after %s", took)
		assert.Assert(t, m.calls > 2)
		assert.Equal(t, strings.Count(log.String(), "an entry names no machine"), 1, log.String())
	})
}

// A partitioned executor stays in the machine list. Its task waits for the leases there, and the
// list is requested at the stated rate.
func TestTaskOfPartitionedExecutorWaitsForItsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &listedMachines{machines: []cluster.Machine{{ID: "m-1", Executor: "i-1"}, {ID: "m-2", Executor: "i-2"}}}
		took, started := runOwner(newOwnerWithLostExecutor(t.Context(), m), 20*time.Second)
		assert.Assert(t, started)
		assert.Assert(t, took > 10*time.Second, "started again after %s", took)
		assert.Assert(t, m.calls <= int(took/machineListInterval)+1, "%d requests in %s", m.calls, took)
	})
}

// Guards against lists that an owner with a slow link requests for an unresponsive executor at the expense of the
// calls by which the others hold their runs.
func TestMachineListTakesABoundedShareOfTheLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &listedMachines{bytes: 50_000, machines: []cluster.Machine{{ID: "m-1", Executor: "i-1"}, {ID: "m-2", Executor: "i-2"}}}
		o := newOwnerWithLostExecutor(t.Context(), m)
		o.Link = 250_000
		took, started := runOwner(o, 20*time.Second)
		assert.Assert(t, started)
		assert.Assert(t, m.calls > 2)
		assert.Assert(t, m.calls <= int(took/(2*time.Second))+2, "%d requests in %s", m.calls, took)
	})
}

// A machine service that fails delays nothing: the leases still expire.
func TestOwnerWithoutMachineListFallsBackOnLeases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &listedMachines{took: time.Second, failures: 1000}
		took, started := runOwner(newOwnerWithLostExecutor(t.Context(), m), 20*time.Second)
		assert.Assert(t, started)
		assert.Assert(t, took > 10*time.Second && took < 12*time.Second, "started again after %s", took)
		time.Sleep(m.took) // the last request ends
	})
}

func TestIdleOwnerRequestsNoMachineList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &listedMachines{}
		o := newOwnerWithLostExecutor(t.Context(), m)
		o.shard = shard.New(shard.Limits{}, 1)
		_, started := runOwner(o, 5*time.Second)
		assert.Assert(t, !started)
		assert.Equal(t, m.calls, 0)
	})
}
