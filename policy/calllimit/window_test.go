package calllimit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// carried simulates calls over a link that carries one after the other. As many are in flight as the window
// allows and there are servers for. It returns the highest latency after the first second.
func carried(w *Window, each, base, during time.Duration, most int) (highest time.Duration, calls int) {
	begin := time.Unix(1000, 0)
	now, freeAt := begin, begin
	var arrivals, sent []time.Time
	for now.Sub(begin) < during {
		for len(arrivals) < most && (w.Size() == 0 || len(arrivals) < w.Size()) {
			freeAt = later(freeAt, now).Add(each)
			arrivals, sent = append(arrivals, freeAt.Add(base)), append(sent, now)
		}
		now = arrivals[0]
		took := now.Sub(sent[0])
		w.Record(took, len(arrivals), now)
		arrivals, sent = arrivals[1:], sent[1:]
		calls++
		if now.Sub(begin) > time.Second {
			highest = max(highest, took)
		}
	}
	return highest, calls
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Starts with long payloads to all executors at once filled a slow link for seconds, in which no lease was
// renewed.
func TestWindowKeepsTheQueueOfASlowLinkShort(t *testing.T) {
	const each = 5 * time.Millisecond
	var w Window
	highest, calls := carried(&w, each, 5*time.Millisecond, 10*time.Second, 1000)
	assert.Assert(t, highest < 2*targetLatency, "%s", highest)
	assert.Assert(t, calls >= int(10*time.Second/each)*9/10, "the link is not used: %d calls", calls)
}

func TestWindowOfAFastLinkIsSoonUnbounded(t *testing.T) {
	var w Window
	_, calls := carried(&w, 10*time.Microsecond, 5*time.Millisecond, time.Second, 2000)
	assert.Equal(t, w.Size(), 0)
	assert.Assert(t, calls > 90_000, "%d calls", calls)
}

// A fifth of the servers answers late: that is not the link.
func TestFewSlowServersDoNotReduceTheWindow(t *testing.T) {
	var w Window
	now := time.Unix(1000, 0)
	for i := range 10 * epoch {
		w.Record(time.Duration(20+i%5/4*500)*time.Millisecond, initialWindow, now)
	}
	assert.Assert(t, w.Size() > initialWindow, "%d", w.Size())
}

func TestWindowThatIsNotUsedDoesNotGrow(t *testing.T) {
	var w Window
	for range 100 * epoch {
		w.Record(time.Millisecond, 4, time.Unix(1000, 0))
	}
	assert.Equal(t, w.Size(), initialWindow)
}

// Guards against an owner that is short of CPU time, so that it reads all responses late, and starts a few runs at a time
// over a link that carries many: with 10 Mbit/s, 208 calls of 1,500 bytes take a quarter second.
func TestLateResponsesOverAFastLinkReduceTheWindow(t *testing.T) {
	now := time.Unix(1000, 0)
	for rate, want := range map[float64]int{250_000: 41, 1_250_000: 208, 25e6: 0, 0: minWindow} {
		w := Window{Floor: FloorOf(rate, 1500)}
		for i := range 100 * epoch {
			w.Record(time.Second, 500, now.Add(time.Duration(i)*100*time.Millisecond))
		}
		assert.Equal(t, w.Size(), want)
	}
}
