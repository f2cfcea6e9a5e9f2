package shard

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/job"
)

// replayedTenant is a tenant that sends jobs at an even rate during the peak of a replay.
type replayedTenant struct {
	weight float64
	rate   float64 // jobs per second
}

// tenantsOf returns the configuration of the tenants.
func tenantsOf(list []replayedTenant) []cluster.Tenant {
	var tenants []cluster.Tenant
	for i, t := range list {
		tenants = append(tenants, cluster.Tenant{Name: tenantName(i), Weight: t.weight})
	}
	return tenants
}

// jobsOf returns the jobs of the tenants, each with the given number of one-second tasks in each of
// its steps. The seed decides when each tenant begins.
func jobsOf(list []replayedTenant, tasks, steps int, seed uint64) []replayedJob {
	random := rand.New(rand.NewPCG(seed, 1))
	var jobs []replayedJob
	for i, t := range list {
		gap := time.Duration(float64(time.Second) / t.rate)
		for at := time.Duration(random.Float64() * float64(gap)); at < peakDuration; at += gap {
			jobs = append(jobs, replayedJob{at: at, tenant: tenantName(i), steps: stepsOf(tasks, steps)})
		}
	}
	slices.SortStableFunc(jobs, func(x, y replayedJob) int { return cmp.Compare(x.at, y.at) })
	return jobs
}

func stepsOf(tasks, steps int) []job.Step {
	var list []job.Step
	for i := range steps {
		s := oneTask
		s.Count = tasks
		if i > 0 {
			s.After = []int{i - 1}
		}
		list = append(list, s)
	}
	return list
}

// inTime returns how many jobs of the tenants with these numbers were in time.
func (r *replay) inTime(tenants ...int) int {
	n := 0
	for _, i := range tenants {
		n += r.outcomes[tenantName(i)].inTime
	}
	return n
}

// surge is what a tenant sends in excess of its usual, as a factor.
const surge = 7

// checkSurge plays a peak of the given total rate, with and without a surge of the first tenant. The
// surge must not make a job of another tenant late, and its tenant keeps its share.
func checkSurge(t *testing.T, rate float64, seed uint64) {
	t.Helper()
	parts := []float64{0.25, 0.25, 0.2, 0.15, 0.15}
	var usual []replayedTenant
	for _, part := range parts {
		usual = append(usual, replayedTenant{weight: part * rate, rate: part * rate})
	}
	surging := slices.Clone(usual)
	surging[0].rate *= surge
	without := playJobs(t, replaySlots, jobsOf(usual, 1, 1, seed), tenantsOf(usual))
	with := playJobs(t, replaySlots, jobsOf(surging, 1, 1, seed), tenantsOf(usual))
	share := int(parts[0] * replaySlots * peakDuration.Seconds())
	t.Logf("%.0f jobs/s, seed %d: in time %d of others and %d of the tenant, with its surge %d and %d",
		rate, seed, without.inTime(1, 2, 3, 4), without.inTime(0), with.inTime(1, 2, 3, 4), with.inTime(0))
	assert.Assert(t, with.inTime(1, 2, 3, 4) >= without.inTime(1, 2, 3, 4))
	assert.Assert(t, with.inTime(0) >= min(share, without.inTime(0)))
}

// A tenant sends seven times its usual, in peaks of three quarters to one and a half times the
// capacity: without rates, its jobs would make most jobs of the others late.
func TestSurgeOfOneTenantMakesNoJobOfOthersLate(t *testing.T) {
	t.Parallel()
	for _, rate := range []float64{30, 36, 40, 44, 60} {
		for seed := range uint64(3) {
			checkSurge(t, rate, seed+1)
		}
	}
}

// As above, in a peak that exceeds the capacity by a quarter. The peak begins together with the surge.
func TestSurgeOfOneTenantInAPeakSlightlyBeyondTheCapacity(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		t.Run(fmt.Sprint(seed+1), func(t *testing.T) { checkSurge(t, 50, seed+1) })
	}
}

// As above, at one and a half times the capacity, under a seed of its own.
func TestSurgeOfOneTenantMakesNoJobOfOthersLateUnderSeed8(t *testing.T) {
	t.Parallel()
	checkSurge(t, 60, 8)
}

