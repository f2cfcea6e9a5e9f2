package retry

import (
	"math"
	"time"
)

const (
	// minAfterOutage is the shortest time after which a caller that was refused because of an
	// outage is told to come back.
	minAfterOutage = 1 * time.Second
	// maxAfterOutage is the longest one.
	maxAfterOutage = 4 * time.Second
	// outageShare is that time as a share of the outage's age.
	outageShare = 0.5
)

// AfterOutage returns when a caller that is refused because of an outage of the given age
// should come back, in whole seconds. Callers make few attempts: the longer an outage has
// lasted, the longer it is likely to last still, and the attempts must not be used up before
// it ends. random, from 0 to 1, spreads the callers, so that they do not return together.
func AfterOutage(age time.Duration, random float64) time.Duration {
	wait := min(max(outageShare*age.Seconds(), minAfterOutage.Seconds()), maxAfterOutage.Seconds())
	return time.Duration(math.Floor(wait+random)) * time.Second
}
