package dispatch

import (
	"maps"
	"sync"
	"sync/atomic"
)

// classTimes holds the average run time of each class. Reads take no lock.
type classTimes struct {
	mu     sync.Mutex
	byName atomic.Pointer[map[string]*Average]
}

// get returns the class's average, made where absent.
func (c *classTimes) get(class string) *Average {
	if known := c.byName.Load(); known != nil {
		if average := (*known)[class]; average != nil {
			return average
		}
	}
	return c.add(class)
}

func (c *classTimes) add(class string) *Average {
	c.mu.Lock()
	defer c.mu.Unlock()
	next := map[string]*Average{}
	if known := c.byName.Load(); known != nil {
		if average := (*known)[class]; average != nil {
			return average
		}
		maps.Copy(next, *known)
	}
	average := new(Average)
	next[class] = average
	c.byName.Store(&next)
	return average
}
