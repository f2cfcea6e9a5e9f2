package intake

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/job"
	"github.com/tarragonreach/tarragonreach/entry/layout"
	"github.com/tarragonreach/tarragonreach/entry/operatorconfig"
	"github.com/tarragonreach/tarragonreach/platform/submission"
)

// instanceWith returns an instance on a store that faults befall one after the other.
func instanceWith(store *memoryStore, k *knowledge, faults ...storeFault) http.Handler {
	return newRejectingIntake(&faultyInstance{memoryStore: store, fault: func() storeFault {
		if len(faults) == 0 {
			return works
		}
		f := faults[0]
		faults = faults[1:]
		return f
	}}, k)
}

// cancelled reports whether a cancellation of the job is stored.
func (s *memoryStore) cancelled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, found := s.items[layout.CancelKey("s", testJob)]
	return found
}

// UNASKED: a job ran after its cancellation was acknowledged with 410, since the store carried out the write of its
// submission late.
func TestSubmissionThatIsCarriedOutLateIsCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newMemoryStore()
		request := httptest.NewRequest(http.MethodPost, "/q/"+string(testJob), strings.NewReader(shortJob))
		request.Header.Set(submission.HeaderDeadline, "300")
		response := httptest.NewRecorder()
		instanceWith(store, &knowledge{}, late).ServeHTTP(response, request)
		assert.Equal(t, response.Code, http.StatusGatewayTimeout)
		other := instanceWith(store, &knowledge{})
		assert.Equal(t, send(other, http.MethodDelete, "").Code, http.StatusGone)
		store.pending.Wait()
		assert.Assert(t, !store.hasRecord())
		assert.Equal(t, send(other, http.MethodGet, "").Code, http.StatusGone, "nobody was told that there is such a job")
		assert.Equal(t, send(other, http.MethodDelete, "").Code, http.StatusGone)
	})
}

// UNASKED: the same, since an instance that was paused read the submission after the cancellation. A client that
// repeats its submission gets the job as it asked for it: accepted, and cancelled.
func TestSubmissionThatIsReadLateIsCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newMemoryStore()
		h := instanceWith(store, &knowledge{})
		assert.Equal(t, send(h, http.MethodDelete, "").Code, http.StatusGone)
		time.Sleep(12 * time.Second)
		for range 2 {
			assert.Equal(t, send(h, http.MethodPost, shortJob).Code, http.StatusOK)
			assert.Assert(t, !store.hasRecord())
			w := send(h, http.MethodGet, "")
			assert.Equal(t, w.Code, http.StatusOK)
			assert.Assert(t, strings.Contains(w.Body.String(), string(job.Cancelled)), w.Body.String())
		}
		assert.Equal(t, send(h, http.MethodDelete, "").Code, http.StatusOK)
	})
}

// UNASKED: a job that was rejected and then cancelled was stored when its submission was repeated after the time that
// the rejection named.
func TestRejectedJobIsCancelledForGood(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, k := newMemoryStore(), &knowledge{full()}
		h := instanceWith(store, k)
		w := send(h, http.MethodPost, shortJob)
		assert.Equal(t, w.Code, http.StatusTooManyRequests)
		told, err := strconv.Atoi(w.Header().Get("Retry-After"))
		assert.NilError(t, err)
		assert.Equal(t, send(h, http.MethodDelete, "").Code, http.StatusGone)
		time.Sleep(time.Duration(told) * time.Second)
		k.Admission = nil
		assert.Equal(t, send(h, http.MethodPost, shortJob).Code, http.StatusOK)
		assert.Assert(t, !store.hasRecord())
		assert.Assert(t, strings.Contains(send(h, http.MethodGet, "").Body.String(), string(job.Cancelled)))
	})
}

// A cancellation that can't be stored must not be acknowledged.
func TestCancellationThatIsNotStoredIsNotAcknowledged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for fault, want := range map[storeFault]int{refused: http.StatusServiceUnavailable, late: http.StatusGatewayTimeout} {
			store := newMemoryStore()
			faults := make([]storeFault, 100)
			for i := range faults {
				faults[i] = fault
			}
			assert.Equal(t, send(instanceWith(store, &knowledge{}, faults...), http.MethodDelete, "").Code, want)
			store.pending.Wait()
		}
	})
}

// A caller must be able neither to keep a job of another tenant from being stored by cancelling its ID, nor to cancel
// it, nor to learn from the responses that it exists. Its own submissions of that ID are cancelled all the same.
func TestWithdrawalOfOneTenantIsNoneOfAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := newTestIntake(operatorconfig.Knowledge{Config: testConfig(t, tenantsText), Recent: true})
		path := "/closed/" + string(testJob)
		north, south := "Bearer "+northKey, "Bearer "+southKey
		assert.Equal(t, i.call(http.MethodDelete, path, south).Code, http.StatusGone)
		before := len(i.store.calls)
		assert.Equal(t, i.call(http.MethodPost, path, north).Code, http.StatusOK)
		assert.Equal(t, i.call(http.MethodGet, path, north).Body.String(), `{"state":"queued"}`)
		calls := len(i.store.calls)
		assert.Equal(t, i.call(http.MethodDelete, path, south).Code, http.StatusGone)
		assert.Equal(t, len(i.store.calls)-calls, before, "the calls tell that there is a job")
		_, cancelled := i.store.items[layout.CancelKey("batch", testJob)]
		assert.Assert(t, !cancelled)
		assert.Equal(t, i.call(http.MethodPost, path, south).Code, http.StatusConflict)
		for key := range i.store.items { // the job of north is removed long after it has ended
			if key != layout.WithdrawalKey(testJob, "south", "closed") {
				delete(i.store.items, key)
			}
		}
		assert.Equal(t, i.call(http.MethodPost, path, south).Code, http.StatusOK)
		_, recorded := i.store.items[layout.RecordKey("batch", testJob)]
		assert.Assert(t, !recorded)
	})
}

