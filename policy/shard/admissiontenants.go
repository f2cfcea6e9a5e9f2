package shard

import (
	"time"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/job"
)

const (
	// excessDelay is how long work within the rates must have waited for capacity before excess
	// jobs are rejected, and excessHold is how long they are rejected after it has not.
	excessDelay = 200 * time.Millisecond
	excessHold  = 200 * time.Millisecond
	// excessMargin is by which factor a tenant must exceed its rate to have jobs rejected.
	excessMargin = 1.1
)

// addLimits adds the tenants whose new jobs would wait for their own limit beyond their slack.
func (e *estimate) addLimits(a *Admission) {
	ahead := map[cluster.TenantName][]*aheadJob{}
	for _, j := range e.jobs {
		if _, limited := e.shard.tenantLimit(j.tenant); limited {
			ahead[j.tenant] = append(ahead[j.tenant], j)
		}
	}
	list := map[cluster.TenantName]time.Duration{}
	for tenant, jobs := range ahead {
		wait := e.limitWait(tenant, jobs)
		threshold := jobs[len(jobs)-1].slack
		if _, rejected := e.shard.admission.published.LimitMs[tenant]; rejected {
			threshold -= admissionHysteresis
		}
		if wait > max(0, threshold) {
			list[tenant] = wait
		}
	}
	for _, tenant := range longest(list, maxAdmissionTenants) {
		if a.LimitMs == nil {
			a.LimitMs = map[cluster.TenantName]int64{}
		}
		a.LimitMs[tenant] = list[tenant].Milliseconds()
	}
}

// limitWait returns the expected wait of a new job of a tenant for its limit: the work of the
// tenant's jobs that has not started, divided by what the tenant may use. It is zero while the
// tasks that could start now fit.
func (e *estimate) limitWait(tenant cluster.TenantName, jobs []*aheadJob) time.Duration {
	usable, _ := e.shard.tenantLimit(tenant)
	free := usable.Sub(e.shard.usedBy(tenant))
	var wait float64 // seconds
	for _, resource := range []func(job.Resources) int64{
		func(r job.Resources) int64 { return r.MilliCPU },
		func(r job.Resources) int64 { return r.MemoryMB },
		func(r job.Resources) int64 { return r.GPU },
	} {
		if resource(usable) <= 0 {
			continue
		}
		ready, work := int64(0), 0.0
		for _, j := range jobs {
			for _, st := range j.steps {
				ready += int64(st.waiting) * resource(st.need)
				waiting := st.waiting
				if st.blockers > 0 {
					waiting = st.left
				}
				work += float64(waiting) * float64(resource(st.need)) * st.duration.Seconds()
			}
		}
		if ready > resource(free) {
			wait = max(wait, work/float64(resource(usable)))
		}
	}
	return min(waitHorizon, time.Duration(wait*float64(time.Second)))
}

// addExcess adds the tenants that send more than their rates while work within the rates waits
// for capacity.
func (e *estimate) addExcess(a *Admission) {
	st := &e.shard.admission
	if !st.saturatedAt.IsZero() && e.now.Sub(st.saturatedAt) >= excessDelay {
		st.excessUntil = e.now.Add(excessHold)
	}
	if !e.now.Before(st.excessUntil) {
		return
	}
	beyond := map[cluster.TenantName]time.Duration{} // tenants by how far they are beyond their rates
	shares := map[cluster.TenantName]int{}
	for name, u := range st.rates {
		t, known := e.shard.tenants[name]
		if !known {
			continue
		}
		u.advance(e.now)
		last, rejected := st.published.Excess[name]
		if !rejected {
			last = 100
		}
		offered := u.rate * 100 / float64(max(1, last))
		if offered <= excessMargin*t.Weight || !rejected && !e.shard.burstUsed(name, e.now) {
			continue
		}
		shares[name] = min(100, int(100*t.Weight/offered))
		beyond[name] = time.Duration(offered / t.Weight * float64(time.Second))
	}
	for _, name := range longest(beyond, maxAdmissionTenants) {
		if a.Excess == nil {
			a.Excess = map[cluster.TenantName]int{}
		}
		a.Excess[name] = shares[name]
	}
}
