package host_test

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/api/job"
	"github.com/tarragonreach/tarragonreach/entry/intake"
	"github.com/tarragonreach/tarragonreach/entry/layout"
	"github.com/tarragonreach/tarragonreach/entry/operatorconfig"
	"github.com/tarragonreach/tarragonreach/entry/peers"
	"github.com/tarragonreach/tarragonreach/entry/storehealth"
	"github.com/tarragonreach/tarragonreach/platform/kv"
	"github.com/tarragonreach/tarragonreach/platform/standin"
	"github.com/tarragonreach/tarragonreach/platform/submission"
)

const (
	statusDeadline  = 3 * time.Second
	statusInstances = 5
	statusRevoke    = 5 * time.Second
	// statusReads is the store's rate of reads. The ratio to the jobs that are asked for is that of a day of
	// several times the usual size.
	statusReads = 200
	statusJobs  = 5 * statusReads
	// newJobs were accepted so late that stale reads don't see them.
	newJobs = statusReads / 2
)

// statusWorld is a deployment with tenants and strict revocation that has accepted many jobs.
type statusWorld struct {
	store         *faultyStore
	configVersion int64
	handlers      []http.Handler
	configs       []*operatorconfig.Follower
	stores        []*storehealth.Store
	network       *network
	key           string       // of callers
	relayed       atomic.Int64 // requests that instances have passed on
	stop          func()
}

func newStatusWorld(reads int) *statusWorld {
	w := &statusWorld{store: &faultyStore{Store: standin.NewStore()}, network: newNetwork(), key: "k"}
	w.configure(w.key)
	for n := range statusJobs {
		if n == statusJobs-newJobs {
			w.store.FreezeStaleReads(true)
		}
		value, err := layout.Encode(layout.State{Service: "terreni", Queue: "terreni", Tenant: "north", State: statusOf(n)})
		if err != nil {
			panic(err)
		}
		w.store.Put(layout.JobKey(statusID(n)), value)
	}
	w.store.SetRates(reads, 0)
	server := w.store.serve(w.network)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	var closers []func()
	for n := range statusInstances {
		self := peers.Peer{ID: fleet.InstanceID(fmt.Sprintf("front-%d", n)), Address: fmt.Sprintf("front-%d:7060", n)}
		dial := w.network.dial(string(self.ID))
		store := storehealth.New(kv.NewWithDial(storeAddress, dial), func(bool, int) {})
		w.stores = append(w.stores, store)
		options := operatorconfig.Options{ApplyWithin: 2 * configDelay, RevokeWithin: statusRevoke, BootClock: virtualBootClock()}
		logger := slog.New(slog.DiscardHandler)
		config := operatorconfig.New(storehealth.NewDedicated(kv.NewWithDial(storeAddress, dial), store), options, func(*cluster.Config) {}, logger, tally.NoopScope)
		running.Go(func() { store.Probe(ctx) })
		running.Go(func() { config.Run(ctx) })
		w.configs = append(w.configs, config)
		in := intake.New(store, config, func() bool { return false }, logger, tally.NoopScope)
		others := peers.New(store, self, dial, logger, tally.NoopScope)
		in.SetPeers(others)
		running.Go(func() { others.Run(ctx) })
		closers = append(closers, serveOn(w.network, self.Address, others.Handler(w.countRelayed(in.PeerHandler()))))
		w.handlers = append(w.handlers, in.Handler())
	}
	w.stop = func() {
		cancel()
		for _, stop := range closers {
			stop()
		}
		_ = server.Close() // ends all calls
		running.Wait()
		for _, store := range w.stores {
			store.CloseIdle()
		}
	}
	time.Sleep(configDelay)
	return w
}

// configure puts a configuration in force in which the jobs' tenant has the given key.
func (w *statusWorld) configure(key string) {
	w.configVersion++
	deployment := standin.Fleet{Store: w.store.Store}
	pools := []standin.PoolSpec{{Service: "terreni", Prefix: "/terreni/"}}
	if err := deployment.ConfigureTenants(pools, []standin.TenantSpec{{Name: "north", Keys: []string{key}}}, w.configVersion); err != nil {
		panic(err)
	}
}

// serveOn serves an address of the network, and returns a function that ends that.
func serveOn(n *network, address string, handler http.Handler) (stop func()) {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	listener := n.listen(address)
	go func() { _ = server.Serve(listener) }() // ends with Close
	return func() { _ = server.Close() }
}

// countRelayed counts the requests that are passed on to an instance.
func (w *statusWorld) countRelayed(next http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		w.relayed.Add(1)
		next.ServeHTTP(rw, r)
	})
}

func statusID(n int) job.ID { return job.ID(fmt.Sprintf("%016x", n+1)) }

func statusOf(n int) job.State {
	return []job.State{job.Completed, job.Running, job.Failed, job.Queued}[n%4]
}

