package gateway

import (
	"sync"
	"sync/atomic"
)

// tenantCounters counts the requests in progress of each tenant with a limit. Only
// configured tenants are counted, so the map stays small.
type tenantCounters struct{ byName sync.Map }

// acquire counts a request as in progress and returns true, or returns false if the
// tenant is at its limit. A limit of zero means none.
func (c *tenantCounters) acquire(tenant string, limit int) bool {
	if limit <= 0 {
		return true
	}
	count := c.count(tenant)
	if count.Add(1) > int64(limit) {
		count.Add(-1)
		return false
	}
	return true
}

// release records the end of a request for which acquire returned true; limit is as in
// acquire.
func (c *tenantCounters) release(tenant string, limit int) {
	if limit > 0 {
		c.count(tenant).Add(-1)
	}
}

func (c *tenantCounters) count(tenant string) *atomic.Int64 {
	if existing, ok := c.byName.Load(tenant); ok {
		return existing.(*atomic.Int64)
	}
	created, _ := c.byName.LoadOrStore(tenant, new(atomic.Int64))
	return created.(*atomic.Int64)
}
