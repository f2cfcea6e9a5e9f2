package maintenance

import (
	"math"
	"time"

	"github.com/tarragonreach/tarragonreach/api/fleet"
)

// FailureLimits defines which failures count as correlated.
type FailureLimits struct {
	// Window is how long a failure counts after it occurred.
	Window time.Duration
	// DailyRate is the rate of independent failures of one instance, per day.
	DailyRate float64
	// FalseAlarm is the accepted probability that independent failures pause a rack or
	// zone in one window.
	FalseAlarm float64
	// Overdue is the number of instances not returned from maintenance that pauses a
	// zone; zero disables this check.
	Overdue int
}

// DefaultFailureLimits returns the limits of a deployment that sets none.
func DefaultFailureLimits() FailureLimits {
	return FailureLimits{Window: 30 * time.Minute, DailyRate: 0.004, FalseAlarm: 1e-4, Overdue: 2}
}

// Threshold returns the number of failures among instances in one window from which
// they count as correlated: the smallest count of at least 2 whose Poisson tail
// probability is at most FalseAlarm. A single failure is never correlated.
func (l FailureLimits) Threshold(instances int) int {
	mean := l.DailyRate * float64(instances) * l.Window.Hours() / 24
	term := math.Exp(-mean)
	tail := 1 - term
	count := 1
	for count < 2 || tail > l.FalseAlarm && count <= instances {
		term *= mean / float64(count)
		tail -= term
		count++
	}
	return count
}

// failures counts recent failures by rack and by availability zone.
type failures struct {
	limits      FailureLimits
	zoneFailed  map[fleet.AvailabilityZone]int
	zoneSize    map[fleet.AvailabilityZone]int
	zoneOverdue map[fleet.AvailabilityZone]int
	rackFailed  map[rackKey]int
	rackSize    map[rackKey]int
}

func countFailures(in Input) failures {
	f := failures{
		limits:      in.Failures,
		zoneFailed:  make(map[fleet.AvailabilityZone]int),
		zoneSize:    make(map[fleet.AvailabilityZone]int),
		zoneOverdue: make(map[fleet.AvailabilityZone]int),
		rackFailed:  make(map[rackKey]int),
		rackSize:    make(map[rackKey]int),
	}
	for _, instance := range in.Instances {
		f.add(instance, in.Now)
	}
	return f
}

func (f *failures) add(instance Instance, now time.Time) {
	rack := rackKey{instance.Zone, instance.Rack}
	f.zoneSize[instance.Zone]++
	f.rackSize[rack]++
	if instance.State != fleet.StateFailed || now.Sub(instance.Since) >= f.limits.Window {
		return
	}
	f.zoneFailed[instance.Zone]++
	f.rackFailed[rack]++
	if instance.Overdue {
		f.zoneOverdue[instance.Zone]++
	}
}

func (f *failures) zonePaused(zone fleet.AvailabilityZone) bool {
	overdue := f.limits.Overdue > 0 && f.zoneOverdue[zone] >= f.limits.Overdue
	return overdue || f.zoneFailed[zone] >= f.limits.Threshold(f.zoneSize[zone])
}

func (f *failures) rackPaused(zone fleet.AvailabilityZone, rack string) bool {
	key := rackKey{zone, rack}
	return rack != "" && f.rackFailed[key] >= f.limits.Threshold(f.rackSize[key])
}
