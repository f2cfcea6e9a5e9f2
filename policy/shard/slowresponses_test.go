package shard

import (
	"testing"
	"time"

	"pgregory.net/rapid"
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
