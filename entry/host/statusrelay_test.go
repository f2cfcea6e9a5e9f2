package host_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/entry/layout"
	"github.com/tarragonreach/tarragonreach/platform/standin"
	"github.com/tarragonreach/tarragonreach/platform/submission"
)

// servedInstances is how many instances of a statusWorld the store still serves.
const servedInstances = 1

// longestPause is the longest time for which an instance passes nothing on, or not to one that gave no answer.
const longestPause = 10 * time.Second

// knownWithin is the time within which instances that start together know each other.
const knownWithin = 5 * time.Second

// newRelayWorld returns a statusWorld whose instances know each other.
func newRelayWorld() *statusWorld {
	w := newStatusWorld(0)
	w.store.FreezeStaleReads(false)
	time.Sleep(knownWithin)
	return w
}

// cutOffFromStore cuts all instances but the last servedInstances off from the store.
func (w *statusWorld) cutOffFromStore() {
	for n := range statusInstances - servedInstances {
		w.network.partition(fmt.Sprintf("front-%d", n), storeAddress)
	}
}

// Guards against status requests that get no answer, however often they are repeated, since the platform sends callers to
// instances that the store does not serve, while it serves others.
func TestStatusRequestsAtInstancesThatTheStoreDoesNotServeGetNoAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newRelayWorld()
		defer w.stop()
		w.cutOffFromStore()
		time.Sleep(statusRevoke)
		for n := range 100 {
			assert.Equal(t, w.ask(n), "", "job %d", n)
		}
	})
}

// Guards against status requests that spend all their time on a store that has just become silent for their instance,
// before that counts as unavailable.
func TestStatusRequestsRightAfterTheStoreIsLostGetNoAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newRelayWorld()
		defer w.stop()
		w.cutOffFromStore()
		var callers sync.WaitGroup
		for n := range 5 * statusInstances {
			callers.Go(func() { assert.Check(t, w.ask(n) == "", "job %d", n) })
		}
		callers.Wait()
	})
}

// Guards against instances that go on accepting a removed key, or refuse a valid one, since they pass on requests:
// keys are removed and added while the store serves one instance only.
func TestKeysOfRequestsThatArePassedOnAreOutdated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newRelayWorld()
		defer w.stop()
		w.cutOffFromStore()
		w.configure("l")
		time.Sleep(statusRevoke)
		assert.Equal(t, w.ask(0), "status 401")
		w.key = "l"
		assert.Equal(t, w.ask(0), "")
	})
}

// Guards against an entry of another writer among the registrations of instances: what responds there must not decide
// a request, and must not learn a key.
func TestAnswerOfWhatIsNoInstanceDecidesARequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newRelayWorld()
		defer w.stop()
		var asked atomic.Int64 // by surveys and requests at the same time
		odd := serveOn(w.network, "odd:1", http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			asked.Add(1)
			assert.Equal(t, r.Header.Get("Authorization"), "")
			rw.WriteHeader(http.StatusGone)
		}))
		defer odd()
		for n, address := range []string{"odd:1", "", "odd:99999"} {
			value, err := layout.Encode(layout.Instance{Address: address})
			assert.NilError(t, err)
			w.store.Put(layout.InstanceKey(fleet.InstanceID(fmt.Sprintf("odd-%d", n))), value)
		}
		w.store.Put(layout.InstancesPrefix, []byte("{"))
		time.Sleep(10 * time.Second)
		w.cutOffFromStore()
		time.Sleep(statusRevoke)
		served := fmt.Sprintf("front-%d:7060", statusInstances-servedInstances)
		for n := range statusInstances - servedInstances {
			instance := fmt.Sprintf("front-%d", n)
			w.network.partition(instance, served)
			assert.Equal(t, w.ask(n), "status 503") // all other peers were called, among them the odd one
			w.network.heal(instance, served)
		}
		assert.Equal(t, asked.Load(), int64(statusInstances-servedInstances))
		time.Sleep(longestPause)
		for n := range 100 {
			assert.Equal(t, w.ask(n), "", "job %d", n)
		}
	})
}

// Guards against instances that load each other with requests that none can answer.
func TestInstancesAskEachOtherWithoutPauseInAnOutageForAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newRelayWorld()
		defer w.stop()
		w.store.SetDown(true)
		time.Sleep(statusRevoke)
		const seconds = 20
		for n := range seconds * 50 {
			assert.Equal(t, w.ask(n%statusJobs), "status 503")
			time.Sleep(20 * time.Millisecond)
		}
		calls := w.relayed.Load()
		assert.Assert(t, calls > 0 && calls <= statusInstances*(statusInstances-1)*seconds, "%d", calls)
	})
}

