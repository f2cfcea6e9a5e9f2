package engine

import (
	"time"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/mesh/wire"
)

// Receive handles a message from a connected peer.
func (e *Engine) Receive(from fleet.InstanceID, message wire.Message, now time.Time) []Action {
	l := e.links[from]
	if l == nil {
		return nil
	}
	switch m := message.(type) {
	case *wire.Hello:
		e.receiveHello(l, m, now)
	case *wire.Heartbeat:
		e.receiveHeartbeat(l, m, now)
	case *wire.Members:
		e.receiveRecords(m.Records, from, now)
	case *wire.MemberDigest:
		e.receiveMemberDigest(l, m)
	case *wire.Digest:
		e.receiveDigest(l, m, now)
	case *wire.Pull:
		e.receivePull(l, m)
	case *wire.Documents:
		e.receiveDocuments(l, m)
	case *wire.Leave:
		e.receiveLeave(l, m, now)
	}
	return e.popActions()
}

// receiveHello stores the peer's own record. If its instance ID differs from that in
// the peer's certificate, the connection is closed.
func (e *Engine) receiveHello(l *link, hello *wire.Hello, now time.Time) {
	if hello.Record.ID != l.peer {
		e.dropLink(l.peer, now)
		e.actions = append(e.actions, Close{Peer: l.peer})
		return
	}
	l.up = true
	l.lastContact = now
	e.resetBackoff(l.address)
	e.receiveRecords([]wire.Record{hello.Record}, l.peer, now)
	e.chooseLinks()
	e.sendHeartbeats(now)
}

func (e *Engine) receiveHeartbeat(l *link, heartbeat *wire.Heartbeat, now time.Time) {
	if !l.up {
		return
	}
	l.lastContact = now
	l.confirmed = true
	l.suspectUntil = time.Time{}
	if heartbeat.Summary != nil || heartbeat.SummaryVersion == 0 {
		l.summary = heartbeat.Summary
		l.summaryVersion = heartbeat.SummaryVersion
	}
	l.summaryHeld = heartbeat.SummaryHeld
	if !heartbeat.Reply {
		l.heartbeatSequence = max(heartbeat.Sequence, 1)
		e.sendHeartbeat(l, true, now)
	}
	e.refreshReachable(now)
	e.compareMembers(l, heartbeat.MemberHash, now)
	e.compareDigest(l, heartbeat.DigestHash, now)
}

// compareMembers sends the versions of the reachable members if the peer's hash differs.
func (e *Engine) compareMembers(l *link, hash uint64, now time.Time) {
	if !l.memberComparison.due(e.members.hash(), hash, e.timing.HeartbeatInterval/2, now) {
		return
	}
	e.send(l.peer, &wire.MemberDigest{Versions: e.members.versions()})
}

func (e *Engine) receiveMemberDigest(l *link, digest *wire.MemberDigest) {
	newer, behind := e.members.difference(digest.Versions)
	if len(newer) > 0 {
		e.send(l.peer, &wire.Members{Records: newer})
	}
	if behind && !digest.Reply {
		e.send(l.peer, &wire.MemberDigest{Versions: e.members.versions(), Reply: true})
	}
}

// receiveRecords stores newer records and forwards them.
func (e *Engine) receiveRecords(records []wire.Record, from fleet.InstanceID, now time.Time) {
	var updated []wire.Record
	for _, record := range records {
		if record.ID == e.members.self {
			e.supersedeOwn(record)
			continue
		}
		if e.members.merge(record, now) {
			updated = append(updated, record)
		}
	}
	e.refreshReachable(now)
	e.sendRecords(updated, from, now)
}

// supersedeOwn makes this instance's record newer than a received one, which an earlier
// process of the same instance published.
func (e *Engine) supersedeOwn(record wire.Record) {
	own := e.members.own()
	if !record.NewerThan(own) {
		return
	}
	own.Incarnation = record.Incarnation + 1
	e.members.setOwn(own)
	e.recordDirty = true
}

// receiveLeave drops the link to the peer at once and forwards its last record.
func (e *Engine) receiveLeave(l *link, leave *wire.Leave, now time.Time) {
	if leave.Record.ID != l.peer {
		return
	}
	e.dropLink(l.peer, now)
	e.actions = append(e.actions, Close{Peer: l.peer})
	e.receiveRecords([]wire.Record{leave.Record}, l.peer, now)
}
