package submission

import (
	"errors"
	"sync"
	"time"
)

// errStoreUnavailable is returned instead of making a call while the breaker is open
// after repeated failures.
var errStoreUnavailable = errors.New("the store does not respond")

const (
	// breakerFailures is the number of consecutive failures after which no call is
	// made for breakerPause; one call is then let through.
	breakerFailures = 3
	breakerPause    = time.Second
)

// breaker is a circuit breaker: it refuses calls at once while the store does not
// respond.
type breaker struct {
	mu        sync.Mutex
	failures  int
	openUntil time.Time
}

// allow returns errStoreUnavailable while no call may be made.
func (b *breaker) allow(now time.Time) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failures < breakerFailures {
		return nil
	}
	if now.Before(b.openUntil) {
		return errStoreUnavailable
	}
	b.openUntil = now.Add(breakerPause)
	return nil
}

// report records the result of a call.
func (b *breaker) report(ok bool, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if ok {
		b.failures = 0
		return
	}
	b.failures++
	b.openUntil = now.Add(breakerPause)
}
