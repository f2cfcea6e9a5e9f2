// Package fleetview holds an entry instance's copy of the fleet record. It reads
// and follows the pages of the platform's store and passes them to other entry
// instances over the mesh, so that one without a watch, or with the store
// unavailable, holds them too. A page is never replaced by an older one.
package fleetview

import (
	"cmp"
	"slices"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/platform"
)

// PageEntry is one page with the store revision that last wrote it.
type PageEntry struct {
	Key      string
	Zone     fleet.AvailabilityZone
	Revision platform.Revision
	Page     fleet.Page
}

// Snapshot is the fleet record at one moment. It is immutable.
type Snapshot struct {
	pages map[string]PageEntry
	// versions says up to which revision every page of a zone is held.
	versions map[fleet.AvailabilityZone]platform.Revision
}

// Page returns the page under key; the zero PageEntry stands for one that does
// not exist.
func (s *Snapshot) Page(key string) PageEntry { return s.pages[key] }

// Version returns the revision up to which the zone's pages are held.
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

// Zones returns the availability zones with pages, in order.
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
// empty, ordered by instance.
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
