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
	cautionFactor = 3
	// corroborationWindow is how long a silent connection counts against the others.
	corroborationWindow = 5 * time.Second
	// slowestDecay is the part by which each faster answer lowers the slowest one.
	slowestDecay = 64
)

// patience returns how long an answer may take before it is overdue. It returns
// zero, for no bound, where no answer of the class has been seen yet.
func patience(minimum, slowest time.Duration, repeatable, corroborated bool) time.Duration {
	if slowest <= 0 {
		return 0
	}
	limit := max(minimum, overdueFactor*slowest)
	if repeatable || corroborated {
		return limit
	}
	return cautionFactor * limit
}

// answerTimes holds a decaying maximum of one class's answer times.
type answerTimes struct{ slowest atomic.Int64 } // nanoseconds

func (a *answerTimes) load() time.Duration { return time.Duration(a.slowest.Load()) }

// observe takes in one answer time. Of two at once one may be lost.
func (a *answerTimes) observe(d time.Duration) {
	old := a.slowest.Load()
	next := int64(d)
	if next < old {
		next = old - (old-next)/slowestDecay
	}
	a.slowest.CompareAndSwap(old, next)
}

// classTimes holds the answer times of each class at one executor.
type classTimes struct {
	byClass atomic.Pointer[map[string]*answerTimes]
	mu      sync.Mutex // held by those who add a class
}

func (t *classTimes) of(class string) *answerTimes {
	if known := t.byClass.Load(); known != nil {
		if times, ok := (*known)[class]; ok {
			return times
		}
	}
	return t.add(class)
}

func (t *classTimes) add(class string) *answerTimes {
	t.mu.Lock()
	defer t.mu.Unlock()
	next := map[string]*answerTimes{}
	if known := t.byClass.Load(); known != nil {
		if times, ok := (*known)[class]; ok {
			return times
		}
		next = maps.Clone(*known)
	}
	next[class] = &answerTimes{}
	t.byClass.Store(&next)
	return next[class]
}
