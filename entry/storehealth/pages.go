package storehealth

import (
	"context"
	"time"

	"github.com/tarragonreach/tarragonreach/platform/backoff"
	"github.com/tarragonreach/tarragonreach/platform/kv"
)

// pageAttempts is how often a page of a listing is asked for.
const pageAttempts = 2

// pageTimeouts bound the attempts of one page, which may hold 1 MB and come over a link of
// a few Mbit/s.
var pageTimeouts = backoff.Timeouts{First: 3 * time.Second, Cap: 6 * time.Second}

// pageRetry spaces them where the store refuses.
var pageRetry = backoff.Policy{Base: 100 * time.Millisecond, Cap: 100 * time.Millisecond}

// All implements the store. Each page has a time of its own: a listing may take as long as
// its entries need, and one lost answer does not make it begin anew.
func (s *Store) All(ctx context.Context, prefix string, read kv.Consistency) ([]kv.Item, kv.Revision, error) {
	return kv.Pages(func(after string) (kv.Page, error) {
		return retryPage(ctx, func(ctx context.Context) (kv.Page, error) {
			return s.page(ctx, prefix, after, read)
		})
	})
}

func (s *Store) page(ctx context.Context, prefix, after string, read kv.Consistency) (kv.Page, error) {
	ctx, release := s.untilBack(ctx)
	defer release()
	page, err := s.Range(ctx, prefix, after, read)
	s.observe(err)
	return page, err
}

// retryPage asks for a page until it is answered or has failed pageAttempts times.
func retryPage(ctx context.Context, ask func(context.Context) (kv.Page, error)) (kv.Page, error) {
	for attempt := 1; ; attempt++ {
		page, err := askPage(ctx, pageTimeouts.ForAttempt(attempt), ask)
		if err == nil || attempt == pageAttempts {
			return page, err
		}
		if backoff.Sleep(ctx, pageRetry.Delay(attempt, backoff.NewRandom())) != nil {
			return page, err
		}
	}
}

func askPage(ctx context.Context, timeout time.Duration, ask func(context.Context) (kv.Page, error)) (kv.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return ask(ctx)
}
