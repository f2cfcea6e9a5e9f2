package engine_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/mesh/enginetest"
	"github.com/tarragonreach/tarragonreach/mesh/wire"
)

// TestSummariesToOtherZonesAreRateLimited counts the summaries that a node sends while its load
// changes at each heartbeat interval: its peer in the same zone gets each one, its peer in the
// other zone about every fifth.
func TestSummariesToOtherZonesAreRateLimited(t *testing.T) {
	m := newMesh(31)
	m.form(t, 2, 2)
	sameZone, otherZone := m.Nodes[1], m.Nodes[2]
	sent := 0
	m.OnSend = func(from *enginetest.Node, message wire.Message) {
		if h, ok := message.(*wire.Heartbeat); ok && from == m.Nodes[0] && h.Summary != nil {
			sent++
		}
	}
	const heartbeats = 50
	for i := range heartbeats {
		m.Nodes[0].Engine.SetSummary([]byte{byte(i)})
		m.Run(2 * time.Second)
	}
	assert.Assert(t, sent >= heartbeats && sent <= heartbeats*3/2, "%d summaries", sent)
	assert.DeepEqual(t, summaryAt(sameZone, m.Nodes[0]), []byte{heartbeats - 1})
	assert.Assert(t, summaryAt(otherZone, m.Nodes[0]) != nil)
}

// TestChangedSummaryReachesLocalZoneAtOnce guards against summaries that wait for the next
// heartbeat, which takes up to two seconds.
func TestChangedSummaryReachesLocalZoneAtOnce(t *testing.T) {
	m := newMesh(33)
	m.form(t, 1, 3)
	m.Run(10 * time.Second)
	for i := range 5 {
		m.Run(time.Duration(300+170*i) * time.Millisecond)
		load := []byte{byte(i + 1)}
		m.Nodes[0].Engine.SetSummary(load)
		m.Run(300 * time.Millisecond)
		assert.DeepEqual(t, summaryAt(m.Nodes[1], m.Nodes[0]), load)
		assert.DeepEqual(t, summaryAt(m.Nodes[2], m.Nodes[0]), load)
	}
}

func TestUnchangedSummaryIsNotSentAgain(t *testing.T) {
	m := newMesh(32)
	m.form(t, 1, 2)
	m.Nodes[0].Engine.SetSummary([]byte("load"))
	m.Run(10 * time.Second)
	m.OnSend = func(_ *enginetest.Node, message wire.Message) {
		if h, ok := message.(*wire.Heartbeat); ok {
			assert.Assert(t, h.Summary == nil)
		}
	}
	m.Nodes[0].Engine.SetSummary([]byte("load"))
	m.Run(10 * time.Second)
}

func summaryAt(node, peer *enginetest.Node) []byte {
	for _, member := range node.Engine.Members() {
		if member.Record.ID == peer.ID {
			return member.Summary
		}
	}
	return nil
}
