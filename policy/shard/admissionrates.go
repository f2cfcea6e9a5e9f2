package shard

import (
	"slices"
	"time"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/job"
)

// workWindow sums up work over the last windowBuckets × windowBucket.
type workWindow struct {
	buckets [windowBuckets]workSum
}

type workSum struct {
	number   int64 // of the bucket, in windowBucket since 1970
	count    int64
	expected float64 // core-milliseconds by the estimates
	actual   float64 // core-milliseconds as observed
}

const (
	windowBucket  = 100 * time.Millisecond
	windowBuckets = 20
)

func bucketOf(now time.Time) int64 { return now.UnixNano() / int64(windowBucket) }

func (w *workWindow) add(now time.Time, cpu int64, expected, actual time.Duration) {
	number := bucketOf(now)
	b := &w.buckets[number%windowBuckets]
	if b.number != number {
		*b = workSum{number: number}
	}
	b.count++
	b.expected += coreMilliseconds(cpu, expected)
	b.actual += coreMilliseconds(cpu, actual)
}

// sum returns the sums of the given time up to now.
func (w *workWindow) sum(now time.Time, over time.Duration) workSum {
	var total workSum
	last := bucketOf(now)
	for _, b := range w.buckets {
		if b.number > last-int64(over/windowBucket) && b.number <= last {
			total.count += b.count
			total.expected += b.expected
			total.actual += b.actual
		}
	}
	return total
}

func coreMilliseconds(cpu int64, d time.Duration) float64 {
	return float64(cpu) / 1000 * float64(d) / float64(time.Millisecond)
}

// tenantRates tells which jobs are beyond the rates of their tenants, by a token bucket for each
// tenant, and how many jobs each tenant sends.
type tenantRates struct {
	tenants map[cluster.TenantName]*tenantRate
	excess  map[job.ID]bool
}

type tenantRate struct {
	tokens float64
	at     time.Time
	rate   float64 // accepted jobs a second, smoothed over rateTime
}

// rateTime is the time over which the rates of tenants are smoothed.
const rateTime = 1 * time.Second

// noteArrival records an accepted job, unless it was accepted long ago by an earlier owner's time.
func (s *Shard) noteArrival(j *jobState, now time.Time) {
	if !s.admission.enabled || j.isLongRunning() || now.Sub(j.Accepted) > rateTime {
		return
	}
	s.noteTenantArrival(j, now)
	if !s.isExcess(j) {
		s.admission.recent.add(j, now)
	}
}

const (
	// recentTime is how long arrivals are remembered, and maxRecent how many at most.
	recentTime = 4 * time.Second
	maxRecent  = 256
)

// recentJobs are the jobs within the rates that arrived in the last recentTime, by arrival.
type recentJobs []recentJob

type recentJob struct {
	*jobState
	at time.Time
}

func (r *recentJobs) add(j *jobState, now time.Time) {
	r.forget(now)
	*r = append(*r, recentJob{j, now})
}

// forget removes the jobs that arrived too long ago.
func (r *recentJobs) forget(now time.Time) {
	old := 0
	for old < len(*r) && (now.Sub((*r)[old].at) > recentTime || len(*r)-old >= maxRecent) {
		old++
	}
	*r = slices.Delete(*r, 0, old)
}

// busiest returns the jobs of the time of the given length in which the most work arrived.
func (r recentJobs) busiest(length time.Duration) []recentJob {
	first, begin, end := 0, 0, 0
	var work, most int64
	for i, j := range r {
		work += workOf(j.Record)
		for j.at.Sub(r[first].at) >= length {
			work -= workOf(r[first].Record)
			first++
		}
		if work > most {
			begin, end, most = first, i+1, work
		}
	}
	return r[begin:end]
}

// noteTenantArrival takes a token of the job's tenant, and records the job as excess if there was none.
func (s *Shard) noteTenantArrival(j *jobState, now time.Time) {
	t, known := s.tenants[j.Tenant]
	if !known {
		return
	}
	r := &s.admission.rates
	if r.tenants == nil {
		r.tenants, r.excess = map[cluster.TenantName]*tenantRate{}, map[job.ID]bool{}
	}
	u := r.tenants[j.Tenant]
	if u == nil {
		u = &tenantRate{tokens: max(1, t.Weight), at: now}
		r.tenants[j.Tenant] = u
	}
	u.advance(t.Weight, now)
	u.rate += 1 / rateTime.Seconds()
	if u.tokens < 1 {
		r.excess[j.ID] = true
		return
	}
	u.tokens--
}

// advance lets the time since the last change pass.
func (u *tenantRate) advance(weight float64, now time.Time) {
	passed := max(0, now.Sub(u.at).Seconds())
	u.at = now
	u.tokens = min(max(1, weight), u.tokens+passed*weight)
	u.rate *= max(0, 1-passed/rateTime.Seconds())
}

// isExcess reports whether the job is beyond the rate of its tenant.
func (s *Shard) isExcess(j *jobState) bool { return s.admission.rates.excess[j.ID] }

// forgetFinal removes the jobs that are final from the excess jobs.
func (s *Shard) forgetFinal() {
	for id := range s.admission.rates.excess {
		if s.jobs[id] == nil {
			delete(s.admission.rates.excess, id)
		}
	}
}

// usableLimit returns what a tenant may use in this service, and whether it is limited.
func (s *Shard) usableLimit(tenant cluster.TenantName) (job.Resources, bool) {
	limit := s.tenants[tenant].Limit
	return limit, limit != job.Resources{}
}
