// Package enginetest runs engines over simulated connections in virtual time. Messages other
// than heartbeats are retransmitted while their connection lasts, possibly out of order. A
// connection whose peer was killed stays open without traffic.
package enginetest

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/mesh/engine"
	"github.com/tarragonreach/tarragonreach/mesh/replica"
	"github.com/tarragonreach/tarragonreach/mesh/wire"
)

const (
	tickPeriod         = 200 * time.Millisecond
	retransmitDelay    = 200 * time.Millisecond
	dialTimeout        = time.Second
	handshakeLatencies = 4 // one-way latencies until a connection is open
)

// Network holds the nodes and the messages between them.
type Network struct {
	Now     time.Time
	Nodes   []*Node // the live ones
	Latency func(a, b fleet.AvailabilityZone) time.Duration
	// HeartbeatLoss is the share of heartbeats that are lost, from 0 to 1.
	HeartbeatLoss float64
	// OnSend, if set, is called with each message that a node sends.
	OnSend func(from *Node, message wire.Message)

	random *rand.Rand
	events []event // sorted by time
	cuts   map[[2]fleet.AvailabilityZone]bool
}

// Node is one engine and its connections.
type Node struct {
	ID      fleet.InstanceID
	Zone    fleet.AvailabilityZone
	Address string
	Engine  *engine.Engine
	alive   bool
	conns   map[fleet.InstanceID]*conn
}

// conn is a connection, shared by both ends. A stalled one delivers nothing.
type conn struct{ stalled bool }

type event struct {
	at  time.Time
	run func()
}

// NewNetwork returns an empty network that uses the given source of randomness.
func NewNetwork(random *rand.Rand) *Network {
	return &Network{
		Now:     time.Unix(1_000_000, 0),
		Latency: func(_, _ fleet.AvailabilityZone) time.Duration { return time.Millisecond },
		random:  random,
		cuts:    make(map[[2]fleet.AvailabilityZone]bool),
	}
}

// Start adds a node with the given seed addresses and starts its ticks.
func (n *Network) Start(id fleet.InstanceID, zone fleet.AvailabilityZone, address string, seeds []string, replicas ...replica.Replica) *Node {
	node := &Node{ID: id, Zone: zone, Address: address, alive: true, conns: make(map[fleet.InstanceID]*conn)}
	node.Engine = engine.New(engine.Options{
		Self:     wire.Record{ID: id, Zone: zone, Address: address, Incarnation: n.Now.UnixMilli()},
		Replicas: replicas,
		Timing:   engine.DefaultTiming(),
		Rand:     rand.New(rand.NewPCG(n.random.Uint64(), n.random.Uint64())),
	})
	node.Engine.SetSeeds(seeds)
	n.Nodes = append(n.Nodes, node)
	n.after(time.Duration(n.random.Int64N(int64(tickPeriod))), func() { n.tick(node) })
	return node
}

// Kill stops a node without notifying its peers.
func (n *Network) Kill(node *Node) {
	node.alive = false
	n.Nodes = slices.DeleteFunc(n.Nodes, func(other *Node) bool { return other == node })
}

// StallConnection stops all traffic on the connection between two nodes without closing it.
func (n *Network) StallConnection(a, b *Node) {
	if c := a.conns[b.ID]; c != nil {
		c.stalled = true
	}
}

// SetCut cuts or restores the path between two zones.
func (n *Network) SetCut(a, b fleet.AvailabilityZone, cut bool) {
	n.cuts[[2]fleet.AvailabilityZone{a, b}] = cut
	n.cuts[[2]fleet.AvailabilityZone{b, a}] = cut
}

// Perform carries out the actions of a node's engine.
func (n *Network) Perform(node *Node, actions []engine.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case engine.Send:
			n.send(node, a)
		case engine.Dial:
			n.dial(node, a.Address)
		case engine.Close:
			n.close(node, a.Peer)
		case engine.Merge:
			if a.Replica.Merge(context.Background(), a.Documents) == nil {
				n.Perform(node, node.Engine.Merged(a, n.Now))
			}
		}
	}
}

// Run advances the virtual time by d and runs the events that are due.
func (n *Network) Run(d time.Duration) {
	end := n.Now.Add(d)
	for len(n.events) > 0 && !n.events[0].at.After(end) {
		e := n.events[0]
		n.events = n.events[1:]
		n.Now = e.at
		e.run()
	}
	n.Now = end
}

func (n *Network) after(d time.Duration, run func()) {
	at := n.Now.Add(d)
	i, _ := slices.BinarySearchFunc(n.events, at, func(e event, at time.Time) int {
		return cmp.Or(e.at.Compare(at), -1) // after all events of the same time
	})
	n.events = slices.Insert(n.events, i, event{at: at, run: run})
}

func (n *Network) tick(node *Node) {
	if !node.alive {
		return
	}
	n.Perform(node, node.Engine.Tick(n.Now))
	n.after(tickPeriod, func() { n.tick(node) })
}

func (n *Network) canReach(a, b *Node) bool {
	return a.alive && b.alive && !n.cuts[[2]fleet.AvailabilityZone{a.Zone, b.Zone}]
}

// find returns the live node with the ID or at the address.
func (n *Network) find(id fleet.InstanceID, address string) *Node {
	for _, node := range n.Nodes {
		if node.ID == id || node.Address == address {
			return node
		}
	}
	return nil
}

func (n *Network) send(from *Node, s engine.Send) {
	if n.OnSend != nil {
		n.OnSend(from, s.Message)
	}
	c := from.conns[s.To]
	to := n.find(s.To, "")
	if c == nil || to == nil {
		return
	}
	n.after(n.Latency(from.Zone, to.Zone), func() { n.deliver(c, from, to, s.Message) })
}

func (n *Network) deliver(c *conn, from, to *Node, message wire.Message) {
	heartbeat := message.Kind() == wire.KindHeartbeat
	lost := c.stalled || !n.canReach(from, to) || heartbeat && n.random.Float64() < n.HeartbeatLoss
	if lost && !heartbeat && from.conns[to.ID] == c {
		n.after(retransmitDelay, func() { n.deliver(c, from, to, message) })
	}
	if !lost && to.conns[from.ID] == c {
		n.Perform(to, to.Engine.Receive(from.ID, message, n.Now))
	}
}

func (n *Network) dial(from *Node, address string) {
	to := n.find("", address)
	if to == nil || !n.canReach(from, to) {
		n.after(dialTimeout, func() { from.Engine.DialFailed(address, n.Now) })
		return
	}
	n.after(handshakeLatencies*n.Latency(from.Zone, to.Zone), func() {
		c := &conn{}
		from.conns[to.ID] = c
		to.conns[from.ID] = c
		n.Perform(from, from.Engine.Connected(to.ID, address, true, n.Now))
		n.Perform(to, to.Engine.Connected(from.ID, "", false, n.Now))
	})
}

func (n *Network) close(from *Node, peer fleet.InstanceID) {
	c := from.conns[peer]
	delete(from.conns, peer)
	to := n.find(peer, "")
	if c == nil || to == nil || c.stalled || !n.canReach(from, to) {
		return
	}
	n.after(n.Latency(from.Zone, to.Zone), func() {
		if to.conns[from.ID] == c {
			delete(to.conns, from.ID)
			n.Perform(to, to.Engine.Disconnected(from.ID, n.Now))
		}
	})
}
