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

// GrowthDelay is how long an entry instance waits before it uses slots that a new
// division gives it. The summaries reach all peers in less, and most requests that
// ran in those slots have ended by then.
const GrowthDelay = 400 * time.Millisecond

// PeerLoad is what an entry instance tells its peers of its load.
type PeerLoad struct {
	Peer     string        `cbor:"1,keyasint"`
	Services []ServiceLoad `cbor:"2,keyasint,omitempty"`
}

// ServiceLoad is the load of one service at one entry instance.
type ServiceLoad struct {
	Service string `cbor:"1,keyasint"`
	Demand  int    `cbor:"2,keyasint"` // slots that the load asks for
}

// Demand is what one entry instance asks of a service.
type Demand struct {
	Peer  string
	Zone  fleet.AvailabilityZone
	Slots int // that the load asks for
	// Known is false for an entry instance that has sent no summary; it is taken to
	// ask for an equal share.
	Known bool
}

// AllocateSlots returns how many slots of each executor self may use. Entry instances
// that pass the same arguments but for self get disjoint parts, so that
// executors are not overrun while the arguments agree. Demands in an availability
// zone are met there first and spill to others. What is left goes to headroom for
// bursts, and then in even parts to the entry instances of its availability zone. Each entry instance gets at least one slot of
// the service; only where there are fewer slots than entry instances can parts
// overlap by that.
func AllocateSlots(executors []ExecutorSlots, demands []Demand, self string) []int {
	peers := slices.Clone(demands)
	slices.SortFunc(peers, func(a, b Demand) int { return cmp.Compare(a.Peer, b.Peer) })
	own := slices.IndexFunc(peers, func(d Demand) bool { return d.Peer == self })
	result := make([]int, len(executors))
	if own < 0 || len(executors) == 0 {
		return result
	}
	d := newDivision(executors, peers)
	d.meet(func(Demand) int { return 1 })
	d.meet(func(p Demand) int { return d.demand(p) - 1 })
	d.meet(func(p Demand) int { return headroom(d.demand(p)) })
	d.splitRest()
	for zone := range d.zones {
		d.layOut(zone, own, executors, result)
	}
	if total(result) == 0 {
		result[own%len(result)] = 1
	}
	return result
}

// division is the state of one Divide.
type division struct {
	peers []Demand
	zones []zoneSlots
	wants []int // unmet, by peer
	slots int   // of all executors
}

// zoneSlots are the slots of one availability zone and the peers' parts in them.
type zoneSlots struct {
	name  fleet.AvailabilityZone
	free  int
	parts []int // by peer
}

func newDivision(executors []ExecutorSlots, peers []Demand) *division {
	d := &division{peers: peers, wants: make([]int, len(peers))}
	for _, e := range executors {
		d.slots += e.Count
		d.zone(e.Zone).free += e.Count
	}
	slices.SortFunc(d.zones, func(a, b zoneSlots) int { return cmp.Compare(a.name, b.name) })
	return d
}

// zone returns the entry of an availability zone, made where absent.
func (d *division) zone(name fleet.AvailabilityZone) *zoneSlots {
	for i := range d.zones {
		if d.zones[i].name == name {
			return &d.zones[i]
		}
	}
	d.zones = append(d.zones, zoneSlots{name: name, parts: make([]int, len(d.peers))})
	return &d.zones[len(d.zones)-1]
}

// give adds to a peer's part of a zone.
func (z *zoneSlots) give(peer, slots int) {
	z.parts[peer] += slots
	z.free -= slots
}

// meet gives each peer up to want slots, at home first.
func (d *division) meet(want func(Demand) int) {
	for p, peer := range d.peers {
		d.wants[p] = want(peer)
	}
	d.meetAtHome()
	d.spill()
}

// demand returns what a peer asks for, at least one slot.
func (d *division) demand(p Demand) int {
	if !p.Known {
		return max(d.slots/len(d.peers), 1)
	}
	return max(p.Slots, 1)
}

// burstFactor times the root of a load is the headroom that chance bursts take.
const burstFactor = 2

func headroom(slots int) int {
	return int(math.Ceil(burstFactor * math.Sqrt(float64(slots))))
}

// meetAtHome gives each availability zone's slots to its own peers.
func (d *division) meetAtHome() {
	for i := range d.zones {
		z := &d.zones[i]
		wants := make([]int, len(d.peers))
		for p, peer := range d.peers {
			if peer.Zone == z.name {
				wants[p] = d.wants[p]
			}
		}
		for p, slots := range MaxMin(z.free, wants) {
			z.give(p, slots)
			d.wants[p] -= slots
		}
	}
}

// spill gives free slots of any availability zone to unmet demands. They come from
// the zones with the most free slots, so that no zone loses its headroom alone.
func (d *division) spill() {
	free := make([]int, len(d.zones))
	for i, z := range d.zones {
		free[i] = z.free
	}
	for p, slots := range MaxMin(total(free), d.wants) {
		if slots == 0 {
			continue
		}
		d.wants[p] -= slots
		left := MaxMin(total(free)-slots, free)
		for i := range d.zones {
			d.zones[i].give(p, free[i]-left[i])
		}
		free = left
	}
}

// splitRest spreads what nobody asked for, so that a demand may grow before the
// next division.
func (d *division) splitRest() {
	for i := range d.zones {
		z := &d.zones[i]
		wants := make([]int, len(d.peers))
		local := false
		for p, peer := range d.peers {
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
			z.give(p, slots)
		}
	}
}

// layOut assigns the peers' parts to the executors of an availability zone. It
// walks over the executors one slot each a round, so that a part spreads evenly.
func (d *division) layOut(zone, own int, executors []ExecutorSlots, result []int) {
	z := d.zones[zone]
	first := total(z.parts[:own])
	last := first + z.parts[own]
	at := 0
	for round := 0; at < last; round++ {
		for i, e := range executors {
			if e.Zone != z.name || e.Count <= round {
				continue
			}
			if at >= first && at < last {
				result[i]++
			}
			at++
		}
	}
}

// MaxMin divides capacity among wants: the smaller ones are met and the rest is
// split evenly, with remainders to the first.
func MaxMin(capacity int, wants []int) []int {
	order := make([]int, len(wants))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(wants[a], wants[b]) })
	parts := make([]int, len(wants))
	for n, i := range order {
		left := len(order) - n
		share := (capacity + left - 1) / left
		if wants[i] <= capacity/left {
			share = wants[i]
		}
		parts[i] = min(share, wants[i], capacity)
		capacity -= parts[i]
	}
	return parts
}

func total(values []int) int {
	sum := 0
	for _, v := range values {
		sum += v
	}
	return sum
}
