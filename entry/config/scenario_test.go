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
	alone bool
	// changes are accepted on random instances, spaced by every.
	changes int
	every   time.Duration
	// before runs once all are ready, after runs when all changes are accepted.
	before, after func(*bench)
	// effect runs when a log entry has taken effect, before its answer leaves;
	// accepted runs once the operator has the answer.
	effect, accepted func(*bench)
}

// member is one entry instance of a measurement.
type member struct {
	Member
	follower *Follower
	log      *Log
	links    []*member // those that it reaches while no zone is cut off
	zone     []Member  // the instances of its zone
}

// bench runs a scenario.
type bench struct {
	scenario
	store   *memory.Platform
	members []*member
	mu      sync.Mutex
	cut     map[fleet.AvailabilityZone]bool
	// since is when each revision could first reach an instance.
	since   map[object.Revision]time.Time
	inForce map[object.Revision]time.Time // on the last instance
	took    []time.Duration               // how long operators waited
	// attempts counts calls, also those that did not reach the store.
	attempts atomic.Int64
}

func zoneName(i int) fleet.AvailabilityZone {
	return fleet.AvailabilityZone(fmt.Sprintf("zone-%02d", i))
}

// measure runs the scenario in a bubble and hands the end state on.
func measure(t *testing.T, s scenario, then func(*bench)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		b := &bench{scenario: s, store: memory.New(time.Now), cut: map[fleet.AvailabilityZone]bool{},
			since: map[object.Revision]time.Time{}, inForce: map[object.Revision]time.Time{}}
		b.store.SetFaults(memory.Faults{Latency: toStore})
		b.start(ctx)
		time.Sleep(5 * time.Second)
		if s.before != nil {
			s.before(b)
		}
		b.operate(ctx)
		if s.after != nil {
			s.after(b)
		}
		time.Sleep(time.Minute)
		then(b)
		cancel()
		b.store.SetFaults(memory.Faults{})
		time.Sleep(2 * time.Minute)
	})
}

func (b *bench) start(ctx context.Context) {
	for i := range b.zones * b.perZone {
		m := &member{Member: Member{ID: fleet.InstanceID(fmt.Sprintf("entry-%03d", i)), Zone: zoneName(i % b.zones)}}
		options := Options{Self: m.Member, Random: rand.New(rand.NewPCG(scenarioSeed, uint64(i)))}
		if !b.alone {
			options.Members = func() []Member { return m.zone }
		}
		view := distantStore{b.store.From(string(m.Zone)), b}
		m.follower = NewFollower(view, options)
		m.log = NewLog(view, m.follower, LogOptions{})
		b.members = append(b.members, m)
	}
	b.link()
	for _, m := range b.members {
		m.follower.Subscribe(func(c *object.Config) { b.note(ctx, m, c) })
		go func() { _ = m.follower.Run(ctx) }()
		if !b.alone {
			go b.heartbeat(ctx, m)
		}
	}
}

// note records when a revision came into force and pushes it to the peers.
func (b *bench) note(ctx context.Context, m *member, c *object.Config) {
	b.mu.Lock()
	b.inForce[c.Revision] = time.Now()
	b.mu.Unlock()
	if b.alone || c.Revision == 0 {
		return
	}
	go func() {
		for _, peer := range m.links {
			go b.send(ctx, m, peer)
		}
	}()
}

// send passes on what the peer lacks, after one way's delay.
func (b *bench) send(ctx context.Context, from, to *member) {
	documents := from.follower.Read(Stream, int64(to.follower.Current().Revision), 64<<10)
	if len(documents) == 0 || !b.linked(from, to) {
		return
	}
	delay := withinZone
	if from.Zone != to.Zone {
		delay = acrossZones
	}
	time.Sleep(delay)
	_ = to.follower.Merge(ctx, documents)
}

func (b *bench) heartbeat(ctx context.Context, m *member) {
	for ctx.Err() == nil {
		time.Sleep(meshHeartbeat)
		for _, peer := range m.links {
			if peer.follower.Current().Revision < m.follower.Current().Revision {
				go b.send(ctx, m, peer)
			}
		}
	}
}

// link lets instances of one zone all reach each other, and the first of each zone
// reach the first of each other one.
func (b *bench) link() {
	for i, m := range b.members {
		for j, peer := range b.members {
			if m.Zone == peer.Zone {
				m.zone = append(m.zone, peer.Member)
			}
			if i != j && (m.Zone == peer.Zone || (i < b.zones && j < b.zones)) {
				m.links = append(m.links, peer)
			}
		}
	}
}

func (b *bench) linked(a, c *member) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return a.Zone == c.Zone || (!b.cut[a.Zone] && !b.cut[c.Zone])
}

// operate accepts the changes one after the other.
func (b *bench) operate(ctx context.Context) {
	random := rand.New(rand.NewPCG(scenarioSeed, scenarioSeed))
	for i := range b.changes {
		m := b.members[random.IntN(len(b.members))]
		for b.isCut(m.Zone) {
			m = b.members[random.IntN(len(b.members))]
		}
		began := time.Now()
		_, err := m.log.Accept(ctx, putTenant(fmt.Sprint(i), fmt.Sprintf("tenant-%d", i%20), i, m.follower.Current()))
		if err != nil {
			continue
		}
		b.took = append(b.took, time.Since(began))
		if b.accepted != nil {
			b.accepted(b)
		}
		time.Sleep(b.every)
	}
}

func (b *bench) isCut(zone fleet.AvailabilityZone) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.cut[zone]
}

// cutOff takes a zone from the platform and from the other zones, or returns it.
// A revision accepted meanwhile counts from the return.
func (b *bench) cutOff(zone fleet.AvailabilityZone, cut bool) {
	b.store.From(string(zone)).SetFaults(memory.Faults{Down: cut})
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cut[zone] = cut
	for revision := range b.since {
		b.since[revision] = time.Now()
	}
}