// ask asks an instance for the status of a job, and returns what is wrong with the answer.
func (w *statusWorld) ask(n int) string {
	request := httptest.NewRequest(http.MethodGet, "/terreni/"+string(statusID(n)), nil)
	request.Host = standin.Host
	request.Header.Set("Authorization", "Bearer "+w.key)
	request.Header.Set(submission.HeaderDeadline, strconv.FormatInt(statusDeadline.Milliseconds(), 10))
	response := httptest.NewRecorder()
	sent := time.Now()
	w.handlers[n%statusInstances].ServeHTTP(response, request)
	if took := time.Since(sent); took > statusDeadline {
		return fmt.Sprintf("answered after %v", took)
	}
	if response.Code != http.StatusOK {
		return fmt.Sprintf("status %d", response.Code)
	}
	var body submission.StateBody
	if err := json.Unmarshal(response.Body.Bytes(), &body); err != nil || body.State != statusOf(n) {
		return fmt.Sprintf("state %q for one that is %q: %v", body.State, statusOf(n), err)
	}
	return ""
}

// maxListingTime is how long a listing of all jobs may take while the rate is exceeded: the rest of one
// second in which all reads are used up, and as long again for its retries.
const maxListingTime = 2 * time.Second

// listFor lists all jobs again and again, as an owner that takes over does, and returns the longest time
// from the beginning of a listing to its success.
func (w *statusWorld) listFor(d time.Duration) (longest time.Duration) {
	for began := time.Now(); time.Since(began) < d; time.Sleep(100 * time.Millisecond) {
		sent := time.Now()
		for {
			if _, _, err := w.stores[0].All(context.Background(), layout.JobsPrefix, kv.Linearizable); err == nil {
				break
			}
			time.Sleep(200 * time.Millisecond)
		}
		longest = max(longest, time.Since(sent))
	}
	return longest
}

// Guards against status requests that are refused since the store's rate of reads is exceeded by
// themselves, and against listings of jobs that starve beside them: all accepted jobs are asked for within a
// short time, several times as many as reads are served in a second.
func TestStatusRequestsBeyondTheStoresRateGetNoAnswer(t *testing.T) {
	for name, spread := range map[string]time.Duration{"at once": 0, "within a second": time.Second, "within three seconds": 3 * time.Second} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newStatusWorld(statusReads)
				defer w.stop()
				failures := make([]string, statusJobs)
				var callers sync.WaitGroup
				for n := range statusJobs {
					callers.Go(func() {
						time.Sleep(spread * time.Duration(n) / statusJobs)
						failures[n] = w.ask(n)
					})
				}
				var longestListing time.Duration
				callers.Go(func() { longestListing = w.listFor(spread + time.Second) })
				callers.Wait()
				assert.Assert(t, longestListing < maxListingTime, "%v", longestListing)
				counts := map[string]int{}
				for _, failure := range failures {
					if failure != "" {
						counts[failure]++
					}
				}
				assert.DeepEqual(t, counts, map[string]int{})
			})
		})
	}
}

// Guards against instances that take an exceeded rate for an outage, by which they refuse submissions and
// lose their callers, and against one that keeps its callers though the store rejects all of its calls.
func TestExceededRateLooksLikeAnOutage(t *testing.T) {
	for _, c := range []struct {
		name        string
		arrange     func(w *statusWorld)
		unavailable bool
	}{
		{"no reads within the rate", func(w *statusWorld) { w.store.SetRates(1, 0) }, false},
		{"all calls rejected", func(w *statusWorld) { w.store.begin(storeSpell{fault: storeRejects}) }, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newStatusWorld(0)
				defer w.stop()
				c.arrange(w)
				lost := 0
				for range 100 {
					time.Sleep(100 * time.Millisecond)
					for _, store := range w.stores {
						if _, unavailable := store.Unavailable(); unavailable {
							lost++
						}
					}
				}
				if c.unavailable {
					assert.Assert(t, lost > 80*statusInstances, "%d", lost)
				} else {
					assert.Equal(t, lost, 0)
				}
			})
		})
	}
}

// Guards against status requests that make several reads each while the store is slow, and by that exceed
// its rate: a timeout that is shorter than the store's latency loses responses that would come. Guards also against
// requests that are refused since these lost responses look like an outage.
func TestStatusRequestsAreRepeatedAtASlowStore(t *testing.T) {
	const (
		requests = 500
		spacing  = 20 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		w := newStatusWorld(0)
		defer w.stop()
		w.store.begin(storeSpell{fault: storeSlow, latency: 300 * time.Millisecond})
		before := w.store.Calls("/kv-key")
		var callers sync.WaitGroup
		for n := range requests {
			callers.Go(func() {
				time.Sleep(time.Duration(n) * spacing)
				if failure := w.ask(n); failure != "" {
					t.Errorf("request %d: %s", n, failure)
				}
			})
		}
		callers.Wait()
		reads := w.store.Calls("/kv-key") - before
		assert.Assert(t, reads < requests*3/2, "%d reads for %d requests", reads, requests)
	})
}
