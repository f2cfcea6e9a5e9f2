package engine_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/mesh/enginetest"
	"github.com/tarragonreach/tarragonreach/mesh/replica"
	"github.com/tarragonreach/tarragonreach/mesh/wire"
)

const (
	testedDeltas = 10
	benchDeltas  = 100
	deltaBytes   = 700
	healthyLimit = time.Second     // from accepting a document to holding it on all nodes
	faultLimit   = 9 * time.Second // the same under faults; here from the end of a cut
)

// meshSizes holds pairs of the number of zones and the number of nodes per zone.
var meshSizes = [][2]int{{4, 2}, {13, 2}, {13, 3}, {13, 5}}

// propagationTimes appends deltas, each a single document, at random nodes and returns,
// sorted, how long each took to reach each other node. Without push, peers find new
// documents by heartbeats only.
func propagationTimes(t testing.TB, zones, perZone int, deltas, bytes int, push bool) []time.Duration {
	m := newMesh(11)
	m.form(t, zones, perZone)
	random := rand.New(rand.NewPCG(12, 0))
	var times []time.Duration
	var accepted time.Time
	for _, log := range m.logs {
		log.OnMerge = func(replica.Stream, int64) { times = append(times, m.Now.Sub(accepted)) }
	}
	for range deltas {
		m.Run(time.Duration(random.Int64N(int64(4 * time.Second))))
		accepted = m.Now
		node := m.Nodes[random.IntN(len(m.Nodes))]
		m.logs[node].Append(config, make([]byte, bytes))
		if push {
			m.Perform(node, node.Engine.ReplicaChanged(m.Now))
		}
		assert.Assert(t, m.runUntil(time.Minute, m.sameVersion))
	}
	slices.Sort(times)
	return times
}

func TestDeltaReachesAllNodesInTime(t *testing.T) {
	for _, size := range [][2]int{{4, 2}, {13, 2}} {
		for _, bytes := range []int{100, deltaBytes, 100_000} {
			times := propagationTimes(t, size[0], size[1], testedDeltas, bytes, true)
			assert.Equal(t, len(times), testedDeltas*(size[0]*size[1]-1))
			assert.Assert(t, times[len(times)-1] <= healthyLimit, "%v: %v", size, times[len(times)-1])
		}
	}
}

// BenchmarkMeshDelta reports the virtual time for a document to reach a node.
func BenchmarkMeshDelta(b *testing.B) {
	for _, size := range meshSizes {
		for _, push := range []bool{true, false} {
			b.Run(fmt.Sprintf("zones=%d/nodes=%d/push=%v", size[0], size[0]*size[1], push), func(b *testing.B) {
				for range b.N {
					reportTimes(b, propagationTimes(b, size[0], size[1], benchDeltas, deltaBytes, push))
				}
			})
		}
	}
}

func reportTimes(b *testing.B, times []time.Duration) {
	milliseconds := func(quantile float64) float64 {
		return float64(times[int(quantile*float64(len(times)-1))].Microseconds()) / 1000
	}
	b.ReportMetric(milliseconds(0.5), "p50-ms")
	b.ReportMetric(milliseconds(0.99), "p99-ms")
	b.ReportMetric(milliseconds(1), "max-ms")
	b.ReportMetric(0, "ns/op")
}

// rejoinTimes cuts off one zone for a while in each round and returns, sorted, how long the
// mesh took to converge after the end of the cut.
func rejoinTimes(t testing.TB, zones, perZone int, rounds int) []time.Duration {
	var times []time.Duration
	for round := range rounds {
		m := newMesh(uint64(100 + round))
		m.form(t, zones, perZone)
		zone := round % zones
		m.cutZone(zone, zones, true)
		m.accept(m.Nodes[0], deltaBytes)
		m.Run(time.Duration(1+round*7%60) * time.Second)
		m.cutZone(zone, zones, false)
		start := m.Now
		assert.Assert(t, m.runUntil(time.Minute, m.converged), "round %d", round)
		times = append(times, m.Now.Sub(start))
	}
	slices.Sort(times)
	return times
}

func TestZoneRejoinsInTime(t *testing.T) {
	for _, size := range [][3]int{{4, 2, 20}, {13, 2, 5}} {
		times := rejoinTimes(t, size[0], size[1], size[2])
		assert.Assert(t, times[len(times)-1] <= faultLimit, "%v: %v", size, times)
	}
}

// BenchmarkMeshRejoin reports the virtual time from the end of a cut to convergence.
func BenchmarkMeshRejoin(b *testing.B) {
	for _, size := range meshSizes {
		b.Run(fmt.Sprintf("zones=%d/nodes=%d", size[0], size[0]*size[1]), func(b *testing.B) {
			for range b.N {
				reportTimes(b, rejoinTimes(b, size[0], size[1], 40))
			}
		})
	}
}

// BenchmarkMeshMessages reports the bytes of messages that a node sends and receives per
// second of virtual time. The state "all pairs" is the computed cost of a full mesh whose
// heartbeats carry the versions of all members and streams, for comparison.
func BenchmarkMeshMessages(b *testing.B) {
	for _, nodes := range []int{4, 8, 16, 32, 64} {
		for _, state := range []string{"idle", "zone cut off", "one replaced", "all pairs"} {
			b.Run(fmt.Sprintf("nodes=%d/%s", nodes, state), func(b *testing.B) {
				for range b.N {
					b.ReportMetric(messageBytes(b, nodes, state), "message-B/s")
					b.ReportMetric(0, "ns/op")
				}
			})
		}
	}
}

func messageBytes(b *testing.B, nodes int, state string) float64 {
	const zones = 13
	m := newMesh(21)
	var seeds []string
	for i := range nodes {
		node := m.add(i%zones, seeds)
		seeds = append(seeds, node.Address)[:min(len(seeds)+1, 2)]
	}
	assert.Assert(b, m.runUntil(time.Minute, m.converged))
	if state == "all pairs" {
		return allPairsBytes(m)
	}
	m.Run(time.Minute) // until the start-up's last records are sent and its bridges released
	if state == "zone cut off" {
		m.cutZone(1, zones, true)
	}
	if state == "one replaced" {
		m.Kill(m.Nodes[2])
		m.add(2, seeds)
	}
	total := 0
	m.OnSend = func(_ *enginetest.Node, message wire.Message) { total += encodedBytes(message) }
	const window = 100 * time.Second
	m.Run(window)
	return 2 * float64(total) / float64(nodes) / window.Seconds()
}

func encodedBytes(message wire.Message) int {
	data, err := wire.Encode(message)
	if err != nil {
		return 0
	}
	return len(data)
}

// allPairsBytes returns the bytes per second and node if each pair exchanged all versions
// once per heartbeat interval.
func allPairsBytes(m *mesh) float64 {
	var members []wire.MemberVersion
	for _, node := range m.Nodes {
		members = append(members, wire.MemberVersion{ID: node.ID, Incarnation: m.Now.UnixMilli(), Sequence: 1})
	}
	exchange := 2 * (encodedBytes(&wire.MemberDigest{Versions: members}) +
		encodedBytes(&wire.Digest{Versions: []replica.StreamVersion{{Stream: config, Version: 1}}}))
	links := float64(len(m.Nodes) - 1)
	return links * float64(exchange) / 2 // heartbeats are two seconds apart
}
