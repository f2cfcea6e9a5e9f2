package shard

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/execution"
	"github.com/tarragonreach/tarragonreach/api/job"
)

// An unhealthy executor answers a stop with 503, and has done nothing.
func TestRefusedStopIsSentUntilItIsCarriedOut(t *testing.T) {
	b := newBenchWithRefusedStop(t)
	again := 0
	for range 100 {
		b.see("i-1", b.view("i-1", nil)) // it is still there
		for _, o := range b.round() {
			assert.Equal(t, o.Kind, CommandStop)
			again++
			b.s.HandleCommandResult(o, Answered, execution.Reply{ClockMs: 1000}, b.now)
		}
	}
	assert.Assert(t, again > 0, "the run goes on, and nobody stops it")
}

// A start has no answer and may be carried out seconds later; the stop that is to keep it
// from that is answered 503. Its task must not start elsewhere meanwhile.
func TestTaskWithRefusedStopStartsNowhereElse(t *testing.T) {
	b := newBench(t, executorOf("i-1"), executorOf("i-2"))
	b.submit("00000000000000aa", oneTask)
	var first cluster.ExecutorID
	for began := b.now; b.now.Sub(began) < 5*time.Second; b.now = b.now.Add(50 * time.Millisecond) {
		for _, o := range b.round() {
			switch {
			case first == "":
				first = o.Executor.ID
				b.s.HandleCommandResult(o, Ambiguous, execution.Reply{}, b.now)
			case o.Executor.ID == first:
				b.s.HandleCommandResult(o, Answered, execution.Reply{Refusal: execution.RefusedOther}, b.now)
			default:
				t.Fatalf("%s run %d starts on %s while run 1 may begin on %s", o.Start.Task, o.Start.Run, o.Executor.ID, first)
			}
		}
		b.lookAll()
	}
}

// Jobs that can't be done fail on every executor in a row. They are no reason to keep a
// job that can be done waiting beyond the bound.
func TestHopelessJobsDoNotKeepOthersWaiting(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newLiveWorld(t)
		w.step(calmBefore + startBound)
		for range 16 {
			w.submitOne(true)
		}
		w.step(time.Second)
		w.submitOne(false)
		task := job.TaskID{StepID: job.StepID{Job: testID(w.submitted - 1)}}
		for begin := w.now; !w.isRunning(task); w.step(20 * time.Millisecond) {
			if waits := w.now.Sub(begin); waits > startBound {
				t.Fatalf("LOST: %s has waited for %s, all executors empty: %s", task, waits, w.describe(task.Job))
			}
		}
	})
}

// The same in the world's schedules.
func TestNoTaskWaitsBesideHopelessJobs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { playLive(newLiveWorld(t), false) })
}

// submitOne has a job of one task accepted.
func (w *world) submitOne(hopeless bool) {
	id := testID(w.submitted)
	w.submitted++
	r := Record{
		ID: id, Accepted: w.now,
		Definition: job.Definition{Payload: "p", Steps: []job.Step{{Count: 1, Need: job.Resources{MilliCPU: 1000, MemoryMB: 100}, Estimate: 500 * time.Millisecond}}},
		Queue:      QueuePolicy{Name: "q", MaxAttempts: 2, Stretch: 2, TargetDuration: time.Second},
	}
	w.live.hopeless[id] = hopeless
	w.jobs[id] = &storedJob{
		record: r, state: job.Queued,
		doneNoted: map[job.TaskID]bool{}, failNoted: map[job.TaskID]int{}, doneEver: map[job.TaskID]bool{},
	}
	w.owner.shard.AddJob(r, nil, w.now)
}

// The policy of a queue allows only executors that a first question does not name.
func TestStepStartsOnExecutorsBeyondTheFirstQuestion(t *testing.T) {
	var list []cluster.Executor
	for i := range adviceExecutors + 10 {
		list = append(list, executorOf(fmt.Sprintf("i-%02d", i)))
	}
	b := newBench(t, list...)
	b.s.AddJob(Record{
		ID: "00000000000000aa", Accepted: b.now, Definition: job.Definition{Steps: []job.Step{oneTask}},
		Queue: QueuePolicy{Name: "q", MaxAttempts: 2, Stretch: 2, TargetDuration: time.Second, Advice: &cluster.Advice{Validity: 2 * time.Second}},
	}, nil, b.now)
	allowed := list[len(list)-1].ID
	started := false
	for asked := b.now; b.now.Sub(asked) < time.Minute && !started; b.now = b.now.Add(20 * time.Millisecond) {
		b.lookAll()
		for _, q := range b.s.AdviceRequests(b.now) {
			good := map[cluster.ExecutorID]string{}
			for _, id := range q.Executors {
				if id == allowed {
					good[id] = "ticket"
				}
			}
			b.s.HandleAdvice(q, good, 2*time.Second, b.now, b.now)
		}
		started = len(b.round()) > 0
	}
	assert.Assert(t, started, "no executor that may run the step was ever asked about")
}

