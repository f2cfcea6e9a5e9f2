package dispatch

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"
)

// class holds the statistics of one class of a service's requests.
type class struct {
	runTime  Average
	priority atomic.Int64
	demand   demand
}

// classes holds the classes of a service by name. Reads take no lock.
type classes struct {
	mu     sync.Mutex
	byName atomic.Pointer[map[string]*class]
}

// get returns the class, which it creates if absent.
func (c *classes) get(name string) *class {
	if existing := c.all()[name]; existing != nil {
		return existing
	}
	return c.add(name)
}

// all returns every class; the map must not be changed.
func (c *classes) all() map[string]*class {
	if existing := c.byName.Load(); existing != nil {
		return *existing
	}
	return nil
}

func (c *classes) add(name string) *class {
	c.mu.Lock()
	defer c.mu.Unlock()
	if existing := c.all()[name]; existing != nil {
		return existing
	}
	next := map[string]*class{}
	maps.Copy(next, c.all())
	created := new(class)
	next[name] = created
	c.byName.Store(&next)
	return created
}

// recordArrival counts a request of the class with its expected run time.
func (c *class) recordArrival(priority int, runTime time.Duration) {
	if c.priority.Load() != int64(priority) {
		c.priority.Store(int64(priority))
	}
	c.demand.add(runTime)
}

// update adds the load offered since the last update to the averages.
func (c *classes) update(now time.Time) {
	for _, class := range c.all() {
		class.demand.update(now)
	}
}

// load returns the average load of all classes above the priority, in slots.
func (c *classes) load(above int64) float64 {
	sum := 0.0
	for _, class := range c.all() {
		if class.priority.Load() > above {
			sum += class.demand.average()
		}
	}
	return sum
}
