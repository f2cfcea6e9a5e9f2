package routing

import (
	"cmp"
	"slices"

	"github.com/tarragonreach/tarragonreach/api/fleet"
)

// Slots are the slots of one executor.
type Slots struct {
	Zone  fleet.AvailabilityZone
	Count int
}

// PeerLoad is what an entry instance tells its peers of its load.
type PeerLoad struct {
	Peer     string
	Services []ServiceLoad
}

// ServiceLoad is the load of one service at one entry instance.
type ServiceLoad struct {
	Service string
	Demand  int // requests in flight and waiting
}

// Demand is what one entry instance asks of a service.
type Demand struct {
	Peer  string
	Zone  fleet.AvailabilityZone
	Slots int // requests in flight and waiting
	Known bool
}

// Divide returns how many slots of each executor self may use. Every entry
// instance that passes the same arguments but for self gets a disjoint part, so
// that executors are never overrun while the arguments agree. Demands in an
// availability zone are met there first and spill to others; what is left over is
// split evenly. Each entry instance gets at least one slot of the service.
func Divide(executors []Slots, demands []Demand, self string) []int {
	sorted := slices.Clone(demands)
	slices.SortFunc(sorted, func(a, b Demand) int { return cmp.Compare(a.Peer, b.Peer) })
	own := slices.IndexFunc(sorted, func(d Demand) bool { return d.Peer == self })
	result := make([]int, len(executors))
	if own < 0 {
		return result
	}
	for i, e := range executors {
		result[i] = e.Count / len(sorted)
		if i%len(sorted) == own {
			result[i]++
		}
	}
	return result
}
