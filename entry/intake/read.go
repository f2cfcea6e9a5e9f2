package intake

import (
	"context"
	"errors"
	"fmt"

	"github.com/tarragonreach/tarragonreach/platform/backoff"
	"github.com/tarragonreach/tarragonreach/platform/kv"
)

// read reads a key until the store responds, the store becomes unavailable or ctx ends. While the store
// refuses reads since its rate is exceeded, it returns a stale item if acceptStale accepts that; nil
// accepts none.
func (i *Intake) read(ctx context.Context, key string, acceptStale func(kv.Item) bool) (kv.Item, error) {
	random := backoff.NewRandom()
	unanswered := 0
	var lastErr error
	for attempt := 1; ; attempt++ {
		if err := i.checkStore(); err != nil {
			return kv.Item{}, err
		}
		triedStale := acceptStale != nil && i.store.RateLimited()
		if triedStale {
			if item, accepted := i.readStale(ctx, key, acceptStale); accepted {
				return item, nil
			}
		}
		item, err := i.readOnce(ctx, key, unanswered+1)
		if err == nil || errors.Is(err, kv.ErrNotFound) {
			return item, err
		}
		if ctx.Err() != nil {
			return kv.Item{}, failedRead(ctx, lastErr, err)
		}
		lastErr = err
		rateLimited := errors.Is(err, kv.ErrRateLimited)
		if rateLimited && !triedStale && acceptStale != nil {
			if item, accepted := i.readStale(ctx, key, acceptStale); accepted {
				return item, nil
			}
		}
		if !kv.NotRun(err) {
			unanswered++
		}
		if backoff.Sleep(ctx, retryDelays.Delay(attempt, random)) != nil {
			return kv.Item{}, lastErr
		}
	}
}

// failedRead returns the error of a read whose context ended: that of an earlier attempt, if there was one,
// since that tells why there is no result.
func failedRead(ctx context.Context, earlier, err error) error {
	if earlier != nil {
		return earlier
	}
	return fmt.Errorf("%w: %w", contextError(ctx), err)
}

// readOnce makes one attempt. Its timeout grows with the attempts that got no response.
func (i *Intake) readOnce(ctx context.Context, key string, number int) (kv.Item, error) {
	callCtx, cancel := context.WithTimeout(ctx, i.store.Timeout(number))
	defer cancel()
	item, err := i.store.Get(callCtx, key)
	i.countStoreCall(ctx, callGet, err)
	return item, err
}

// readStale makes one attempt of a stale read, and reports whether it found an item that accept accepts.
func (i *Intake) readStale(ctx context.Context, key string, accept func(kv.Item) bool) (kv.Item, bool) {
	callCtx, cancel := context.WithTimeout(ctx, i.store.Timeout(1))
	defer cancel()
	item, err := i.store.GetStale(callCtx, key)
	i.countStoreCall(ctx, callGetStale, err)
	return item, err == nil && accept(item)
}
