package shard

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/execution"
	"github.com/tarragonreach/tarragonreach/api/job"
)

// harness drives one shard step by step.
type harness struct {
	t     *testing.T
	shard *Shard
	now   time.Time
	// revision is that of the last write.
	revision int64
}

func newHarness(t *testing.T, executors ...cluster.Executor) *harness {
	t.Helper()
	h := &harness{t: t, shard: New(testLimits, 7), now: time.Unix(1000, 0), revision: 7}
	h.shard.SetExecutors(executors, h.now)
	h.pollAll()
	return h
}

func newExecutorNamed(id string) cluster.Executor {
	return cluster.Executor{
		ID: cluster.ExecutorID(id), Address: id + ":80",
		Capacity: job.Resources{MilliCPU: 4000, MemoryMB: 4000}, Labels: []string{"a", "r1-1"},
	}
}

// pollAll responds to all due polls; the responses list no runs and no completions.
func (h *harness) pollAll() {
	for _, poll := range h.shard.Polls(h.now) {
		h.shard.HandlePollResult(poll, Responded, execution.PollResponse{Reply: execution.Reply{ClockMs: 1000}}, h.now)
	}
}

func (h *harness) submit(id job.ID, steps ...job.Step) {
	h.shard.AddJob(Record{
		ID: id, Accepted: h.now, Definition: job.Definition{Steps: steps},
		Queue: QueuePolicy{Name: "q", MaxAttempts: 2, Stretch: 2, TargetDuration: time.Second},
	}, nil, h.now)
}

// storeAndCommand plans a batch, makes it durable at once, and returns the commands.
func (h *harness) storeAndCommand() []Command {
	if h.shard.Batch(h.now, 29) != nil {
		h.revision++
		h.shard.NoteRevision(h.revision)
		h.shard.Committed()
	}
	return h.shard.Commands(h.now)
}

var oneTask = job.Step{Count: 1, Need: job.Resources{MilliCPU: 1000, MemoryMB: 100}, Estimate: time.Second}

// An executor is lost for good, and connections to its address are refused. Polls that
// can't be sent must not extend its lease bound, or its task would never start again.
func TestTaskOfLostExecutorStartsAgainAfterItsLease(t *testing.T) {
	t.Parallel()
	h := newHarness(t, newExecutorNamed("i-1"))
	h.submit("00000000000000aa", oneTask)
	cmds := h.storeAndCommand()
	assert.Equal(t, len(cmds), 1)
	h.shard.HandleCommandResult(cmds[0], Responded, execution.Reply{ClockMs: 1000}, h.now)

	h.shard.SetExecutors([]cluster.Executor{newExecutorNamed("i-2")}, h.now)
	lost := h.now
	for h.now.Sub(lost) < 2*testLease {
		h.now = h.now.Add(50 * time.Millisecond)
		for _, poll := range h.shard.Polls(h.now) {
			if poll.Executor.ID == "i-1" {
				h.shard.HandlePollResult(poll, NotSent, execution.PollResponse{}, h.now)
				continue
			}
			h.shard.HandlePollResult(poll, Responded, execution.PollResponse{Reply: execution.Reply{ClockMs: 1000}}, h.now)
		}
		for _, cmd := range h.storeAndCommand() {
			assert.Equal(t, cmd.Executor.ID, cluster.ExecutorID("i-2"))
			assert.Equal(t, cmd.Start.Run, 2)
			assert.Assert(t, h.now.Sub(lost) > testLease, "started %s after the executor was lost", h.now.Sub(lost))
			return
		}
	}
	t.Fatalf("not started again within %s", h.now.Sub(lost))
}

// A scheduled job has nothing to do until it is due, and no event occurs then: the shard
// must plan again by time alone.
func TestScheduledJobStartsWhenDueWithoutAnyEvent(t *testing.T) {
	t.Parallel()
	h := newHarness(t, newExecutorNamed("i-1"))
	due := h.now.Add(3 * time.Second)
	h.shard.AddJob(Record{
		ID: "00000000000000ab", Accepted: h.now, Queue: QueuePolicy{Name: "q", MaxAttempts: 2},
		Definition: job.Definition{Steps: []job.Step{oneTask}, Schedule: job.Schedule{Count: 2, First: due, Interval: time.Second}},
	}, nil, h.now)
	for h.now.Before(due.Add(time.Second)) {
		h.now = h.now.Add(20 * time.Millisecond)
		if !h.shard.Pending(h.now) {
			continue
		}
		cmds := h.storeAndCommand()
		if len(cmds) == 0 {
			continue
		}
		assert.Assert(t, !h.now.Before(due), "started %s early", due.Sub(h.now))
		assert.Assert(t, h.now.Sub(due) <= 2*replanInterval, "started %s late", h.now.Sub(due))
		return
	}
	t.Fatal("never started")
}

