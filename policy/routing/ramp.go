package routing

import "time"

// SlowStart is how long a new or returned executor takes to reach its full share.
const SlowStart = 2 * time.Second

// minRamp is the share of load at the beginning of slow start.
const minRamp = 0.1

// Ramp returns the share of its load that an executor takes after being in
// service for age.
func Ramp(age time.Duration) float64 {
	if age >= SlowStart {
		return 1
	}
	return max(minRamp, float64(age)/float64(SlowStart))
}

// RampedLimit returns the limit during slow start, at least 1 of a positive limit.
func RampedLimit(limit int, ramp float64) int {
	if limit <= 0 || ramp >= 1 {
		return limit
	}
	return max(1, int(float64(limit)*ramp))
}
