package shard

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/job"
)

// rateTest adds jobs of tenant t0000 to a shard, as its owner does.
type rateTest struct {
	*harness
	added     int
	contactAt time.Time
}

func newRateTest(weight float64) *rateTest {
	r := &rateTest{harness: &harness{shard: New(testLimits, 7), now: time.Unix(1000, 0)}}
	r.shard.SetTenants([]cluster.Tenant{{Name: tenantName(0), Weight: weight}})
	r.contactAt = r.now
	return r
}

// contact moves the time by d, and lets the store deliver jobs whose times of acceptance differ from the
// present by the given durations.
func (r *rateTest) contact(d time.Duration, accepted ...time.Duration) {
	r.now = r.now.Add(d)
	r.shard.NoteContact(r.contactAt, r.now)
	r.contactAt = r.now
	for _, after := range accepted {
		r.add(r.now.Add(after), oneTask)
	}
	r.shard.decideExcess(r.now)
}

func (r *rateTest) add(accepted time.Time, steps ...job.Step) job.ID {
	r.added++
	id := testID(r.added)
	r.shard.AddJob(Record{ID: id, Tenant: tenantName(0), Accepted: accepted, Definition: job.Definition{Steps: steps}}, nil, r.now)
	return id
}

func (r *rateTest) excess() int { return len(excessOf(r.shard)) }

// excessOf returns the excess jobs, by ID.
func excessOf(s *Shard) []job.ID {
	var list []job.ID
	for id, j := range s.jobs {
		if j.excess {
			list = append(list, id)
		}
	}
	slices.Sort(list)
	return list
}

// A bucket holds the jobs of one second, but at least one job, and a tenant at its rate is never
// beyond it.
func TestRateOfATenant(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		weight float64
		burst  int
	}{{5, 5}, {0.25, 1}, {2.5, 2}} {
		r := newRateTest(c.weight)
		r.contact(0, make([]time.Duration, c.burst+3)...)
		assert.Equal(t, r.excess(), 3)
		for range 100 {
			r.contact(time.Duration(float64(time.Second)/c.weight), 0)
		}
		assert.Equal(t, r.excess(), 3)
	}
}

// The clocks of the instances differ by up to five seconds, and jobs arrive out of order: a tenant at
// half its rate must not have excess jobs by that, and one far beyond it must not get more than its
// rate by the owner's clock.
func TestRateDespiteClocksThatDiffer(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		weight := rapid.Float64Range(0.2, 20).Draw(t, "weight")
		factor := rapid.SampledFrom([]float64{0.5, 7}).Draw(t, "factor")
		r := newRateTest(weight)
		begin, sent := r.now, 0.0
		const contact = 50 * time.Millisecond
		for range 400 {
			var accepted []time.Duration
			for sent += factor * weight * contact.Seconds(); sent >= 1; sent-- {
				skew := rapid.IntRange(-5000, 5000).Draw(t, "skew")
				accepted = append(accepted, time.Duration(skew)*time.Millisecond)
			}
			r.contact(contact, accepted...)
		}
		if factor < 1 {
			assert.Equal(t, r.excess(), 0)
			return
		}
		admitted := float64(r.added - r.excess())
		assert.Assert(t, admitted <= max(1, weight)+weight*r.now.Sub(begin).Seconds()+1, "%v admitted", admitted)
	})
}

// A job with a time of acceptance in the far future or past neither refills a bucket beyond its
// burst nor keeps later jobs out, also at a takeover.
func TestRateDespiteAWrongTime(t *testing.T) {
	t.Parallel()
	for _, wrong := range []time.Duration{-1000 * time.Hour, 1000 * time.Hour} {
		for _, takeover := range []bool{false, true} {
			r := newRateTest(2)
			if takeover {
				r.add(r.now.Add(wrong), oneTask)
				r.add(r.now, oneTask)
				r.contact(0)
			} else {
				r.contact(time.Second, 0, 0)
				r.contact(0, wrong)
				assert.Equal(t, r.excess(), 1)
			}
			before := r.excess()
			r.contact(time.Second, 0)
			assert.Equal(t, r.excess(), before) // the second has refilled it
			r.contact(0, 0, 0, 0)
			assert.Equal(t, r.excess(), before+2)
		}
	}
}

