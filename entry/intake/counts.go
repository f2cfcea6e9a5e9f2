package intake

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/entry/layout"
	"github.com/tarragonreach/tarragonreach/platform/kv"
)

// maxCountAge is how long counts of waiting jobs are used after the start of their read. They may be 2 s old,
// and are written at most once a second.
const maxCountAge = 500 * time.Millisecond

var (
	// errUnreadableCounts is wrapped by the errors of counts that can't be decoded.
	errUnreadableCounts = errors.New("counts of waiting jobs not readable")
	errReadEnded        = errors.New("the read has ended without a result")
)

// sharedCounts lets concurrent requests for the counts of a service share one read of the store, and later
// ones its result up to maxCountAge, so that there are few reads whatever the number of requests.
type sharedCounts struct {
	mu        sync.Mutex
	byService map[cluster.Service]*countRead // the latest of each
}

// countRead is a read of the counts of a service's queues.
type countRead struct {
	began time.Time
	done  chan struct{} // closed when the read has ended; the result is set before
	// counts is shared: no one writes it after the read.
	counts layout.Waiting
	err    error
}

// get returns the counts of a service. It calls read unless another request does so or has done so lately.
// If the other's read fails, such as when that request ends, it calls read itself.
func (s *sharedCounts) get(ctx context.Context, service cluster.Service, read func(context.Context) (layout.Waiting, error)) (layout.Waiting, error) {
	for {
		r, isNew := s.join(service)
		if isNew {
			r.run(ctx, read)
			return r.counts, r.err
		}
		select {
		case <-r.done:
		case <-ctx.Done():
			return nil, contextError(ctx)
		}
		if r.err == nil || errors.Is(r.err, errUnreadableCounts) {
			return r.counts, r.err
		}
	}
}

// join returns the read whose result to use, and whether the caller has to run it.
func (s *sharedCounts) join(service cluster.Service) (r *countRead, isNew bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if r = s.byService[service]; r != nil && r.usable(now) {
		return r, false
	}
	r = &countRead{began: now, done: make(chan struct{}), err: errReadEnded}
	s.byService[service] = r
	return r, true
}

// usable reports whether the read is in progress, or has succeeded and is recent.
func (r *countRead) usable(now time.Time) bool {
	select {
	case <-r.done:
		return r.err == nil && now.Sub(r.began) < maxCountAge
	default:
		return true
	}
}

func (r *countRead) run(ctx context.Context, read func(context.Context) (layout.Waiting, error)) {
	defer close(r.done)
	r.counts, r.err = read(ctx)
}

// readCounts reads the counts of a service's queues from the store; there are none before the first job.
func (i *Intake) readCounts(ctx context.Context, service cluster.Service) (layout.Waiting, error) {
	item, err := i.read(ctx, layout.WaitingKey(service), nil)
	if errors.Is(err, kv.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	counts, err := layout.Decode[layout.Waiting](item.Key, item.Value)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errUnreadableCounts, err)
	}
	return counts, nil
}
