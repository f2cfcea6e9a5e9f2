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
	zoneLoad      = 0.6 // share of an availability zone's slots
	faultAt       = 10 * time.Second
	listLag       = 5 * time.Second // until the platform's list omits the executors of the zone that is down
	zoneEnd       = 40 * time.Second
)

// zoneFault is a fault of the last availability zone.
type zoneFault uint8

const (
	zoneDown        zoneFault = iota // its executors stop responding and its callers go to other zones
	zonePartitioned                  // nothing passes between it and the other zones
)

// zoneResult holds the shares of calls that succeed after the fault, by callers of the
// other zones and of the faulty zone.
type zoneResult struct{ others, faulty float64 }

func runZone(policy bool, fault zoneFault) zoneResult {
	d := newDriver(seed)
	var submit []func(*call) // by the caller's availability zone
	for z := range zoneCount {
		d.addExecutors(zoneExecutors, slotsEach, zoneName(z))
	}
	partitioned := false
	isFaulty := func(z fleet.AvailabilityZone) bool { return z == zoneName(zoneCount-1) }
	if policy {
		submit = policyZones(d, func(from, to fleet.AvailabilityZone) bool { return partitioned && isFaulty(from) != isFaulty(to) }, fault)
	} else {
		submit = naiveZones(d, func(from, to fleet.AvailabilityZone) bool { return partitioned && isFaulty(from) != isFaulty(to) })
	}
	var others, faulty []*phase
	for z := range zoneCount {
		class := string(zoneName(z))
		p := d.stats.phase(class, faultAt, zoneEnd-2*time.Second)
		if z == zoneCount-1 {
			faulty = append(faulty, p)
		} else {
			others = append(others, p)
		}
		w := workload{class, 1, zoneLoad * zoneSlots / checkRunTime.Seconds(), checkRunTime, checkTimeout, true}
		d.offer(w, zoneEnd, func(c *call) {
			if fault == zoneDown && d.now >= faultAt && z == zoneCount-1 {
				submit[d.rng.IntN(zoneCount-1)](c)
				return
			}
			submit[z](c)
		})
	}
	d.after(faultAt, func() {
		partitioned = fault == zonePartitioned
		for _, x := range d.executors {
			x.unresponsive = fault == zoneDown && isFaulty(x.zone)
		}
	})
	d.run(zoneEnd + settlingTime)
	return zoneResult{successShare(others), successShare(faulty)}
}

func zoneName(z int) fleet.AvailabilityZone { return fleet.AvailabilityZone(fmt.Sprint("z", z)) }

func successShare(phases []*phase) float64 {
	succeeded, offered := 0, 0
	for _, p := range phases {
		succeeded += p.succeeded
		offered += p.offered
	}
	return share(succeeded, offered)
}

// policyZones adds two entry instances that use the policy in each availability zone and
// returns the submit function of each zone.
func policyZones(d *driver, unreachable func(from, to fleet.AvailabilityZone) bool, fault zoneFault) []func(*call) {
	var entries []*fakeEntry
	var submit []func(*call)
	for z := range zoneCount {
		pair := []*fakeEntry{d.addEntry(zoneName(z), 2*z), d.addEntry(zoneName(z), 2*z+1)}
		for _, e := range pair {
			e.unreachable = func(x *fakeExecutor) bool { return unreachable(e.zone, x.zone) }
		}
		entries = append(entries, pair...)
		next := 0
		submit = append(submit, func(c *call) {
			next++
			pair[next%2].submit(c)
		})
	}
	d.shareSlots(entries, func(*fakeEntry) []*fakeExecutor {
		if fault == zoneDown && d.now >= faultAt+listLag {
			return d.executors[:len(d.executors)-zoneExecutors]
		}
		return d.executors
	})
	return submit
}

// naiveZones returns, for each availability zone, a submit function that sends round robin
// to the executors of all zones.
func naiveZones(d *driver, unreachable func(from, to fleet.AvailabilityZone) bool) []func(*call) {
	var submit []func(*call)
	for z := range zoneCount {
		n := &naive{executors: d.executors}
		n.unreachable = func(x *fakeExecutor) bool { return unreachable(zoneName(z), x.zone) }
		submit = append(submit, n.submit)
	}
	return submit
}

func TestLostZoneDoesNotAffectOtherZones(t *testing.T) {
	t.Parallel()
	r := runZone(true, zoneDown)
	assert.Assert(t, r.others >= 0.999, "share of calls of the other zones that succeeded %.5f", r.others)
}

func TestPartitionedZoneServesItsOwnCallers(t *testing.T) {
	t.Parallel()
	r := runZone(true, zonePartitioned)
	assert.Assert(t, r.others >= 0.999, "share of calls of the other zones that succeeded %.5f", r.others)
	assert.Assert(t, r.faulty >= 0.999, "share of calls of the partitioned zone that succeeded %.5f", r.faulty)
}

func BenchmarkRequestPathZone(b *testing.B) {
	for name, fault := range map[string]zoneFault{"lost": zoneDown, "cut-off": zonePartitioned} {
		b.Run(name, func(b *testing.B) {
			comparePolicy(b, func(b *testing.B, policy bool) {
				r := runZone(policy, fault)
				b.ReportMetric(100*r.others, "others-answered-%")
				b.ReportMetric(100*r.faulty, "its-callers-answered-%")
			})
		})
	}
}
