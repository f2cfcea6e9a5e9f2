package shard

import "time"

const (
	// throttleInterval is the minimum time between two throttle commands of a run; one takes
	// 100 ms to have an effect.
	throttleInterval = 200 * time.Millisecond
	// throttlePollWait replaces pollWait to bound the age of the response times that
	// throttling is based on.
	throttlePollWait = 500 * time.Millisecond
	// throttleDownAt is the share of the target latency from which best-effort tasks are
	// throttled.
	throttleDownAt = 0.85
	// throttleUpAt is the share of the target latency below which the throttle is relaxed.
	throttleUpAt = 0.6
	// throttleStep is by how many percentage points the throttle is relaxed at a time.
	throttleStep = 15
	// minThrottle is the processor share in percent from which the next reduction pauses
	// the task.
	minThrottle = 10
)

// hasBestEffort reports whether the executor has runs of best-effort tasks.
func (e *executorState) hasBestEffort() bool {
	for _, r := range e.runs {
		if r.task.step.def.BestEffort {
			return true
		}
	}
	return false
}

// pressure returns the largest ratio of tail latency to target latency among the serving
// tasks, and whether there are any.
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

// throttle sets the throttles of best-effort tasks beside serving tasks: halved as the tail
// latency nears the target, paused from the target on, and relaxed again by small steps.
func (s *Shard) throttle(e *executorState, now time.Time) {
	pressure, serving := e.pressure()
	for _, r := range e.runs {
		if !r.task.step.def.BestEffort || r.phase != confirmed {
			continue
		}
		r.wantedThrottle = nextThrottle(r.wantedThrottle, pressure, serving)
	}
}

// nextThrottle returns the processor share in percent that follows percent.
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
