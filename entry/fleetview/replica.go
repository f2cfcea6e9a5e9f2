package fleetview

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/mesh"
	"github.com/tarragonreach/tarragonreach/platform"
)

var (
	_ mesh.Replica     = (*View)(nil)
	_ mesh.StreamOwner = (*View)(nil)
)

// document is the body of a mesh.Document. If a view holds all pages of the zone up to
// revision Prev, it holds all of them up to revision Through after merging the document.
type document struct {
	Prev    int64  `cbor:"1,keyasint"`
	Through int64  `cbor:"2,keyasint,omitempty"`
	Page    []byte `cbor:"3,keyasint"` // JSON, as in the store
}

func streamName(zone fleet.AvailabilityZone) mesh.Stream {
	return mesh.Stream(fleet.PagePrefix + string(zone))
}

// Owns implements mesh.StreamOwner, so that a view without pages also accepts the pages
// of its peers.
func (v *View) Owns(stream mesh.Stream) bool {
	return strings.HasPrefix(string(stream), fleet.PagePrefix)
}

// Digest returns for each availability zone the revision up to which all its pages are
// held, ordered by stream.
func (v *View) Digest() []mesh.StreamVersion {
	snapshot := v.Snapshot()
	var versions []mesh.StreamVersion
	for zone, version := range snapshot.versions {
		versions = append(versions, mesh.StreamVersion{Stream: streamName(zone), Version: int64(version)})
	}
	slices.SortFunc(versions, func(a, b mesh.StreamVersion) int { return cmp.Compare(a.Stream, b.Stream) })
	return versions
}

// Read returns the pages of an availability zone that are newer than after, oldest
// first, up to about maxBytes.
func (v *View) Read(stream mesh.Stream, after int64, maxBytes int) []mesh.Document {
	zone, known := strings.CutPrefix(string(stream), fleet.PagePrefix)
	if !known {
		return nil
	}
	snapshot := v.Snapshot()
	pages := newerPages(snapshot.Pages(fleet.AvailabilityZone(zone)), platform.Revision(after))
	held := int64(snapshot.Version(fleet.AvailabilityZone(zone)))
	var documents []mesh.Document
	prev, size := after, 0
	for i, page := range pages {
		body := document{Prev: prev, Through: min(held, int64(page.Revision))}
		if i == len(pages)-1 {
			body.Through = held
		}
		encoded, err := body.encode(page)
		if err != nil {
			return documents
		}
		size += len(encoded)
		if size > maxBytes && len(documents) > 0 {
			return documents
		}
		documents = append(documents, mesh.Document{
			Stream: stream, Version: int64(page.Revision), Key: page.Key, Body: encoded,
		})
		prev = max(prev, body.Through)
	}
	return documents
}

// newerPages returns the pages with a revision above after, oldest first.
func newerPages(pages []PageEntry, after platform.Revision) []PageEntry {
	pages = slices.DeleteFunc(pages, func(p PageEntry) bool { return p.Revision <= after })
	slices.SortFunc(pages, func(a, b PageEntry) int { return cmp.Compare(a.Revision, b.Revision) })
	return pages
}

func (d document) encode(page PageEntry) ([]byte, error) {
	var err error
	if d.Page, err = json.Marshal(page.Page); err != nil {
		return nil, fmt.Errorf("encode page %s: %w", page.Key, err)
	}
	return cbor.Marshal(d)
}

// Merge merges pages from a peer. Pages may arrive in any order and more than once, so
// a zone's version is raised only if no page in between can be missing.
func (v *View) Merge(_ context.Context, documents []mesh.Document) error {
	pages := make([]PageEntry, len(documents))
	bodies := make([]document, len(documents))
	for i, d := range documents {
		if err := cbor.Unmarshal(d.Body, &bodies[i]); err != nil {
			return fmt.Errorf("page %s from a peer: %w", d.Key, err)
		}
		entry := platform.Entry{Key: d.Key, Value: bodies[i].Page, Revision: platform.Revision(d.Version)}
		page, err := parsePage(entry)
		if err != nil {
			return fmt.Errorf("page from a peer: %w", err)
		}
		pages[i] = page
	}
	v.update(func(d *draft) {
		for i, page := range pages {
			d.put(page)
			if platform.Revision(bodies[i].Prev) <= d.versions[page.Zone] {
				d.advance(page.Zone, platform.Revision(bodies[i].Through))
			}
		}
	})
	return nil
}
