package shard

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/execution"
	"github.com/tarragonreach/tarragonreach/api/job"
)

// slowResponses is the saturated link of an owner's instance: calls reach sound executors in time, but
// responses queue on their way to the instance.
type slowResponses struct {
	delay     time.Duration // of a response that leaves an executor now, at most
	delivered time.Time     // when the last response of the queue arrives
}

// arrival returns when a response arrives that leaves its executor now: not before those that left earlier,
// but for some that are smaller.
func (l *slowResponses) arrival(w *world) time.Time {
	if at := w.now.Add(l.delay); at.After(l.delivered) {
		l.delivered = at
	}
	queued := l.delivered.Sub(w.now)
	share := rapid.Float64Range(0.5, 1).Draw(w.t, "share of the queue")
	return w.now.Add(20*time.Millisecond + time.Duration(share*float64(queued)).Truncate(20*time.Millisecond))
}

// deliver passes the result of a call to the owner when its response arrives or, where that is after the time
// limit of a call, the lack of one and then the late response, unless it is nil.
func (l *slowResponses) deliver(w *world, o *ownerSim, respond func(Delivery), late func()) {
	arrival := l.arrival(w)
	if arrival.Sub(w.now) <= testCallTimeout {
		o.responses = append(o.responses, responseSim{arrival, func() { respond(Responded) }})
		return
	}
	o.responses = append(o.responses, responseSim{w.now.Add(testCallTimeout), func() { respond(Ambiguous) }})
	if late != nil {
		o.responses = append(o.responses, responseSim{arrival, late})
	}
}

// The link of an owner's instance is saturated for seconds, repeatedly, so that responses arrive long after the time
// limits of their calls. All executors are sound: no task that is done may be started again because the
// response that lists its completion was not read in time.
func TestSaturatedLinkStartsNoTaskTwice(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		w.faultFree = true
		w.slow = &slowResponses{}
		for range rapid.IntRange(5, 20).Draw(t, "periods") {
			for range rapid.IntRange(0, 2).Draw(t, "jobs") {
				w.submit()
			}
			w.slow.delay = w.randomTicks("queue", rapid.SampledFrom([]int{200, 1500, 9000}).Draw(t, "longest queue"))
			w.step(w.randomTicks("period", 8000))
		}
		w.slow.delay = 0
		w.healAndFinish()
	})
}

// slowWorld answers the polls of a harness late, and holds the leases of its executors.
type slowWorld struct {
	*harness
	began   time.Time
	delay   time.Duration // of responses, after they were expected
	pending []slowPoll
	leases  map[cluster.ExecutorID]int64 // when they end on the executors' clocks
}

type slowPoll struct {
	Poll
	response execution.PollResponse
}

// clockMs returns the time on the executors' clocks.
func (w *slowWorld) clockMs() int64 { return 1000 + w.now.Sub(w.began).Milliseconds() }

// run runs the owner for d and fails the test if a lease expires. All responses list all runs.
func (w *slowWorld) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(20 * time.Millisecond) {
		w.shard.Tick(w.now)
		for _, poll := range w.shard.Polls(w.now) {
			id := poll.Executor.ID
			w.leases[id] = max(w.leases[id], poll.Request.UntilMs)
			response := w.listRuns(string(id), nil)
			response.ClockMs = w.clockMs() + poll.Request.Wait.Milliseconds()
			w.pending = append(w.pending, slowPoll{Poll: poll, response: response})
		}
		for id, until := range w.leases {
			assert.Assert(w.t, w.clockMs() < until, "%s: the lease has expired %s after the beginning, with a delay of %s", id, w.now.Sub(w.began), w.delay)
		}
		w.pending = slices.DeleteFunc(w.pending, w.answer)
		w.storeAndCommand()
	}
}

// answer passes the result of a poll to the shard if it is due, and reports whether the response has arrived.
func (w *slowWorld) answer(poll slowPoll) bool {
	switch waited := w.now.Sub(poll.expectedAt); {
	case waited >= w.delay && waited < testCallTimeout:
		w.shard.HandlePollResult(poll.Poll, Responded, poll.response, w.now)
		return true
	case waited >= w.delay:
		w.shard.HandleLatePollResult(poll.Poll, Responded, poll.response, w.now)
		return true
	case waited >= testCallTimeout && waited < testCallTimeout+20*time.Millisecond:
		w.shard.HandlePollResult(poll.Poll, Ambiguous, execution.PollResponse{}, w.now)
	}
	return false
}

