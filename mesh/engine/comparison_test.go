package engine

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/mesh/wire"
)

func TestRepeatedComparisonsOfSameDifferenceBackOff(t *testing.T) {
	var c comparison
	start := time.Unix(0, 0)
	compared := 0
	for second := range 120 {
		if c.due(1, 2, time.Second, start.Add(time.Duration(second)*time.Second)) {
			compared++
		}
	}
	assert.Assert(t, compared >= 6 && compared <= 9, "compared %d times", compared)
	assert.Assert(t, !c.due(3, 3, time.Second, start.Add(time.Hour)), "equal states were compared")
	assert.Assert(t, c.due(3, 2, time.Second, start.Add(time.Hour)), "changed state was not compared")
	assert.Assert(t, c.due(3, 2, time.Second, start.Add(time.Hour+time.Second)), "backoff was not reset by the changed state")
}

func TestNewestRecordWins(t *testing.T) {
	now := time.Unix(0, 0)
	table := newMemberTable(wire.Record{ID: "self", Zone: "z", Address: "a:1", Incarnation: 1})
	record := func(incarnation int64, sequence uint64) wire.Record {
		return wire.Record{ID: "peer", Zone: "z", Address: "a:2", Incarnation: incarnation, Sequence: sequence}
	}
	for _, tc := range []struct {
		record   wire.Record
		accepted bool
	}{
		{record(5, 1), true},
		{record(5, 1), false},
		{record(5, 0), false},
		{record(4, 9), false},
		{record(5, 2), true},
		{record(6, 0), true},
	} {
		assert.Equal(t, table.merge(tc.record, now), tc.accepted, "%v", tc.record)
	}
}

func TestReachabilityNeedsBothEnds(t *testing.T) {
	now := time.Unix(0, 0)
	table := newMemberTable(wire.Record{ID: "a", Zone: "z", Address: "a:1"})
	put := func(id fleet.InstanceID, heartbeatsFrom ...fleet.InstanceID) {
		table.merge(wire.Record{ID: id, Zone: "z", Address: string(id) + ":1", Incarnation: 1, HeartbeatsFrom: heartbeatsFrom}, now)
	}
	put("b", "a", "c", "d")
	put("c", "b")
	put("d") // receives no heartbeats from b
	put("e", "f")
	put("f", "e")
	table.updateReachable([]fleet.InstanceID{"b"}, now)
	var ids []fleet.InstanceID
	for _, r := range table.reachable() {
		ids = append(ids, r.ID)
	}
	assert.DeepEqual(t, ids, []fleet.InstanceID{"a", "b", "c"})
}

func TestMemberTableIsBounded(t *testing.T) {
	now := time.Unix(0, 0)
	table := newMemberTable(wire.Record{ID: "self", Zone: "z", Address: "a:1"})
	for i := range 2 * wire.MaxMembers {
		id := fleet.InstanceID(time.Duration(i).String())
		table.merge(wire.Record{ID: id, Zone: "z", Address: string(id), Incarnation: 1}, now)
	}
	assert.Equal(t, len(table.entries), wire.MaxMembers)
	table.removeUnreachable(time.Minute, now.Add(time.Hour))
	assert.Equal(t, len(table.entries), 1)
}
