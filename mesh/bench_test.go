package mesh

import (
	"context"
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/mesh/engine"
	"github.com/tarragonreach/tarragonreach/mesh/keys"
	"github.com/tarragonreach/tarragonreach/mesh/replicatest"
)

const (
	benchZones          = 13
	ipAndUDPBytes       = 28 // headers of one IPv4 and UDP packet
	benchWindow         = 10 * time.Second
	benchWarmup         = 5 * time.Second
	changeBytes         = 700
	benchChanges        = 10
	targetChangesPerDay = 3100 // changes of configuration
	secondsPerDay       = 86400
)

// usage holds the resources that the process has used so far.
type usage struct {
	cpu          time.Duration
	quicBytes    int64 // sent by QUIC, without IP and UDP headers
	packets      int64
	messageBytes int64 // of messages sent, before encryption
}

func (u usage) minus(o usage) usage {
	return usage{u.cpu - o.cpu, u.quicBytes - o.quicBytes, u.packets - o.packets, u.messageBytes - o.messageBytes}
}

// wireBytes returns the bytes on the wire, with IP and UDP headers.
func (u usage) wireBytes() float64 {
	return float64(u.quicBytes) + float64(u.packets)*ipAndUDPBytes
}

func measure(nodes []*Node) usage {
	var u usage
	var r syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &r) == nil {
		u.cpu = time.Duration(r.Utime.Nano() + r.Stime.Nano())
	}
	for _, n := range nodes {
		for _, count := range n.Traffic().Sent {
			u.messageBytes += count.Bytes
		}
		sent := n.PacketsSent()
		u.quicBytes += sent.Bytes
		u.packets += sent.Messages
	}
	return u
}

// benchMesh runs size nodes in up to 13 zones on loopback.
func benchMesh(b *testing.B, size int, timing engine.Timing) (nodes []*Node, logs []*replicatest.Log, stop func()) {
	authority, err := keys.NewAuthority()
	assert.NilError(b, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, size)
	var seeds []string
	for i := range size {
		id := fleet.InstanceID(fmt.Sprintf("entry-%04d", i))
		tls, err := authority.Issue(id)
		assert.NilError(b, err)
		log := replicatest.NewLog("config")
		n, err := New(Options{
			ID:       id,
			Zone:     fleet.AvailabilityZone(fmt.Sprintf("zone-%02d", i%benchZones)),
			Listen:   "127.0.0.1:0",
			TLS:      tls,
			Seeds:    func() []string { return seeds },
			Replicas: []Replica{log},
			Timing:   timing,
		})
		assert.NilError(b, err)
		nodes = append(nodes, n)
		logs = append(logs, log)
	}
	seeds = []string{nodes[0].Addr(), nodes[1].Addr()}
	for _, n := range nodes {
		go func() { done <- n.Run(ctx) }()
	}
	stop = func() {
		cancel()
		for range nodes {
			assert.NilError(b, <-done)
		}
	}
	return nodes, logs, stop
}

func awaitMesh(b *testing.B, nodes []*Node) {
	deadline := time.Now().Add(time.Minute)
	for _, n := range nodes {
		for reachable(runningNode{Node: n}) != len(nodes)-1 {
			if time.Now().After(deadline) {
				b.Fatal("mesh did not form")
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}

// BenchmarkMeshNode measures the costs per node of a mesh on loopback with production
// periods: bytes sent and received per second while idle, the bytes that one change adds,
// CPU time and memory.
func BenchmarkMeshNode(b *testing.B) {
	for _, size := range []int{4, 8, 16, 32, 64} {
		b.Run(fmt.Sprintf("nodes=%d", size), func(b *testing.B) {
			for range b.N {
				benchNode(b, size)
			}
		})
	}
}

func benchNode(b *testing.B, size int) {
	before := heapBytes()
	nodes, logs, stop := benchMesh(b, size, engine.DefaultTiming())
	defer stop()
	awaitMesh(b, nodes)
	time.Sleep(benchWarmup)
	start := measure(nodes)
	time.Sleep(benchWindow)
	idle := measure(nodes).minus(start)
	memory := float64(heapBytes()-before) / float64(size)

	start = measure(nodes)
	for range benchChanges {
		logs[0].Append("config", make([]byte, changeBytes))
		nodes[0].ReplicaChanged()
		time.Sleep(benchWindow / benchChanges)
	}
	busy := measure(nodes).minus(start)

	// Each byte is sent by one node and received by another, so the traffic per node is
	// twice the bytes sent divided by the number of nodes.
	rateFactor := 2 / float64(size) / benchWindow.Seconds()
	idleRate := idle.wireBytes() * rateFactor
	perChange := (busy.wireBytes() - idle.wireBytes()) * 2 / float64(size) / benchChanges
	b.ReportMetric(idleRate, "wire-B/s")
	b.ReportMetric(float64(idle.messageBytes)*rateFactor, "message-B/s")
	b.ReportMetric(float64(idle.quicBytes)*rateFactor, "quic-B/s")
	b.ReportMetric(perChange, "wire-B/change")
	b.ReportMetric(idleRate+perChange*targetChangesPerDay/secondsPerDay, "target-B/s")
	b.ReportMetric(100*idle.cpu.Seconds()/benchWindow.Seconds()/float64(size), "%core")
	b.ReportMetric(memory/1024, "KiB-memory")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkMeshSummaries measures the traffic that continuously changing load summaries of
// 28 services add at the target number of nodes.
func BenchmarkMeshSummaries(b *testing.B) {
	const (
		targetNodes  = 39
		summaryBytes = 28 * 16
		warmup       = 35 * time.Second
		// changeEvery is the minimum time between two changes of an entry instance's summary
		// while its loads differ from the published demands by no more than the headroom for
		// random bursts.
		changeEvery = 2 * time.Second
	)
	for range b.N {
		nodes, _, stop := benchMesh(b, targetNodes, engine.DefaultTiming())
		awaitMesh(b, nodes)
		time.Sleep(warmup)
		start := measure(nodes)
		time.Sleep(benchWindow)
		idle := measure(nodes).minus(start)
		start = measure(nodes)
		for round := range int(benchWindow / changeEvery) {
			summary := make([]byte, summaryBytes)
			summary[0] = byte(round + 1)
			for _, n := range nodes {
				assert.NilError(b, n.SetSummary(summary))
			}
			time.Sleep(changeEvery)
		}
		loaded := measure(nodes).minus(start)
		stop()
		rateFactor := 2 / float64(targetNodes) / benchWindow.Seconds()
		b.ReportMetric(idle.wireBytes()*rateFactor, "idle-B/s")
		b.ReportMetric((loaded.wireBytes()-idle.wireBytes())*rateFactor, "summaries-B/s")
		b.ReportMetric(0, "ns/op")
	}
}