// Guards against instances that are cut off from the store and from their peers, or from those that can answer, and hold
// requests in vain: the caller has time for a few attempts, and other instances can answer.
func TestInstancesThatAreCutOffFromTheirPeersHoldRequests(t *testing.T) {
	for name, reachable := range map[string]int{"from all": 0, "from those that can answer": statusInstances - servedInstances} {
		t.Run(name, func(t *testing.T) { checkHeldRequests(t, reachable) })
	}
}

// checkHeldRequests checks for how long requests are held by an instance that can reach only the first peers, which are
// cut off from the store as well.
func checkHeldRequests(t *testing.T, reachable int) {
	synctest.Test(t, func(t *testing.T) {
		w := newRelayWorld()
		defer w.stop()
		w.cutOffFromStore()
		for n := range statusInstances {
			for other := reachable; other < statusInstances; other++ {
				w.network.partition(fmt.Sprintf("front-%d", n), fmt.Sprintf("front-%d:7060", other))
			}
		}
		time.Sleep(statusRevoke)
		const (
			requests = 200
			spacing  = 100 * time.Millisecond
			// An attempt of a caller that takes longer leaves it too few.
			maxHold  = 500 * time.Millisecond
			meanHold = 50 * time.Millisecond
		)
		var held time.Duration
		for n := range requests {
			sent := time.Now()
			assert.Equal(t, w.ask(n*statusInstances%statusJobs), "status 503")
			took := time.Since(sent)
			assert.Assert(t, took <= maxHold, "%v", took)
			held += took
			time.Sleep(spacing)
		}
		assert.Assert(t, held <= requests*meanHold, "%v", held)
	})
}

// Guards against requests that are given up in favour of other instances while a store that is slow for all would answer
// them: a status request must be answered once the latency is known, and its first attempts must make it known.
func TestStatusRequestsAtAStoreThatIsSlowForAllGetNoAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newRelayWorld()
		defer w.stop()
		w.store.begin(storeSpell{fault: storeSlow, latency: 600 * time.Millisecond})
		for n := range 2 * statusInstances {
			w.ask(n)
		}
		for n := range 50 {
			assert.Equal(t, w.ask(n), "", "job %d", n)
		}
	})
}

// How a caller asks for a job.
const (
	// callerAttempts is how often it asks within its deadline.
	callerAttempts = 5
	// callerShare of the time that a caller has left bounds its wait before the next attempt.
	callerShare = 0.35
	// callerBackoff is its wait if it is told to come back at once.
	callerBackoff = 80 * time.Millisecond
)

// cutOff cuts the first n instances off from the store and from the other instances. They reach each other.
func (w *statusWorld) cutOff(n int) {
	for cut := range n {
		w.network.partition(fmt.Sprintf("front-%d", cut), storeAddress)
		for other := n; other < statusInstances; other++ {
			w.network.partition(fmt.Sprintf("front-%d", cut), fmt.Sprintf("front-%d:7060", other))
			w.network.partition(fmt.Sprintf("front-%d", other), fmt.Sprintf("front-%d:7060", cut))
		}
	}
}

// call makes a request for a job at an instance, whose caller waits for the given time.
func (w *statusWorld) call(method string, instance, job int, wait time.Duration) *httptest.ResponseRecorder {
	return w.callPath(method, instance, "/terreni/"+string(statusID(job)), wait)
}

func (w *statusWorld) callPath(method string, instance int, path string, wait time.Duration) *httptest.ResponseRecorder {
	request := httptest.NewRequest(method, path, strings.NewReader(`{"steps":[{"count":1}]}`))
	request.Host = standin.Host
	request.Header.Set("Authorization", "Bearer "+w.key)
	request.Header.Set(submission.HeaderDeadline, strconv.FormatInt(wait.Milliseconds(), 10))
	response := httptest.NewRecorder()
	w.handlers[instance].ServeHTTP(response, request)
	return response
}

// askAsCaller asks for a job at random instances, as callers do: with callerAttempts within statusDeadline.
func (w *statusWorld) askAsCaller(job int, random *rand.Rand) bool {
	deadline := time.Now().Add(statusDeadline)
	for range callerAttempts {
		response := w.call(http.MethodGet, random.IntN(statusInstances), job, time.Until(deadline))
		if response.Code == http.StatusOK {
			return true
		}
		wait := callerBackoff
		if retryAfter, err := strconv.Atoi(response.Header().Get("Retry-After")); err == nil && retryAfter > 0 {
			wait = min(time.Duration(retryAfter)*time.Second, time.Duration(callerShare*float64(time.Until(deadline))))
		}
		time.Sleep(wait)
	}
	return false
}

