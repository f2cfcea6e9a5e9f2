package intake

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/entry/layout"
	"github.com/tarragonreach/tarragonreach/entry/operatorconfig"
	"github.com/tarragonreach/tarragonreach/platform/kv"
	"github.com/tarragonreach/tarragonreach/platform/submission"
)

// countStore is a store with counts of waiting jobs whose reads take latency.
type countStore struct {
	Store
	latency time.Duration
	began   time.Time // if not zero, the count of the queue open is the milliseconds since then

	mu    sync.Mutex
	value string // none if empty
	reads int
}

func (s *countStore) Get(ctx context.Context, key string) (kv.Item, error) {
	s.mu.Lock()
	s.reads++
	value := s.value
	s.mu.Unlock()
	if !s.began.IsZero() {
		value = fmt.Sprintf(`{"open":%d}`, time.Since(s.began).Milliseconds())
	}
	select {
	case <-time.After(s.latency):
	case <-ctx.Done():
		return kv.Item{}, ctx.Err()
	}
	if value == "" {
		return kv.Item{}, kv.ErrNotFound
	}
	return kv.Item{Key: key, Value: []byte(value), Revision: 5}, nil
}

func (s *countStore) set(value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.value = value
}

func (s *countStore) taken() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

func (s *countStore) Unavailable() (time.Time, bool) { return time.Time{}, false }
func (s *countStore) Responds(context.Context) bool  { return true }
func (s *countStore) RateLimited() bool              { return false }
func (s *countStore) Timeout(int) time.Duration      { return 10 * time.Second }

// countHandler returns the handler of an intake with the store.
func countHandler(t *testing.T, store Store) http.Handler {
	k := operatorconfig.Knowledge{Config: testConfig(t, tenantsText), Recent: true}
	return New(store, &fakeConfig{present: k, awaited: k}, func() bool { return false }, slog.New(slog.DiscardHandler), tally.NoopScope).Handler()
}

// requestCount returns the response to a request for the count of a queue.
func requestCount(ctx context.Context, handler http.Handler, prefix, key string) *httptest.ResponseRecorder {
	request := httptest.NewRequestWithContext(ctx, http.MethodGet, prefix, strings.NewReader(""))
	request.Host = host
	request.Header.Set(submission.HeaderDeadline, "3000")
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, request)
	return recorder
}

// Requests for counts above the store's rate must not each take a read, and fail. Each queue has its own
// count, and the one of a queue that is not public needs a key.
func TestEachRequestForACountTakesARead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &countStore{latency: 100 * time.Millisecond, value: `{"closed":3,"open":4}`}
		handler := countHandler(t, store)
		var requests sync.WaitGroup
		for n := range 4000 { // in 4 s
			requests.Go(func() {
				time.Sleep(time.Duration(n) * time.Millisecond)
				open := requestCount(t.Context(), handler, "/open/", "")
				assert.Check(t, open.Body.String() == `{"waiting":4}`, open.Body.String())
				closed := requestCount(t.Context(), handler, "/closed/", southKey)
				assert.Check(t, closed.Body.String() == `{"waiting":3}`, closed.Body.String())
				assert.Check(t, requestCount(t.Context(), handler, "/closed/", "").Code == http.StatusUnauthorized)
			})
		}
		requests.Wait()
		assert.Assert(t, store.taken() <= 10, "%d reads", store.taken())
	})
}

// A count may be 2 s old. It is written at most once a second, so that it must not be older than 1 s by its
// reads, whatever their latency and the time of the request.
func TestCountIsUsedForTooLong(t *testing.T) {
	const maxAge = 2*time.Second - time.Second
	for _, latency := range []time.Duration{0, 100 * time.Millisecond, 400 * time.Millisecond, 900 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			store := &countStore{latency: latency, began: time.Now()}
			handler := countHandler(t, store)
			var requests sync.WaitGroup
			for n := range 1000 { // in 7 s
				requests.Go(func() {
					time.Sleep(time.Duration(n) * 7 * time.Millisecond)
					var body submission.WaitingBody
					assert.Check(t, json.Unmarshal(requestCount(t.Context(), handler, "/open/", "").Body.Bytes(), &body))
					age := time.Since(store.began) - time.Duration(body.Waiting)*time.Millisecond
					assert.Check(t, age <= maxAge, "%s with a latency of %s", age, latency)
				})
			}
			requests.Wait()
		})
	}
}

// Neither counts that can't be read nor the end of the request that reads them may fail later requests.
func TestFailureOfOneRequestForACountFailsOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &countStore{latency: 100 * time.Millisecond, value: "["}
		handler := countHandler(t, store)
		assert.Equal(t, requestCount(t.Context(), handler, "/open/", "").Code, http.StatusServiceUnavailable)
		store.set(`{"open":2}`)
		assert.Equal(t, requestCount(t.Context(), handler, "/open/", "").Code, http.StatusOK)

		time.Sleep(maxCountAge)
		gone, leave := context.WithCancel(t.Context())
		var requests sync.WaitGroup
		requests.Go(func() { requestCount(gone, handler, "/open/", "") })
		synctest.Wait()
		for range 10 {
			requests.Go(func() {
				assert.Check(t, requestCount(t.Context(), handler, "/open/", "").Code == http.StatusOK)
			})
		}
		synctest.Wait()
		leave()
		requests.Wait()
		assert.Equal(t, store.taken(), 4)

		time.Sleep(maxCountAge)
		panics := func(context.Context) (layout.Waiting, error) { panic("fault") }
		counts := &sharedCounts{byService: map[cluster.Service]*countRead{}}
		func() {
			defer func() { _ = recover() }()
			_, _ = counts.get(t.Context(), "batch", panics)
		}()
		_, err := counts.get(t.Context(), "batch", func(context.Context) (layout.Waiting, error) { return nil, errors.New("read") })
		assert.ErrorContains(t, err, "read")
	})
}
