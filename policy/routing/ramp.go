package routing

import "time"

// SlowStart is the time in which a new or returned executor ramps up to its full load.
const SlowStart = 2 * time.Second

// minRamp is the share of its load that an executor takes at the beginning of slow start.
const minRamp = 0.1

// Ramp returns the share of its full load, up to 1, that an executor takes when it has
// been in service for age.
func Ramp(age time.Duration) float64 {
	if age >= SlowStart {
		return 1
	}
	return max(minRamp, float64(age)/float64(SlowStart))
}

// RampedLimit returns the limit during slow start, at least 1 if limit is positive.
func RampedLimit(limit int, ramp float64) int {
	if limit <= 0 || ramp >= 1 {
		return limit
	}
	return max(1, int(float64(limit)*ramp))
}
