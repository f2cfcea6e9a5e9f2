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
	zoneCount = 4
	// convergenceTimeout leaves enough time for the random probes between the partitions of a mesh.
	convergenceTimeout = 90 * time.Second
	convergenceStep    = 500 * time.Millisecond
)

// stateMachine injects random faults and checks that versions never decrease and that nodes
// which can reach each other converge.
type stateMachine struct {
	*mesh
	accepted    int64
	cuts        map[[2]int]bool
	zones       map[*enginetest.Node]int
	lastVersion map[*enginetest.Node]int64
}

func newStateMachine(t *rapid.T) *stateMachine {
	m := &stateMachine{
		mesh:        newMesh(rapid.Uint64().Draw(t, "seed")),
		cuts:        make(map[[2]int]bool),
		zones:       make(map[*enginetest.Node]int),
		lastVersion: make(map[*enginetest.Node]int64),
	}
	for z := range zoneCount {
		for range rapid.IntRange(1, 3).Draw(t, "nodes in the zone") {
			m.join(z, fmt.Sprintf("host-%03d:1", m.next))
		}
	}
	return m
}

// join starts a node whose seeds are the addresses of all live nodes and one stale address.
func (m *stateMachine) join(zone int, address string) {
	seeds := []string{"host-stale:1"}
	for _, node := range m.Nodes {
		seeds = append(seeds, node.Address)
	}
	m.zones[m.addAt(address, zone, seeds)] = zone
}

func (m *stateMachine) drawNode(t *rapid.T) *enginetest.Node {
	return rapid.SampledFrom(m.Nodes).Draw(t, "node")
}

// AcceptVersion adds a version that one node reads from the platform's store.
func (m *stateMachine) AcceptVersion(t *rapid.T) {
	node := m.drawNode(t)
	size := rapid.SampledFrom([]int{10, 2000, 100_000}).Draw(t, "bytes")
	m.accepted++
	for m.logs[node].Version(config) < m.accepted {
		m.logs[node].Append(config, make([]byte, size))
	}
	m.Perform(node, node.Engine.ReplicaChanged(m.Now))
}

func (m *stateMachine) Wait(t *rapid.T) {
	m.Run(time.Duration(rapid.IntRange(1, 15_000).Draw(t, "ms")) * time.Millisecond)
}

func (m *stateMachine) LoseHeartbeats(t *rapid.T) {
	m.HeartbeatLoss = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "loss")
}

func (m *stateMachine) CutPath(t *rapid.T) {
	a := rapid.IntRange(0, zoneCount-1).Draw(t, "zone")
	b := rapid.IntRange(0, zoneCount-1).Draw(t, "other zone")
	if a != b {
		m.setCut(a, b, true)
	}
}

func (m *stateMachine) CutZone(t *rapid.T) {
	a := rapid.IntRange(0, zoneCount-1).Draw(t, "zone")
	for b := range zoneCount {
		if a != b {
			m.setCut(a, b, true)
		}
	}
}

func (m *stateMachine) Heal(*rapid.T) {
	for pair := range m.cuts {
		m.setCut(pair[0], pair[1], false)
	}
}

func (m *stateMachine) setCut(a, b int, cut bool) {
	a, b = min(a, b), max(a, b)
	m.cuts[[2]int{a, b}] = cut
	m.SetCut(zoneName(a), zoneName(b), cut)
}

func zoneName(zone int) fleet.AvailabilityZone {
	return fleet.AvailabilityZone(fmt.Sprintf("zone-%02d", zone))
}

// Replace kills a node and starts another one, either at the same address or at a new one.
func (m *stateMachine) Replace(t *rapid.T) {
	node := m.drawNode(t)
	m.Kill(node)
	address := fmt.Sprintf("host-%03d:1", m.next)
	if rapid.Bool().Draw(t, "same address") {
		address = node.Address
	}
	m.join(m.zones[node], address)
}

// Leave shuts down a node gracefully.
func (m *stateMachine) Leave(t *rapid.T) {
	if len(m.Nodes) < 3 {
		t.Skip("too few nodes")
	}
	node := m.drawNode(t)
	m.Perform(node, node.Engine.Leave())
	m.Run(10 * time.Millisecond)
	m.Kill(node)
}

// StallConnection makes a connection half-open, while new connections work.
func (m *stateMachine) StallConnection(t *rapid.T) {
	a, b := m.drawNode(t), m.drawNode(t)
	if a != b {
		m.Network.StallConnection(a, b)
	}
}

// RunUntilAgreement runs the mesh without new faults and checks that the nodes of each
// partition agree in the end.
func (m *stateMachine) RunUntilAgreement(t *rapid.T) {
	m.HeartbeatLoss = 0
	partition := m.partitions()
	agreed := func() bool { return m.partitionsAgree(partition) }
	assert.Assert(t, m.runSteps(convergenceTimeout, convergenceStep, agreed), "nodes within the partitions %v did not agree", partition)
}

// Check runs after each action.
func (m *stateMachine) Check(t *rapid.T) {
	for _, node := range m.Nodes {
		version := m.logs[node].Version(config)
		assert.Assert(t, version >= m.lastVersion[node], "version of %s decreased from %d to %d", node.ID, m.lastVersion[node], version)
		assert.Assert(t, version <= m.accepted, "%s holds a version that was never accepted", node.ID)
		m.lastVersion[node] = version
	}
}

// partitions returns, for each zone, the number of its partition. Zones between which there
// is a path have the same number.
func (m *stateMachine) partitions() [zoneCount]int {
	var partition [zoneCount]int
	for z := range partition {
		partition[z] = z
	}
	for range partition {
		for a := range partition {
			for b := range partition {
				if !m.cuts[[2]int{min(a, b), max(a, b)}] && m.hasNodes(a) && m.hasNodes(b) {
					partition[a] = min(partition[a], partition[b])
				}
			}
		}
	}
	return partition
}

func (m *stateMachine) hasNodes(zone int) bool {
	for _, node := range m.Nodes {
		if m.zones[node] == zone {
			return true
		}
	}
	return false
}

func (m *stateMachine) partitionsAgree(partition [zoneCount]int) bool {
	members := make(map[int][]*enginetest.Node)
	for _, node := range m.Nodes {
		p := partition[m.zones[node]]
		members[p] = append(members[p], node)
	}
	for _, nodes := range members {
		for _, node := range nodes {
			if !reachesExactly(node, nodes) || m.logs[node].Version(config) != m.logs[nodes[0]].Version(config) {
				return false
			}
		}
	}
	return true
}

func TestMeshUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newStateMachine(t)
		t.Repeat(rapid.StateMachineActions(m))
		m.Heal(t)
		m.RunUntilAgreement(t)
	})
}
