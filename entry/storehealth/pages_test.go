package storehealth

import (
	"context"
	"errors"
	"net/http/httptrace"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/platform/backoff"
	"github.com/tarragonreach/tarragonreach/platform/kv"
)

// notOvertaken requests a page while no later call is answered.
func notOvertaken(ctx context.Context, send func(context.Context) (kv.Page, error)) (kv.Page, error) {
	return pageRequest{send: send, overtaken: func(time.Time) bool { return false }}.run(ctx)
}

// A page that was requested from a slow store is requested again soon after the store has
// recovered, as later calls that are answered show. The first request continues beside.
func TestOvertakenPageIsRequestedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		s := New(nil, func(bool, int) {})
		var requests atomic.Int32
		request := pageRequest{overtaken: s.overtaken, send: func(ctx context.Context) (kv.Page, error) {
			if requests.Add(1) == 1 {
				return kv.Page{}, backoff.Sleep(ctx, time.Minute)
			}
			return kv.Page{AsOf: 7}, nil
		}}
		go func() {
			time.Sleep(1500 * time.Millisecond) // the store recovers
			s.observe(time.Now(), nil)
		}()
		page, err := request.run(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, page.AsOf, kv.Revision(7))
		assert.Assert(t, time.Since(began) <= 1500*time.Millisecond+overtakenCheck)
	})
}

// Guards against a long page on its way over a slow link that is requested once more, since shorter calls that were
// sent later are answered, and takes the link twice.
func TestPageOnItsWayIsRequestedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(nil, func(bool, int) {})
		var requests atomic.Int32
		request := pageRequest{overtaken: s.overtaken, send: func(ctx context.Context) (kv.Page, error) {
			requests.Add(1)
			httptrace.ContextClientTrace(ctx).GotFirstResponseByte()
			return kv.Page{AsOf: 7}, backoff.Sleep(ctx, 2500*time.Millisecond)
		}}
		go func() {
			time.Sleep(200 * time.Millisecond)
			s.observe(time.Now(), nil)
		}()
		_, err := request.run(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, requests.Load(), int32(1))
	})
}

// The response with one page is lost: only that page is requested again.
func TestLostPageIsRequestedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		requests := map[string]int{}
		items, asOf, err := kv.Pages(func(after string) (kv.Page, error) {
			return notOvertaken(t.Context(), func(ctx context.Context) (kv.Page, error) {
				requests[after]++
				if after == "b" && requests[after] == 1 {
					<-ctx.Done()
					return kv.Page{}, ctx.Err()
				}
				next := "a"
				if after != "" {
					next = string(after[0] + 1)
				}
				return kv.Page{Items: []kv.Item{{Key: next}}, More: next != "d", AsOf: kv.Revision(len(requests))}, nil
			})
		})
		assert.NilError(t, err)
		assert.Equal(t, len(items), 4)
		assert.Equal(t, asOf, kv.Revision(1))
		assert.DeepEqual(t, requests, map[string]int{"": 1, "a": 1, "b": 2, "c": 1})
		assert.Assert(t, time.Since(began) <= pageTimeouts.First+pageRetry.Base)
	})
}

// If the store does not respond, the listing fails after the attempts of one page, whatever
// its length.
func TestPageFailsAfterItsAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		_, err := notOvertaken(t.Context(), func(ctx context.Context) (kv.Page, error) {
			<-ctx.Done()
			return kv.Page{}, ctx.Err()
		})
		assert.Assert(t, errors.Is(err, context.DeadlineExceeded))
		assert.Assert(t, time.Since(began) <= pageTimeouts.First+pageRetry.Base+pageTimeouts.Cap)
	})
}

// The listing ends at once when its context ends.
func TestListingEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := notOvertaken(ctx, func(ctx context.Context) (kv.Page, error) {
			return kv.Page{}, backoff.Sleep(ctx, time.Minute)
		})
		assert.Assert(t, err != nil)
		assert.Equal(t, time.Since(began), time.Second)
	})
}
