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

// One-way network delays, the heartbeat interval and the seed of the measurements.
const (
	interZoneDelay = 1500 * time.Microsecond
	intraZoneDelay = 250 * time.Microsecond
	storeLatency   = 2 * time.Millisecond
	meshHeartbeat  = time.Second
	scenarioSeed   = 5
)

// scenario describes one measurement in virtual time.
type scenario struct {
	zones, perZone int
	// noMesh leaves out the mesh and lets every instance watch: the baseline.
	noMesh bool
	// changes is the number of changes, accepted on random instances at the interval.
	changes  int
	interval time.Duration
	// beforeChanges runs once all instances are ready, afterChanges when all changes are
	// accepted.
	beforeChanges, afterChanges func(*simulation)
	// onEffect runs when a log entry has taken effect, before the response is sent;
	// onAccepted runs once the operator has the response.
	onEffect, onAccepted func(*simulation)
}

// member is one entry instance of a simulation.
type member struct {
	Member
	follower    *Follower
	log         *Log
	peers       []*member // mesh peers, reachable while no zone is cut off
	zoneMembers []Member  // the instances of its zone
}

// simulation runs a scenario.
type simulation struct {
	scenario
	store    *memory.Platform
	members  []*member
	mu       sync.Mutex
	cutZones map[fleet.AvailabilityZone]bool
	// reachableAt is when each revision took effect, or the last time that a zone was cut
	// off or reconnected if that is later.
	reachableAt map[object.Revision]time.Time
	inForceAt   map[object.Revision]time.Time // on the last instance so far
	acceptTimes []time.Duration               // durations of successful Accept calls
	// attempts counts creates, lists and watches, including those that fail.
	attempts atomic.Int64
}

func zoneName(i int) fleet.AvailabilityZone {
	return fleet.AvailabilityZone(fmt.Sprintf("zone-%02d", i))
}

// measure runs the scenario in a synctest bubble and passes the final state to inspect.
func measure(t *testing.T, s scenario, inspect func(*simulation)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		sim := &simulation{scenario: s, store: memory.New(time.Now), cutZones: map[fleet.AvailabilityZone]bool{},
			reachableAt: map[object.Revision]time.Time{}, inForceAt: map[object.Revision]time.Time{}}
		sim.store.SetFaults(memory.Faults{Latency: storeLatency})
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

// handleRevision records when a revision came into force and pushes it to the peers.
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

// send sends the peer the revisions that it lacks, after the one-way delay.
func (sim *simulation) send(ctx context.Context, from, to *member) {
	documents := from.follower.Read(Stream, int64(to.follower.Current().Revision), 64<<10)
	if len(documents) == 0 || !sim.connected(from, to) {
		return
	}
	delay := intraZoneDelay
	if from.Zone != to.Zone {
		delay = interZoneDelay
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

// linkMembers connects all instances of a zone with each other, and the first instances
// of all zones with each other.
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

// acceptChanges accepts the changes one after the other on instances that are not cut off.
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

// setZoneCut disconnects a zone from the platform and from the other zones, or
// reconnects it. The rollout times of revisions accepted meanwhile start at the
// reconnection.
func (sim *simulation) setZoneCut(zone fleet.AvailabilityZone, cut bool) {
	sim.store.From(string(zone)).SetFaults(memory.Faults{Down: cut})
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.cutZones[zone] = cut
	for revision := range sim.reachableAt {
		sim.reachableAt[revision] = time.Now()
	}
}
