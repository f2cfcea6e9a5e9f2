package intake

import (
	"context"
	"errors"
	"fmt"

	"github.com/tarragonreach/tarragonreach/platform/backoff"
	"github.com/tarragonreach/tarragonreach/platform/kv"
)

// maxConcurrentReads bounds the reads of callers' requests that are in progress at the store. Each may
// need a connection of its own, of which a process has some thousands for callers and store together. It
// is enough for 800 reads a second while the store takes 320 ms for each.
const maxConcurrentReads = 256

// passedOnAttempts is how many attempts without a response are made for a request that is passed on as well: the rest of
// its caller's time is better spent at another instance. The last of them waits long enough for a slow store.
const passedOnAttempts = 4

// reserveRead waits until fewer than maxConcurrentReads are in progress, and returns a function that ends
// the reservation. It returns an error if ctx ends first, or if the store has become unavailable meanwhile.
func (i *Intake) reserveRead(ctx context.Context) (release func(), err error) {
	release = func() { <-i.reads }
	select {
	case i.reads <- struct{}{}:
		return release, nil
	default:
	}
	select {
	case i.reads <- struct{}{}:
	case <-ctx.Done():
		return nil, contextError(ctx)
	}
	if err := i.checkStore(); err != nil {
		release()
		return nil, err
	}
	return release, nil
}

// read reads a key until the store responds or ctx ends. It makes no attempt while the store is
// unavailable, and refusedAttempts if it becomes so. While the store refuses reads since its rate is
// exceeded, it returns a stale item if acceptStale accepts that; nil accepts none. For a request that is passed on it ends
// after passedOnAttempts without a response.
func (i *Intake) read(ctx context.Context, key string, acceptStale func(kv.Item) bool) (kv.Item, error) {
	if err := i.checkStore(); err != nil {
		return kv.Item{}, err
	}
	random := backoff.NewRandom()
	unanswered := 0
	var lastErr error
	for attempt := 1; ; attempt++ {
		item, err := i.attemptRead(ctx, key, unanswered+1, acceptStale)
		if err == nil || errors.Is(err, kv.ErrNotFound) {
			return item, err
		}
		if ctx.Err() != nil {
			return kv.Item{}, failedRead(ctx, lastErr, err)
		}
		lastErr = err
		if _, unavailable := i.store.Unavailable(); unavailable && attempt >= refusedAttempts {
			return kv.Item{}, err
		}
		if !kv.NotRun(err) {
			unanswered++
		}
		if unanswered >= passedOnAttempts && isPassedOn(ctx) {
			return kv.Item{}, err
		}
		if backoff.Sleep(ctx, retryDelays.Delay(attempt, random)) != nil {
			return kv.Item{}, err
		}
	}
}

// attemptRead makes one attempt of a read, whose timeout grows with its number, and stale reads as long as
// or once the store refuses others for its rate.
func (i *Intake) attemptRead(ctx context.Context, key string, number int, acceptStale func(kv.Item) bool) (kv.Item, error) {
	release, err := i.reserveRead(ctx)
	if err != nil {
		return kv.Item{}, err
	}
	defer release()
	staleFirst := acceptStale != nil && i.store.RateLimited()
	if staleFirst {
		if item, accepted := i.readStale(ctx, key, acceptStale); accepted {
			return item, nil
		}
	}
	item, err := i.readOnce(ctx, key, number)
	if errors.Is(err, kv.ErrRateLimited) && acceptStale != nil && !staleFirst {
		if item, accepted := i.readStale(ctx, key, acceptStale); accepted {
			return item, nil
		}
	}
	return item, err
}

// failedRead returns the error of a read whose context ended: that of an earlier attempt, if there was one,
// since that tells why there is no result.
func failedRead(ctx context.Context, earlier, err error) error {
	if earlier != nil {
		return earlier
	}
	return fmt.Errorf("%w: %w", contextError(ctx), err)
}

// readOnce makes one call of a linearizable read.
func (i *Intake) readOnce(ctx context.Context, key string, number int) (kv.Item, error) {
	callCtx, cancel := context.WithTimeout(ctx, i.store.Timeout(number))
	defer cancel()
	item, err := i.store.Get(callCtx, key)
	i.countStoreCall(ctx, callGet, err)
	return item, err
}

// readStale makes one call of a stale read, and reports whether it found an item that accept accepts.
func (i *Intake) readStale(ctx context.Context, key string, accept func(kv.Item) bool) (kv.Item, bool) {
	callCtx, cancel := context.WithTimeout(ctx, i.store.Timeout(1))
	defer cancel()
	item, err := i.store.GetStale(callCtx, key)
	i.countStoreCall(ctx, callGetStale, err)
	return item, err == nil && accept(item)
}
