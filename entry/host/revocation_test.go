package host_test

import (
	"context"
	"fmt"
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
	"pgregory.net/rapid"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/job"
	"github.com/tarragonreach/tarragonreach/entry/intake"
	"github.com/tarragonreach/tarragonreach/entry/layout"
	"github.com/tarragonreach/tarragonreach/entry/operatorconfig"
	"github.com/tarragonreach/tarragonreach/entry/storehealth"
	"github.com/tarragonreach/tarragonreach/platform/kv"
	"github.com/tarragonreach/tarragonreach/platform/standin"
)

// keyStep is one step of a schedule: the store changes its behavior, then the keys change, in the
// middle of a suspension if there is one. Any of it may be absent.
type keyStep struct {
	spell     storeSpell
	before    time.Duration // from the change of the store to that of the keys
	change    keyChange
	suspended time.Duration
	late      time.Duration // by which the reading of the clock is late from now on, before and after it
	after     time.Duration
}

type keyChange int

const (
	keepKeys keyChange = iota
	addKey
	removeKey
	keyChanges // number of changes
)

// keyFaults are the faults of a step. The last ones hide changes of the keys and let jobs be stored, and
// are drawn more often.
var keyFaults = []storeFault{
	storeWorks, storeSilent, storeRefuses, watchesSilent, connectionsSilent, responsesLost, storeSlow, storeSlow, readsSilent, readsSilent, readsSilent,
}

func drawKeyStep(t *rapid.T) keyStep {
	milliseconds := func(name string, values ...int) time.Duration {
		return time.Duration(rapid.SampledFrom(values).Draw(t, name)) * time.Millisecond
	}
	s := keyStep{
		spell:     storeSpell{fault: rapid.SampledFrom(keyFaults).Draw(t, "fault")},
		before:    milliseconds("before ms", 0, 1, 60, 250, 700, 1600, 3000),
		change:    keyChange(rapid.IntRange(0, int(keyChanges)-1).Draw(t, "change")),
		suspended: milliseconds("suspended ms", 0, 0, 0, 300, 1500, 4200, 60000),
		late:      milliseconds("late ms", 0, 0, 0, 20, 400, 1700),
		after:     milliseconds("after ms", 0, 1, 250, 700, 1600, 2300, 4000),
	}
	if s.spell.fault == storeSlow {
		s.spell.latency = milliseconds("latency ms", 100, 500, 1200, 1900, 2500, 2900, 4000)
	}
	return s
}

// apiKey is a key of the only tenant. Times are true times.
type apiKey struct {
	text             string
	added, removed   time.Duration // acknowledgements
	isAdded, isGone  bool
	neverInAnyConfig bool
}

// keyRequest is a submission and what became of it.
type keyRequest struct {
	key         *apiKey
	id          job.ID
	sent, ended time.Duration
	status      int
	retryAfter  string
}

// keyWorld is an instance whose operator changes the keys, and a caller that sends each of them.
type keyWorld struct {
	strict    time.Duration
	started   time.Time
	suspended atomic.Int64 // by how much true time is ahead of the instance's monotonic time
	late      atomic.Int64

	store    *faultyStore
	fleet    standin.Fleet
	follower *operatorconfig.Follower
	handler  http.Handler
	stop     func()

	version  int64
	keys     []*apiKey
	requests []*keyRequest
	pending  sync.WaitGroup
}

// now returns the true time, which the boot clock shows.
func (w *keyWorld) now() time.Duration {
	return time.Since(w.started) + time.Duration(w.suspended.Load())
}

// Knowledge implements intake.Configuration, with delays around the reading of the clocks.
func (w *keyWorld) Knowledge() operatorconfig.Knowledge {
	late := time.Duration(w.late.Load())
	time.Sleep(late)
	defer time.Sleep(late)
	return w.follower.Knowledge()
}

// AwaitRecent implements intake.Configuration.
func (w *keyWorld) AwaitRecent(ctx context.Context) operatorconfig.Knowledge {
	defer time.Sleep(time.Duration(w.late.Load()))
	return w.follower.AwaitRecent(ctx)
}

func newKeyWorld(strict time.Duration) *keyWorld {
	w := &keyWorld{strict: strict, started: time.Now(), store: &faultyStore{Store: standin.NewStore()}}
	w.fleet = standin.Fleet{Store: w.store.Store}
	w.keys = []*apiKey{{text: "never", neverInAnyConfig: true}}
	w.apply(addKey)
	network := newNetwork()
	server := w.store.serve(network)
	dial := network.dial("front-0")
	health := storehealth.New(kv.NewWithDial(storeAddress, dial), func(bool, int) {})
	reads := storehealth.NewDedicated(kv.NewWithDial(storeAddress, dial), health)
	options := operatorconfig.Options{ApplyWithin: 2 * configDelay, RevokeWithin: strict, BootClock: w.now}
	w.follower = operatorconfig.New(reads, options, func(*cluster.Config) {}, slog.New(slog.DiscardHandler), tally.NoopScope)
	w.handler = intake.New(health, w, func() bool { return false }, slog.New(slog.DiscardHandler), tally.NoopScope).Handler()
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { health.Probe(ctx) })
	running.Go(func() { w.follower.Run(ctx) })
	w.stop = func() {
		_ = server.Close() // ends all calls
		cancel()
		running.Wait()
		health.CloseIdle()
	}
	time.Sleep(configDelay)
	return w
}

