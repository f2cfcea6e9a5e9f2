package main

import (
	"fmt"
	"time"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/api/label"
	"github.com/tarragonreach/tarragonreach/policy/capacity"
	"github.com/tarragonreach/tarragonreach/policy/placement"
)

const (
	zoneToday         = 25  // instances of one availability zone
	zoneTarget        = 239 // 3,100 over 13 availability zones, rounded up
	tasksPerWorker    = 4
	runningPerPending = 10 // number of running tasks for each pending one
	microsPerMilli    = 1000
)

// planMeasurement measures the time to make the capacity plan of one availability zone.
func planMeasurement() measurement {
	return measurement{
		sizes: []int{25, 60, 120, 240, 480},
		series: []Series{{
			Name: "plan-round", Role: "fleet duty", Unit: "ms/round", Per: "instances of the zone",
			Today: zoneToday, Target: zoneTarget,
		}},
		measure: func(size int) ([]float64, error) {
			needs, list := planInput(size)
			took := fastest(func() { capacity.MakePlan(needs, list) })
			return []float64{took / microsPerMilli}, nil
		},
	}
}

func planInput(size int) ([]capacity.Pool, []capacity.Instance) {
	var needs []capacity.Pool
	for i := range pools {
		needs = append(needs, capacity.Pool{
			Name:       fmt.Sprintf("pool-%02d", i),
			Need:       max(1, size/pools+i%3-1),
			MoveWeight: 5, BufferWeight: 1,
		})
	}
	var list []capacity.Instance
	for i := range size {
		list = append(list, capacity.Instance{
			ID:       fleet.InstanceID(fmt.Sprintf("worker-%05d", i)),
			Pool:     fmt.Sprintf("pool-%02d", i%pools),
			Eligible: []string{fmt.Sprintf("pool-%02d", i%pools), fmt.Sprintf("pool-%02d", (i+1)%pools), fmt.Sprintf("pool-%02d", (i+7)%pools)},
		})
	}
	return needs, list
}

// placementMeasurement measures the time to place pending tasks on the workers of one
// availability zone.
func placementMeasurement() measurement {
	return measurement{
		sizes: []int{25, 60, 120, 240, 480},
		series: []Series{{
			Name: "placement-round", Role: "placement duty", Unit: "ms/round", Per: "workers of the zone",
			Today: zoneToday, Target: zoneTarget,
		}},
		measure: func(size int) ([]float64, error) {
			snapshot := placementInput(size)
			took := fastest(func() { placement.Decide(snapshot) })
			return []float64{took / microsPerMilli}, nil
		},
	}
}

func placementInput(size int) placement.Snapshot {
	now := time.Unix(1_700_000_000, 0)
	s := placement.Snapshot{Now: now}
	for i := range tenants {
		s.Tenants = append(s.Tenants, placement.Tenant{Name: fmt.Sprintf("team-%03d", i), Quota: fleet.Resources{MilliCPU: 640_000, MemoryMiB: 1 << 22}})
	}
	need := fleet.Resources{MilliCPU: 4000, MemoryMiB: 8192}
	for i := range size {
		s.Workers = append(s.Workers, workerAt(i, now, need))
	}
	for i := range size * tasksPerWorker / runningPerPending {
		s.Pending = append(s.Pending, placement.Pending{
			Job: fmt.Sprintf("job-%05d", i), Tenant: fmt.Sprintf("team-%03d", i%tenants), Need: need, Since: now,
		})
	}
	return s
}

func workerAt(i int, now time.Time, need fleet.Resources) placement.Worker {
	w := placement.Worker{
		ID: fleet.InstanceID(fmt.Sprintf("worker-%05d", i)), Zone: "zone-00", Rack: fmt.Sprintf("rack-%04d", i/rackSize),
		Labels: label.Set{"kind": "cpu"}, Capacity: fleet.Resources{MilliCPU: 20_000, MemoryMiB: 65_536}, Trust: 1,
	}
	for t := range tasksPerWorker {
		w.Tasks = append(w.Tasks, placement.Task{
			ID: fleet.TaskID(fmt.Sprintf("task-%05d-%d", i, t)), Job: fmt.Sprintf("job-%05d", i),
			Tenant: fmt.Sprintf("team-%03d", i%tenants), Need: need, Checkpointed: now, Remaining: time.Hour,
		})
	}
	return w
}
