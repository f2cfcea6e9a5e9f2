package capacity

import (
	"time"
)

// Hysteresis limits how quickly a need follows its estimate.
type Hysteresis struct {
	// UpAfter is how long a slightly higher estimate must persist.
	UpAfter time.Duration
	// DownAfter is how long a lower estimate must persist.
	DownAfter time.Duration
	// JumpShare is the growth, as a share of the need, that takes effect at once.
	JumpShare float64
}

// DefaultHysteresis returns the hysteresis for deployments that configure none.
func DefaultHysteresis() Hysteresis {
	return Hysteresis{UpAfter: 2 * time.Minute, DownAfter: 15 * time.Minute, JumpShare: 0.2}
}

// History is a pool's need over time. The zero History takes the first estimate as its
// need.
type History struct {
	need          int
	started       bool
	aboveSince    time.Time // since when the estimate is above need; zero if it is not
	belowSince    time.Time // since when the estimate is below need; zero if it is not
	maxSinceBelow int       // the highest estimate since belowSince
	peaks         []peak    // by descending need and ascending time
}

// peak records when a need of at least need was last in force.
type peak struct {
	need int
	last time.Time
}

// Need returns the need in force.
func (h *History) Need() int { return h.need }

// Update applies an estimate and returns the need in force. The need follows a higher
// estimate after UpAfter, or at once if it is higher by JumpShare, and a lower one
// after DownAfter.
func (h *History) Update(estimate int, now time.Time, hysteresis Hysteresis) int {
	switch {
	case !h.started:
		h.started = true
		h.set(estimate)
	case estimate > h.need:
		h.raise(estimate, now, hysteresis)
	case estimate < h.need:
		h.lower(estimate, now, hysteresis)
	default:
		h.aboveSince, h.belowSince, h.maxSinceBelow = time.Time{}, time.Time{}, 0
	}
	h.recordPeak(now)
	return h.need
}

func (h *History) set(need int) {
	h.need, h.maxSinceBelow = need, 0
	h.aboveSince, h.belowSince = time.Time{}, time.Time{}
}

func (h *History) raise(estimate int, now time.Time, hysteresis Hysteresis) {
	h.belowSince, h.maxSinceBelow = time.Time{}, 0
	if h.aboveSince.IsZero() {
		h.aboveSince = now
	}
	jump := float64(estimate-h.need) >= hysteresis.JumpShare*float64(h.need)
	if jump || now.Sub(h.aboveSince) >= hysteresis.UpAfter {
		h.set(estimate)
	}
}

// lower reduces the need, after DownAfter, to the highest estimate since the estimates
// fell below it.
func (h *History) lower(estimate int, now time.Time, hysteresis Hysteresis) {
	h.aboveSince = time.Time{}
	if h.belowSince.IsZero() {
		h.belowSince = now
	}
	h.maxSinceBelow = max(h.maxSinceBelow, estimate)
	if now.Sub(h.belowSince) >= hysteresis.DownAfter {
		h.set(h.maxSinceBelow)
	}
}

// recordPeak records that every size up to the need in force is needed now.
func (h *History) recordPeak(now time.Time) {
	for len(h.peaks) > 0 && h.peaks[len(h.peaks)-1].need <= h.need {
		h.peaks = h.peaks[:len(h.peaks)-1]
	}
	h.peaks = append(h.peaks, peak{h.need, now})
}

// idleForecastFactor is the expected idle time of an instance as a multiple of the time for
// which it has been idle.
const idleForecastFactor = 2

// IdleDays forecasts for how many days the size-th instance of a pool stays idle, from
// the time for which it has been idle. An instance that the history never needed counts
// as idle since the given start of the history.
func (h *History) IdleDays(size int, since, now time.Time) float64 {
	last := since
	for _, p := range h.peaks {
		if p.need >= size {
			last = p.last
		}
	}
	return ForecastIdleDays(now.Sub(last))
}

// ForecastIdleDays forecasts for how many days an instance stays idle after it has been
// idle for the given time.
func ForecastIdleDays(idle time.Duration) float64 {
	return max(idleForecastFactor*idle.Hours()/hoursPerDay, 0)
}

const hoursPerDay = 24
