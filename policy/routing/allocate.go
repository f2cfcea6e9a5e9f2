package routing

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/tarragonreach/tarragonreach/api/fleet"
)

// ExecutorSlots are the slots of one executor.
type ExecutorSlots struct {
	Zone  fleet.AvailabilityZone
	Count int
}

// GrowthDelay is how long an entry instance waits before it uses slots added by a new
// allocation. Within this time the summaries reach all peers, and most requests that
// ran in those slots have ended.
const GrowthDelay = 400 * time.Millisecond

// PeerLoad is the summary of its load that an entry instance publishes to its peers.
type PeerLoad struct {
	Peer     string        `cbor:"1,keyasint"`
	Services []ServiceLoad `cbor:"2,keyasint,omitempty"`
}

// ServiceLoad is the load of one service at one entry instance.
type ServiceLoad struct {
	Service string `cbor:"1,keyasint"`
	Demand  int    `cbor:"2,keyasint"` // in slots
}

// Demand is the demand of one entry instance for slots of a service.
type Demand struct {
	Peer  string
	Zone  fleet.AvailabilityZone
	Slots int
	// Known is false for an entry instance that has sent no summary; its demand then
	// counts as an equal share of all slots.
	Known bool
}

// AllocateSlots returns how many slots of each executor self may use. Entry instances
// that pass the same executors and demands get disjoint allocations, so that executors
// are not overloaded while those arguments agree. Demands are met in their own
// availability zone first and spill to other zones. Remaining slots are allocated as
// headroom for bursts, then evenly to the entry instances of their availability zone.
// Each entry instance gets at least one slot of the service; allocations overlap only
// by that slot, and only if there are fewer slots than entry instances.
func AllocateSlots(executors []ExecutorSlots, demands []Demand, self string) []int {
	peers := slices.Clone(demands)
	slices.SortFunc(peers, func(a, b Demand) int { return cmp.Compare(a.Peer, b.Peer) })
	own := slices.IndexFunc(peers, func(d Demand) bool { return d.Peer == self })
	result := make([]int, len(executors))
	if own < 0 || len(executors) == 0 {
		return result
	}
	alloc := newSlotAllocation(executors, peers)
	alloc.allocate(func(Demand) int { return 1 })
	alloc.allocate(func(p Demand) int { return alloc.demand(p) - 1 })
	alloc.allocate(func(p Demand) int { return headroom(alloc.demand(p)) })
	alloc.allocateRest()
	for zone := range alloc.zones {
		alloc.assignToExecutors(zone, own, executors, result)
	}
	if total(result) == 0 {
		result[own%len(result)] = 1
	}
	return result
}

// slotAllocation is the state of one AllocateSlots call.
type slotAllocation struct {
	peers []Demand
	zones []zoneSlots
	unmet []int // slots still to be allocated, by peer
	slots int   // of all executors
}

// zoneSlots are the slots of one availability zone and the peers' shares of them.
type zoneSlots struct {
	name   fleet.AvailabilityZone
	free   int
	shares []int // by peer
}

func newSlotAllocation(executors []ExecutorSlots, peers []Demand) *slotAllocation {
	alloc := &slotAllocation{peers: peers, unmet: make([]int, len(peers))}
	for _, e := range executors {
		alloc.slots += e.Count
		alloc.zone(e.Zone).free += e.Count
	}
	slices.SortFunc(alloc.zones, func(a, b zoneSlots) int { return cmp.Compare(a.name, b.name) })
	return alloc
}

// zone returns the entry of an availability zone and creates it if it doesn't exist.
func (alloc *slotAllocation) zone(name fleet.AvailabilityZone) *zoneSlots {
	for i := range alloc.zones {
		if alloc.zones[i].name == name {
			return &alloc.zones[i]
		}
	}
	alloc.zones = append(alloc.zones, zoneSlots{name: name, shares: make([]int, len(alloc.peers))})
	return &alloc.zones[len(alloc.zones)-1]
}

// add adds free slots of the zone to a peer's share.
func (z *zoneSlots) add(peer, slots int) {
	z.shares[peer] += slots
	z.free -= slots
}

