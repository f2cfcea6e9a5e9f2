package storehealth

import (
	"context"
	"time"

	"github.com/tarragonreach/tarragonreach/platform/backoff"
	"github.com/tarragonreach/tarragonreach/platform/kv"
)

// pageAttempts is how many times a page of a listing is requested at most.
const pageAttempts = 2

// pageTimeouts bounds the attempts of one page, which may have 1 MB and arrive over a link
// of a few Mbit/s.
var pageTimeouts = backoff.Timeouts{First: 3 * time.Second, Cap: 6 * time.Second}

// pageRetry spaces the attempts of one page.
var pageRetry = backoff.Policy{Base: 100 * time.Millisecond, Cap: 100 * time.Millisecond}

// All implements follow.Store. Each page has its own timeouts and retries, so that a long
// listing does not time out and does not start again after one lost response.
func (s *Store) All(ctx context.Context, prefix string, read kv.Consistency) ([]kv.Item, kv.Revision, error) {
	return kv.Pages(func(after string) (kv.Page, error) {
		return retryPage(ctx, func(ctx context.Context) (kv.Page, error) {
			return s.page(ctx, prefix, after, read)
		})
	})
}

func (s *Store) page(ctx context.Context, prefix, after string, read kv.Consistency) (kv.Page, error) {
	ctx, release := s.untilRecovery(ctx)
	defer release()
	page, err := s.Range(ctx, prefix, after, read)
	s.observe(err)
	return page, err
}

// retryPage requests a page until it succeeds or has failed pageAttempts times.
func retryPage(ctx context.Context, request func(context.Context) (kv.Page, error)) (kv.Page, error) {
	for attempt := 1; ; attempt++ {
		page, err := requestPage(ctx, pageTimeouts.ForAttempt(attempt), request)
		if err == nil || attempt == pageAttempts {
			return page, err
		}
		if backoff.Sleep(ctx, pageRetry.Delay(attempt, backoff.NewRandom())) != nil {
			return page, err
		}
	}
}

func requestPage(ctx context.Context, timeout time.Duration, request func(context.Context) (kv.Page, error)) (kv.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return request(ctx)
}
