package admissions

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/entry/layout"
	"github.com/tarragonreach/tarragonreach/platform/kv"
	"github.com/tarragonreach/tarragonreach/policy/admit"
	"github.com/tarragonreach/tarragonreach/policy/shard"
)

// watchedStore holds one key, whose changes its watches return.
type watchedStore struct {
	mu      sync.Mutex
	item    kv.Item
	changed chan struct{}
	calls   int
	silent  bool // it responds to nothing
}

func newWatchedStore() *watchedStore { return &watchedStore{changed: make(chan struct{})} }

func (s *watchedStore) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *watchedStore) put(value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.item = kv.Item{Key: layout.AdmissionKey("s"), Value: value, Revision: s.item.Revision + 1}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *watchedStore) All(ctx context.Context, _ string, _ kv.Consistency) ([]kv.Item, kv.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.silent {
		return nil, 0, context.DeadlineExceeded
	}
	if s.item.Revision == 0 {
		return nil, 0, nil
	}
	return []kv.Item{s.item}, s.item.Revision, nil
}

func (s *watchedStore) Watch(ctx context.Context, _ string, after kv.Revision, wait time.Duration) (kv.Events, error) {
	s.mu.Lock()
	s.calls++
	changed, item, silent := s.changed, s.item, s.silent
	s.mu.Unlock()
	if item.Revision > after {
		return kv.Events{Events: []kv.Event{{Item: item}}, AsOf: item.Revision}, nil
	}
	if silent {
		changed = nil
	}
	select {
	case <-changed:
		s.mu.Lock()
		defer s.mu.Unlock()
		return kv.Events{Events: []kv.Event{{Item: s.item}}, AsOf: s.item.Revision}, nil
	case <-time.After(wait):
		return kv.Events{AsOf: after}, nil
	case <-ctx.Done():
		return kv.Events{}, ctx.Err()
	}
}

type terms map[int64]bool // by token: whether the term is over

func (t terms) Over(_ layout.Duty, token int64) bool { return t[token] }

func rejecting(t *testing.T, token, sequence int64) []byte {
	t.Helper()
	value, err := json.Marshal(shard.Admission{
		Token: token, Sequence: sequence, AtMs: time.Now().UnixMilli(),
		Queues: map[string]shard.QueueWait{"q": {Objectives: []int64{0}, Sizes: []int64{0}, WaitMs: []int64{4000}}},
	})
	assert.NilError(t, err)
	return value
}

// valid reports whether the follower's knowledge counts now.
func valid(f *Follower) bool {
	k := f.Known("s")
	if k == nil {
		return false
	}
	return admit.Decide(k, admit.Request{ID: "00000000000000aa", Queue: "q"}, time.Now()).Rejected
}

func runFollower(t *testing.T, test func(f *Follower, store *watchedStore, over terms)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		store, over := newWatchedStore(), terms{}
		f := New(store, over, slog.New(slog.DiscardHandler))
		var running sync.WaitGroup
		running.Go(func() { f.Run(ctx) })
		test(f, store, over)
		cancel()
		running.Wait()
	})
}

// Without tenants nothing is read; while nothing is published, few calls are made.
func TestFollowerMakesFewCalls(t *testing.T) {
	runFollower(t, func(f *Follower, store *watchedStore, _ terms) {
		f.Enable(false)
		time.Sleep(time.Minute)
		assert.Equal(t, store.callCount(), 0)
		f.Enable(true)
		time.Sleep(time.Minute)
		assert.Assert(t, store.callCount() <= 10, "%d calls", store.callCount())
	})
}

func TestKnowledgeOfAnInstance(t *testing.T) {
	runFollower(t, func(f *Follower, store *watchedStore, over terms) {
		f.Enable(true)
		time.Sleep(time.Second)
		assert.Assert(t, !valid(f))
		publish := func(value []byte) {
			store.put(value)
			time.Sleep(2 * watchPause)
		}
		publish(rejecting(t, 2, 1))
		assert.Assert(t, valid(f))
		time.Sleep(admit.MaxAge)
		assert.Assert(t, !valid(f), "it is old")
		publish(rejecting(t, 2, 2))
		assert.Assert(t, valid(f))
		publish([]byte("{"))
		assert.Assert(t, !valid(f), "it is not readable")
		publish(rejecting(t, 2, 3))
		publish([]byte(`{"token":2,"seq":4,"atMs":1,"queues":{"q":{"o":[2,1]}}}`))
		assert.Assert(t, !valid(f), "it is malformed")
		publish(rejecting(t, 2, 5))
		over[2] = true
		assert.Assert(t, !valid(f), "its term is over")
		publish(rejecting(t, 3, 1))
		assert.Assert(t, valid(f), "a new owner")
		f.Enable(false)
		time.Sleep(time.Second)
		assert.Assert(t, f.Known("s") == nil, "tenants were removed from the configuration")
	})
}

// An instance that the store does not respond to knows nothing: it accepts, and the write decides.
func TestWithoutTheStoreNothingIsKnown(t *testing.T) {
	runFollower(t, func(f *Follower, store *watchedStore, _ terms) {
		store.put(rejecting(t, 2, 1))
		f.Enable(true)
		time.Sleep(100 * time.Millisecond)
		assert.Assert(t, valid(f))
		store.mu.Lock()
		store.silent = true
		store.mu.Unlock()
		time.Sleep(time.Minute)
		assert.Assert(t, !valid(f))
	})
}
