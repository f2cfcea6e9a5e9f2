// Package engine implements the protocol between entry instances without sockets,
// goroutines or a clock: the caller passes in events and the time, and gets back actions.
//
// Each member publishes a record of itself that lists the peers whose heartbeats it
// receives. An instance finds the reachable members by following the links that both
// ends confirm. Heartbeats carry hashes of the members and of the stream versions held;
// the full lists are exchanged only when the hashes differ.
//
// An Engine is not safe for concurrent use.
package engine

import (
	"bytes"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/mesh/replica"
	"github.com/tarragonreach/tarragonreach/mesh/wire"
)

// Action is something that the caller of an Engine has to carry out.
type Action interface{ action() }

// Send requests that a message be sent to a connected peer.
type Send struct {
	To      fleet.InstanceID
	Message wire.Message
}

// Dial requests that a connection be opened and the result be reported by Connected,
// PeerReached or DialFailed.
type Dial struct {
	Address string // host:port
}

// Close requests that the connection to a peer be closed; the engine has dropped its link.
type Close struct {
	Peer fleet.InstanceID
}

// Merge requests that documents be passed to their Replica, followed by a call of Merged.
type Merge struct {
	From      fleet.InstanceID
	Replica   replica.Replica
	Documents []replica.Document
}

func (Send) action()  {}
func (Dial) action()  {}
func (Close) action() {}
func (Merge) action() {}

// Timing holds the periods of the protocol.
type Timing struct {
	// HeartbeatInterval is the time between two heartbeats on a link.
	HeartbeatInterval time.Duration
	// HeartbeatTimeout is the time without a heartbeat after which a connection is closed.
	HeartbeatTimeout time.Duration
	// SuspicionTimeout is the time within which a heartbeat has to arrive from the peer of
	// a call that timed out.
	SuspicionTimeout time.Duration
	// DialMin and DialMax bound the time between two attempts to reach an address.
	DialMin, DialMax time.Duration
	// ProbeInterval is about the time between two attempts of one availability zone to reach
	// unreachable members and seeds. The members of the zone share these attempts by
	// probing at random intervals in proportion to their number.
	ProbeInterval time.Duration
	// MinBridgeTime is the minimum time for which a link off the topology is kept where
	// it was the only path to its peer.
	MinBridgeTime time.Duration
	// PullTimeout is the time after which an unanswered pull may be repeated at another peer.
	PullTimeout time.Duration
	// ForgetAfter is the time after which an unreachable member is removed.
	ForgetAfter time.Duration
}

// DefaultTiming returns the periods used in production.
func DefaultTiming() Timing {
	return Timing{
		HeartbeatInterval: 2 * time.Second,
		HeartbeatTimeout:  5 * time.Second,
		SuspicionTimeout:  time.Second,
		DialMin:           250 * time.Millisecond,
		DialMax:           30 * time.Second,
		ProbeInterval:     4 * time.Second,
		MinBridgeTime:     30 * time.Second,
		PullTimeout:       time.Second,
		ForgetAfter:       10 * time.Minute,
	}
}

// Options configures an Engine.
type Options struct {
	Self     wire.Record
	Replicas []replica.Replica
	Timing   Timing
	Rand     *rand.Rand
}

// Engine is the state of one entry instance in the mesh.
type Engine struct {
	timing      Timing
	random      *rand.Rand
	replicas    []replica.Replica
	members     *memberTable
	links       map[fleet.InstanceID]*link
	wantedPeers map[fleet.InstanceID]bool
	dials       map[string]*dialState
	seeds       []string
	pulls       map[replica.Stream]pull
	summary     []byte
	// summaryVersion counts the summaries set; zero means none.
	summaryVersion uint32
	nextProbe      time.Time
	nextPrune      time.Time
	recordDirty    bool
	linksChosenAt  uint64 // members.changes when the links were last chosen
	lastTick       time.Time
	actions        []Action
}

// New returns an engine whose only member is the instance itself.
func New(options Options) *Engine {
	return &Engine{
		timing:      options.Timing,
		random:      options.Rand,
		replicas:    options.Replicas,
		members:     newMemberTable(options.Self),
		links:       make(map[fleet.InstanceID]*link),
		wantedPeers: make(map[fleet.InstanceID]bool),
		dials:       make(map[string]*dialState),
		pulls:       make(map[replica.Stream]pull),
	}
}

// SetSeeds replaces the addresses, host:port, at which unknown members may be found.
func (e *Engine) SetSeeds(addresses []string) {
	e.seeds = slices.Clone(addresses)
}

// SetSummary replaces the load summary that heartbeats carry.
func (e *Engine) SetSummary(summary []byte) {
	if bytes.Equal(summary, e.summary) {
		return
	}
	e.summary = slices.Clone(summary)
	e.summaryVersion++
}

// Tick advances the timers. The caller invokes it a few times per heartbeat interval.
func (e *Engine) Tick(now time.Time) []Action {
	e.lastTick = now
	e.closeUnresponsive(now)
	e.releaseBridges(now)
	e.publish(now)
	e.members.removeUnreachable(e.timing.ForgetAfter, now)
	e.chooseLinks()
	e.sendHeartbeats(now)
	e.pushSummary(now)
	e.dial(now)
	return e.popActions()
}

// ReplicaChanged offers new versions in the replicas to the peers.
func (e *Engine) ReplicaChanged(now time.Time) []Action {
	e.offerToPeers(now)
	return e.popActions()
}

// Member is the engine's view of one member.
type Member struct {
	Record      wire.Record
	Reachable   bool
	LastContact time.Time
	Summary     []byte // of linked members only
}

// Members returns all members except the instance itself, sorted by ID.
func (e *Engine) Members() []Member {
	var members []Member
	for _, record := range e.members.all() {
		if record.ID == e.members.self {
			continue
		}
		entry := e.members.entries[record.ID]
		member := Member{Record: record, Reachable: entry.reachable, LastContact: entry.reachabilitySince}
		if entry.reachable {
			member.LastContact = e.lastTick
		}
		if l := e.links[record.ID]; l != nil && l.up {
			member.LastContact = l.lastContact
			// A link used only for calls carries no summaries, so the last one may be stale.
			if e.active(l, e.lastTick) {
				member.Summary = l.summary
			}
		}
		members = append(members, member)
	}
	return members
}

func (e *Engine) isReachable(id fleet.InstanceID) bool {
	entry := e.members.entries[id]
	return entry != nil && entry.reachable
}

// AddressOf returns the address, host:port, that a member publishes.
func (e *Engine) AddressOf(id fleet.InstanceID) (address string, known bool) {
	entry := e.members.entries[id]
	if entry == nil || id == e.members.self {
		return "", false
	}
	return entry.record.Address, true
}

func (e *Engine) send(to fleet.InstanceID, message wire.Message) {
	e.actions = append(e.actions, Send{To: to, Message: message})
}

func (e *Engine) popActions() []Action {
	actions := e.actions
	e.actions = nil
	return actions
}
