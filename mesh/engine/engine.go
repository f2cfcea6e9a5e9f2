// Package engine holds the protocol between entry instances without sockets,
// goroutines or a clock: events and the time go in, actions come out.
//
// Members publish records of themselves that say whom they hear; the links that
// both ends confirm tell each instance who is reachable. Heartbeats carry hashes
// of the members and of the stream versions held; only a difference costs more.
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

// Action is something that the owner of an Engine has to do.
type Action interface{ action() }

// Send asks to send a message to a connected peer.
type Send struct {
	To      fleet.InstanceID
	Message wire.Message
}

// Dial asks to open a connection and to report Connected or DialFailed.
type Dial struct {
	Address string // host:port
}

// Close asks to close the connection to a peer, which the engine has given up.
type Close struct {
	Peer fleet.InstanceID
}

// Merge asks to hand documents to their Replica and then to call Merged.
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
	// SuspicionTimeout is the time in which the peer of a failed call has to show a heartbeat.
	SuspicionTimeout time.Duration
	// DialMin and DialMax bound the time between two attempts to reach an address.
	DialMin, DialMax time.Duration
	// ProbeInterval is about the time between attempts of one availability zone to reach
	// unreachable members and seeds; its members take turns at random.
	ProbeInterval time.Duration
	// MinBridgeTime is the time for which a link off the topology is kept at least where
	// it was the only way to its peer.
	MinBridgeTime time.Duration
	// PullTimeout is the time after which an unanswered pull is repeated elsewhere.
	PullTimeout time.Duration
	// ForgetAfter is the time after which an unreachable member is forgotten.
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
	timing   Timing
	random   *rand.Rand
	replicas []replica.Replica
	members  *memberTable
	links    map[fleet.InstanceID]*link
	wanted   map[fleet.InstanceID]bool
	dials    map[string]*dialState
	seeds    []string
	pulls    map[replica.Stream]pull
	summary  []byte
	// summaryVersion counts the summaries set; zero means none.
	summaryVersion uint32
	nextProbe      time.Time
	nextDrop       time.Time
	recordDirty    bool
	chosenAt       uint64 // changes of the members at the last choice of links
	ticked         time.Time
	actions        []Action
}

// New returns an engine that knows only itself.
func New(options Options) *Engine {
	return &Engine{
		timing:   options.Timing,
		random:   options.Rand,
		replicas: options.Replicas,
		members:  newMemberTable(options.Self),
		links:    make(map[fleet.InstanceID]*link),
		wanted:   make(map[fleet.InstanceID]bool),
		dials:    make(map[string]*dialState),
		pulls:    make(map[replica.Stream]pull),
	}
}

// SetSeeds replaces the addresses at which to look for unknown members.
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

// Tick advances the timers. The owner calls it a few times per heartbeat.
func (e *Engine) Tick(now time.Time) []Action {
	e.ticked = now
	e.closeSilent(now)
	e.releaseBridges(now)
	e.publish(now)
	e.members.forget(e.timing.ForgetAfter, now)
	e.chooseLinks()
	e.beat(now)
	e.pushSummary(now)
	e.dial(now)
	return e.take()
}

// ReplicaChanged offers what is new in the replicas to the peers.
func (e *Engine) ReplicaChanged(now time.Time) []Action {
	e.spread(now)
	return e.take()
}

// Member is what the engine knows of one member.
type Member struct {
	Record      wire.Record
	Reachable   bool
	LastContact time.Time
	Summary     []byte // of linked members only
}

// Members returns all members except the instance itself, by ID.
func (e *Engine) Members() []Member {
	var members []Member
	for _, record := range e.members.all() {
		if record.ID == e.members.self {
			continue
		}
		entry := e.members.entries[record.ID]
		member := Member{Record: record, Reachable: entry.reachable, LastContact: entry.lostAt}
		if entry.reachable {
			member.LastContact = e.ticked
		}
		if l := e.links[record.ID]; l != nil && l.up {
			member.LastContact = l.lastHeard
			// A link that serves only calls carries no newer summaries.
			if e.active(l, e.ticked) {
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

// AddressOf returns the address that a member publishes.
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

func (e *Engine) take() []Action {
	actions := e.actions
	e.actions = nil
	return actions
}
