package calllimit

import (
	"slices"
	"time"
)

const (
	// targetLatency is the latency above which calls count as queued. It leaves time for the calls that share
	// the link, such as those that renew leases.
	targetLatency = 250 * time.Millisecond
	// epoch is the number of results by which the window is adjusted at a time, so that a few slow servers
	// don't reduce it.
	epoch = 16
	// initialWindow, minWindow and maxWindow are numbers of calls in flight. Above maxWindow there is no bound.
	initialWindow = 64
	minWindow     = 32
	maxWindow     = 1024
	// reduction is by what the window is multiplied when calls are queued.
	reduction = 0.7
)

// Window bounds the calls in flight by additive increase and multiplicative decrease, as congestion control
// does. It goes by the latency instead of by losses, since calls that wait in a queue are not lost. The zero value
// is a window of the initial size. It is not safe for concurrent use.
type Window struct {
	// Floor is the size below which the window does not fall if it is above the lowest one: as many calls as are
	// carried within targetLatency anyhow. Beyond maxWindow there is no bound.
	Floor     int
	size      int // zero stands for initialWindow
	congested bool
	unbounded bool
	reducedAt time.Time
	latencies []time.Duration // of the present epoch
}

// Size returns the maximum number of calls in flight; zero stands for no bound.
func (w *Window) Size() int {
	switch {
	case w.unbounded || w.Floor > maxWindow:
		return 0
	case w.size == 0:
		return max(initialWindow, w.Floor)
	default:
		return w.size
	}
}

// FloorOf returns the floor of the window for calls of the given length over a link of the given rate, in bytes and
// bytes per second. There is none where the rate is not known.
func FloorOf(rate float64, callBytes int) int {
	return int(min(rate*targetLatency.Seconds()/float64(callBytes), maxWindow+1))
}

// Record adds a call that was sent before the given time and has been answered or has exceeded its limit now,
// and the number of calls in flight.
func (w *Window) Record(took time.Duration, inFlight int, now time.Time) {
	if now.Add(-took).Before(w.reducedAt) {
		return // it was sent under a larger window
	}
	w.latencies = append(w.latencies, took)
	if len(w.latencies) < epoch {
		return
	}
	slices.Sort(w.latencies)
	high := w.latencies[int(quantile*float64(len(w.latencies)-1))]
	w.latencies = w.latencies[:0]
	if high > targetLatency {
		w.reduce(inFlight, now)
		return
	}
	w.grow(inFlight)
}

func (w *Window) reduce(inFlight int, now time.Time) {
	size := w.Size()
	if w.unbounded {
		size = inFlight
	}
	w.size = max(minWindow, w.Floor, int(reduction*float64(size)))
	w.congested, w.unbounded, w.reducedAt = true, false, now
}

// grow lets the window grow, unless it is far from being used up: what it could carry is not known then. It grows
// with each result until calls were queued once, and from then on by about one for each window of results.
func (w *Window) grow(inFlight int) {
	size := w.Size()
	if size == 0 || 2*inFlight < size {
		return
	}
	if w.congested {
		size += max(1, epoch/size)
	} else {
		size += epoch
	}
	w.size, w.unbounded = size, size > maxWindow
}
