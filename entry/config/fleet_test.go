package config

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing/synctest"
	"time"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/api/object"
	"github.com/tarragonreach/tarragonreach/api/verdict"
	"github.com/tarragonreach/tarragonreach/platform"
	"github.com/tarragonreach/tarragonreach/platform/memory"
)

// lateStore fails some creates with a lost connection and executes them later.
type lateStore struct {
	platform.Store
	mu     sync.Mutex
	random *rand.Rand
	// percent is the share of creates that are late, by up to maxLateness.
	percent int
}

const maxLateness = 8 * time.Second

// Create implements platform.Store.
func (s *lateStore) Create(ctx context.Context, key string, value []byte, lease platform.LeaseID) (platform.Revision, error) {
	s.mu.Lock()
	late := s.random.IntN(100) < s.percent
	after := time.Duration(s.random.Int64N(int64(maxLateness)))
	s.mu.Unlock()
	if !late {
		return s.Store.Create(ctx, key, value, lease)
	}
	go func() {
		time.Sleep(after)
		_, _ = s.Store.Create(context.WithoutCancel(ctx), key, value, lease)
	}()
	return 0, verdict.New(verdict.MayHaveRun, verdict.CodeConnectionLost, "late")
}

// node is one entry instance of the test fleet.
type node struct {
	id       int
	view     *memory.View
	late     *lateStore
	follower *Follower
	log      *Log
	stop     context.CancelFunc
}

// history records what all followers and operators of a test have observed.
type history struct {
	mu         sync.Mutex
	changes    map[object.Revision]string // ID of the change of each revision that came into force
	accepted   map[string]object.Revision
	rejected   map[string]error
	violations []error
}

func newHistory() *history {
	return &history{changes: map[object.Revision]string{}, accepted: map[string]object.Revision{}, rejected: map[string]error{}}
}

func (h *history) failf(format string, args ...any) {
	h.violations = append(h.violations, fmt.Errorf(format, args...))
}

// checkInForce checks that every follower has the same change at a revision, and that
// no follower's revision decreases.
func (h *history) checkInForce(id int, previous, current *object.Config) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if previous != nil && current.Revision <= previous.Revision {
		h.failf("node %d went from revision %d to %d", id, previous.Revision, current.Revision)
	}
	if known, ok := h.changes[current.Revision]; ok && known != current.ChangeID {
		h.failf("revision %d is change %s and change %s", current.Revision, known, current.ChangeID)
	}
	if current.Revision > 0 {
		h.changes[current.Revision] = current.ChangeID
	}
}

// recordOutcome records the outcome of an Accept, unless it is ambiguous.
func (h *history) recordOutcome(id string, revision object.Revision, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var conflict *object.Conflict
	var invalid object.Invalid
	switch {
	case err == nil:
		h.accepted[id] = revision
	case errors.As(err, &conflict), errors.As(err, &invalid), verdict.Of(err) == verdict.NotRun:
		h.rejected[id] = err
	}
}

// check compares the outcomes that operators got with the revisions in force.
func (h *history) check() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	seen := map[string]object.Revision{}
	for revision, id := range h.changes {
		if other, ok := seen[id]; ok {
			h.failf("change %s is revision %d and %d", id, other, revision)
		}
		seen[id] = revision
		if err, ok := h.rejected[id]; ok {
			h.failf("change %s was rejected (%v) but is revision %d", id, err, revision)
		}
	}
	for id, revision := range h.accepted {
		if seen[id] != revision {
			h.failf("change %s was accepted as revision %d but is %d", id, revision, seen[id])
		}
	}
	return errors.Join(h.violations...)
}

// testFleet runs followers that share a store, with a network that can be partitioned.
type testFleet struct {
	store   *memory.Platform
	nodes   []*node
	history *history
	random  *rand.Rand
	mu      sync.Mutex
	groups  map[int]int // by node ID; nodes of the same group reach each other
}

func newTestFleet(count int, seed uint64) *testFleet {
	f := &testFleet{
		store: memory.New(time.Now), history: newHistory(), groups: map[int]int{},
		random: rand.New(rand.NewPCG(seed, seed)), nodes: make([]*node, count),
	}
	for i := range count {
		f.replace(i)
	}
	return f
}

// replace stops the node at index i and starts an empty one in its place.
func (f *testFleet) replace(i int) {
	if f.nodes[i] != nil {
		f.nodes[i].stop()
	}
	var ctx context.Context
	n := &node{id: i, view: f.store.From(strconv.Itoa(i))}
	n.late = &lateStore{Store: n.view, random: rand.New(rand.NewPCG(f.random.Uint64(), 0))}
	n.follower = NewFollower(n.late, Options{
		Self:    n.member(),
		Members: func() []Member { return f.members(n) },
		Random:  rand.New(rand.NewPCG(f.random.Uint64(), 1)),
	})
	n.log = NewLog(n.late, n.follower, LogOptions{})
	n.log.retainedRevisions, n.log.compactEvery = 3, 2
	var previous *object.Config
	n.follower.Subscribe(func(c *object.Config) {
		f.history.checkInForce(i, previous, c)
		previous = c
	})
	ctx, n.stop = context.WithCancel(context.Background())
	f.mu.Lock()
	f.nodes[i] = n
	f.mu.Unlock()
	go func() { _ = n.follower.Run(ctx) }()
	go f.gossip(ctx, n, f.random.Uint64())
}

// gossip sends revisions to the reachable nodes about twice a second.
func (f *testFleet) gossip(ctx context.Context, n *node, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 2))
	for ctx.Err() == nil {
		time.Sleep(400*time.Millisecond + time.Duration(random.Int64N(int64(200*time.Millisecond))))
		for _, peer := range f.peers(n) {
			documents := n.follower.Read(Stream, int64(peer.follower.Current().Revision), 1<<10)
			_ = peer.follower.Merge(ctx, documents)
		}
	}
}

func (n *node) member() Member { return Member{ID: fleet.InstanceID(strconv.Itoa(n.id)), Zone: "z"} }

func (f *testFleet) members(n *node) []Member {
	var out []Member
	for _, peer := range f.peers(n) {
		out = append(out, peer.member())
	}
	return out
}

func (f *testFleet) peers(n *node) []*node {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*node
	for _, peer := range f.nodes {
		if peer != nil && peer != n && f.groups[peer.id] == f.groups[n.id] {
			out = append(out, peer)
		}
	}
	return out
}

// partition sets the group of each node.
func (f *testFleet) partition(groups []int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.nodes {
		f.groups[i] = groups[i]
	}
}

// stopAll stops every node and waits for it.
func (f *testFleet) stopAll() {
	f.store.SetFaults(memory.Faults{})
	for _, n := range f.nodes {
		n.stop()
	}
	time.Sleep(time.Minute)
	synctest.Wait()
}
