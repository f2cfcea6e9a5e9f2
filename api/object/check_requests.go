package object

import (
	"strings"

	"github.com/tarragonreach/tarragonreach/api/fleet"
)

func (c *checker) checkServices() {
	for _, name := range names(c.config.Services) {
		c.checkService(Key{KindService, name}, c.config.Services[name].Spec)
	}
}

func (c *checker) checkService(key Key, s Service) {
	c.checkName(key)
	c.checkAtLeast(key, "slots", int64(s.Slots), 1)
	c.checkAtLeast(key, "connections", int64(s.Connections), 1)
	c.checkAtLeast(key, "queueLimit", int64(s.QueueLimit), 0)
	c.checkAtLeast(key, "maxBodyBytes", s.MaxBodyBytes, 0)
	if s.Connections > 0 && s.Connections < s.Slots {
		c.warn(key, "connections", "is %d, too few for %d slots", s.Connections, s.Slots)
	}
	if s.ReadinessPath != "" && !strings.HasPrefix(s.ReadinessPath, "/") {
		c.fault(key, "readinessPath", "want a path that starts with /")
	}
	if s.Pool != "" {
		checkReference(c, key, "pool", KindPool, s.Pool, c.config.Pools)
	}
	text := s.ExecutorSelector()
	if selector, ok := c.checkSelector(key, text); ok && c.inScope(key) {
		c.warnNoMatch(key, c.matching(text, selector, fleet.KindBackendServer))
	}
}

// ExecutorSelector returns the selector of the service's executors, by default
// service=<name>.
func (s Service) ExecutorSelector() string {
	if s.Selector != "" {
		return s.Selector
	}
	return fleet.LabelService + "=" + s.Name
}

func (c *checker) checkClasses() {
	for _, name := range names(c.config.Classes) {
		key := Key{KindClass, name}
		c.checkName(key)
		c.checkDuration(key, "timeout", c.config.Classes[name].Spec.Timeout)
	}
}

func (c *checker) checkTenants() {
	for _, name := range names(c.config.Tenants) {
		key, tenant := Key{KindTenant, name}, c.config.Tenants[name].Spec
		c.checkName(key)
		c.checkAtLeast(key, "weight", int64(tenant.Weight), 0)
		c.checkAtLeast(key, "maxInFlight", int64(tenant.MaxInFlight), 0)
		c.checkResources(key, "quota", tenant.Quota)
	}
}
