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

// tenantRates holds how many jobs each tenant sends.
type tenantRates map[cluster.TenantName]*tenantRate

type tenantRate struct {
	at   time.Time
	rate float64 // accepted jobs a second, smoothed over rateTime
}

// rateTime is the time over which the rates of tenants are smoothed.
const rateTime = 1 * time.Second

// noteArrival records an accepted job of which decideExcess has decided, unless it was accepted long
// ago by an earlier owner's time.
func (s *Shard) noteArrival(j *jobState, now time.Time) {
	if !s.admission.enabled || j.isLongRunning() || now.Sub(j.Accepted) > rateTime {
		return
	}
	s.noteTenantArrival(j, now)
	if !j.excess {
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

// noteTenantArrival counts the job for the rate that its tenant sends.
func (s *Shard) noteTenantArrival(j *jobState, now time.Time) {
	if _, known := s.tenants[j.Tenant]; !known {
		return
	}
	if s.admission.rates == nil {
		s.admission.rates = tenantRates{}
	}
	u := s.admission.rates[j.Tenant]
	if u == nil {
		u = &tenantRate{at: now}
		s.admission.rates[j.Tenant] = u
	}
	u.advance(now)
	u.rate += 1 / rateTime.Seconds()
}

// advance lets the time since the last change pass.
func (u *tenantRate) advance(now time.Time) {
	passed := max(0, now.Sub(u.at).Seconds())
	u.at = now
	u.rate *= max(0, 1-passed/rateTime.Seconds())
}

// tenantLimit returns the tenant's limit for all services together, and whether it has one. The wait
// computed from it is a lower bound, since other services may use part of the limit.
func (s *Shard) tenantLimit(tenant cluster.TenantName) (job.Resources, bool) {
	limit := s.tenants[tenant].Limit
	return limit, limit != job.Resources{}
}
