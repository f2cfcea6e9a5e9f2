package fleetctl

import (
	"time"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/policy/capacity"
)

// sizing follows the demand of each pool in each availability zone.
type sizing struct {
	options    Options
	estimators map[seat]*capacity.Estimator
	histories  map[string]*capacity.History // of the controller's own zone, by pool
	began      time.Time
	sampled    time.Time
}

// seat is one pool in one availability zone.
type seat struct {
	pool string
	zone fleet.AvailabilityZone
}

func newSizing(options Options) *sizing {
	return &sizing{
		options:    options,
		estimators: make(map[seat]*capacity.Estimator),
		histories:  make(map[string]*capacity.History),
	}
}

// sample takes the demand that stands now into the estimators.
func (s *sizing) sample(pools []poolSpec, zones []fleet.AvailabilityZone, now time.Time) {
	if s.options.Demand == nil {
		return
	}
	if s.began.IsZero() {
		s.began, s.sampled = now, now
	}
	elapsed := max(now.Sub(s.sampled), time.Second)
	s.sampled = now
	for _, pool := range pools {
		total, anyKnown := 0.0, false
		for _, zone := range zones {
			demand, known := s.options.Demand.Demand(pool.Name, zone)
			if known {
				s.observe(seat{pool.Name, zone}, demand, elapsed, now)
				total, anyKnown = total+demand, true
			}
		}
		if anyKnown {
			s.observe(seat{pool.Name, allZones}, total, elapsed, now)
		}
	}
}

// allZones stands for the sum over the zones of a pool.
const allZones fleet.AvailabilityZone = ""

func (s *sizing) observe(key seat, demand float64, elapsed time.Duration, now time.Time) {
	if s.estimators[key] == nil {
		s.estimators[key] = capacity.NewEstimator(s.options.HalfLife)
	}
	s.estimators[key].Observe(demand, elapsed, now)
}

// quantile returns the demand that a seat is sized for, and whether it is known.
func (s *sizing) quantile(key seat) (float64, bool) {
	estimator := s.estimators[key]
	if estimator == nil {
		return 0, false
	}
	return estimator.Quantile(s.options.Quantile), true
}

// zoneSupply counts the instances of an availability zone that may serve a pool.
type zoneSupply struct {
	zone        fleet.AvailabilityZone
	eligible    int
	largestRack int
}

// need returns how many instances the controller's zone needs for a pool that has
// held of them, and whether the demand is known. A new holder of the duty has seen
// little of the demand, so until it has watched for a half-life the pool keeps what
// it holds, and one that holds nothing takes what it can get.
func (s *sizing) need(pool poolSpec, supply []zoneSupply, held int, now time.Time) (int, bool) {
	demands := make([]capacity.ZoneDemand, len(supply))
	weights := make([]int, len(supply))
	own := 0
	for i, zone := range supply {
		demands[i] = capacity.ZoneDemand{Limit: zone.eligible, LargestRack: zone.largestRack}
		weights[i] = zone.eligible
		demands[i].Demand, _ = s.quantile(seat{pool.Name, zone.zone})
		if zone.zone == s.options.Zone {
			own = i
		}
	}
	least := 0
	if len(supply) > 0 {
		least = capacity.Split(pool.Min, weights)[own]
	}
	total, known := s.quantile(seat{pool.Name, allZones})
	fresh := now.Sub(s.began) < s.options.HalfLife
	if !known || (fresh && held == 0) {
		return least, false
	}
	need := max(capacity.Spread(demands, total, capacity.FailureDomain(pool.FailureDomain))[own], least)
	if fresh {
		need = max(need, held)
	}
	return s.history(pool.Name).Update(need, now, s.options.Hysteresis), true
}

func (s *sizing) history(pool string) *capacity.History {
	if s.histories[pool] == nil {
		s.histories[pool] = &capacity.History{}
	}
	return s.histories[pool]
}

// idleDays forecasts how long an instance beyond a pool's need stays idle.
func (s *sizing) idleDays(pool string, now time.Time) func(size int) float64 {
	history := s.history(pool)
	return func(size int) float64 { return history.IdleDays(size, s.began, now) }
}
