package object

import (
	"slices"

	"github.com/tarragonreach/tarragonreach/api/fleet"
)

func (c *checker) checkMaintenancePlans() {
	planned := map[string]Key{}
	for _, name := range names(c.config.MaintenancePlans) {
		key, plan := Key{KindMaintenancePlan, name}, c.config.MaintenancePlans[name].Spec
		c.checkMaintenancePlan(key, plan)
		pools := plan.Pools
		if len(pools) == 0 {
			pools = names(c.config.Pools)
		}
		for _, pool := range pools {
			if other, ok := planned[pool]; ok && other != key {
				c.warn(key, "pools", "maintains %s, which %s maintains too", Key{KindPool, pool}, other)
			}
			planned[pool] = key
		}
	}
}

func (c *checker) checkMaintenancePlan(key Key, p MaintenancePlan) {
	c.checkName(key)
	c.checkDuration(key, "period", p.Period)
	c.checkDuration(key, "duration", p.Duration)
	if p.Period > 0 && p.Duration > p.Period {
		c.fault(key, "duration", "is longer than the period")
	}
	c.checkAtLeast(key, "maxParallel", int64(p.MaxParallel), 0)
	for _, pool := range p.Pools {
		checkReference(c, key, "pools", KindPool, pool, c.config.Pools)
	}
}

func (c *checker) checkJobs() {
	for _, name := range names(c.config.Jobs) {
		c.checkJob(Key{KindJob, name}, c.config.Jobs[name].Spec)
	}
}

func (c *checker) checkJob(key Key, j Job) {
	c.checkName(key)
	c.checkAtLeast(key, "tasks", int64(j.Tasks), 1)
	c.checkAtLeast(key, "runTime", int64(j.RunTime), 0)
	c.checkResources(key, "declared", j.Declared)
	checkReference(c, key, "tenant", KindTenant, j.Tenant, c.config.Tenants)
	checkReference(c, key, "class", KindClass, j.Class, c.config.Classes)
	selector, ok := c.checkSelector(key, j.Selector)
	if !ok || !c.inScope(key) {
		return
	}
	workers := c.matching(j.Selector, selector, fleet.KindWorker)
	c.warnNoMatch(key, workers)
	fits := func(worker fleet.Instance) bool { return j.Declared.Fits(worker.Capacity) }
	if len(workers) > 0 && !slices.ContainsFunc(workers, fits) {
		c.warn(key, "declared", "fits none of the %d workers that match the selector", len(workers))
	}
}
