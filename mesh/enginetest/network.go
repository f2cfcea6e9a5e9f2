// Package enginetest drives engines over connections in memory in virtual time.
// Messages other than heartbeats are sent again after a cut, perhaps out of
// order; a connection whose peer is gone stays silent.
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
	tickPeriod     = 200 * time.Millisecond
	retransmission = 200 * time.Millisecond
	dialTimeout    = time.Second
	handshakeTrips = 4 // times the latency one way
)

// Network holds the nodes and the messages between them.
type Network struct {
	Now     time.Time
	Nodes   []*Node // the live ones
	Latency func(a, b fleet.AvailabilityZone) time.Duration
	// HeartbeatLoss is the share of heartbeats that get lost, from 0 to 1.
	HeartbeatLoss float64
	// OnSend sees each message that a node sends, if set.
	OnSend func(from *Node, message wire.Message)

	random *rand.Rand
	events []event // by time
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

// conn is a connection, shared by both ends.
type conn struct{ silent bool }

type event struct {
	at  time.Time
	run func()
}

// NewNetwork returns an empty network whose draws come from random.
func NewNetwork(random *rand.Rand) *Network {
	return &Network{
		Now:     time.Unix(1_000_000, 0),
		Latency: func(_, _ fleet.AvailabilityZone) time.Duration { return time.Millisecond },
		random:  random,
		cuts:    make(map[[2]fleet.AvailabilityZone]bool),
	}
}

// Start adds a node that knows the seeds.
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

// Kill ends a node without a word.
func (n *Network) Kill(node *Node) {
	node.alive = false
	n.Nodes = slices.DeleteFunc(n.Nodes, func(other *Node) bool { return other == node })
}

// StallConnection stops all traffic on the connection between two nodes without closing it.
func (n *Network) StallConnection(a, b *Node) {
	if c := a.conns[b.ID]; c != nil {
		c.silent = true
	}
}

// SetCut cuts or heals the path between two zones.
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

// Run advances the virtual time.
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

func (n *Network) passes(a, b *Node) bool {
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
	lost := c.silent || !n.passes(from, to) || heartbeat && n.random.Float64() < n.HeartbeatLoss
	if lost && !heartbeat && from.conns[to.ID] == c {
		n.after(retransmission, func() { n.deliver(c, from, to, message) })
	}
	if !lost && to.conns[from.ID] == c {
		n.Perform(to, to.Engine.Receive(from.ID, message, n.Now))
	}
}

func (n *Network) dial(from *Node, address string) {
	to := n.find("", address)
	if to == nil || !n.passes(from, to) {
		n.after(dialTimeout, func() { from.Engine.DialFailed(address, n.Now) })
		return
	}
	n.after(handshakeTrips*n.Latency(from.Zone, to.Zone), func() {
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
	if c == nil || to == nil || c.silent || !n.passes(from, to) {
		return
	}
	n.after(n.Latency(from.Zone, to.Zone), func() {
		if to.conns[from.ID] == c {
			delete(to.conns, from.ID)
			n.Perform(to, to.Engine.Disconnected(from.ID, n.Now))
		}
	})
}
