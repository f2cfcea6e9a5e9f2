package object

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/api/label"
)

// MaxNameLength bounds the name of an object, in bytes.
const MaxNameLength = 63

// nameRunes are the characters allowed in a name.
const nameRunes = "abcdefghijklmnopqrstuvwxyz0123456789-_."

// checker collects the findings about a configuration.
type checker struct {
	config    *Config
	instances []fleet.Instance
	// scope holds the objects whose selectors are matched against the instances; nil
	// means all.
	scope      map[Key]bool
	matchCache map[matchKey][]fleet.Instance
	report     Report
}

// matchKey identifies the matches of a selector among the instances of one kind.
type matchKey struct {
	selector string
	kind     fleet.Kind
}

func newChecker(config *Config, instances []fleet.Instance) *checker {
	return &checker{config: config, instances: instances, matchCache: map[matchKey][]fleet.Instance{}}
}

// run runs all checks.
func (c *checker) run() Report {
	c.checkServices()
	c.checkClasses()
	c.checkTenants()
	c.checkPools()
	c.checkMaintenancePlans()
	c.checkJobs()
	return c.report
}

// runFor runs all checks, but matches only the selectors of the given objects against
// the instances.
func (c *checker) runFor(keys []Key) Report {
	c.scope = make(map[Key]bool, len(keys))
	for _, key := range keys {
		c.scope[key] = true
	}
	return c.run()
}

func (c *checker) inScope(key Key) bool { return c.scope == nil || c.scope[key] }

func (c *checker) fault(key Key, field, format string, args ...any) {
	c.report.Faults = append(c.report.Faults, Finding{key, field, fmt.Sprintf(format, args...)})
}

func (c *checker) warn(key Key, field, format string, args ...any) {
	c.report.Warnings = append(c.report.Warnings, Finding{key, field, fmt.Sprintf(format, args...)})
}

// names returns the names in sorted order, so that reports are the same on each run.
func names[T any](objects map[string]Versioned[T]) []string {
	return slices.Sorted(maps.Keys(objects))
}

func (c *checker) checkName(key Key) {
	switch {
	case key.Name == "":
		c.fault(key, "name", "is empty")
	case len(key.Name) > MaxNameLength:
		c.fault(key, "name", "has %d bytes, the limit is %d", len(key.Name), MaxNameLength)
	case strings.Trim(key.Name, nameRunes) != "":
		c.fault(key, "name", "want lower-case letters, digits and the characters - _ . only")
	}
}

// checkAtLeast reports a fault for a number below its minimum.
func (c *checker) checkAtLeast(key Key, field string, value, minimum int64) {
	if value < minimum {
		c.fault(key, field, "is %d, want at least %d", value, minimum)
	}
}

func (c *checker) checkDuration(key Key, field string, value Duration) {
	if value <= 0 {
		c.fault(key, field, "want a duration above zero such as \"30s\"")
	}
}

func (c *checker) checkResources(key Key, field string, r fleet.Resources) {
	c.checkAtLeast(key, field+".milliCPU", r.MilliCPU, 0)
	c.checkAtLeast(key, field+".memoryMiB", r.MemoryMiB, 0)
	c.checkAtLeast(key, field+".accelerators", r.Accelerators, 0)
}

// checkReference reports a fault if no object of the kind has the name.
func checkReference[T any](c *checker, key Key, field string, kind Kind, name string, known map[string]Versioned[T]) {
	if _, ok := known[name]; !ok {
		c.fault(key, field, "refers to %s, which does not exist", Key{kind, name})
	}
}

// checkSelector parses a selector. If it is invalid, checkSelector reports a fault and
// returns false.
func (c *checker) checkSelector(key Key, text string) (label.Selector, bool) {
	selector, err := label.Parse(text)
	if err != nil {
		c.fault(key, "selector", "%v", err)
		return selector, false
	}
	return selector, true
}

// matching returns the known instances of a kind that the selector matches; an empty
// kind means all kinds but entry instances. The result is cached, since objects often
// share a selector.
func (c *checker) matching(text string, selector label.Selector, kind fleet.Kind) []fleet.Instance {
	cacheKey := matchKey{text, kind}
	if out, ok := c.matchCache[cacheKey]; ok {
		return out
	}
	var out []fleet.Instance
	for _, instance := range c.instances {
		if instance.Kind == kind || (kind == "" && instance.Kind != fleet.KindEntry) {
			if selector.Matches(instance.Labels) {
				out = append(out, instance)
			}
		}
	}
	c.matchCache[cacheKey] = out
	return out
}

// warnNoMatch warns of a selector that matches none of the known instances.
func (c *checker) warnNoMatch(key Key, matched []fleet.Instance) {
	if len(c.instances) > 0 && len(matched) == 0 {
		c.warn(key, "selector", "matches none of the %d known instances", len(c.instances))
	}
}
