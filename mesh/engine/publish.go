package engine

import (
	"slices"
	"time"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/mesh/topology"
	"github.com/tarragonreach/tarragonreach/mesh/wire"
)

// Reachable returns the number of reachable members besides the instance itself.
func (e *Engine) Reachable() int {
	count := -1
	for _, entry := range e.members.entries {
		if entry.reachable {
			count++
		}
	}
	return count
}

// chooseLinks computes the wanted peers: those of the topology over all members that have not
// left, and those of the topology over the reachable members, which closes the ring of zones
// while some zones are cut off.
func (e *Engine) chooseLinks() {
	if e.linksChosenAt == e.members.changes {
		return
	}
	e.linksChosenAt = e.members.changes
	clear(e.wantedPeers)
	for _, records := range [][]wire.Record{e.members.present(), e.members.reachable()} {
		for _, id := range topology.Peers(e.members.self, topologyMembers(records)) {
			e.wantedPeers[id] = true
		}
	}
}

func topologyMembers(records []wire.Record) []topology.Member {
	members := make([]topology.Member, len(records))
	for i, record := range records {
		members[i] = topology.Member{ID: record.ID, Zone: record.Zone}
	}
	return members
}

// publish sends a new version of this instance's record if the peers whose heartbeats
// it receives have changed or the record has to be renewed.
func (e *Engine) publish(now time.Time) {
	own := e.members.own()
	heartbeatsFrom := e.heartbeatPeers(now)
	if !e.recordDirty && slices.Equal(heartbeatsFrom, own.HeartbeatsFrom) {
		return
	}
	e.recordDirty = false
	own.HeartbeatsFrom = heartbeatsFrom
	own.Sequence++
	e.members.setOwn(own)
	e.refreshReachable(now)
	e.sendRecords([]wire.Record{own}, "", now)
}

func (e *Engine) refreshReachable(now time.Time) {
	for _, address := range e.members.updateReachable(e.heartbeatPeers(now), now) {
		e.resetBackoff(address)
	}
}

// sendRecords forwards records on all active links except that to their source. Records
// that came from the local zone are not sent there again, since it is fully meshed.
func (e *Engine) sendRecords(records []wire.Record, source fleet.InstanceID, now time.Time) {
	if len(records) == 0 {
		return
	}
	for _, l := range e.sortedLinks() {
		if l.peer == source || !e.active(l, now) || e.servedBySource(l, source) {
			continue
		}
		e.send(l.peer, &wire.Members{Records: records})
	}
}

// servedBySource reports whether the source sends to the link's peer directly, because both
// are in the local zone.
func (e *Engine) servedBySource(l *link, source fleet.InstanceID) bool {
	if source == "" {
		return false
	}
	localZone := e.members.own().Zone
	return e.zone(source) == localZone && e.zone(l.peer) == localZone
}

func (e *Engine) zone(id fleet.InstanceID) fleet.AvailabilityZone {
	entry := e.members.entries[id]
	if entry == nil {
		return ""
	}
	return entry.record.Zone
}

// reachableInLocalZone counts the reachable members of the local zone, self included.
func (e *Engine) reachableInLocalZone() int {
	count := 0
	for _, entry := range e.members.entries {
		if entry.reachable && entry.record.Zone == e.members.own().Zone {
			count++
		}
	}
	return count
}
