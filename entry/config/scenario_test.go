package config

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/api/object"
	"github.com/tarragonreach/tarragonreach/platform/memory"
)

// Times of the network in the measurements.
const (
	acrossZones   = 1500 * time.Microsecond
	withinZone    = 250 * time.Microsecond
	toStore       = 2 * time.Millisecond
	meshHeartbeat = time.Second
	scenarioSeed  = 5
)

// scenario is one measurement in virtual time.
type scenario struct {
	zones, perZone int
	// alone leaves out the mesh and lets every instance watch: the baseline.
	noMesh bool
	// changes are accepted on random instances, spaced by every.
	changes  int
	interval time.Duration
	// before runs once all are ready, after runs when all changes are accepted.
	beforeChanges, afterChanges func(*simulation)
	// effect runs when a log entry has taken effect, before its answer leaves;
	// accepted runs once the operator has the answer.
	onEffect, onAccepted func(*simulation)
}

// member is one entry instance of a measurement.
type member struct {
	Member
	follower    *Follower
	log         *Log
	peers       []*member // those that it reaches while no zone is cut off
	zoneMembers []Member  // the instances of its zone
}

// bench runs a scenario.
type simulation struct {
	scenario
	store    *memory.Platform
	members  []*member
	mu       sync.Mutex
	cutZones map[fleet.AvailabilityZone]bool
	// since is when each revision could first reach an instance.
	reachableAt map[object.Revision]time.Time
	inForceAt   map[object.Revision]time.Time // on the last instance
	acceptTimes []time.Duration               // how long operators waited
	// attempts counts calls, also those that did not reach the store.
	attempts atomic.Int64
}

func zoneName(i int) fleet.AvailabilityZone {
	return fleet.AvailabilityZone(fmt.Sprintf("zone-%02d", i))
}

// measure runs the scenario in a bubble and hands the end state on.
func measure(t *testing.T, s scenario, inspect func(*simulation)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		sim := &simulation{scenario: s, store: memory.New(time.Now), cutZones: map[fleet.AvailabilityZone]bool{},
			reachableAt: map[object.Revision]time.Time{}, inForceAt: map[object.Revision]time.Time{}}
		sim.store.SetFaults(memory.Faults{Latency: toStore})
		sim.start(ctx)
		time.Sleep(5 * time.Second)
		if s.beforeChanges != nil {
			s.beforeChanges(sim)
		}
		sim.acceptChanges(ctx)
		if s.afterChanges != nil {
			s.afterChanges(sim)
		}
		time.Sleep(time.Minute)
		inspect(sim)
		cancel()
		sim.store.SetFaults(memory.Faults{})
		time.Sleep(2 * time.Minute)
	})
}

func (sim *simulation) start(ctx context.Context) {
	for i := range sim.zones * sim.perZone {
		m := &member{Member: Member{ID: fleet.InstanceID(fmt.Sprintf("entry-%03d", i)), Zone: zoneName(i % sim.zones)}}
		options := Options{Self: m.Member, Random: rand.New(rand.NewPCG(scenarioSeed, uint64(i)))}
		if !sim.noMesh {
			options.Members = func() []Member { return m.zoneMembers }
		}
		view := delayedStore{sim.store.From(string(m.Zone)), sim}
		m.follower = NewFollower(view, options)
		m.log = NewLog(view, m.follower, LogOptions{})
		sim.members = append(sim.members, m)
	}
	sim.linkMembers()
	for _, m := range sim.members {
		m.follower.Subscribe(func(c *object.Config) { sim.handleRevision(ctx, m, c) })
		go func() { _ = m.follower.Run(ctx) }()
		if !sim.noMesh {
			go sim.heartbeat(ctx, m)
		}
	}
}

// note records when a revision came into force and pushes it to the peers.
func (sim *simulation) handleRevision(ctx context.Context, m *member, c *object.Config) {
	sim.mu.Lock()
	sim.inForceAt[c.Revision] = time.Now()
	sim.mu.Unlock()
	if sim.noMesh || c.Revision == 0 {
		return
	}
	go func() {
		for _, peer := range m.peers {
			go sim.send(ctx, m, peer)
		}
	}()
}

// send passes on what the peer lacks, after one way's delay.
func (sim *simulation) send(ctx context.Context, from, to *member) {
	documents := from.follower.Read(Stream, int64(to.follower.Current().Revision), 64<<10)
	if len(documents) == 0 || !sim.connected(from, to) {
		return
	}
	delay := withinZone
	if from.Zone != to.Zone {
		delay = acrossZones
	}
	time.Sleep(delay)
	_ = to.follower.Merge(ctx, documents)
}

func (sim *simulation) heartbeat(ctx context.Context, m *member) {
	for ctx.Err() == nil {
		time.Sleep(meshHeartbeat)
		for _, peer := range m.peers {
			if peer.follower.Current().Revision < m.follower.Current().Revision {
				go sim.send(ctx, m, peer)
			}
		}
	}
}

// link lets instances of one zone all reach each other, and the first of each zone
// reach the first of each other one.
func (sim *simulation) linkMembers() {
	for i, m := range sim.members {
		for j, peer := range sim.members {
			if m.Zone == peer.Zone {
				m.zoneMembers = append(m.zoneMembers, peer.Member)
			}
			if i != j && (m.Zone == peer.Zone || (i < sim.zones && j < sim.zones)) {
				m.peers = append(m.peers, peer)
			}
		}
	}
}

func (sim *simulation) connected(a, b *member) bool {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return a.Zone == b.Zone || (!sim.cutZones[a.Zone] && !sim.cutZones[b.Zone])
}

// operate accepts the changes one after the other.
func (sim *simulation) acceptChanges(ctx context.Context) {
	random := rand.New(rand.NewPCG(scenarioSeed, scenarioSeed))
	for i := range sim.changes {
		m := sim.members[random.IntN(len(sim.members))]
		for sim.isCut(m.Zone) {
			m = sim.members[random.IntN(len(sim.members))]
		}
		start := time.Now()
		_, err := m.log.Accept(ctx, putTenant(fmt.Sprint(i), fmt.Sprintf("tenant-%d", i%20), i, m.follower.Current()))
		if err != nil {
			continue
		}
		sim.acceptTimes = append(sim.acceptTimes, time.Since(start))
		if sim.onAccepted != nil {
			sim.onAccepted(sim)
		}
		time.Sleep(sim.interval)
	}
}

func (sim *simulation) isCut(zone fleet.AvailabilityZone) bool {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.cutZones[zone]
}

// cutOff takes a zone from the platform and from the other zones, or returns it.
// A revision accepted meanwhile counts from the return.
func (sim *simulation) setZoneCut(zone fleet.AvailabilityZone, cut bool) {
	sim.store.From(string(zone)).SetFaults(memory.Faults{Down: cut})
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.cutZones[zone] = cut
	for revision := range sim.reachableAt {
		sim.reachableAt[revision] = time.Now()
	}
}
