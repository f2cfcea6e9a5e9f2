package fleetctl

import (
	"cmp"
	"slices"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/api/object"
)

// surveyShare is how many instances of the whole fleet lengthen the pause between
// two surveys by one round.
const surveyShare = 500

// survey is what a controller knows of the other availability zones. It is taken
// anew now and then, since it costs time in proportion to the whole fleet.
type survey struct {
	config    object.Revision
	roundsOld int
	instances int
	supplies  []zoneCounts
	records   []surveyed
}

// surveyed is the record of an instance of another zone.
type surveyed struct {
	fleet.Record
	zone fleet.AvailabilityZone
}

// zoneCounts counts the instances of one zone that may serve a pool, by pool.
type zoneCounts struct {
	zone     fleet.AvailabilityZone
	eligible map[string]int
	racks    map[poolRack]int
}

type poolRack struct{ pool, rack string }

func newZoneCounts(zone fleet.AvailabilityZone) zoneCounts {
	return zoneCounts{zone, make(map[string]int), make(map[poolRack]int)}
}

func (c *zoneCounts) add(pools []string, rack string) {
	for _, pool := range pools {
		c.eligible[pool]++
		c.racks[poolRack{pool, rack}]++
	}
}

// refresh takes the survey if it is old or the configuration changed, and reports
// whether it did.
func (r *round) refresh(listed []fleet.Instance) bool {
	s := &r.Controller.survey
	s.roundsOld++
	if s.config == r.config.Revision && s.roundsOld <= s.instances/surveyShare {
		return false
	}
	byID := make(map[fleet.InstanceID]fleet.Instance, len(listed))
	for _, instance := range listed {
		byID[instance.ID] = instance
	}
	*s = survey{config: r.config.Revision, instances: len(listed)}
	for _, zone := range r.snapshot.Zones() {
		if zone != r.Zone {
			r.surveyZone(s, zone, byID)
		}
	}
	return true
}

func (r *round) surveyZone(s *survey, zone fleet.AvailabilityZone, listed map[fleet.InstanceID]fleet.Instance) {
	counts := newZoneCounts(zone)
	for _, located := range r.snapshot.Records(zone) {
		if instance, found := listed[located.ID]; found {
			counts.add(r.eligible(instance, located.Labels), instance.Rack)
		}
		s.records = append(s.records, surveyed{located.Record, zone})
	}
	s.supplies = append(s.supplies, counts)
}

// supplies counts the eligible instances of each zone, in the order of zones.
func (r *round) supplies() []zoneCounts {
	own := newZoneCounts(r.Zone)
	for _, m := range r.members {
		own.add(m.eligible, m.record.Rack)
	}
	counts := append(slices.Clone(r.survey.supplies), own)
	slices.SortFunc(counts, func(a, b zoneCounts) int { return cmp.Compare(a.zone, b.zone) })
	return counts
}

// poolSupply picks one pool's supply in each zone.
func poolSupply(counts []zoneCounts, pool string) []zoneSupply {
	supply := make([]zoneSupply, len(counts))
	for i, c := range counts {
		supply[i] = zoneSupply{zone: c.zone, eligible: c.eligible[pool]}
		for key, size := range c.racks {
			if key.pool == pool {
				supply[i].largestRack = max(supply[i].largestRack, size)
			}
		}
	}
	return supply
}