// checkFairness plays a peak of one and a half times the capacity, in which each tenant is within its
// rate and sends more than its share. The work done must be proportional to the weights within the work
// of one job, and the number of jobs in time at most 5% lower than in the order of deadlines.
func checkFairness(t *testing.T, list []replayedTenant, tasks, steps int, seed uint64) {
	t.Helper()
	slots := replaySlots * tasks * steps // for as many jobs, whatever their size
	jobs := jobsOf(list, tasks, steps, seed)
	byDeadline := playJobs(t, slots, jobs, nil)
	byShares := playJobs(t, slots, jobs, tenantsOf(list))
	var all []int
	var total, weights float64
	for i, x := range list {
		all = append(all, i)
		total += byShares.work[tenantName(i)].Seconds()
		weights += x.weight
	}
	jobWork := float64(tasks*steps) * replayTaskTime.Seconds()
	worst := 0.0
	for i, x := range list {
		deviation := byShares.work[tenantName(i)].Seconds() - total*x.weight/weights
		worst = max(worst, deviation/jobWork, -deviation/jobWork)
	}
	t.Logf("%d tenants, %dx%d tasks, seed %d: of %d jobs %d in time by shares, %d by deadline; work within %.2f jobs of the share",
		len(list), steps, tasks, seed, len(jobs), byShares.inTime(all...), byDeadline.inTime(all...), worst)
	assert.Assert(t, worst <= 1)
	assert.Assert(t, 100*byShares.inTime(all...) >= 95*byDeadline.inTime(all...))
}

// Fairness must not make everybody late, nor favor the same tenants whenever shares of whole jobs
// have to be rounded: few tenants, with jobs of one task up to two steps of four.
func TestSharesAreKeptThroughAPeak(t *testing.T) {
	t.Parallel()
	list := []replayedTenant{{10, 10}, {10, 7}, {20, 12}, {40, 31}}
	for _, shape := range []struct{ tasks, steps int }{{1, 1}, {4, 1}, {2, 2}, {4, 2}} {
		for seed := range uint64(3) {
			checkFairness(t, list, shape.tasks, shape.steps, seed+1)
		}
	}
}

// As above, with twenty tenants, of whom the smallest have half a slot each.
func TestSharesOfManyTenantsAreKeptThroughAPeak(t *testing.T) {
	t.Parallel()
	weights := []float64{1, 1, 1, 2, 2, 2, 3, 3, 3, 4, 4, 4, 5, 5, 6, 6, 7, 7, 8, 9}
	const sum = 83
	for seed := range uint64(3) {
		random := rand.New(rand.NewPCG(seed+1, 2))
		var list []replayedTenant
		for _, w := range weights {
			list = append(list, replayedTenant{w, w * replaySlots / sum * (1.15 + 0.7*random.Float64())})
		}
		checkFairness(t, list, 1, 1, seed+1)
	}
}

// A tenant whose weight is a thousandth of the others' has no share of a whole slot. Its jobs still
// complete before they are too late, and so does the one that is within the rate of a weight below 1.
func TestTinyWeightIsNotStarved(t *testing.T) {
	t.Parallel()
	for _, weight := range []float64{1, 0.01} {
		list := []replayedTenant{{1000, 30}, {1000, 30}, {weight, weight}}
		jobs := jobsOf(list[:2], 1, 1, 1)
		tiny := replayedJob{tenant: tenantName(2), steps: stepsOf(1, 1)}
		for tiny.at = 3 * time.Second; tiny.at < peakDuration; tiny.at += max(time.Second, time.Duration(float64(time.Second)/weight)) {
			jobs = append(jobs, tiny)
		}
		slices.SortStableFunc(jobs, func(x, y replayedJob) int { return cmp.Compare(x.at, y.at) })
		r := playJobs(t, replaySlots, jobs, tenantsOf(list))
		t.Logf("weight %v: %+v", weight, *r.outcomes[tenantName(2)])
		assert.Equal(t, r.outcomes[tenantName(2)].tooLate, 0)
		assert.Assert(t, r.inTime(2) >= 1)
	}
}
