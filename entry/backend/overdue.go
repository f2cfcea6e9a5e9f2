package backend

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// overdueFactor times the slowest recent response time is how long a response may take.
	overdueFactor = 4
	// unrepeatableFactor multiplies that time for a request that may not be repeated,
	// unless another connection to the executor was found half-open recently.
	unrepeatableFactor = 3
	// corroborationWindow is the time after the detection of a half-open connection during
	// which unrepeatableFactor is not applied to the other connections to that executor.
	corroborationWindow = 5 * time.Second
	// slowestDecayDivisor sets the decay: each faster response lowers the slowest response
	// time by 1/slowestDecayDivisor of the difference.
	slowestDecayDivisor = 64
)

// overdueAfter returns how long a response may take before it is overdue. It returns
// zero, which means no bound, if no response of the class has been observed yet.
// corroborated means that the executor had a half-open connection within corroborationWindow.
func overdueAfter(minimum, slowest time.Duration, repeatable, corroborated bool) time.Duration {
	if slowest <= 0 {
		return 0
	}
	limit := max(minimum, overdueFactor*slowest)
	if repeatable || corroborated {
		return limit
	}
	return unrepeatableFactor * limit
}

// responseTimes holds a decaying maximum of the response times of one class.
type responseTimes struct{ slowest atomic.Int64 } // nanoseconds

func (t *responseTimes) load() time.Duration { return time.Duration(t.slowest.Load()) }

// observe records one response time. Of two concurrent ones, one may be lost.
func (t *responseTimes) observe(d time.Duration) {
	old := t.slowest.Load()
	next := int64(d)
	if next < old {
		next = old - (old-next)/slowestDecayDivisor
	}
	t.slowest.CompareAndSwap(old, next)
}

// classTimes holds the response times of each class at one executor.
type classTimes struct {
	byClass atomic.Pointer[map[string]*responseTimes]
	mu      sync.Mutex // held while a class is added
}

func (t *classTimes) of(class string) *responseTimes {
	if current := t.byClass.Load(); current != nil {
		if times, ok := (*current)[class]; ok {
			return times
		}
	}
	return t.add(class)
}

func (t *classTimes) add(class string) *responseTimes {
	t.mu.Lock()
	defer t.mu.Unlock()
	next := map[string]*responseTimes{}
	if current := t.byClass.Load(); current != nil {
		if times, ok := (*current)[class]; ok {
			return times
		}
		next = maps.Clone(*current)
	}
	next[class] = &responseTimes{}
	t.byClass.Store(&next)
	return next[class]
}
