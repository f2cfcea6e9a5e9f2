package fleetctl

import (
	"cmp"
	"slices"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/api/object"
)

// instancesPerSkippedScan sets how rarely the other zones are scanned: per this many
// instances of the whole fleet, one more reconciliation reuses the last scan.
const instancesPerSkippedScan = 500

// otherZones caches counts and records of the other availability zones. It is
// refreshed only every few reconciliations, since a scan takes time in proportion to
// the whole fleet.
type otherZones struct {
	configRevision object.Revision
	age            int // in reconciliations
	fleetSize      int
	zoneCounts     []zoneCounts
	records        []remoteRecord
}

// remoteRecord is the record of an instance of another zone.
type remoteRecord struct {
	fleet.Record
	zone fleet.AvailabilityZone
}

// zoneCounts counts the instances of one zone that are eligible for each pool, in total
// and in each rack.
type zoneCounts struct {
	zone           fleet.AvailabilityZone
	eligible       map[string]int
	eligibleByRack map[poolRack]int
}

type poolRack struct{ pool, rack string }

func newZoneCounts(zone fleet.AvailabilityZone) zoneCounts {
	return zoneCounts{zone, make(map[string]int), make(map[poolRack]int)}
}

func (c *zoneCounts) add(pools []string, rack string) {
	for _, pool := range pools {
		c.eligible[pool]++
		c.eligibleByRack[poolRack{pool, rack}]++
	}
}

// refreshOtherZones scans the other zones if the last scan is too old or the
// configuration has changed, and reports whether it did.
func (r *reconciliation) refreshOtherZones(listed []fleet.Instance) bool {
	cache := &r.Controller.otherZones
	cache.age++
	if cache.configRevision == r.config.Revision && cache.age <= cache.fleetSize/instancesPerSkippedScan {
		return false
	}
	byID := make(map[fleet.InstanceID]fleet.Instance, len(listed))
	for _, instance := range listed {
		byID[instance.ID] = instance
	}
	*cache = otherZones{configRevision: r.config.Revision, fleetSize: len(listed)}
	for _, zone := range r.snapshot.Zones() {
		if zone != r.Zone {
			r.scanZone(cache, zone, byID)
		}
	}
	return true
}

func (r *reconciliation) scanZone(cache *otherZones, zone fleet.AvailabilityZone, listed map[fleet.InstanceID]fleet.Instance) {
	counts := newZoneCounts(zone)
	for _, located := range r.snapshot.Records(zone) {
		if instance, found := listed[located.ID]; found {
			counts.add(r.eligible(instance, located.Labels), instance.Rack)
		}
		cache.records = append(cache.records, remoteRecord{located.Record, zone})
	}
	cache.zoneCounts = append(cache.zoneCounts, counts)
}

// allZoneCounts returns the counts of all zones, ordered by zone.
func (r *reconciliation) allZoneCounts() []zoneCounts {
	own := newZoneCounts(r.Zone)
	for _, m := range r.members {
		own.add(m.eligible, m.record.Rack)
	}
	counts := append(slices.Clone(r.otherZones.zoneCounts), own)
	slices.SortFunc(counts, func(a, b zoneCounts) int { return cmp.Compare(a.zone, b.zone) })
	return counts
}

// poolSupply returns the supply of one pool in each zone.
func poolSupply(counts []zoneCounts, pool string) []zoneSupply {
	supply := make([]zoneSupply, len(counts))
	for i, c := range counts {
		supply[i] = zoneSupply{zone: c.zone, eligible: c.eligible[pool]}
		for key, size := range c.eligibleByRack {
			if key.pool == pool {
				supply[i].largestRack = max(supply[i].largestRack, size)
			}
		}
	}
	return supply
}