// apply adds a key, or removes the oldest one.
func (w *keyWorld) apply(change keyChange) {
	if change == keepKeys {
		return
	}
	var removed *apiKey
	if change == addKey {
		w.keys = append(w.keys, &apiKey{text: fmt.Sprintf("key-%d", len(w.keys))})
	}
	tenant := standin.TenantSpec{Name: "north", Keys: []string{}}
	for _, key := range w.keys {
		switch {
		case key.neverInAnyConfig || key.isGone:
		case change == removeKey && removed == nil:
			removed = key
		default:
			tenant.Keys = append(tenant.Keys, key.text)
		}
	}
	w.version++
	pools := []standin.PoolSpec{{Service: "terreni", Prefix: "/terreni/"}}
	if err := w.fleet.ConfigureTenants(pools, []standin.TenantSpec{tenant}, w.version); err != nil {
		panic(err)
	}
	if removed != nil {
		removed.removed, removed.isGone = w.now(), true
	}
	if last := w.keys[len(w.keys)-1]; change == addKey {
		last.added, last.isAdded = w.now(), true
	}
}

// send sends a submission with each key.
func (w *keyWorld) send() {
	for _, key := range w.keys {
		r := &keyRequest{key: key, id: job.ID(fmt.Sprintf("%016x", len(w.requests))), sent: w.now()}
		w.requests = append(w.requests, r)
		w.pending.Go(func() {
			request := httptest.NewRequest(http.MethodPost, "/terreni/"+string(r.id), strings.NewReader(`{"steps":[{"count":1}]}`))
			request.Host = standin.Host
			request.Header.Set("Authorization", "Bearer "+key.text)
			response := httptest.NewRecorder()
			w.handler.ServeHTTP(response, request)
			r.status, r.retryAfter, r.ended = response.Code, response.Header().Get("Retry-After"), w.now()
		})
	}
}

// run runs a schedule, with requests all the time.
func (w *keyWorld) run(steps []keyStep) {
	for _, s := range steps {
		w.store.begin(s.spell)
		w.late.Store(int64(s.late))
		w.sendFor(s.before)
		w.suspended.Add(int64(s.suspended / 2))
		w.apply(s.change)
		w.suspended.Add(int64(s.suspended / 2))
		w.sendFor(s.after)
	}
	w.late.Store(0)
	w.store.begin(storeSpell{})
	time.Sleep(2 * configDelay)
	w.send()
	w.pending.Wait()
}

// sendFor sends submissions at the beginning of a time and during it.
func (w *keyWorld) sendFor(duration time.Duration) {
	const interval = 150 * time.Millisecond
	for waited := time.Duration(0); waited <= duration; waited += interval {
		w.send()
		time.Sleep(min(interval, duration-waited))
	}
}

// violation returns what a request got that it must not get, or "".
func (w *keyWorld) violation(last bool, r *keyRequest) string {
	_, stored := w.store.Get(layout.JobKey(r.id))
	bound := 2 * configDelay
	if w.strict > 0 {
		bound = min(bound, w.strict)
	}
	removed := r.key.isGone && r.sent > r.key.removed+bound
	present := r.key.isAdded && r.sent > r.key.added+2*configDelay && (!r.key.isGone || r.ended < r.key.removed)
	switch ran := stored || r.status == http.StatusOK; {
	case ran && r.key.neverInAnyConfig:
		return "ran with a key that was never configured"
	case ran && removed:
		return "ran with a removed key"
	case stored && r.status != http.StatusOK && r.status != http.StatusGatewayTimeout:
		return "was stored in spite of its response"
	case r.status == http.StatusUnauthorized && present:
		return "was refused with a valid key"
	case r.status == http.StatusServiceUnavailable && r.retryAfter == "":
		return "got no Retry-After"
	case last && present && r.status != http.StatusOK, last && removed && r.status != http.StatusUnauthorized:
		return "was not decided although the store responds"
	}
	return ""
}

// No request that is sent later than the bound after the acknowledgement of the removal of its key
// is run, none with a key that was added is refused with 401, and none that is refused is stored,
// whatever the store does, while the instance is suspended, and when it reads its clock late.
func TestRemovedKeysAreRevokedAndAddedOnesAcceptedInTime(t *testing.T) {
	var ran, unauthorized, undecided atomic.Int64
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(drawKeyStep), 1, 8).Draw(rt, "steps")
		strict := time.Duration(rapid.SampledFrom([]int{0, 700, 700, 5000}).Draw(rt, "revoke ms")) * time.Millisecond
		var violation string
		synctest.Test(t, func(*testing.T) {
			w := newKeyWorld(strict)
			defer w.stop()
			w.run(steps)
			for n, r := range w.requests {
				if found := w.violation(n >= len(w.requests)-len(w.keys), r); found != "" && violation == "" {
					violation = fmt.Sprintf("%s: %+v with key %+v", found, *r, *r.key)
				}
				switch r.status {
				case http.StatusOK:
					ran.Add(1)
				case http.StatusUnauthorized:
					unauthorized.Add(1)
				case http.StatusServiceUnavailable:
					undecided.Add(1)
				}
			}
		})
		assert.Equal(rt, violation, "")
	})
	t.Logf("%d requests ran, %d got 401, %d got 503", ran.Load(), unauthorized.Load(), undecided.Load())
	assert.Assert(t, ran.Load() > 0 && unauthorized.Load() > 0 && undecided.Load() > 0) // else the schedules test nothing
}
