package node

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/platform"
)

// instanceListCache shares one read of the instance list between all its readers, and
// keeps the last list for readers that must not block.
type instanceListCache struct {
	source   platform.InstanceList
	interval time.Duration // between two reads

	mu     sync.Mutex // held while the list is read
	readAt time.Time
	last   atomic.Pointer[[]fleet.Instance]
}

// freshFraction is the fraction of the interval for which a list is reused. It is
// below one, so that a reader that calls once per interval always reads anew.
const freshFraction = 0.8

func newInstanceListCache(source platform.InstanceList, interval time.Duration) *instanceListCache {
	l := &instanceListCache{source: source, interval: interval}
	l.last.Store(&[]fleet.Instance{})
	return l
}

// Instances returns the list if it was read recently (see freshFraction), or reads it
// anew. The caller must not change it.
func (l *instanceListCache) Instances(ctx context.Context) ([]fleet.Instance, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Since(l.readAt) < time.Duration(freshFraction*float64(l.interval)) {
		return l.Last(), nil
	}
	instances, err := l.source.Instances(ctx)
	if err != nil {
		return nil, err
	}
	l.last.Store(&instances)
	l.readAt = time.Now()
	return instances, nil
}

// Last returns the list of the last successful read, empty before the first. The
// caller must not change it.
func (l *instanceListCache) Last() []fleet.Instance { return *l.last.Load() }
