package config

import (
	"cmp"
)

// watchersPerZone is how many entry instances of an availability zone watch the store.
const watchersPerZone = 2

// IsWatcher reports whether self is one of those that watch the store: the lowest
// IDs of its availability zone among self and the members known. Views that
// differ cost at most a few watches more, never none.
func IsWatcher(self Member, members []Member) bool {
	lower := map[Member]bool{}
	for _, member := range members {
		if member.Zone == self.Zone && cmp.Less(member.ID, self.ID) {
			lower[member] = true
		}
	}
	return len(lower) < watchersPerZone
}