// Only short jobs of a configured tenant have a rate, and a change of its weight applies to later jobs.
func TestJobsWithoutARate(t *testing.T) {
	t.Parallel()
	r := newRateTest(0.001)
	r.contact(0, 0)
	longRunning := oneTask
	longRunning.LongRunning = true
	r.add(r.now, longRunning)
	r.shard.AddJob(Record{ID: "aa", Tenant: tenantName(0), Accepted: r.now, Definition: job.Definition{
		Steps: []job.Step{oneTask}, Schedule: job.Schedule{Count: 2, First: r.now, Interval: time.Hour},
	}}, nil, r.now)
	for _, tenant := range []cluster.TenantName{"", "removed"} {
		r.shard.AddJob(Record{ID: job.ID("b" + tenant), Tenant: tenant, Accepted: r.now, Definition: job.Definition{Steps: []job.Step{oneTask}}}, nil, r.now)
	}
	r.contact(0)
	assert.Equal(t, r.excess(), 0)
	r.contact(0, 0)
	assert.Equal(t, r.excess(), 1)
	r.shard.SetTenants([]cluster.Tenant{{Name: tenantName(0), Weight: 5}})
	r.contact(time.Second, 0)
	assert.Equal(t, r.excess(), 1)
	r.shard.SetTenants(nil)
	r.contact(0, make([]time.Duration, 9)...)
	assert.Equal(t, r.excess(), 1)
}

// A successor reads the jobs that are not final in any order, before it knows the tenants. If none has
// ended it decides as its predecessor did. Otherwise it counts as many jobs within the rate, or more.
func TestExcessIsDecidedAlikeAtATakeover(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		weight := rapid.Float64Range(0.3, 10).Draw(t, "weight")
		r := newRateTest(weight)
		for range rapid.IntRange(1, 60).Draw(t, "contacts") {
			gap := time.Duration(rapid.IntRange(1, 400).Draw(t, "gap")) * time.Millisecond
			var accepted []time.Duration
			for range rapid.IntRange(0, 4).Draw(t, "jobs") {
				accepted = append(accepted, -time.Duration(rapid.Int64Range(0, int64(gap)-1).Draw(t, "before")))
			}
			r.contact(gap, accepted...)
		}
		ended := rapid.Bool().Draw(t, "some have ended")
		next := newRateTest(weight)
		next.shard.SetTenants(nil)
		next.now = r.now.Add(time.Duration(rapid.IntRange(-5000, 5000).Draw(t, "clock")) * time.Millisecond)
		ids := r.jobIDs()
		rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "order"), 1)).Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
		for _, id := range ids {
			if !ended || rapid.Bool().Draw(t, "kept") {
				next.shard.AddJob(r.shard.jobs[id].Record, nil, next.now)
			}
		}
		next.shard.SetTenants([]cluster.Tenant{{Name: tenantName(0), Weight: weight}})
		next.shard.Batch(next.now, 29)
		if !ended {
			assert.DeepEqual(t, excessOf(next.shard), excessOf(r.shard))
		}
		more := 0 // within the rate than for the predecessor
		for _, j := range slices.SortedFunc(maps.Values(next.shard.jobs), compareAcceptance) {
			if !j.excess {
				more++
			}
			if !r.shard.jobs[j.ID].excess {
				more--
			}
			assert.Assert(t, more >= 0, "%s", j.ID)
		}
	})
}

func (r *rateTest) jobIDs() []job.ID {
	var ids []job.ID
	for i := range r.added {
		ids = append(ids, testID(i+1))
	}
	return ids
}

// A peak of a queue lasts several seconds: with the burst of one second, most jobs of tenants that send
// no more than their part of a peak would count as excess.
func TestBurstCoversTheWindowOfTheOperator(t *testing.T) {
	t.Parallel()
	assert.Equal(t, RateAllowance{}.burst(2), 2.0)
	assert.Equal(t, RateAllowance{}.burst(0.2), 1.0)
	assert.Equal(t, RateAllowance{Window: 5 * time.Second, Overage: 0.1, Jobs: 20}.burst(2), 31.0)
}
