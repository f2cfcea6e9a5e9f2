package engine_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	_ "github.com/tarragonreach/tarragonreach/api/rapidseed"
	"github.com/tarragonreach/tarragonreach/mesh/enginetest"
)

const (
	machineZones = 4
	// settleTime is enough for searches at random between parts of a mesh.
	settleTime = 90 * time.Second
	settleStep = 500 * time.Millisecond
)

// machine draws faults and checks that versions never go back and that nodes
// which can reach each other converge.
type machine struct {
	*mesh
	accepted int64
	cuts     map[[2]int]bool
	zones    map[*enginetest.Node]int
	seen     map[*enginetest.Node]int64
}

func newMachine(t *rapid.T) *machine {
	m := &machine{
		mesh:  newMesh(rapid.Uint64().Draw(t, "seed")),
		cuts:  make(map[[2]int]bool),
		zones: make(map[*enginetest.Node]int),
		seen:  make(map[*enginetest.Node]int64),
	}
	for z := range machineZones {
		for range rapid.IntRange(1, 3).Draw(t, "nodes in the zone") {
			m.join(z, fmt.Sprintf("host-%03d:1", m.next))
		}
	}
	return m
}

// join starts a node whose seeds are the addresses of all live nodes and a stale one.
func (m *machine) join(zone int, address string) {
	seeds := []string{"host-stale:1"}
	for _, node := range m.Nodes {
		seeds = append(seeds, node.Address)
	}
	m.zones[m.addAt(address, zone, seeds)] = zone
}

func (m *machine) drawNode(t *rapid.T) *enginetest.Node {
	return rapid.SampledFrom(m.Nodes).Draw(t, "node")
}

// Accept adds a version that one node learns from the platform's store.
func (m *machine) Accept(t *rapid.T) {
	node := m.drawNode(t)
	size := rapid.SampledFrom([]int{10, 2000, 100_000}).Draw(t, "bytes")
	m.accepted++
	for m.logs[node].Version(config) < m.accepted {
		m.logs[node].Append(config, make([]byte, size))
	}
	m.Perform(node, node.Engine.ReplicaChanged(m.Now))
}

func (m *machine) Wait(t *rapid.T) {
	m.Run(time.Duration(rapid.IntRange(1, 15_000).Draw(t, "ms")) * time.Millisecond)
}

func (m *machine) Lose(t *rapid.T) {
	m.HeartbeatLoss = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "loss")
}

func (m *machine) Cut(t *rapid.T) {
	a := rapid.IntRange(0, machineZones-1).Draw(t, "zone")
	b := rapid.IntRange(0, machineZones-1).Draw(t, "other zone")
	if a != b {
		m.setCut(a, b, true)
	}
}

func (m *machine) CutZone(t *rapid.T) {
	a := rapid.IntRange(0, machineZones-1).Draw(t, "zone")
	for b := range machineZones {
		if a != b {
			m.setCut(a, b, true)
		}
	}
}

func (m *machine) Heal(*rapid.T) {
	for pair := range m.cuts {
		m.setCut(pair[0], pair[1], false)
	}
}

func (m *machine) setCut(a, b int, cut bool) {
	a, b = min(a, b), max(a, b)
	m.cuts[[2]int{a, b}] = cut
	m.SetCut(zoneName(a), zoneName(b), cut)
}

func zoneName(zone int) fleet.AvailabilityZone {
	return fleet.AvailabilityZone(fmt.Sprintf("zone-%02d", zone))
}

// Replace kills a node and starts another one, perhaps under the same address.
func (m *machine) Replace(t *rapid.T) {
	node := m.drawNode(t)
	m.Kill(node)
	address := fmt.Sprintf("host-%03d:1", m.next)
	if rapid.Bool().Draw(t, "same address") {
		address = node.Address
	}
	m.join(m.zones[node], address)
}

// Leave lets a node shut down in order.
func (m *machine) Leave(t *rapid.T) {
	if len(m.Nodes) < 3 {
		t.Skip("too few nodes")
	}
	node := m.drawNode(t)
	m.Perform(node, node.Engine.Leave())
	m.Run(10 * time.Millisecond)
	m.Kill(node)
}

// Silence leaves a connection without traffic while new ones work.
func (m *machine) Silence(t *rapid.T) {
	a, b := m.drawNode(t), m.drawNode(t)
	if a != b {
		m.Network.StallConnection(a, b)
	}
}

// Settle waits without new faults, after which each part of the mesh agrees.
func (m *machine) Settle(t *rapid.T) {
	m.HeartbeatLoss = 0
	part := m.parts()
	agreed := func() bool { return m.partsAgree(part) }
	assert.Assert(t, m.runSteps(settleTime, settleStep, agreed), "parts %v did not agree", part)
}

// Check holds after each action.
func (m *machine) Check(t *rapid.T) {
	for _, node := range m.Nodes {
		version := m.logs[node].Version(config)
		assert.Assert(t, version >= m.seen[node], "%s went back from %d to %d", node.ID, m.seen[node], version)
		assert.Assert(t, version <= m.accepted, "%s holds a version that was never accepted", node.ID)
		m.seen[node] = version
	}
}

// parts numbers the sets of zones between which there is a path.
func (m *machine) parts() [machineZones]int {
	var part [machineZones]int
	for z := range part {
		part[z] = z
	}
	for range part {
		for a := range part {
			for b := range part {
				if !m.cuts[[2]int{min(a, b), max(a, b)}] && m.inhabited(a) && m.inhabited(b) {
					part[a] = min(part[a], part[b])
				}
			}
		}
	}
	return part
}

func (m *machine) inhabited(zone int) bool {
	for _, node := range m.Nodes {
		if m.zones[node] == zone {
			return true
		}
	}
	return false
}

func (m *machine) partsAgree(part [machineZones]int) bool {
	members := make(map[int][]*enginetest.Node)
	for _, node := range m.Nodes {
		p := part[m.zones[node]]
		members[p] = append(members[p], node)
	}
	for _, nodes := range members {
		for _, node := range nodes {
			if !sees(node, nodes) || m.logs[node].Version(config) != m.logs[nodes[0]].Version(config) {
				return false
			}
		}
	}
	return true
}

func TestMeshUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		t.Repeat(rapid.StateMachineActions(m))
		m.Heal(t)
		m.Settle(t)
	})
}
