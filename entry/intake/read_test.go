package intake

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/entry/layout"
	"github.com/tarragonreach/tarragonreach/entry/operatorconfig"
	"github.com/tarragonreach/tarragonreach/platform/kv"
)

const (
	ownState     = `{"service":"batch","queue":"closed","tenant":"north","state":"running"}`
	ownCompleted = `{"service":"batch","queue":"closed","tenant":"north","state":"completed"}`
	othersState  = `{"service":"batch","queue":"closed","tenant":"south","state":"running"}`
)

// staleCases are what a stale read finds while the store refuses others, for how long it refuses them,
// and the answer.
var staleCases = []struct {
	name           string
	stale, current string // none if empty
	refusedFor     time.Duration
	status         int
	body           string
}{
	{"running", ownState, ownCompleted, time.Hour, 200, `{"state":"running"}`},
	{"final", ownCompleted, ownCompleted, time.Hour, 200, `{"state":"completed"}`},
	{"stored since", "", ownState, time.Second, 200, `{"state":"running"}`},
	{"rejection replaced since", rejectedState, ownState, time.Second, 200, `{"state":"running"}`},
	{"rejection", rejectedState, rejectedState, time.Second, 410, ""},
	{"another tenant's before", othersState, ownState, time.Second, 200, `{"state":"running"}`},
	{"another tenant's", othersState, othersState, time.Second, 410, ""},
	{"unreadable before", "[", ownState, time.Second, 200, `{"state":"running"}`},
	{"none", "", "", time.Second, 410, ""},
	{"stored since, refused on", "", ownState, time.Hour, 503, ""},
	{"rejection, refused on", rejectedState, ownState, time.Hour, 503, ""},
	{"another tenant's, refused on", othersState, ownState, time.Hour, 503, ""},
}

// Guards against status requests that fail while a stale read has the answer, and against a final answer
// by a stale read that may no longer hold: 410 for a job that is there.
func TestStaleReadsAnswerTooLittleOrTooMuch(t *testing.T) {
	config := testConfig(t, tenantsText)
	for _, c := range staleCases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				i := newTestIntake(operatorconfig.Knowledge{Config: config, Recent: true})
				key := layout.JobKey(testJob)
				if c.current != "" {
					i.setState(c.current)
				}
				if c.stale != "" {
					i.store.staleItems = map[string]kv.Item{key: {Key: key, Value: []byte(c.stale), Revision: 4}}
				}
				i.store.refusedUntil = time.Now().Add(c.refusedFor)
				i.deadline = "3000"
				sent := time.Now()
				response := i.call(http.MethodGet, "/closed/"+string(testJob), "Bearer "+northKey)
				assert.Equal(t, response.Code, c.status)
				assert.Equal(t, response.Body.String(), c.body)
				assert.Assert(t, time.Since(sent) < 3*time.Second)
				assert.Equal(t, response.Header().Get("Retry-After") != "", c.status == http.StatusServiceUnavailable)
			})
		})
	}
}

// While the store refuses reads, status requests must not add to what exceeds its rate.
func TestReadsAreRepeatedWhileTheStoreRefusesThem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := newTestIntake(operatorconfig.Knowledge{Config: testConfig(t, tenantsText), Recent: true}, stored("north", "closed")...)
		i.store.refusedUntil, i.store.staleItems = time.Now().Add(time.Hour), i.store.items
		for range 100 {
			assert.Equal(t, i.call(http.MethodGet, "/closed/"+string(testJob), "Bearer "+northKey).Code, http.StatusOK)
		}
		refused := 0
		for _, call := range i.store.calls {
			if strings.HasPrefix(call, "get ") {
				refused++
			}
		}
		assert.Equal(t, refused, 1)
	})
}

// A cancellation must succeed though the state that it read is older than the stored one, and must not
// cancel another tenant's job that has replaced it.
func TestCancellationByAStaleStateFails(t *testing.T) {
	for current, want := range map[string]int{ownState: http.StatusOK, ownCompleted: http.StatusOK, othersState: http.StatusGone} {
		synctest.Test(t, func(t *testing.T) {
			i := newTestIntake(operatorconfig.Knowledge{Config: testConfig(t, tenantsText), Recent: true})
			i.setState(current)
			key := layout.JobKey(testJob)
			i.store.staleItems = map[string]kv.Item{key: {Key: key, Value: []byte(ownState), Revision: 4}}
			i.store.refusedUntil = time.Now().Add(time.Hour)
			assert.Equal(t, i.call(http.MethodDelete, "/closed/"+string(testJob), "Bearer "+northKey).Code, want, current)
			_, cancelled := i.store.items[layout.CancelKey("batch", testJob)]
			assert.Equal(t, cancelled, current == ownState, current)
		})
	}
}

