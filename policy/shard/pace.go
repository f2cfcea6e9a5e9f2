package shard

import "time"

const (
	// paceEvery spaces the pacing orders of one run; pacing takes 100 ms to work.
	throttleInterval = 200 * time.Millisecond
	// paceLookWait bounds the age of the response times that pacing goes by.
	throttlePollWait = 500 * time.Millisecond
	// paceDownAt is the share of the target above which fillers are slowed.
	throttleDownAt = 0.85
	// paceUpAt is the share of the target below which they are sped up again.
	throttleUpAt = 0.6
	// paceStep is by how many percent fillers are sped up at a time.
	throttleStep = 15
	// paceLeast is the slowest pace above standstill.
	minThrottle = 10
)

// hasFillers reports whether tasks run there that take what others leave unused.
func (e *executorState) hasBestEffort() bool {
	for _, r := range e.runs {
		if r.task.step.def.BestEffort {
			return true
		}
	}
	return false
}

// pressure is the worst tail of a serving task against its target.
func (e *executorState) pressure() (worst float64, serving bool) {
	for _, r := range e.runs {
		target := r.task.step.def.TargetLatency.Milliseconds()
		if target <= 0 || r.phase != confirmed {
			continue
		}
		serving = true
		worst = max(worst, float64(r.usage)/float64(target))
	}
	return worst, serving
}

// pace sets the pace of the fillers beside serving tasks: down by half as the tail
// nears the target, to a standstill above it, and up again by small steps.
func (s *Shard) throttle(e *executorState, now time.Time) {
	pressure, serving := e.pressure()
	for _, r := range e.runs {
		if !r.task.step.def.BestEffort || r.phase != confirmed {
			continue
		}
		r.wantedThrottle = nextThrottle(r.wantedThrottle, pressure, serving)
	}
}

func nextThrottle(percent int, pressure float64, serving bool) int {
	switch {
	case !serving:
		return 100
	case pressure >= 1:
		return 0
	case pressure >= throttleDownAt:
		if percent <= minThrottle {
			return 0
		}
		return percent / 2
	case pressure < throttleUpAt:
		return min(100, percent+throttleStep)
	default:
		return percent
	}
}
