package storehealth

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/tarragonreach/tarragonreach/platform/backoff"
	"github.com/tarragonreach/tarragonreach/platform/call"
	"github.com/tarragonreach/tarragonreach/platform/kv"
)

// pageAttempts is how many times a page of a listing is requested at most.
const pageAttempts = 2

// pageTimeouts bounds the time until the response to an attempt of one page begins.
var pageTimeouts = backoff.Timeouts{First: 3 * time.Second, Cap: 6 * time.Second}

// pageRetry spaces the attempts of one page.
var pageRetry = backoff.Policy{Base: 100 * time.Millisecond, Cap: 100 * time.Millisecond}

const (
	// overtakenAfter is how long an attempt must have been pending to count as overtaken by a
	// later call that was answered.
	overtakenAfter = 1 * time.Second
	// overtakenCheck is the time between two checks of that.
	overtakenCheck = 100 * time.Millisecond
)

// All implements follow.Store. Each page has its own timeouts and retries, so that a long
// listing does not time out and does not start again after one lost response.
func (s *Store) All(ctx context.Context, prefix string, read kv.Consistency) ([]kv.Item, kv.Revision, error) {
	return kv.Pages(func(after string) (kv.Page, error) {
		request := pageRequest{overtaken: s.overtaken, send: func(ctx context.Context) (kv.Page, error) {
			return s.page(ctx, prefix, after, read)
		}}
		return request.run(ctx)
	})
}

func (s *Store) page(ctx context.Context, prefix, after string, read kv.Consistency) (kv.Page, error) {
	ctx, release := s.untilRecovery(ctx)
	defer release()
	sent := time.Now()
	page, err := s.Range(ctx, prefix, after, read)
	s.observeOf(read, sent, err)
	return page, err
}

// overtaken reports whether a call that was sent after the given time has been answered,
// although a call of that time should have been by now.
func (s *Store) overtaken(sent time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(sent) >= overtakenAfter && s.answeredSentAt.After(sent)
}

// pageRequest requests one page until an attempt succeeds or pageAttempts have failed. An attempt
// that is overtaken before its response begins is followed by the next one, and continues: a long page
// may take longer than other calls, but a call that was sent into a disruption may get its response late
// or never.
type pageRequest struct {
	send      func(ctx context.Context) (kv.Page, error)
	overtaken func(sent time.Time) bool
}

type pageResult struct {
	page kv.Page
	err  error
}

func (r pageRequest) run(ctx context.Context) (kv.Page, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan pageResult, pageAttempts)
	pending := 0
	for attempt := 1; ; attempt++ {
		sent := time.Now()
		var begun atomic.Bool
		go r.attempt(traceResponse(ctx, &begun), attempt, results)
		pending++
		last := attempt == pageAttempts
		for {
			result, overtaken := r.await(sent, !last, &begun, results)
			if overtaken {
				break
			}
			pending--
			if result.err == nil || last && pending == 0 {
				return result.page, result.err
			}
			if last {
				continue
			}
			if backoff.Sleep(ctx, pageRetry.Delay(attempt, backoff.NewRandom())) != nil {
				return kv.Page{}, result.err
			}
			break
		}
	}
}

// traceResponse returns a context for a call that sets begun when the response begins.
func traceResponse(ctx context.Context, begun *atomic.Bool) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotFirstResponseByte: func() { begun.Store(true) }})
}

// await waits for the next result. If another attempt may follow, it returns without one once the
// attempt that was sent at the given time is overtaken and its response has not begun.
func (r pageRequest) await(sent time.Time, mayFollow bool, begun *atomic.Bool, results <-chan pageResult) (result pageResult, overtaken bool) {
	check := time.NewTicker(overtakenCheck)
	defer check.Stop()
	for {
		select {
		case result := <-results:
			return result, false
		case <-check.C:
			if mayFollow && !begun.Load() && r.overtaken(sent) {
				return pageResult{}, true
			}
		}
	}
}

func (r pageRequest) attempt(ctx context.Context, number int, results chan<- pageResult) {
	ctx, cancel := call.WithBeginTimeout(ctx, pageTimeouts.ForAttempt(number))
	defer cancel()
	page, err := r.send(ctx)
	results <- pageResult{page, err}
}
