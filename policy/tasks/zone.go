package tasks

import (
	"cmp"
	"hash/fnv"
	"slices"
	"strconv"
	"time"

	"github.com/tarragonreach/tarragonreach/api/fleet"
)

const (
	// urgentSpill and batchSpill are the delays, per rank in a task's order of
	// availability zones, after which a zone may start the task too.
	urgentSpill = 250 * time.Millisecond
	batchSpill  = 15 * time.Second
	// maxUrgentSpill bounds the delay, so that an urgent task finds free capacity in any
	// zone in time.
	maxUrgentSpill = 750 * time.Millisecond
)

// Eligible reports whether an availability zone may start a task that has waited for the
// given time. Each task has its own order of zones (rendezvous hashing), so that the
// zones share the work without communication, and a zone that is disconnected or full
// delays its tasks only by the spill time. If several zones start the same task at once,
// compare-and-swap lets only one succeed.
func Eligible(job string, index int, urgent bool, zone fleet.AvailabilityZone, zones []fleet.AvailabilityZone,
	waited time.Duration) bool {
	rank := slices.Index(zoneOrder(job, index, zones), zone)
	if rank < 0 {
		return false
	}
	if urgent {
		return waited >= min(time.Duration(rank)*urgentSpill, maxUrgentSpill)
	}
	return waited >= time.Duration(rank)*batchSpill
}

type weightedZone struct {
	zone   fleet.AvailabilityZone
	weight uint64
}

func zoneOrder(job string, index int, zones []fleet.AvailabilityZone) []fleet.AvailabilityZone {
	weighted := make([]weightedZone, 0, len(zones))
	for _, zone := range zones {
		weighted = append(weighted, weightedZone{zone, weight(job, index, zone)})
	}
	slices.SortFunc(weighted, func(a, b weightedZone) int { return cmp.Compare(b.weight, a.weight) })
	out := make([]fleet.AvailabilityZone, 0, len(zones))
	for _, w := range weighted {
		out = append(out, w.zone)
	}
	return out
}

func weight(job string, index int, zone fleet.AvailabilityZone) uint64 {
	h := fnv.New64a()
	h.Write([]byte(zone))
	h.Write([]byte{0})
	h.Write([]byte(job))
	h.Write([]byte{0})
	h.Write([]byte(strconv.Itoa(index)))
	return mix(h.Sum64())
}

// mix spreads the hash's low bits over all bits (the finalizer of splitmix64), since the
// last bytes of FNV's input barely affect its high bits.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
