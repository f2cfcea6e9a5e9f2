package shard

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/execution"
	"github.com/tarragonreach/tarragonreach/api/job"
)

// bench drives one shard by hand.
type bench struct {
	t   *testing.T
	s   *Shard
	now time.Time
}

func newBench(t *testing.T, executors ...cluster.Executor) *bench {
	t.Helper()
	b := &bench{t: t, s: New(testLimits, 7), now: time.Unix(1000, 0)}
	b.s.SetExecutors(executors, b.now)
	b.lookAll()
	return b
}

func executorOf(id string) cluster.Executor {
	return cluster.Executor{
		ID: cluster.ExecutorID(id), Address: id + ":80",
		Capacity: job.Resources{MilliCPU: 4000, MemoryMB: 4000}, Labels: []string{"a", "r1-1"},
	}
}

// lookAll answers all looks that are due with an empty view.
func (b *bench) lookAll() {
	for _, look := range b.s.Polls(b.now) {
		b.s.HandlePollResult(look, Answered, execution.PollResponse{Reply: execution.Reply{ClockMs: 1000}}, b.now)
	}
}

func (b *bench) submit(id job.ID, steps ...job.Step) {
	b.s.AddJob(Record{
		ID: id, Accepted: b.now, Definition: job.Definition{Steps: steps},
		Queue: QueuePolicy{Name: "q", MaxAttempts: 2, Stretch: 2, TargetDuration: time.Second},
	}, nil, b.now)
}

// round plans, stores at once, and returns the orders.
func (b *bench) round() []Command {
	if b.s.Batch(b.now, 29) != nil {
		b.s.Committed()
	}
	return b.s.Commands(b.now)
}

var oneTask = job.Step{Count: 1, Need: job.Resources{MilliCPU: 1000, MemoryMB: 100}, Estimate: time.Second}

// An executor is lost for good, and connections to its address are refused. Each look
// that can't even be sent must not push the end of its lease further away.
func TestTaskOfLostExecutorStartsAgainAfterItsLease(t *testing.T) {
	b := newBench(t, executorOf("i-1"))
	b.submit("00000000000000aa", oneTask)
	orders := b.round()
	assert.Equal(t, len(orders), 1)
	b.s.HandleCommandResult(orders[0], Answered, execution.Reply{ClockMs: 1000}, b.now)

	b.s.SetExecutors([]cluster.Executor{executorOf("i-2")}, b.now)
	lost := b.now
	for b.now.Sub(lost) < 2*testLease {
		b.now = b.now.Add(50 * time.Millisecond)
		for _, look := range b.s.Polls(b.now) {
			if look.Executor.ID == "i-1" {
				b.s.HandlePollResult(look, NotSent, execution.PollResponse{}, b.now)
				continue
			}
			b.s.HandlePollResult(look, Answered, execution.PollResponse{Reply: execution.Reply{ClockMs: 1000}}, b.now)
		}
		for _, order := range b.round() {
			assert.Equal(t, order.Executor.ID, cluster.ExecutorID("i-2"))
			assert.Equal(t, order.Start.Run, 2)
			assert.Assert(t, b.now.Sub(lost) > testLease, "started after %s", b.now.Sub(lost))
			return
		}
	}
	t.Fatalf("not started again within %s", b.now.Sub(lost))
}

// A scheduled job has nothing to do until its first time comes; no event wakes the
// shard then.
func TestScheduledJobStartsWhenDueWithoutAnyEvent(t *testing.T) {
	b := newBench(t, executorOf("i-1"))
	due := b.now.Add(3 * time.Second)
	b.s.AddJob(Record{
		ID: "00000000000000ab", Accepted: b.now, Queue: QueuePolicy{Name: "q", MaxAttempts: 2},
		Definition: job.Definition{Steps: []job.Step{oneTask}, Schedule: job.Schedule{Count: 2, First: due, Interval: time.Second}},
	}, nil, b.now)
	for b.now.Before(due.Add(time.Second)) {
		b.now = b.now.Add(20 * time.Millisecond)
		if !b.s.Pending(b.now) {
			continue
		}
		orders := b.round()
		if len(orders) == 0 {
			continue
		}
		assert.Assert(t, !b.now.Before(due), "started %s early", due.Sub(b.now))
		assert.Assert(t, b.now.Sub(due) <= 2*replanEvery, "started %s late", b.now.Sub(due))
		return
	}
	t.Fatal("never started")
}

