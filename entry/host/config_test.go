package host_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	_ "github.com/tarragonreach/tarragonreach/api/rapidseed"
	"github.com/tarragonreach/tarragonreach/entry/intake"
	"github.com/tarragonreach/tarragonreach/entry/operatorconfig"
	"github.com/tarragonreach/tarragonreach/entry/storehealth"
	"github.com/tarragonreach/tarragonreach/platform/kv"
	"github.com/tarragonreach/tarragonreach/platform/standin"
)

// configDelay is half of the time within which a configuration must be in force.
const configDelay = 1 * time.Second

// storeFault is how the store treats calls while it is disrupted.
type storeFault int

const (
	storeWorks storeFault = iota
	storeSlow             // responses take storeSpell.latency
	storeSilent
	storeRefuses
	watchesSilent     // watches return no events
	connectionsSilent // connections that were open at the beginning never respond again
	storeFaults       // number of faults that drawDisruption draws
	responsesLost     // calls take effect and get no response
	storeRejects      // all calls get 429, as from a store that rejects a machine
	readsSilent       // reads and watches, also those in progress, get no response; writes do
)

type storeSpell struct {
	fault   storeFault
	latency time.Duration
	began   time.Time
}

// silences reports whether a call that began before the spell gets no response.
func (s storeSpell) silences(r *http.Request) bool {
	return s.fault == readsSilent && r.Method == http.MethodGet
}

// faultyStore serves a stand-in store through spells of faults.
type faultyStore struct {
	*standin.Store
	mu          sync.Mutex
	spell       storeSpell
	silentSince time.Time // connections opened before then never respond
}

type openedKey struct{}

func (s *faultyStore) serve(n *network) *http.Server {
	server := &http.Server{
		Handler: s, ReadHeaderTimeout: time.Minute,
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			return context.WithValue(ctx, openedKey{}, time.Now())
		},
	}
	listener := n.listen(storeAddress)
	go func() { _ = server.Serve(listener) }() // ends with Close
	return server
}

func (s *faultyStore) begin(spell storeSpell) {
	s.mu.Lock()
	defer s.mu.Unlock()
	spell.began = time.Now()
	s.spell = spell
	s.Store.SuppressWatchEvents(spell.fault == watchesSilent)
	if spell.fault == connectionsSilent {
		s.silentSince = spell.began
	}
}

func (s *faultyStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	spell := s.spell
	opened, _ := r.Context().Value(openedKey{}).(time.Time)
	silent := opened.Before(s.silentSince)
	s.mu.Unlock()
	switch {
	case silent || spell.fault == storeSilent, spell.silences(r):
		hang(r)
	case spell.fault == storeRefuses:
		w.WriteHeader(http.StatusServiceUnavailable)
	case spell.fault == storeRejects:
		w.WriteHeader(http.StatusTooManyRequests)
	case spell.fault == responsesLost:
		s.Store.ServeHTTP(httptest.NewRecorder(), r)
		hang(r)
	default:
		s.respondLate(w, r, spell.latency)
	}
}

// hang waits until the caller disconnects, which the server notices once the body has been read.
func hang(r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // the caller may have disconnected
	<-r.Context().Done()
}

// respondLate sends the present response after a while.
func (s *faultyStore) respondLate(w http.ResponseWriter, r *http.Request, latency time.Duration) {
	recorder := httptest.NewRecorder()
	s.Store.ServeHTTP(recorder, r)
	select {
	case <-r.Context().Done():
		return
	case <-time.After(latency + time.Millisecond):
	}
	s.mu.Lock()
	spell := s.spell
	s.mu.Unlock()
	if spell.silences(r) {
		hang(r)
		return
	}
	w.WriteHeader(recorder.Code)
	_, _ = w.Write(recorder.Body.Bytes()) // the caller may have disconnected
}

// disruption is a spell, and the time between its end and the next change.
type disruption struct {
	spell    storeSpell
	duration time.Duration
	pause    time.Duration
}

func drawDisruption(t *rapid.T) disruption {
	milliseconds := func(name string, minimum, maximum int) time.Duration {
		return time.Duration(rapid.IntRange(minimum, maximum).Draw(t, name)) * time.Millisecond
	}
	d := disruption{
		spell:    storeSpell{fault: storeFault(rapid.IntRange(int(storeWorks)+1, int(storeFaults)-1).Draw(t, "fault"))},
		duration: milliseconds("duration ms", 300, 9000),
		pause:    milliseconds("pause ms", 0, 2000),
	}
	if d.spell.fault == storeSlow {
		d.spell.latency = milliseconds("latency ms", 100, 6000)
	}
	return d
}

// checkDisruptions checks in virtual time that no drawn disruptions yield a violation.
func checkDisruptions(t *testing.T, violationOf func([]disruption) string) {
	rapid.Check(t, func(rt *rapid.T) {
		disruptions := rapid.SliceOfN(rapid.Custom(drawDisruption), 1, 3).Draw(rt, "disruptions")
		var violation string
		synctest.Test(t, func(*testing.T) { violation = violationOf(disruptions) })
		assert.Equal(rt, violation, "")
	})
}

