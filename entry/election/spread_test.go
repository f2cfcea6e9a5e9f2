package election

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	_ "github.com/tarragonreach/tarragonreach/api/rapidseed"
	"github.com/tarragonreach/tarragonreach/api/verdict"
	"github.com/tarragonreach/tarragonreach/entry/layout"
	"github.com/tarragonreach/tarragonreach/platform/kv"
)

// storeLatency is how long each call to the store of these tests takes.
const storeLatency = 4 * time.Millisecond

// memoryStore is an in-memory store for tests in virtual time. Its leases never expire.
type memoryStore struct {
	mu       sync.Mutex
	revision kv.Revision
	leases   kv.LeaseID
	items    map[string]kv.Item
	events   []kv.Event
	changed  chan struct{}
}

func newMemoryStore() *memoryStore {
	return &memoryStore{items: map[string]kv.Item{}, changed: make(chan struct{})}
}

func (s *memoryStore) record(e kv.Event) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *memoryStore) All(_ context.Context, prefix string, _ kv.Consistency) ([]kv.Item, kv.Revision, error) {
	time.Sleep(storeLatency)
	s.mu.Lock()
	defer s.mu.Unlock()
	var items []kv.Item
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) {
			items = append(items, item)
		}
	}
	return items, s.revision, nil
}

func (s *memoryStore) Watch(ctx context.Context, prefix string, after kv.Revision, wait time.Duration) (kv.Events, error) {
	time.Sleep(storeLatency)
	deadline := time.After(wait)
	for {
		s.mu.Lock()
		response := kv.Events{AsOf: s.revision}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
				response.Events = append(response.Events, e)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(response.Events) > 0 {
			return response, nil
		}
		select {
		case <-changed:
		case <-deadline:
			return response, nil
		case <-ctx.Done():
			return kv.Events{}, ctx.Err()
		}
	}
}

func (s *memoryStore) Get(_ context.Context, key string) (kv.Item, error) {
	time.Sleep(storeLatency)
	s.mu.Lock()
	defer s.mu.Unlock()
	item, found := s.items[key]
	if !found {
		return kv.Item{}, kv.ErrNotFound
	}
	return item, nil
}

func (s *memoryStore) Txn(_ context.Context, t kv.Txn) (kv.TxnResult, error) {
	time.Sleep(storeLatency)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range t.Conditions {
		if s.items[c.Key].Revision != c.Revision {
			return kv.TxnResult{Current: []kv.Item{s.items[c.Key]}}, nil
		}
	}
	s.revision++
	for _, p := range t.Puts {
		item := kv.Item{Key: p.Key, Value: p.Value, Revision: s.revision, Created: s.revision, Lease: p.Lease}
		s.items[p.Key] = item
		s.record(kv.Event{Item: item})
	}
	for _, key := range t.Deletes {
		s.remove(key)
	}
	return kv.TxnResult{Applied: true, Revision: s.revision}, nil
}

func (s *memoryStore) remove(key string) {
	delete(s.items, key)
	s.record(kv.Event{Item: kv.Item{Key: key, Revision: s.revision}, Removed: true})
}

func (s *memoryStore) Grant(_ context.Context, ttl time.Duration) (kv.Lease, error) {
	time.Sleep(storeLatency)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leases++
	return kv.Lease{ID: s.leases, TTL: ttl}, nil
}

func (s *memoryStore) KeepAlive(context.Context, kv.LeaseID) error {
	time.Sleep(storeLatency)
	return nil
}

func (s *memoryStore) Revoke(_ context.Context, id kv.LeaseID) error {
	time.Sleep(storeLatency)
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, item := range s.items {
		if item.Lease == id {
			s.revision++
			s.remove(key)
		}
	}
	return nil
}

var testDuties = []layout.Duty{
	layout.FleetDuty, layout.ServiceDuty("a"), layout.ServiceDuty("b"), layout.ServiceDuty("c"), layout.ServiceDuty("d"),
}

// candidate is an instance that campaigns for all duties.
type candidate struct {
	id         string
	cores      float64
	startDelay time.Duration // after the start of the test
	// configDelay is how much later it receives the configuration, which names the services.
	configDelay time.Duration

	mu   sync.Mutex
	held []layout.Duty
}