// The only executor that the advice service named is gone; the next one was not there to
// be asked about.
func TestStepAsksAgainOnceItsExecutorsAreGone(t *testing.T) {
	b := newBench(t, executorOf("i-1"))
	validity := time.Minute
	b.s.AddJob(Record{
		ID: "00000000000000aa", Accepted: b.now, Definition: job.Definition{Steps: []job.Step{oneTask}},
		Queue: QueuePolicy{Name: "q", MaxAttempts: 2, Stretch: 2, TargetDuration: time.Second, Advice: &cluster.Advice{Validity: validity}},
	}, nil, b.now)
	b.lookAll()
	questions := b.s.AdviceRequests(b.now)
	assert.Equal(t, len(questions), 1)
	b.s.HandleAdvice(questions[0], map[cluster.ExecutorID]string{"i-1": "ticket"}, validity, b.now, b.now)
	b.s.SetExecutors([]cluster.Executor{executorOf("i-2")}, b.now)
	started := false
	for began := b.now; b.now.Sub(began) < startBound && !started; b.now = b.now.Add(20 * time.Millisecond) {
		b.lookAll()
		for _, q := range b.s.AdviceRequests(b.now) {
			b.s.HandleAdvice(q, map[cluster.ExecutorID]string{"i-2": "ticket"}, validity, b.now, b.now)
		}
		started = len(b.round()) > 0
	}
	assert.Assert(t, started, "nobody asks about i-2 before the tickets for i-1 end")
}

// An executor dies after a new owner has seen it, so that no earlier owner's lease can
// last longer than one that began then: its task starts again after that lease.
func TestTaskOfExecutorLostSoonAfterATakeoverStartsAgainInTime(t *testing.T) {
	b := newBench(t, executorOf("i-1"), executorOf("i-2"))
	b.s.AddJob(Record{
		ID: "00000000000000aa", Accepted: b.now, Definition: job.Definition{Steps: []job.Step{oneTask}},
		Queue: QueuePolicy{Name: "q", MaxAttempts: 2, Stretch: 2, TargetDuration: time.Second},
	}, &Progress{Tasks: []TaskProgress{{Run: 1, Executor: "i-1", Address: "i-1:80"}}}, b.now)
	running := execution.PollResponse{Reply: execution.Reply{ClockMs: 1000}, Running: []execution.Running{{
		RunRef: execution.RunRef{Task: job.TaskID{StepID: job.StepID{Job: "00000000000000aa"}}, Run: 1}, Percent: 50,
	}}}
	b.see("i-1", running)
	b.s.SetExecutors([]cluster.Executor{executorOf("i-2")}, b.now)
	lost := b.now
	for b.now.Sub(lost) < 2*testLimits.MaxRunLease && len(b.roundWithout("i-1")) == 0 {
		b.now = b.now.Add(50 * time.Millisecond)
	}
	took := b.now.Sub(lost)
	assert.Assert(t, took < calmBefore+startBound, "started again after %s", took)
}

// An executor is gone, and owners follow each other more quickly than the lease that each
// of them assumes to be left there.
func TestTaskOfLostExecutorStartsAgainThoughOwnersChange(t *testing.T) {
	const takeovers = 3
	every := 8 * time.Second
	var b *bench
	now := time.Unix(1000, 0)
	for range takeovers {
		b = &bench{t: t, s: New(testLimits, now.Unix()), now: now}
		b.s.SetExecutors([]cluster.Executor{executorOf("i-2")}, now)
		b.s.AddJob(Record{
			ID: "00000000000000aa", Accepted: now, Definition: job.Definition{Steps: []job.Step{oneTask}},
			Queue: QueuePolicy{Name: "q", MaxAttempts: 2, Stretch: 2, TargetDuration: time.Second},
		}, &Progress{Tasks: []TaskProgress{{Run: 1, Executor: "i-1", Address: "i-1:80"}}}, now)
		now = now.Add(every)
	}
	last := b.now
	for b.now.Sub(last) < 2*testLimits.MaxRunLease && len(b.roundWithout("i-1")) == 0 {
		b.now = b.now.Add(50 * time.Millisecond)
	}
	took := b.now.Sub(last)
	assert.Assert(t, took < calmBefore+startBound, "started again %s after the last takeover, %s after the first", took, took+(takeovers-1)*every)
}

// roundWithout lets looks at one executor be refused a connection, answers the others, and
// returns the orders.
func (b *bench) roundWithout(lost cluster.ExecutorID) []Command {
	b.s.Tick(b.now)
	for _, look := range b.s.Polls(b.now) {
		if look.Executor.ID == lost {
			b.s.HandlePollResult(look, NotSent, execution.PollResponse{}, b.now)
			continue
		}
		b.s.HandlePollResult(look, Answered, execution.PollResponse{Reply: execution.Reply{ClockMs: 1000}}, b.now)
	}
	return b.round()
}