// Clients of different queues need not agree on their IDs: a cancellation through one queue must not cancel what is
// submitted to another.
func TestWithdrawalHoldsForItsQueueOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := newTestIntake(operatorconfig.Knowledge{Config: testConfig(t, ""), Recent: true})
		assert.Equal(t, i.call(http.MethodDelete, "/open/"+string(testJob)).Code, http.StatusGone)
		assert.Equal(t, i.call(http.MethodPost, "/closed/"+string(testJob)).Code, http.StatusOK)
		_, recorded := i.store.items[layout.RecordKey("batch", testJob)]
		assert.Assert(t, recorded)
	})
}

// Cancellations of IDs that were never submitted must not take up the store's writes, nor those of one tenant the
// cancellations of others.
func TestWithdrawalsAreLimitedForEachTenant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := newTestIntake(operatorconfig.Knowledge{Config: testConfig(t, tenantsText), Recent: true})
		statuses := map[int]int{}
		var last *httptest.ResponseRecorder
		for n := range 2 * withdrawalBurst {
			last = i.call(http.MethodDelete, fmt.Sprintf("/closed/%016x", n), "Bearer "+northKey)
			statuses[last.Code]++
		}
		assert.DeepEqual(t, statuses, map[int]int{http.StatusGone: withdrawalBurst, http.StatusServiceUnavailable: withdrawalBurst})
		assert.Equal(t, last.Header().Get("Retry-After"), "1")
		assert.Equal(t, i.call(http.MethodDelete, "/closed/"+string(testJob), "Bearer "+southKey).Code, http.StatusGone)
		i.call(http.MethodPost, "/closed/"+string(testJob), "Bearer "+northKey)
		assert.Equal(t, i.call(http.MethodDelete, "/closed/"+string(testJob), "Bearer "+northKey).Code, http.StatusOK, "a job that exists is cancelled")
		time.Sleep(time.Second)
		assert.Equal(t, i.call(http.MethodDelete, "/closed/00000000000000ff", "Bearer "+northKey).Code, http.StatusGone)
	})
}

// drawnRequest is a request to an instance of its own.
type drawnRequest struct {
	after   time.Duration // since the one before
	cancels bool
	rejects bool // the instance rejects short jobs
	faults  []storeFault
}

func drawRequests(t *rapid.T) []drawnRequest {
	var list []drawnRequest
	for range rapid.IntRange(2, 8).Draw(t, "requests") {
		r := drawnRequest{
			after:   time.Duration(rapid.IntRange(0, 3000).Draw(t, "after")) * time.Millisecond,
			cancels: rapid.Bool().Draw(t, "cancels"),
			rejects: rapid.IntRange(0, 3).Draw(t, "rejects") == 0,
		}
		for _, f := range rapid.SliceOfN(rapid.IntRange(0, int(storeFaults)-1), 0, 4).Draw(t, "faults") {
			r.faults = append(r.faults, storeFault(f))
		}
		list = append(list, r)
	}
	return list
}

// Once a cancellation was acknowledged, either no job is stored and none ever will be, or its cancellation is stored,
// whatever happens to the writes of several instances.
func TestCancelledJobNeverRuns(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		requests := drawRequests(rt)
		failure := ""
		synctest.Test(t, func(*testing.T) {
			store := newMemoryStore()
			var mu sync.Mutex
			var acknowledged time.Time
			var callers sync.WaitGroup
			for _, r := range requests {
				time.Sleep(r.after)
				callers.Go(func() {
					k := &knowledge{}
					if r.rejects {
						k.Admission = full()
					}
					h := instanceWith(store, k, r.faults...)
					if !r.cancels {
						send(h, http.MethodPost, shortJob)
						return
					}
					code := send(h, http.MethodDelete, "").Code
					mu.Lock()
					defer mu.Unlock()
					acked := code == http.StatusOK || code == http.StatusGone
					if acked && acknowledged.IsZero() {
						acknowledged = time.Now()
						if store.hasRecord() && !store.cancelled() {
							failure = fmt.Sprintf("acknowledged with %d, but stored and not cancelled", code)
						}
					}
				})
			}
			callers.Wait()
			store.pending.Wait()
			for _, at := range store.storedAt {
				if !acknowledged.IsZero() && at.After(acknowledged) {
					failure = fmt.Sprintf("stored at %v, after a cancellation was acknowledged at %v", at, acknowledged)
				}
			}
		})
		if failure != "" {
			rt.Fatal(failure)
		}
	})
}

// A long name of a tenant must not make the key longer than the store takes.
func TestKeyOfAWithdrawalIsBounded(t *testing.T) {
	const maxKeyBytes = 200
	names := []cluster.TenantName{"", "north", "a/b", cluster.TenantName(strings.Repeat("x", 500)), cluster.TenantName(strings.Repeat("x", 499) + "y")}
	seen := map[string]bool{}
	for _, name := range names {
		for _, queue := range []string{"", "q", "b/q", strings.Repeat("q", 500)} {
			key := layout.WithdrawalKey(testJob, name, queue)
			assert.Assert(t, len(key) <= maxKeyBytes && !seen[key], key)
			seen[key] = true
		}
	}
}