// Whatever call is in flight when the store recovers, a configuration is in force within
// configDelay of the recovery and its acknowledgement.
func TestConfigurationIsInForceSoonAfterTheStoreRecovers(t *testing.T) {
	checkDisruptions(t, configDelayViolation)
}

func configDelayViolation(disruptions []disruption) string {
	o := newConfigOperator()
	defer o.stop()
	for _, d := range disruptions {
		o.store.begin(d.spell)
		time.Sleep(d.duration / 2)
		o.configure()
		time.Sleep(d.duration / 2)
		o.store.begin(storeSpell{})
		time.Sleep(d.pause)
		o.configure()
		time.Sleep(configDelay)
		if inForce := o.follower.Current().Version; inForce != o.version {
			return fmt.Sprintf("%+v: version %d is in force, want %d", d, inForce, o.version)
		}
		if age := o.follower.Age(); age > configDelay {
			return fmt.Sprintf("%+v: the configuration was confirmed %v ago", d, age)
		}
	}
	return ""
}

// While the store does not respond to an instance, and right after it does again, the instance
// refuses no queue as unknown that was added longer ago than a configuration may take to be in
// force.
func TestAddedQueueIsNotUnknownToAnInstanceThatTheStoreRejects(t *testing.T) {
	checkDisruptions(t, unknownQueueViolation)
}

func unknownQueueViolation(disruptions []disruption) string {
	const interval = 100 * time.Millisecond
	o := newConfigOperator()
	defer o.stop()
	for _, d := range disruptions {
		o.store.begin(d.spell)
		o.configure()
		time.Sleep(2 * configDelay)
		for waited := time.Duration(0); waited < d.duration; waited += interval {
			if o.newestQueueUnknown() {
				return fmt.Sprintf("%+v: unknown %v after the change", d, 2*configDelay+waited)
			}
			time.Sleep(interval)
		}
		o.store.begin(storeSpell{})
		if o.newestQueueUnknown() {
			return fmt.Sprintf("%+v: unknown after the disruption", d)
		}
		time.Sleep(2 * configDelay)
	}
	return ""
}

// configOperator changes the configuration of an instance and makes requests to it.
type configOperator struct {
	store    *faultyStore
	fleet    standin.Fleet
	version  int64
	follower *operatorconfig.Follower
	handler  http.Handler
	stop     func()
}

func newConfigOperator() *configOperator {
	network := newNetwork()
	store := &faultyStore{Store: standin.NewStore()}
	server := store.serve(network)
	o := &configOperator{store: store, fleet: standin.Fleet{Store: store.Store}}
	o.configure()
	follower, health, stop := followConfig(network)
	o.follower = follower
	o.handler = intake.New(health, follower, func() bool { return false }, slog.New(slog.DiscardHandler), tally.NoopScope).Handler()
	o.stop = func() {
		_ = server.Close() // ends all calls
		stop()
	}
	time.Sleep(configDelay)
	return o
}

// configure replaces the queue by a new one.
func (o *configOperator) configure() {
	o.version++
	pool := standin.PoolSpec{Service: "terreni", Prefix: o.newestPrefix()}
	if err := o.fleet.Configure([]standin.PoolSpec{pool}, o.version); err != nil {
		panic(err)
	}
}

func (o *configOperator) newestPrefix() string { return fmt.Sprintf("/terreni-%d/", o.version) }

// newestQueueUnknown reports whether the instance says that the newest queue does not exist.
func (o *configOperator) newestQueueUnknown() bool {
	request := httptest.NewRequest(http.MethodGet, o.newestPrefix(), nil)
	request.Host = standin.Host
	response := httptest.NewRecorder()
	o.handler.ServeHTTP(response, request)
	return response.Code == http.StatusNotFound
}

// followConfig starts a follower as an instance does, and returns a function that stops it.
func followConfig(n *network) (*operatorconfig.Follower, *storehealth.Store, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	dial := n.dial("front-0")
	store := storehealth.New(kv.NewWithDial(storeAddress, dial), func(bool, int) {})
	reads := storehealth.NewDedicated(kv.NewWithDial(storeAddress, dial), store)
	follower := operatorconfig.New(reads, operatorconfig.Options{ApplyWithin: 2 * configDelay, BootClock: virtualBootClock()}, func(*cluster.Config) {}, slog.New(slog.DiscardHandler), tally.NoopScope)
	var running sync.WaitGroup
	running.Go(func() { store.Probe(ctx) })
	running.Go(func() { follower.Run(ctx) })
	return follower, store, func() {
		cancel()
		running.Wait()
		store.CloseIdle()
	}
}

// virtualBootClock returns the boot clock of a machine that is never suspended, in virtual time.
func virtualBootClock() func() time.Duration {
	booted := time.Now()
	return func() time.Duration { return time.Since(booted) }
}
