package main

import (
	"context"
	"errors"
	"fmt"
	"syscall"
	"time"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/mesh"
	"github.com/tarragonreach/tarragonreach/mesh/keys"
	"github.com/tarragonreach/tarragonreach/mesh/replicatest"
)

const (
	zones          = 13
	packetHeaders  = 28               // size of the IPv4 and UDP headers of one packet in bytes
	meshSettleTime = 35 * time.Second // by then the extra links opened at the start are closed
	meshWindow     = 10 * time.Second
	meshChanges    = 10
	changeBytes    = 700
	// summaryBytes is the size of a load summary with one service for each pool.
	summaryBytes  = 16 * pools
	summaryPeriod = 2 * time.Second
	formTimeout   = time.Minute

	entryToday  = 8
	entryTarget = 39
)

// meshMeasurement runs complete mesh nodes on loopback with the intervals used in
// production, and measures traffic, processor time and memory per node.
func meshMeasurement() measurement {
	series := func(name, unit string) Series {
		return Series{Name: name, Role: "mesh", Unit: unit, Per: "entry instances", Today: entryToday, Target: entryTarget}
	}
	return measurement{
		sizes: []int{4, 8, 16, 32, 64},
		series: []Series{
			series("mesh-idle", "B/s"),
			series("mesh-change", "B/change"),
			series("mesh-processor", "% of a core"),
			series("mesh-memory", "KiB"),
			series("mesh-summaries", "B/s"),
		},
		measure: measureMesh,
	}
}

func measureMesh(size int) ([]float64, error) {
	before := heapBytes()
	f, err := startMesh(size)
	if err != nil {
		return nil, err
	}
	defer f.stop()
	if err := f.awaitFormed(); err != nil {
		return nil, err
	}
	time.Sleep(meshSettleTime)
	bytesBefore, cpuBefore := f.bytes(), processorTime()
	time.Sleep(meshWindow)
	idle, cpuUsed := f.bytes()-bytesBefore, processorTime()-cpuBefore
	heapGrowth := heapBytes() - before

	bytesBefore = f.bytes()
	for range meshChanges {
		f.logs[0].Append("config", make([]byte, changeBytes))
		f.nodes[0].ReplicaChanged()
		time.Sleep(meshWindow / meshChanges)
	}
	withChanges := f.bytes() - bytesBefore
	withSummaries, err := f.bytesWithSummaries()
	if err != nil {
		return nil, err
	}
	// Another node receives each byte sent, so the traffic of a node, sent and received,
	// is twice its share.
	share := 2 / float64(size)
	return []float64{
		idle * share / meshWindow.Seconds(),
		(withChanges - idle) * share / meshChanges,
		100 * cpuUsed.Seconds() / meshWindow.Seconds() / float64(size),
		heapGrowth / kib / float64(size),
		(withSummaries - idle) * share / meshWindow.Seconds(),
	}, nil
}

// bytesWithSummaries returns the bytes sent in one meshWindow in which the load summary
// of each node changes every summaryPeriod.
func (f *meshFleet) bytesWithSummaries() (float64, error) {
	before := f.bytes()
	for round := range int(meshWindow / summaryPeriod) {
		summary := make([]byte, summaryBytes)
		summary[0] = byte(round + 1)
		for _, n := range f.nodes {
			if err := n.SetSummary(summary); err != nil {
				return 0, err
			}
		}
		time.Sleep(summaryPeriod)
	}
	return f.bytes() - before, nil
}

// meshFleet is a mesh of nodes in one process.
type meshFleet struct {
	nodes  []*mesh.Node
	logs   []*replicatest.Log
	cancel context.CancelFunc
	done   chan error
}

func startMesh(size int) (*meshFleet, error) {
	authority, err := keys.NewAuthority()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	f := &meshFleet{cancel: cancel, done: make(chan error, size)}
	var seeds []string
	for i := range size {
		if err := f.add(authority, i, func() []string { return seeds }); err != nil {
			cancel()
			return nil, err
		}
	}
	seeds = []string{f.nodes[0].Addr(), f.nodes[1].Addr()}
	for _, n := range f.nodes {
		go func() { f.done <- n.Run(ctx) }()
	}
	return f, nil
}

func (f *meshFleet) add(authority *keys.Authority, i int, seeds func() []string) error {
	id := fleet.InstanceID(fmt.Sprintf("entry-%04d", i))
	tls, err := authority.Issue(id)
	if err != nil {
		return err
	}
	log := replicatest.NewLog("config")
	n, err := mesh.New(mesh.Options{
		ID:       id,
		Zone:     fleet.AvailabilityZone(fmt.Sprintf("zone-%02d", i%zones)),
		Listen:   "127.0.0.1:0",
		TLS:      tls,
		Seeds:    seeds,
		Replicas: []mesh.Replica{log},
	})
	if err != nil {
		return err
	}
	f.nodes = append(f.nodes, n)
	f.logs = append(f.logs, log)
	return nil
}

func (f *meshFleet) awaitFormed() error {
	deadline := time.Now().Add(formTimeout)
	for !f.formed() {
		if time.Now().After(deadline) {
			return errors.New("the mesh nodes did not all reach each other in time")
		}
		time.Sleep(10 * time.Millisecond)
	}
	return nil
}

func (f *meshFleet) formed() bool {
	for _, n := range f.nodes {
		reachable := 0
		for _, m := range n.Members() {
			if m.Reachable {
				reachable++
			}
		}
		if reachable != len(f.nodes)-1 {
			return false
		}
	}
	return true
}

// bytes returns the number of bytes that all nodes have sent, including the headers of
// IP and UDP.
func (f *meshFleet) bytes() float64 {
	total := 0.0
	for _, n := range f.nodes {
		sent := n.PacketsSent()
		total += float64(sent.Bytes) + packetHeaders*float64(sent.Messages)
	}
	return total
}

func (f *meshFleet) stop() {
	f.cancel()
	for range f.nodes {
		<-f.done
	}
}

func processorTime() time.Duration {
	var r syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &r) != nil {
		return 0
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}
