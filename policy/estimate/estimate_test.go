package estimate

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	_ "github.com/tarragonreach/tarragonreach/api/rapidseed"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func sample(job string, used int64, at int) Sample {
	return Sample{
		Key:      JobKey{"terreni", job},
		Declared: fleet.Resources{MilliCPU: 1000, MemoryMiB: 1000},
		Used:     fleet.Resources{MilliCPU: used, MemoryMiB: used},
		At:       start.Add(time.Duration(at) * time.Second),
	}
}

func TestEstimateGoesFromDeclarationToTenantToJob(t *testing.T) {
	e := New(100)
	declared := fleet.Resources{MilliCPU: 1000, MemoryMiB: 1000, Accelerators: 1}
	key := JobKey{"terreni", "parcels"}
	assert.Equal(t, e.Estimate(key, declared).Source, SourceDeclared)
	for i := range minTenantSamples {
		e.Observe(sample("herds", 300, i))
	}
	need := e.Estimate(key, declared)
	assert.Equal(t, need.Source, SourceTenant)
	assert.Assert(t, need.Resources.MilliCPU < 400, "%v", need)
	for i := range minJobSamples {
		e.Observe(sample("parcels", 1800, i))
	}
	need = e.Estimate(key, declared)
	assert.Equal(t, need.Source, SourceJob)
	assert.Assert(t, need.Resources.MilliCPU >= 1800 && need.Resources.MemoryMiB > 1800, "%v", need)
	assert.Equal(t, need.Resources.Accelerators, int64(1))
}

func TestUnreportedFailureRaisesMemoryUpToTheLimit(t *testing.T) {
	e := New(100)
	key := JobKey{"terreni", "parcels"}
	declared, limit := fleet.Resources{MilliCPU: 1000, MemoryMiB: 1000}, fleet.Resources{MemoryMiB: 2000}
	e.ObserveFailure(key, declared, limit, start)
	raised := e.Estimate(key, declared).Resources.MemoryMiB
	assert.Assert(t, raised >= 1500 && raised <= 1510, "%d", raised)
	for range 5 {
		e.ObserveFailure(key, declared, limit, start)
	}
	assert.Assert(t, e.Estimate(key, declared).Resources.MemoryMiB <= 2001)
}

func TestNumberOfJobsIsBounded(t *testing.T) {
	e := New(2)
	for i, job := range []string{"a", "b", "c"} {
		e.Observe(sample(job, 100, i))
	}
	assert.Equal(t, len(e.jobs), 2)
	_, kept := e.jobs[JobKey{"terreni", "a"}]
	assert.Assert(t, !kept)
}

func TestEstimateStaysWithinObservedRange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		used := rapid.SliceOfN(rapid.Int64Range(1, 10_000), minJobSamples, 50).Draw(t, "used")
		e := New(10)
		low, high := used[0], used[0]
		for i, u := range used {
			e.Observe(sample("parcels", u, i))
			low, high = min(low, u), max(high, u)
		}
		got := e.Estimate(JobKey{"terreni", "parcels"}, fleet.Resources{}).Resources.MilliCPU
		assert.Assert(t, got >= low && got <= high+1)
	})
}
