package directory

import (
	"slices"

	"github.com/tarragonreach/tarragonreach/api/fleet"
)

// equal reports whether two snapshots have the same configuration, endpoints and entry
// instances.
func equal(a, b *Snapshot) bool {
	if a.Config != b.Config || len(a.Services) != len(b.Services) {
		return false
	}
	if !slices.EqualFunc(a.EntryInstances, b.EntryInstances, sameEntryInstance) {
		return false
	}
	for name, service := range a.Services {
		other := b.Services[name]
		if other == nil || !slices.Equal(service.Endpoints, other.Endpoints) || !slices.Equal(service.Noticed, other.Noticed) {
			return false
		}
	}
	return true
}

func sameEntryInstance(a, b fleet.Instance) bool {
	return a.ID == b.ID && a.Zone == b.Zone && a.Address == b.Address
}