// Guards against jobs that get no answer since most instances of the zone are cut off from all but callers, and use up
// the callers' time: a few callers ask for all jobs one after the other within a limited time, and again for those without
// an answer.
func TestJobsGetNoAnswerWhereMostInstancesAreCutOff(t *testing.T) {
	const (
		callers = 25
		jobs    = 600
		within  = 14 * time.Second
		cut     = 3
	)
	synctest.Test(t, func(t *testing.T) {
		w := newRelayWorld()
		defer w.stop()
		w.cutOff(cut)
		time.Sleep(1500 * time.Millisecond)
		end := time.Now().Add(within)
		waiting := make(chan int, jobs)
		for n := range jobs {
			waiting <- n
		}
		var answered atomic.Int64
		var running sync.WaitGroup
		for n := range callers {
			random := rand.New(rand.NewPCG(1, uint64(n)))
			running.Go(func() {
				for time.Now().Before(end) {
					select {
					case job := <-waiting:
						if w.askAsCaller(job, random) {
							answered.Add(1)
						} else {
							waiting <- job
						}
					default:
						time.Sleep(callerBackoff)
					}
				}
			})
		}
		running.Wait()
		assert.Equal(t, answered.Load(), int64(jobs))
	})
}

// Guards against instances that are cut off from all but callers and hold requests in vain, or tell callers to wait that
// others can answer at once.
func TestInstancesThatAreCutOffDoNotRefuseAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newRelayWorld()
		defer w.stop()
		const (
			cut = 3
			// knownAfter is the time within which an instance without callers learns that it is cut off: the
			// interval of its reads of the configuration, the silence of the store and a survey. Its configuration
			// is then still recent.
			knownAfter = 2 * time.Second
			requests   = 300
			spacing    = 20 * time.Millisecond
		)
		w.cutOff(cut)
		time.Sleep(knownAfter)
		for n := range requests {
			instance, sent := n%cut, time.Now()
			responses := map[string]*httptest.ResponseRecorder{
				"status":       w.call(http.MethodGet, instance, n, statusDeadline),
				"submission":   w.call(http.MethodPost, instance, n, statusDeadline),
				"cancellation": w.call(http.MethodDelete, instance, n, statusDeadline),
				"count":        w.callPath(http.MethodGet, instance, "/terreni/", statusDeadline),
			}
			for name, response := range responses {
				assert.Equal(t, response.Code, http.StatusServiceUnavailable, "%s", name)
				assert.Equal(t, response.Header().Get("Retry-After"), "0", "%s", name)
				assert.Equal(t, response.Header().Get("Connection"), "close", "%s", name)
			}
			assert.Equal(t, time.Since(sent), time.Duration(0))
			time.Sleep(spacing)
		}
	})
}

// Guards against requests that were in progress when an instance was cut off and are held until their deadline: their
// callers' next attempts have no time left.
func TestRequestsInProgressAtACutAreHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newRelayWorld()
		defer w.stop()
		const (
			cut = 3
			// maxHold is the silence of the store and a survey, each with a check that follows.
			maxHold = 1 * time.Second
		)
		w.cutOff(cut)
		var callers sync.WaitGroup
		for n := range 20 * cut {
			callers.Go(func() {
				sent := time.Now()
				assert.Check(t, w.call(http.MethodGet, n%cut, n, statusDeadline).Code == http.StatusServiceUnavailable)
				assert.Check(t, time.Since(sent) <= maxHold, "%v", time.Since(sent))
			})
		}
		callers.Wait()
	})
}

// Guards against callers that use up their attempts in an outage of the store for all since they are told to come back at
// once, also if one instance has ended.
func TestCallersAreToldToComeBackAtOnceInAnOutageForAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newRelayWorld()
		defer w.stop()
		for n := range statusInstances {
			w.network.partition(fmt.Sprintf("front-%d", n), "front-0:7060")
		}
		w.store.SetDown(true)
		for range 200 {
			time.Sleep(50 * time.Millisecond)
			for instance := 1; instance < statusInstances; instance++ {
				assert.Assert(t, w.call(http.MethodGet, instance, instance, time.Second).Header().Get("Retry-After") != "0")
			}
		}
	})
}