// allocate allocates up to want slots to each peer, in its own availability zone first.
func (alloc *slotAllocation) allocate(want func(Demand) int) {
	for p, peer := range alloc.peers {
		alloc.unmet[p] = want(peer)
	}
	alloc.allocateInZone()
	alloc.spill()
}

// demand returns the demand of a peer in slots, at least 1.
func (alloc *slotAllocation) demand(p Demand) int {
	if !p.Known {
		return max(alloc.slots/len(alloc.peers), 1)
	}
	return max(p.Slots, 1)
}

// burstFactor times the square root of a demand is the headroom for random bursts.
const burstFactor = 2

func headroom(slots int) int {
	return int(math.Ceil(burstFactor * math.Sqrt(float64(slots))))
}

// allocateInZone allocates the slots of each availability zone to its own peers.
func (alloc *slotAllocation) allocateInZone() {
	for i := range alloc.zones {
		z := &alloc.zones[i]
		wants := make([]int, len(alloc.peers))
		for p, peer := range alloc.peers {
			if peer.Zone == z.name {
				wants[p] = alloc.unmet[p]
			}
		}
		for p, slots := range MaxMin(z.free, wants) {
			z.add(p, slots)
			alloc.unmet[p] -= slots
		}
	}
}

// spill allocates free slots of any availability zone to unmet demands. It takes them
// from the zones with the most free slots, so that no single zone loses its headroom.
func (alloc *slotAllocation) spill() {
	free := make([]int, len(alloc.zones))
	for i, z := range alloc.zones {
		free[i] = z.free
	}
	for p, slots := range MaxMin(total(free), alloc.unmet) {
		if slots == 0 {
			continue
		}
		alloc.unmet[p] -= slots
		remaining := MaxMin(total(free)-slots, free)
		for i := range alloc.zones {
			alloc.zones[i].add(p, free[i]-remaining[i])
		}
		free = remaining
	}
}

// allocateRest allocates the remaining slots of each availability zone evenly to its own
// peers, or to all peers if it has none, so that a demand may grow before the next
// allocation.
func (alloc *slotAllocation) allocateRest() {
	for i := range alloc.zones {
		z := &alloc.zones[i]
		wants := make([]int, len(alloc.peers))
		local := false
		for p, peer := range alloc.peers {
			if peer.Zone == z.name {
				wants[p] = z.free
				local = true
			}
		}
		if !local {
			for p := range wants {
				wants[p] = z.free
			}
		}
		for p, slots := range MaxMin(z.free, wants) {
			z.add(p, slots)
		}
	}
}

// assignToExecutors maps the peers' shares of an availability zone to its executors and
// adds the share of peer own to result. Shares are consecutive ranges in an order that
// takes one slot of each executor in turn, so that each share spreads evenly.
func (alloc *slotAllocation) assignToExecutors(zone, own int, executors []ExecutorSlots, result []int) {
	z := alloc.zones[zone]
	first := total(z.shares[:own])
	last := first + z.shares[own]
	position := 0
	for slot := 0; position < last; slot++ {
		for i, e := range executors {
			if e.Zone != z.name || e.Count <= slot {
				continue
			}
			if position >= first && position < last {
				result[i]++
			}
			position++
		}
	}
}

// MaxMin allocates capacity by max-min fairness: smaller wants are met in full, and
// larger ones share the rest evenly. Remainders go to the smaller wants, and among
// equal ones to the earlier.
func MaxMin(capacity int, wants []int) []int {
	order := make([]int, len(wants))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(wants[a], wants[b]) })
	shares := make([]int, len(wants))
	for n, i := range order {
		remaining := len(order) - n
		share := (capacity + remaining - 1) / remaining
		if wants[i] <= capacity/remaining {
			share = wants[i]
		}
		shares[i] = min(share, wants[i], capacity)
		capacity -= shares[i]
	}
	return shares
}

func total(values []int) int {
	sum := 0
	for _, v := range values {
		sum += v
	}
	return sum
}