// A partitioned owner still reaches an executor that its successor can't. The last lease
// that it renews must have expired, on a clock that is 2% slow, before the successor
// considers the runs there lost.
func TestPredecessorsLastLeaseExpiresBeforeItsSuccessorRestartsTasks(t *testing.T) {
	t.Parallel()
	longRunning := job.Step{Count: 1, Need: job.Resources{MilliCPU: 1000}, LongRunning: true}
	old := newHarness(t, newExecutorNamed("i-1"))
	old.submit("00000000000000aa", longRunning)
	for _, cmd := range old.storeAndCommand() {
		old.shard.HandleCommandResult(cmd, Responded, execution.Reply{ClockMs: 1000}, old.now)
	}
	takeover := old.now // just after the term was last confirmed: the worst case
	record := old.shard.jobs["00000000000000aa"].Record
	progress := old.shard.jobs["00000000000000aa"].progress()
	next := New(testLimits, 8)
	next.SetExecutors(nil, takeover)
	next.AddJob(record, &progress, takeover)
	bound := next.executors["i-1"].leaseBound

	renewals := 0
	for old.now.Sub(takeover) < 15*time.Second {
		old.now = old.now.Add(100 * time.Millisecond)
		old.shard.AllowLeaseRenewal(old.now.Sub(takeover) < LeaseRenewalWindow(testLimits))
		for _, poll := range old.shard.Polls(old.now) {
			clock := 1000 + int64(0.98*float64(old.now.Sub(takeover).Milliseconds()))
			if poll.Request.UntilMs > 0 {
				renewals++
				untilExpiry := time.Duration(float64(poll.Request.UntilMs-clock)/0.98) * time.Millisecond
				expiry := old.now.Add(untilExpiry)
				assert.Assert(t, !expiry.After(bound), "a lease renewed %s after the takeover expires %s after the bound",
					old.now.Sub(takeover), expiry.Sub(bound))
			}
			response := old.listRuns("i-1", nil)
			response.ClockMs = clock
			old.shard.HandlePollResult(poll, Responded, response, old.now)
		}
	}
	assert.Assert(t, renewals > 0)
}

// The owner did not run between a poll and its timeout: a response may have come unread, so
// that the executor does not count as unresponsive yet. It does once further polls fail
// while the owner runs.
func TestPollAcrossAGapDoesNotMakeExecutorUnresponsive(t *testing.T) {
	t.Parallel()
	h := newHarness(t, newExecutorNamed("i-1"))
	h.submit("00000000000000aa", oneTask)
	for _, cmd := range h.storeAndCommand() {
		h.shard.HandleCommandResult(cmd, Responded, execution.Reply{ClockMs: 1000}, h.now)
	}
	h.now = h.now.Add(pollPause)
	h.shard.Tick(h.now)
	e := h.shard.executors["i-1"]
	polls := h.shard.Polls(h.now)
	h.now = h.now.Add(20 * time.Second)
	assert.Equal(t, h.shard.Tick(h.now), 20*time.Second)
	h.shard.HandlePollResult(polls[0], Ambiguous, execution.PollResponse{}, h.now)
	h.shard.expireRuns(h.now)
	assert.Equal(t, len(e.runs), 1)
	for range 20 {
		h.now = h.now.Add(100 * time.Millisecond)
		assert.Equal(t, h.shard.Tick(h.now), time.Duration(0))
		for _, poll := range h.shard.Polls(h.now) {
			h.shard.HandlePollResult(poll, Ambiguous, execution.PollResponse{}, h.now)
		}
	}
	h.shard.expireRuns(h.now)
	assert.Equal(t, len(e.runs), 0)
}

// An executor is up and refuses all polls, so that none shows what became of its runs. They
// are over when their lease has expired.
func TestTaskOfRefusingExecutorStartsAgainAfterItsLease(t *testing.T) {
	t.Parallel()
	h := newHarness(t, newExecutorNamed("i-1"))
	h.submit("00000000000000aa", oneTask)
	for _, cmd := range h.storeAndCommand() {
		h.shard.HandleCommandResult(cmd, Responded, execution.Reply{ClockMs: 1000}, h.now)
	}
	h.shard.SetExecutors([]cluster.Executor{newExecutorNamed("i-1"), newExecutorNamed("i-2")}, h.now)
	refused := h.now
	for h.now.Sub(refused) < 3*testLease {
		h.now = h.now.Add(50 * time.Millisecond)
		h.shard.Tick(h.now)
		for _, poll := range h.shard.Polls(h.now) {
			reply := execution.Reply{ClockMs: 1000}
			if poll.Executor.ID == "i-1" {
				reply.Refusal = execution.RefusedOther
			}
			h.shard.HandlePollResult(poll, Responded, execution.PollResponse{Reply: reply}, h.now)
		}
		for _, cmd := range h.storeAndCommand() {
			assert.Equal(t, cmd.Executor.ID, cluster.ExecutorID("i-2"))
			assert.Assert(t, h.now.Sub(refused) > testLease, "started %s after the first refusal", h.now.Sub(refused))
			return
		}
	}
	t.Fatalf("not started again within %s", h.now.Sub(refused))
}
