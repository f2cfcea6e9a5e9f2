package submission

import (
	"errors"
	"sync"
	"time"
)

// errStoreOut says that the store failed lately and is not asked for a while.
var errStoreUnavailable = errors.New("the store does not answer")

const (
	// breakerFailures is the number of failures in a row after which the store is
	// not asked for breakerPause; one call is then let through.
	breakerFailures = 3
	breakerPause    = time.Second
)

// breaker refuses at once while the store does not answer.
type breaker struct {
	mu       sync.Mutex
	failures int
	until    time.Time
}

// allow returns errStoreOut while the store is not to be asked.
func (b *breaker) allow(now time.Time) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failures < breakerFailures {
		return nil
	}
	if now.Before(b.until) {
		return errStoreUnavailable
	}
	b.until = now.Add(breakerPause)
	return nil
}

// report takes in how a call ended.
func (b *breaker) report(ok bool, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if ok {
		b.failures = 0
		return
	}
	b.failures++
	b.until = now.Add(breakerPause)
}
