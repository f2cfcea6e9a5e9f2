package fleetctl

import (
	"time"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/policy/capacity"
)

// sizing estimates the demand of each pool in each availability zone.
type sizing struct {
	options    Options
	estimators map[poolZone]*capacity.Estimator
	histories  map[string]*capacity.History // needs of the controller's own zone, by pool
	lastJoined map[string]time.Time         // when each pool was last assigned an instance
	startedAt  time.Time
	sampledAt  time.Time
}

// poolZone is one pool in one availability zone.
type poolZone struct {
	pool string
	zone fleet.AvailabilityZone
}

func newSizing(options Options) *sizing {
	return &sizing{
		options:    options,
		estimators: make(map[poolZone]*capacity.Estimator),
		histories:  make(map[string]*capacity.History),
		lastJoined: make(map[string]time.Time),
	}
}

// sample adds the current demand to the estimators.
func (s *sizing) sample(pools []poolSpec, zones []fleet.AvailabilityZone, now time.Time) {
	if s.options.Demand == nil {
		return
	}
	if s.startedAt.IsZero() {
		s.startedAt, s.sampledAt = now, now
	}
	elapsed := max(now.Sub(s.sampledAt), time.Second)
	s.sampledAt = now
	for _, pool := range pools {
		total, anyKnown := 0.0, false
		for _, zone := range zones {
			demand, known := s.options.Demand.Demand(pool.Name, zone)
			if known {
				s.observe(poolZone{pool.Name, zone}, demand, elapsed, now)
				total, anyKnown = total+demand, true
			}
		}
		if anyKnown {
			s.observe(poolZone{pool.Name, allZones}, total, elapsed, now)
		}
	}
}

// allZones is the estimator key for the sum of a pool's demand over all zones.
const allZones fleet.AvailabilityZone = ""

func (s *sizing) observe(key poolZone, demand float64, elapsed time.Duration, now time.Time) {
	if s.estimators[key] == nil {
		s.estimators[key] = capacity.NewEstimator(s.options.HalfLife)
	}
	s.estimators[key].Observe(demand, elapsed, now)
}

// quantile returns the demand that a pool is sized for, and whether it is known.
func (s *sizing) quantile(key poolZone) (float64, bool) {
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
	largestRack int // eligible instances in the rack that has most of them
}

// requiredInstances returns how many instances the controller's zone needs for a pool
// that has current of them, and whether the demand is known. A new holder of the duty
// has observed little of the demand. During a warm-up of one half-life a pool
// therefore keeps its instances, and the demand of a pool without instances counts as
// unknown, so that the pool takes every instance that matches.
func (s *sizing) requiredInstances(pool poolSpec, supply []zoneSupply, current int, now time.Time) (int, bool) {
	demands := make([]capacity.ZoneDemand, len(supply))
	weights := make([]int, len(supply))
	ownIndex, unknown := 0, 0
	for i, zone := range supply {
		demand, known := s.quantile(poolZone{pool.Name, zone.zone})
		demands[i] = capacity.ZoneDemand{Demand: demand, Limit: zone.eligible, LargestRack: zone.largestRack}
		weights[i] = zone.eligible
		if !known && zone.eligible > 0 {
			unknown++
		}
		if zone.zone == s.options.Zone {
			ownIndex = i
		}
	}
	minimum := capacity.Apportion(pool.Min, weights)[ownIndex]
	total, known := s.quantile(poolZone{pool.Name, allZones})
	warmingUp := now.Sub(s.startedAt) < s.options.HalfLife
	if !known || (warmingUp && current == 0) {
		return minimum, false
	}
	need := max(s.zoneShare(pool, demands, ownIndex, total, unknown > 0), minimum)
	if warmingUp {
		need = max(need, current)
	}
	return s.history(pool.Name).Update(need, now, s.options.Hysteresis), true
}

// zoneShare returns the zone's share of the instances that the pool needs. If the
// demand of any zone with eligible instances is unknown, the zone sizes its share from its
// own demand.
func (s *sizing) zoneShare(pool poolSpec, demands []capacity.ZoneDemand, ownIndex int, total float64, withoutPeers bool) int {
	domain := capacity.FailureDomain(pool.FailureDomain)
	if !withoutPeers {
		return capacity.Spread(demands, total, domain)[ownIndex]
	}
	zones := 0
	for _, zone := range demands {
		if zone.Limit > 0 {
			zones++
		}
	}
	return capacity.SizeWithoutPeers(demands[ownIndex], zones, domain)
}

func (s *sizing) history(pool string) *capacity.History {
	if s.histories[pool] == nil {
		s.histories[pool] = &capacity.History{}
	}
	return s.histories[pool]
}

// recordJoin records that a pool was assigned an instance, whose idle time starts now.
func (s *sizing) recordJoin(pool string, now time.Time) { s.lastJoined[pool] = now }

// idleDays returns a function that forecasts for how many days the size-th instance of a
// pool stays idle. Idle time before the pool was last assigned an instance does not count.
func (s *sizing) idleDays(pool string, now time.Time) func(size int) float64 {
	history, since := s.history(pool), s.startedAt
	return func(size int) float64 {
		return min(history.IdleDays(size, since, now), capacity.ForecastIdleDays(now.Sub(s.lastJoined[pool])))
	}
}