// Responses begin to come seconds after the time limits of their calls, and polls reach the executors in time: the
// leases of the long-running tasks there must be renewed before they expire.
func TestLeasesDoNotExpireWhileResponsesAreLate(t *testing.T) {
	t.Parallel()
	for _, delay := range []time.Duration{20 * time.Millisecond, 700 * time.Millisecond, 2 * time.Second, 4 * time.Second} {
		var executors []cluster.Executor
		for i := range 4 {
			executors = append(executors, newExecutorNamed(fmt.Sprintf("i-%d", i)))
		}
		h := newHarness(t, executors...)
		h.submit("00000000000000aa", job.Step{Count: 4, Need: job.Resources{MilliCPU: 1000}, MaxPerServer: 1, LongRunning: true})
		assert.Equal(t, len(h.startAll()), 4)
		w := slowWorld{harness: h, began: h.now, delay: 20 * time.Millisecond, leases: map[cluster.ExecutorID]int64{}}
		for _, e := range executors {
			w.leases[e.ID] = w.clockMs() + testLease.Milliseconds()
		}
		w.run(3 * time.Second)
		w.delay = delay
		w.run(20 * time.Second)
	}
}

// No start of a task got a response, nor does the stop that follows. A response that lists the run neither as
// running nor as ended, after its start would be refused as too late, shows that it is over: its task must start
// again.
func TestRunWithUnansweredCallsIsOverOnceItsStartIsTooLate(t *testing.T) {
	t.Parallel()
	h := newHarness(t, newExecutorNamed("i-1"))
	h.submit("00000000000000aa", oneTask)
	sent := h.now
	for h.now.Sub(sent) < 2*testLease {
		h.now = h.now.Add(20 * time.Millisecond)
		h.shard.Tick(h.now)
		for _, cmd := range h.storeAndCommand() {
			if cmd.Start.Run > 1 {
				assert.Assert(t, h.now.Sub(sent) > testLease, "started again after %s", h.now.Sub(sent))
				return
			}
			h.shard.HandleCommandResult(cmd, Ambiguous, execution.Reply{}, h.now)
		}
		for _, poll := range h.shard.Polls(h.now) {
			response := execution.PollResponse{Reply: execution.Reply{ClockMs: 1000 + h.now.Sub(sent).Milliseconds()}}
			h.shard.HandlePollResult(poll, Responded, response, h.now)
		}
	}
	t.Fatalf("not started again within %s", h.now.Sub(sent))
}

// A response comes long after it was sent, and lists runs that may have ended since, as well as an end that may be as
// old: that must neither make the executor count as stalled, so that its runs are stopped, nor its run time as that of
// a slow task.
func TestLateResponseSaysNothingAboutTheSpeedOfItsExecutor(t *testing.T) {
	t.Parallel()
	h := newHarness(t, newExecutorNamed("i-1"))
	step := oneTask
	step.Count = 2
	h.submit("00000000000000aa", step)
	h.submit("00000000000000ab", step)
	assert.Equal(t, len(h.startAll()), 4)
	h.shard.SetExecutors([]cluster.Executor{newExecutorNamed("i-1"), newExecutorNamed("i-2")}, h.now)
	h.respondToPoll("i-2", h.listRuns("i-2", nil))
	h.now = h.now.Add(time.Second)
	polls := slices.DeleteFunc(h.shard.Polls(h.now), func(p Poll) bool { return p.Executor.ID != "i-1" })
	assert.Equal(t, len(polls), 1)
	response := h.listRuns("i-1", nil)
	ended := response.Running[3].RunRef
	response.Running = response.Running[:3]
	response.Ended = []execution.Ended{{RunRef: ended, Sequence: 1, Reason: execution.EndedDone}}
	h.now = h.now.Add(testCallTimeout)
	h.shard.HandlePollResult(polls[0], Ambiguous, execution.PollResponse{}, h.now)
	h.now = h.now.Add(4 * time.Second)
	h.shard.HandleLatePollResult(polls[0], Responded, response, h.now)
	e := h.shard.executors["i-1"]
	assert.Equal(t, len(e.runs), 3)
	for _, r := range e.sortedRuns() {
		assert.Assert(t, !r.stopping, "%s is stopped", r.task.id)
	}
	assert.Equal(t, len(h.shard.runTimes.kinds), 0)
}
