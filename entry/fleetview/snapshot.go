// Package fleetview holds an entry instance's copy of the fleet record. It reads and
// watches the pages in the platform's store and replicates them to other entry
// instances over the mesh, so that instances without a watch, or without access to
// the store, also get them. A page is never replaced by an older one.
package fleetview

import (
	"cmp"
	"slices"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/platform"
)

// PageEntry is one page with the store revision of its last write.
type PageEntry struct {
	Key      string
	Zone     fleet.AvailabilityZone
	Revision platform.Revision
	Page     fleet.Page
}

// Snapshot is an immutable copy of the fleet record.
type Snapshot struct {
	pages map[string]PageEntry
	// versions holds for each zone the revision up to which all its pages are held.
	versions map[fleet.AvailabilityZone]platform.Revision
}

// Page returns the page under key, or the zero PageEntry if there is none.
func (s *Snapshot) Page(key string) PageEntry { return s.pages[key] }

// Version returns the revision up to which all pages of the zone are held.
func (s *Snapshot) Version(zone fleet.AvailabilityZone) platform.Revision { return s.versions[zone] }

// Find returns the record of an instance, its availability zone, and whether it exists.
func (s *Snapshot) Find(id fleet.InstanceID) (fleet.Record, fleet.AvailabilityZone, bool) {
	for _, zone := range s.Zones() {
		page, held := s.pages[fleet.PageKey(zone, id)]
		if !held {
			continue
		}
		if record, found := page.Page.Find(id); found {
			return record, zone, true
		}
	}
	return fleet.Record{}, "", false
}

// Zones returns the availability zones with pages, sorted.
func (s *Snapshot) Zones() []fleet.AvailabilityZone {
	var zones []fleet.AvailabilityZone
	for _, page := range s.pages {
		if !slices.Contains(zones, page.Zone) {
			zones = append(zones, page.Zone)
		}
	}
	slices.Sort(zones)
	return zones
}

// Pages returns the pages of one availability zone, or of all if zone is empty,
// in key order.
func (s *Snapshot) Pages(zone fleet.AvailabilityZone) []PageEntry {
	var pages []PageEntry
	for _, page := range s.pages {
		if zone == "" || page.Zone == zone {
			pages = append(pages, page)
		}
	}
	slices.SortFunc(pages, func(a, b PageEntry) int { return cmp.Compare(a.Key, b.Key) })
	return pages
}

// LocatedRecord is a record with its availability zone.
type LocatedRecord struct {
	fleet.Record
	Zone fleet.AvailabilityZone
}

// Records returns the records of one availability zone, or of all if zone is
// empty, ordered by instance ID.
func (s *Snapshot) Records(zone fleet.AvailabilityZone) []LocatedRecord {
	var records []LocatedRecord
	for _, page := range s.pages {
		if zone != "" && page.Zone != zone {
			continue
		}
		for _, record := range page.Page.Records {
			records = append(records, LocatedRecord{Record: record, Zone: page.Zone})
		}
	}
	slices.SortFunc(records, func(a, b LocatedRecord) int { return cmp.Compare(a.ID, b.ID) })
	return records
}