// A read must go on while its caller waits: the store may refuse or lose several attempts in a row.
func TestReadGivesUpBeforeItsDeadline(t *testing.T) {
	for name, failure := range map[string]error{"refused": errRefused, "lost": context.DeadlineExceeded} {
		synctest.Test(t, func(t *testing.T) {
			i := newTestIntake(operatorconfig.Knowledge{Config: testConfig(t, ""), Recent: true}, stored("", "closed")...)
			i.store.failure, i.store.failsUntil = failure, time.Now().Add(2*time.Second)
			i.deadline = "3000"
			assert.Equal(t, i.call(http.MethodGet, "/closed/"+string(testJob)).Code, http.StatusOK, name)
		})
	}
}

// A state that this version can't read must neither be shown, nor be refused for good, nor be cancelled:
// an instance of another version may read it. Another tenant must not learn that there is one.
func TestUnreadableStateIsAnsweredForGood(t *testing.T) {
	for _, value := range []string{
		"[", `{}`, `null`, `{"service":"batch","queue":"closed","tenant":"north","state":"paused"}`,
		`{"service":"batch","queue":"closed","tenant":"south","state":"paused"}`,
		`{"service":"batch","queue":"closed","tenant":"south","state":7}`,
	} {
		for _, method := range []string{http.MethodGet, http.MethodDelete} {
			i := newTestIntake(operatorconfig.Knowledge{Config: testConfig(t, tenantsText), Recent: true})
			i.setState(value)
			want := http.StatusServiceUnavailable
			if strings.Contains(value, "south") {
				want = http.StatusGone
			}
			response := i.call(method, "/closed/"+string(testJob), "Bearer "+northKey)
			assert.Equal(t, response.Code, want, "%s %s", method, value)
			assert.Equal(t, response.Header().Get("Retry-After") != "", want == http.StatusServiceUnavailable)
			assert.Equal(t, response.Body.Len(), 0)
			_, cancelled := i.store.items[layout.CancelKey("batch", testJob)]
			assert.Assert(t, !cancelled, "a cancellation was stored")
			items := 1
			if method == http.MethodDelete && want == http.StatusGone {
				items++
				_, withdrawn := i.store.items[layout.WithdrawalKey(testJob, "north", "closed")]
				assert.Assert(t, withdrawn, "acknowledged without a withdrawal")
			}
			assert.Equal(t, len(i.store.items), items)
			assert.Equal(t, string(i.store.items[layout.JobKey(testJob)].Value), value)
		}
	}
}

// slowStore takes a while for each read, and records how many are in progress at once.
type slowStore struct {
	fakeStore
	reading, most atomic.Int64
}

func (s *slowStore) Get(context.Context, string) (kv.Item, error) {
	s.most.Store(max(s.most.Load(), s.reading.Add(1)))
	defer s.reading.Add(-1)
	time.Sleep(300 * time.Millisecond)
	return kv.Item{Value: []byte(ownState)}, nil
}

// Many status requests at once must not take a connection to the store each, of which a process has only
// some thousands, and must all be answered.
func TestStatusRequestsTakeAConnectionEach(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &slowStore{}
		config := &fakeConfig{present: operatorconfig.Knowledge{Config: testConfig(t, ""), Recent: true}}
		handler := New(store, config, func() bool { return false }, slog.New(slog.DiscardHandler), tally.NoopScope).Handler()
		var callers sync.WaitGroup
		var answered atomic.Int64
		for range 8 * maxConcurrentReads {
			callers.Go(func() {
				request := httptest.NewRequest(http.MethodGet, "/closed/"+string(testJob), nil)
				request.Host = host
				response := httptest.NewRecorder()
				handler.ServeHTTP(response, request)
				if response.Code == http.StatusOK {
					answered.Add(1)
				}
			})
		}
		callers.Wait()
		assert.Equal(t, answered.Load(), int64(8*maxConcurrentReads))
		assert.Assert(t, store.most.Load() <= maxConcurrentReads, "%d", store.most.Load())
	})
}