// An owner behind a cut reaches an executor that its successor does not. The last
// lease that it grants must have lapsed, on a clock that is 2% slow, before the
// successor takes the runs there for gone.
func TestPredecessorsLastLeaseEndsBeforeItsSuccessorStartsAgain(t *testing.T) {
	lasting := job.Step{Count: 1, Need: job.Resources{MilliCPU: 1000}, LongRunning: true}
	old := newBench(t, executorOf("i-1"))
	old.submit("00000000000000aa", lasting)
	for _, o := range old.round() {
		old.s.HandleCommandResult(o, Answered, execution.Reply{ClockMs: 1000}, old.now)
	}
	takeover := old.now // at once after the term was confirmed last: the worst case
	record := old.s.jobs["00000000000000aa"].Record
	progress := old.s.jobs["00000000000000aa"].progress()
	next := New(testLimits, 8)
	next.SetExecutors(nil, takeover)
	next.AddJob(record, &progress, takeover)
	bound := next.executors["i-1"].leaseBound

	granted := 0
	for old.now.Sub(takeover) < 15*time.Second {
		old.now = old.now.Add(100 * time.Millisecond)
		old.s.AllowLeaseRenewal(old.now.Sub(takeover) < LeaseRenewalWindow(testLimits))
		for _, look := range old.s.Polls(old.now) {
			clock := 1000 + int64(0.98*float64(old.now.Sub(takeover).Milliseconds()))
			if look.Request.UntilMs > 0 {
				granted++
				left := time.Duration(float64(look.Request.UntilMs-clock)/0.98) * time.Millisecond
				lapse := old.now.Add(left)
				assert.Assert(t, !lapse.After(bound), "a lease granted %s after the takeover ends %s after the bound",
					old.now.Sub(takeover), lapse.Sub(bound))
			}
			view := old.view("i-1", nil)
			view.ClockMs = clock
			old.s.HandlePollResult(look, Answered, view, old.now)
		}
	}
	assert.Assert(t, granted > 0)
}

// The owner did not run between a look and its answer: the answer may have come and not been
// read, and proves nothing. The next look, made without a gap, does.
func TestLookAcrossAGapProvesNoSilence(t *testing.T) {
	b := newBench(t, executorOf("i-1"))
	b.submit("00000000000000aa", oneTask)
	for _, order := range b.round() {
		b.s.HandleCommandResult(order, Answered, execution.Reply{ClockMs: 1000}, b.now)
	}
	b.now = b.now.Add(lookPause)
	b.s.Tick(b.now)
	e := b.s.executors["i-1"]
	looks := b.s.Polls(b.now)
	b.now = b.now.Add(20 * time.Second)
	assert.Equal(t, b.s.Tick(b.now), 20*time.Second)
	b.s.HandlePollResult(looks[0], Ambiguous, execution.PollResponse{}, b.now)
	b.s.expire(b.now)
	assert.Equal(t, len(e.runs), 1)
	for range 20 {
		b.now = b.now.Add(100 * time.Millisecond)
		assert.Equal(t, b.s.Tick(b.now), time.Duration(0))
		for _, look := range b.s.Polls(b.now) {
			b.s.HandlePollResult(look, Ambiguous, execution.PollResponse{}, b.now)
		}
	}
	b.s.expire(b.now)
	assert.Equal(t, len(e.runs), 0)
}

// An executor is up and answers that it can't do anything: no look shows what became of its
// runs. They are over with their lease.
func TestTaskOfRefusingExecutorStartsAgainAfterItsLease(t *testing.T) {
	b := newBench(t, executorOf("i-1"))
	b.submit("00000000000000aa", oneTask)
	for _, order := range b.round() {
		b.s.HandleCommandResult(order, Answered, execution.Reply{ClockMs: 1000}, b.now)
	}
	b.s.SetExecutors([]cluster.Executor{executorOf("i-1"), executorOf("i-2")}, b.now)
	refused := b.now
	for b.now.Sub(refused) < 3*testLease {
		b.now = b.now.Add(50 * time.Millisecond)
		b.s.Tick(b.now)
		for _, look := range b.s.Polls(b.now) {
			reply := execution.Reply{ClockMs: 1000}
			if look.Executor.ID == "i-1" {
				reply.Refusal = execution.RefusedOther
			}
			b.s.HandlePollResult(look, Answered, execution.PollResponse{Reply: reply}, b.now)
		}
		for _, order := range b.round() {
			assert.Equal(t, order.Executor.ID, cluster.ExecutorID("i-2"))
			assert.Assert(t, b.now.Sub(refused) > testLease, "started after %s", b.now.Sub(refused))
			return
		}
	}
	t.Fatalf("not started again within %s", b.now.Sub(refused))
}
