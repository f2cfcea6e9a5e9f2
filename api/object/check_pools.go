package object

import (
	"math"
	"slices"

	"github.com/tarragonreach/tarragonreach/api/label"
)

// checkedPool is a pool with a valid selector.
type checkedPool struct {
	key      Key
	text     string
	selector label.Selector
}

func (c *checker) checkPools() {
	var parsed []checkedPool
	for _, name := range names(c.config.Pools) {
		key, pool := Key{KindPool, name}, c.config.Pools[name].Spec
		c.checkPool(key, pool)
		selector, ok := c.checkSelector(key, pool.Selector)
		if !ok {
			continue
		}
		if c.inScope(key) {
			matched := c.matching(pool.Selector, selector, "")
			c.warnNoMatch(key, matched)
			c.warnTooFewInstances(key, pool, len(matched))
		}
		parsed = append(parsed, checkedPool{key, pool.Selector, selector})
	}
	for i, pool := range parsed {
		for _, other := range parsed[i+1:] {
			if c.inScope(pool.key) || c.inScope(other.key) {
				c.warnOverlap(pool, other)
			}
		}
	}
}

func (c *checker) checkPool(key Key, p Pool) {
	c.checkName(key)
	c.checkAtLeast(key, "min", int64(p.Min), 0)
	c.checkAtLeast(key, "max", int64(p.Max), 0)
	if p.Max > 0 && p.Min > p.Max {
		c.fault(key, "min", "is %d, above max %d", p.Min, p.Max)
	}
	c.checkWeight(key, "moveWeight", p.MoveWeight)
	c.checkWeight(key, "bufferWeight", p.BufferWeight)
	c.checkBudget(key, "budget", p.Budget, p.Max)
	c.checkBudget(key, "zoneBudget", p.ZoneBudget, p.Max)
	if !slices.Contains([]string{"", FailureDomainRack, FailureDomainZone}, p.FailureDomain) {
		c.fault(key, "failureDomain", "is %q, want %q or %q", p.FailureDomain, FailureDomainRack, FailureDomainZone)
	}
}

func (c *checker) checkWeight(key Key, field string, weight float64) {
	if weight < 0 || math.IsNaN(weight) || math.IsInf(weight, 0) {
		c.fault(key, field, "is %v, want a number of at least zero", weight)
	}
}

// checkBudget reports a fault for a budget that can never be met, and a warning for one
// that never allows a disruption.
func (c *checker) checkBudget(key Key, field string, b Budget, maxSize int) {
	if b.MinHealthy != nil && b.MaxUnavailable != nil {
		c.fault(key, field, "sets minHealthy and maxUnavailable, want one of them")
		return
	}
	if b.MaxUnavailable != nil && b.MaxUnavailable.Value == 0 {
		c.warn(key, field+".maxUnavailable", "is 0, so no instance may ever be drained or maintained")
	}
	if b.MinHealthy == nil {
		return
	}
	minHealthy := *b.MinHealthy
	switch {
	case minHealthy.Percent && minHealthy.Value == MaxPercent:
		c.warn(key, field+".minHealthy", "is 100%%, so no instance may ever be drained or maintained")
	case !minHealthy.Percent && maxSize > 0 && minHealthy.Value > maxSize:
		c.fault(key, field+".minHealthy", "is %d, but the pool never has more than %d instances", minHealthy.Value, maxSize)
	}
}

// warnTooFewInstances warns of a pool that requires more instances than match its
// selector.
func (c *checker) warnTooFewInstances(key Key, p Pool, matched int) {
	if len(c.instances) == 0 || matched == 0 {
		return
	}
	if p.Min > matched {
		c.warn(key, "min", "is %d, but only %d instances match the selector", p.Min, matched)
	}
	if minHealthy := p.Budget.MinHealthy; minHealthy != nil && !minHealthy.Percent && minHealthy.Value > matched {
		c.warn(key, "budget.minHealthy", "is %d, but only %d instances match the selector", minHealthy.Value, matched)
	}
}

// warnOverlap warns of two pools whose selectors match the same instance. This is not a
// fault, since moves between pools need it; the fleet record keeps each instance in at
// most one pool.
func (c *checker) warnOverlap(pool, other checkedPool) {
	if !label.Overlap(pool.selector, other.selector) {
		return
	}
	shared := 0
	example := ""
	for _, instance := range c.matching(pool.text, pool.selector, "") {
		if other.selector.Matches(instance.Labels) {
			shared++
			if example == "" {
				example = string(instance.ID)
			}
		}
	}
	switch {
	case shared > 0:
		c.warn(pool.key, "selector", "matches %d instances that %s also matches, such as %s", shared, other.key, example)
	case len(c.instances) == 0:
		c.warn(pool.key, "selector", "can match instances that %s also matches", other.key)
	}
}
