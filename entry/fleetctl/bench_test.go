package fleetctl

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/api/label"
	"github.com/tarragonreach/tarragonreach/api/object"
	"github.com/tarragonreach/tarragonreach/entry/fleetview"
)

// The target fleet size, the bounds of one instance's control traffic and memory, the
// failures and restarts of the whole fleet, and the maintenance period of an instance.
const (
	targetInstances      = 6400
	targetPools          = 28
	targetZones          = 13
	targetBytesPerSecond = 2048
	targetMiB            = 32
	failuresPerDay       = 25
	restartsPerDay       = 740
	maintenancePeriod    = 7 * 7 * 24 * time.Hour
)

// syntheticFleet returns a fleet of the given size over the target's pools and zones,
// with demand for each pool and zone.
func syntheticFleet(instances int) (object.Document, []fleet.Instance, fakeDemand) {
	var document object.Document
	demand := make(fakeDemand)
	perPoolAndZone := float64(instances) / targetPools / targetZones
	percent := func(value int) *object.Amount { return &object.Amount{Value: value, Percent: true} }
	for p := range targetPools {
		name := fmt.Sprintf("pool-%02d", p)
		document.Pools = append(document.Pools, object.Pool{
			Name: name, Selector: fmt.Sprintf("group in (%d,%d),!spare", p, (p+1)%targetPools),
			Budget: object.Budget{MaxUnavailable: percent(10)}, MoveWeight: 10, BufferWeight: 1,
		})
		for z := range targetZones {
			demand[poolZone{name, zoneName(z)}] = 0.8 * perPoolAndZone
		}
	}
	document.MaintenancePlans = []object.MaintenancePlan{{
		Name: "patch", Period: object.Duration(maintenancePeriod), Duration: object.Duration(30 * time.Minute),
	}}
	list := make([]fleet.Instance, instances)
	for i := range list {
		index := i / targetZones
		list[i] = fleet.Instance{
			ID: fleet.InstanceID(fmt.Sprintf("i%05d", i)), Kind: fleet.KindWorker, Zone: zoneName(i % targetZones),
			Rack:   fmt.Sprintf("r%03d", index/4),
			Labels: label.Set{"group": fmt.Sprint(index % targetPools), "model": "m1"},
		}
	}
	return document, list, demand
}

func zoneName(z int) fleet.AvailabilityZone { return fleet.AvailabilityZone(fmt.Sprintf("z%02d", z)) }

// newReconciledControllers returns the controllers of all zones after one
// reconciliation each.
func newReconciledControllers(tb testing.TB, instances int) (*rig, []*Controller) {
	document, list, demand := syntheticFleet(instances)
	r := newRig(tb, document, list...)
	var controllers []*Controller
	for z := range targetZones {
		options := r.options(zoneName(z))
		options.Demand, options.Recorder = demand, nil
		controllers = append(controllers, New(options))
	}
	r.reconcileAll(controllers, 1)
	return r, controllers
}

func (r *rig) reconcileAll(controllers []*Controller, passes int) {
	for range passes {
		for _, c := range controllers {
			assert.NilError(r.t, c.Reconcile(context.Background(), r.term))
		}
		r.now = r.now.Add(ReconcileInterval)
	}
}

// simulateDay plays the target's daily failures and restarts for part of a day and
// returns the bytes that one zone's controller wrote per second and per write.
func (r *rig) simulateDay(controllers []*Controller, duration time.Duration) (perSecond, perWrite float64) {
	random := rand.New(rand.NewPCG(7, 7))
	written, writes := r.store.writtenBytes, r.store.writes
	const step = time.Minute
	returning := map[time.Time][]fleet.Instance{}
	eventShare := float64(len(r.platform.instances)) / targetInstances * float64(step) / float64(24*time.Hour)
	due := 0.0
	for range int(duration / step) {
		r.platform.instances = append(r.platform.instances, returning[r.now]...)
		for due += eventShare * (failuresPerDay + restartsPerDay); due >= 1; due-- {
			index := random.IntN(len(r.platform.instances))
			back := r.now.Add(time.Duration(2+random.IntN(10)) * step)
			returning[back] = append(returning[back], r.platform.instances[index])
			r.platform.remove(r.platform.instances[index].ID)
		}
		for _, c := range controllers {
			assert.NilError(r.t, c.Reconcile(context.Background(), r.term))
		}
		r.now = r.now.Add(step)
	}
	zones := float64(len(controllers))
	return float64(r.store.writtenBytes-written) / duration.Seconds() / zones,
		float64(r.store.writtenBytes-written) / float64(r.store.writes-writes)
}

// liveHeapBytes returns the heap bytes in use after a garbage collection.
func liveHeapBytes() float64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// BenchmarkFleetReconciliation measures one zone's controller at the target size, a
// third and a tenth of it: time of a reconciliation, memory, and bytes written.
func BenchmarkFleetReconciliation(b *testing.B) {
	for _, instances := range []int{targetInstances / 10, targetInstances / 3, targetInstances} {
		b.Run(fmt.Sprintf("instances=%d", instances), func(b *testing.B) {
			r, controllers := newReconciledControllers(b, instances)
			own := r.options(zoneName(0))
			own.Demand, own.View, own.Recorder = controllers[0].Demand, fleetview.New(), nil
			before := liveHeapBytes()
			c := New(own)
			assert.NilError(b, c.Reconcile(context.Background(), r.term))
			used := liveHeapBytes() - before
			const passes = 50
			start := time.Now()
			for range b.N * passes {
				assert.NilError(b, c.Reconcile(context.Background(), r.term))
			}
			perPass := time.Since(start) / time.Duration(b.N*passes)
			runtime.KeepAlive(c)
			perSecond, perWrite := r.simulateDay(controllers, 2*time.Hour)
			b.ReportMetric(float64(perPass.Microseconds())/1000, "ms/round")
			b.ReportMetric(100*perPass.Seconds()/ReconcileInterval.Seconds(), "%core")
			b.ReportMetric(used/(1<<20), "MiB")
			b.ReportMetric(perSecond, "B/s")
			b.ReportMetric(perWrite, "B/write")
		})
	}
}

// TestTargetFleetStaysWithinWriteAndMemoryBounds asserts the bounds at the target size
// that do not depend on the speed of the machine.
func TestTargetFleetStaysWithinWriteAndMemoryBounds(t *testing.T) {
	r, controllers := newReconciledControllers(t, targetInstances)
	before := liveHeapBytes()
	view := fleetview.New()
	_, err := view.Load(context.Background(), r.store)
	assert.NilError(t, err)
	used := liveHeapBytes() - before
	runtime.KeepAlive(view)
	assert.Assert(t, used < targetMiB<<20, "%.1f MiB", used/(1<<20))

	const failures = 10
	written, all := r.store.writtenBytes, r.platform.instances
	r.platform.instances = all[failures*targetZones:] // fails the first instances of each zone
	one := controllers[:1]
	r.reconcileAll(one, 1)
	r.now = r.now.Add(time.Minute)
	r.reconcileAll(one, 1)
	assert.Equal(t, r.countInState(fleet.StateFailed), failures)
	r.platform.instances = all
	r.reconcileAll(one, 2)
	assert.Equal(t, r.countInState(fleet.StateFailed), 0)
	const eventsPerSecond = (failuresPerDay + restartsPerDay) / float64(targetZones) / (24 * 60 * 60)
	bytesPerSecond := float64(r.store.writtenBytes-written) / failures * eventsPerSecond
	assert.Assert(t, bytesPerSecond < targetBytesPerSecond, "%.0f B/s", bytesPerSecond)
}