func (c *candidate) run(ctx context.Context, store Store) {
	time.Sleep(c.startDelay)
	e := New(store, fleet.InstanceID(c.id), "z", c.cores, slog.New(slog.DiscardHandler))
	var running sync.WaitGroup
	running.Go(func() { e.Follow(ctx) })
	for _, duty := range testDuties {
		running.Go(func() {
			if duty != layout.FleetDuty {
				time.Sleep(c.configDelay)
			}
			e.Campaign(ctx, duty, func(ctx context.Context, _ Term) {
				c.mu.Lock()
				c.held = append(c.held, duty)
				c.mu.Unlock()
				<-ctx.Done()
			})
		})
	}
	running.Wait()
}

func (c *candidate) duties() []layout.Duty {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.held)
}

// runCandidates lets the candidates campaign for a time and returns the duties that each
// one has held, by ID.
func runCandidates(t *testing.T, candidates []*candidate, d time.Duration) map[string][]layout.Duty {
	return runCandidatesOn(t, candidates, d, func(s *memoryStore) Store { return s })
}

// runCandidatesOn is runCandidates with a store that wraps the one in memory.
func runCandidatesOn(t *testing.T, candidates []*candidate, d time.Duration, wrap func(*memoryStore) Store) map[string][]layout.Duty {
	held := map[string][]layout.Duty{}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		store := wrap(newMemoryStore())
		var running sync.WaitGroup
		for _, c := range candidates {
			running.Go(func() { c.run(ctx, store) })
		}
		time.Sleep(d)
		for _, c := range candidates {
			held[c.id] = c.duties()
		}
		cancel()
		running.Wait()
	})
	return held
}

// All instances are killed and start again within 0.2 s: none of them claims more than one
// duty. In incident agrisportello-sched-grown inc1 the first one claimed three services at
// once and could not start all their jobs.
func TestDutiesVacantTogetherGoToDifferentInstances(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		var candidates []*candidate
		configDelay := time.Duration(rapid.IntRange(0, 1000).Draw(r, "config delay ms")) * time.Millisecond
		add := func(kind string, cores float64, count int) {
			for i := range count {
				startDelay := time.Duration(rapid.IntRange(0, 200).Draw(r, "start delay ms")) * time.Millisecond
				candidates = append(candidates, &candidate{id: fmt.Sprintf("%s-%d", kind, i), cores: cores, startDelay: startDelay, configDelay: configDelay})
			}
		}
		add("large", 0.8, rapid.IntRange(len(testDuties), 8).Draw(r, "large"))
		add("small", 0.19, rapid.IntRange(0, 8).Draw(r, "small"))
		heldCount := 0
		for id, duties := range runCandidates(t, candidates, 3*time.Second) {
			heldCount += len(duties)
			if len(duties) > 1 {
				r.Fatalf("%s holds %v", id, duties)
			}
			if strings.HasPrefix(id, "small") && len(duties) > 0 {
				r.Fatalf("%s with little CPU capacity holds %v", id, duties)
			}
		}
		assert.Equal(r, heldCount, len(testDuties))
	})
}

// The only remaining instance claims all duties within two seconds.
func TestLastInstanceTakesAllDuties(t *testing.T) {
	alone := &candidate{id: "alone", cores: 0.8}
	held := runCandidates(t, []*candidate{alone}, 2*time.Second)
	assert.Equal(t, len(held["alone"]), len(testDuties))
}

// refusingStore refuses leases, and thus claims, for a time, as a rate-limited store does.
type refusingStore struct {
	*memoryStore
	until time.Time
}

var errRefused = verdict.New(verdict.NotRun, "refused", "no writes for now")

func (s refusingStore) Grant(ctx context.Context, ttl time.Duration) (kv.Lease, error) {
	if time.Now().Before(s.until) {
		return kv.Lease{}, errRefused
	}
	return s.memoryStore.Grant(ctx, ttl)
}

// The store refuses claims until the claim delays of all instances are over for all duties.
// When it accepts them again, no instance claims more than one duty.
func TestDutiesThatCouldNotBeClaimedGoToDifferentInstances(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		refused := time.Duration(rapid.IntRange(0, 4000).Draw(r, "refused ms")) * time.Millisecond
		var candidates []*candidate
		for i := range 8 {
			startDelay := time.Duration(rapid.IntRange(0, 200).Draw(r, "start delay ms")) * time.Millisecond
			candidates = append(candidates, &candidate{id: fmt.Sprint(i), cores: 0.8, startDelay: startDelay})
		}
		for id, duties := range runCandidatesOn(t, candidates, refused+2*time.Second, func(s *memoryStore) Store {
			return refusingStore{s, time.Now().Add(refused)}
		}) {
			if len(duties) > 1 {
				r.Fatalf("%s holds %v", id, duties)
			}
		}
	})
}
