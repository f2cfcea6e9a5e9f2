package backend

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// overdueFactor times the slowest recent answer is how long an answer may take.
	overdueFactor = 4
	// cautionFactor lengthens that for a request that may not be repeated, as
	// long as no other connection to the executor was found silent lately.
	unrepeatableFactor = 3
	// corroborationWindow is how long a silent connection counts against the others.
	corroborationWindow = 5 * time.Second
	// slowestDecay is the part by which each faster answer lowers the slowest one.
	slowestDecay = 64
)

// patience returns how long an answer may take before it is overdue. It returns
// zero, for no bound, where no answer of the class has been seen yet.
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

// answerTimes holds a decaying maximum of one class's answer times.
type responseTimes struct{ slowest atomic.Int64 } // nanoseconds

func (a *responseTimes) load() time.Duration { return time.Duration(a.slowest.Load()) }

// observe takes in one answer time. Of two at once one may be lost.
func (a *responseTimes) observe(d time.Duration) {
	old := a.slowest.Load()
	next := int64(d)
	if next < old {
		next = old - (old-next)/slowestDecay
	}
	a.slowest.CompareAndSwap(old, next)
}

// classTimes holds the answer times of each class at one executor.
type classTimes struct {
	byClass atomic.Pointer[map[string]*responseTimes]
	mu      sync.Mutex // held by those who add a class
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
