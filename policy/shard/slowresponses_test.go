package shard

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/tarragonreach/tarragonreach/api/execution"
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
