package config

import (
	"cmp"
)

// watchersPerZone is how many entry instances of an availability zone watch the store.
const watchersPerZone = 2

// IsWatcher reports whether self watches the store. The watchers of an availability zone
// are the watchersPerZone instances with the lowest IDs among self and the known members.
// If instances know different members, a few more may watch, but at least one does.
func IsWatcher(self Member, members []Member) bool {
	lower := map[Member]bool{}
	for _, member := range members {
		if member.Zone == self.Zone && cmp.Less(member.ID, self.ID) {
			lower[member] = true
		}
	}
	return len(lower) < watchersPerZone
}
