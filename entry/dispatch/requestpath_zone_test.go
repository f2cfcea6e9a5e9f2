package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"gotest.tools/v3/assert"
)

const (
	zoneCount     = 4
	zoneExecutors = 3
	zoneSlots     = zoneExecutors * slotsEach
	zoneLoad      = 0.6 // of an availability zone's slots
	lossAt        = 10 * time.Second
	listLag       = 5 * time.Second // until the platform's list drops what is lost
	zoneEnd       = 40 * time.Second
)

// zoneFault says what happens to the last availability zone.
type zoneFault uint8

const (
	zoneLost   zoneFault = iota // its executors vanish and its callers go elsewhere
	zoneCutOff                  // nothing passes between it and the others
)

// zoneResult is the part of calls answered after the fault.
type zoneResult struct{ others, last float64 }

func runZone(policy bool, fault zoneFault) zoneResult {
	d := newDriver(seed)
	var submit []func(*call) // by availability zone of the caller
	for z := range zoneCount {
		d.addExecutors(zoneExecutors, slotsEach, zoneName(z))
	}
	cutOff := false
	isLast := func(z fleet.AvailabilityZone) bool { return z == zoneName(zoneCount-1) }
	if policy {
		submit = policyZones(d, func(from, to fleet.AvailabilityZone) bool { return cutOff && isLast(from) != isLast(to) }, fault)
	} else {
		submit = naiveZones(d, func(from, to fleet.AvailabilityZone) bool { return cutOff && isLast(from) != isLast(to) })
	}
	var others, last []*phase
	for z := range zoneCount {
		class := string(zoneName(z))
		p := d.stats.phase(class, lossAt, zoneEnd-2*time.Second)
		if z == zoneCount-1 {
			last = append(last, p)
		} else {
			others = append(others, p)
		}
		w := workload{class, 1, zoneLoad * zoneSlots / checkTime.Seconds(), checkTime, checkTimeout, true}
		d.offer(w, zoneEnd, func(c *call) {
			if fault == zoneLost && d.now >= lossAt && z == zoneCount-1 {
				submit[d.rng.IntN(zoneCount-1)](c)
				return
			}
			submit[z](c)
		})
	}
	d.after(lossAt, func() {
		cutOff = fault == zoneCutOff
		for _, x := range d.executors {
			x.lost = fault == zoneLost && isLast(x.zone)
		}
	})
	d.run(zoneEnd + settleTime)
	return zoneResult{answeredShare(others), answeredShare(last)}
}

func zoneName(z int) fleet.AvailabilityZone { return fleet.AvailabilityZone(fmt.Sprint("z", z)) }

func answeredShare(phases []*phase) float64 {
	answered, offered := 0, 0
	for _, p := range phases {
		answered += p.answered
		offered += p.offered
	}
	return share(answered, offered)
}

// policyZones makes two entry instances in each availability zone.
func policyZones(d *driver, cut func(from, to fleet.AvailabilityZone) bool, fault zoneFault) []func(*call) {
	var entries []*fakeEntry
	var submit []func(*call)
	for z := range zoneCount {
		pair := []*fakeEntry{d.addEntry(zoneName(z), 2*z), d.addEntry(zoneName(z), 2*z+1)}
		for _, e := range pair {
			e.cut = func(x *fakeExecutor) bool { return cut(e.zone, x.zone) }
		}
		entries = append(entries, pair...)
		turn := 0
		submit = append(submit, func(c *call) {
			turn++
			pair[turn%2].submit(c)
		})
	}
	d.share(entries, func(*fakeEntry) []*fakeExecutor {
		if fault == zoneLost && d.now >= lossAt+listLag {
			return d.executors[:len(d.executors)-zoneExecutors]
		}
		return d.executors
	})
	return submit
}

// naiveZones sends round robin to all executors from everywhere.
func naiveZones(d *driver, cut func(from, to fleet.AvailabilityZone) bool) []func(*call) {
	var submit []func(*call)
	for z := range zoneCount {
		n := &naive{executors: d.executors}
		n.cut = func(x *fakeExecutor) bool { return cut(zoneName(z), x.zone) }
		submit = append(submit, n.submit)
	}
	return submit
}

func TestLostZoneLeavesOthersWhole(t *testing.T) {
	t.Parallel()
	r := runZone(true, zoneLost)
	assert.Assert(t, r.others >= 0.999, "others answered %.5f", r.others)
}

func TestCutOffZoneServesItsOwn(t *testing.T) {
	t.Parallel()
	r := runZone(true, zoneCutOff)
	assert.Assert(t, r.others >= 0.999, "others answered %.5f", r.others)
	assert.Assert(t, r.last >= 0.999, "the one cut off answered %.5f", r.last)
}

func BenchmarkRequestPathZone(b *testing.B) {
	for name, fault := range map[string]zoneFault{"lost": zoneLost, "cut-off": zoneCutOff} {
		b.Run(name, func(b *testing.B) {
			comparePolicy(b, func(b *testing.B, policy bool) {
				r := runZone(policy, fault)
				b.ReportMetric(100*r.others, "others-answered-%")
				b.ReportMetric(100*r.last, "its-callers-answered-%")
			})
		})
	}
}
