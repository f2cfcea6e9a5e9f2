package engine

import (
	"slices"
	"strings"
	"time"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/mesh/replica"
	"github.com/tarragonreach/tarragonreach/mesh/wire"
)

// farSummaryBeats is the number of heartbeats between two summaries for a peer of
// another availability zone.
const farSummaryBeats = 5

// unconfirmedBeats is the number of heartbeats per period on a new connection.
const unconfirmedBeats = 8

// link is the connection to one peer.
type link struct {
	peer   fleet.InstanceID
	dialed bool // by this side, which then sends the heartbeats
	// address is the one dialed, if this side dialed.
	address string
	// up is set by the peer's Hello.
	up bool
	// confirmed is set by the peer's first heartbeat.
	confirmed bool
	lastHeard time.Time
	// suspectUntil is the time by which a suspected peer has to show a heartbeat.
	suspectUntil time.Time
	nextBeat     time.Time
	sequence     uint32
	// offered holds the versions that the peer holds or was offered.
	offered map[replica.Stream]int64
	streams comparison
	members comparison
	// bridgeUntil is set where the link is off the topology but was the only way
	// to the peer; it is kept at least until then.
	bridgeUntil time.Time
	// summary is the peer's load summary of summaryVersion.
	summary        []byte
	summaryVersion uint32
	nextSummary    time.Time
	// summarySent is the own summary version that was last sent to the peer.
	summarySent uint32
	// summaryHeld is the own summary version that the peer holds.
	summaryHeld uint32
}

// Connected reports a new connection to a peer; it replaces an earlier one.
func (e *Engine) Connected(peer fleet.InstanceID, address string, dialed bool, now time.Time) []Action {
	if dialed {
		e.dialDone(address, peer, now)
	}
	l := &link{
		peer:      peer,
		dialed:    dialed,
		address:   address,
		lastHeard: now,
		offered:   make(map[replica.Stream]int64),
	}
	if dialed && !e.isReachable(peer) {
		l.bridgeUntil = now.Add(e.timing.MinBridgeTime)
	}
	e.links[peer] = l
	e.send(peer, &wire.Hello{Record: e.members.own()})
	return e.take()
}

// Disconnected reports the end of the current connection to a peer.
func (e *Engine) Disconnected(peer fleet.InstanceID, now time.Time) []Action {
	e.drop(peer, now)
	return e.take()
}

// Suspect reports that a call to the peer got no answer in time. The peer has to
// show a heartbeat soon, else the connection is taken for dead.
func (e *Engine) Suspect(peer fleet.InstanceID, now time.Time) []Action {
	l := e.links[peer]
	if l == nil || !l.up || !l.suspectUntil.IsZero() {
		return nil
	}
	l.suspectUntil = now.Add(e.timing.SuspicionTimeout)
	e.sendHeartbeat(l, false, now)
	return e.take()
}

// Leave returns the last messages to all peers.
func (e *Engine) Leave() []Action {
	record := e.members.own()
	record.Sequence++
	record.HeartbeatsFrom = nil
	record.Left = true
	for _, l := range e.sortedLinks() {
		e.send(l.peer, &wire.Leave{Record: record})
	}
	return e.take()
}

func (e *Engine) drop(peer fleet.InstanceID, now time.Time) {
	delete(e.links, peer)
	for stream, p := range e.pulls {
		if p.from == peer {
			delete(e.pulls, stream)
		}
	}
	e.refreshReachable(now)
}

func (e *Engine) sortedLinks() []*link {
	links := make([]*link, 0, len(e.links))
	for _, l := range e.links {
		links = append(links, l)
	}
	slices.SortFunc(links, func(a, b *link) int {
		return strings.Compare(string(a.peer), string(b.peer))
	})
	return links
}

// active reports whether a link carries heartbeats. Connections that serve only
// calls do not.
func (e *Engine) active(l *link, now time.Time) bool {
	return l.up && l.sequence > 0 && now.Sub(l.lastHeard) <= e.timing.HeartbeatTimeout
}

// heardPeers returns the peers whose heartbeats are heard, sorted.
func (e *Engine) heardPeers(now time.Time) []fleet.InstanceID {
	var heard []fleet.InstanceID
	for _, l := range e.sortedLinks() {
		if e.active(l, now) {
			heard = append(heard, l.peer)
		}
	}
	return heard
}

// closeSilent gives up wanted connections whose heartbeats are overdue. The
// transport's idle timeout closes the others.
func (e *Engine) closeSilent(now time.Time) {
	for _, l := range e.sortedLinks() {
		if !e.silent(l, now) {
			continue
		}
		e.drop(l.peer, now)
		e.actions = append(e.actions, Close{Peer: l.peer})
	}
}

// wants reports whether this side keeps the link up.
func (e *Engine) wants(l *link) bool {
	return e.wanted[l.peer] || !l.bridgeUntil.IsZero()
}

// releaseBridges ends the keeping of bridges whose peer is reachable without them.
func (e *Engine) releaseBridges(now time.Time) {
	for _, l := range e.links {
		if l.bridgeUntil.IsZero() || now.Before(l.bridgeUntil) {
			continue
		}
		others := slices.DeleteFunc(e.heardPeers(now), func(id fleet.InstanceID) bool { return id == l.peer })
		if e.members.search(others)[l.peer] {
			l.bridgeUntil = time.Time{}
			continue
		}
		l.bridgeUntil = now.Add(e.timing.MinBridgeTime)
	}
}

func (e *Engine) silent(l *link, now time.Time) bool {
	if !l.suspectUntil.IsZero() && now.After(l.suspectUntil) {
		return true
	}
	return e.wants(l) && now.Sub(l.lastHeard) > e.timing.HeartbeatTimeout
}

// beat sends heartbeats on the wanted links that this side opened.
func (e *Engine) beat(now time.Time) {
	for _, l := range e.sortedLinks() {
		if !l.up || !l.dialed || !e.wants(l) || now.Before(l.nextBeat) {
			continue
		}
		l.nextBeat = now.Add(e.beatPeriod(l))
		l.sequence++
		e.sendHeartbeat(l, false, now)
	}
}

// beatPeriod is short until the peer has answered once, since it ignores
// heartbeats that overtake the Hello.
func (e *Engine) beatPeriod(l *link) time.Duration {
	if l.confirmed {
		return e.timing.HeartbeatInterval
	}
	return e.timing.HeartbeatInterval / unconfirmedBeats
}

func (e *Engine) sendHeartbeat(l *link, reply bool, now time.Time) {
	heartbeat := &wire.Heartbeat{
		Sequence:       l.sequence,
		Reply:          reply,
		MemberHash:     e.members.hash(),
		DigestHash:     digestHash(e.digest()),
		SummaryVersion: e.summaryVersion,
		SummaryHeld:    l.summaryVersion,
	}
	if e.summaryDue(l, now) {
		heartbeat.Summary = e.summary
		l.summarySent = e.summaryVersion
		l.nextSummary = now.Add(e.summaryPeriod(l))
	}
	e.send(l.peer, heartbeat)
}

// pushSummary sends a changed summary to the peers of the own zone without waiting
// for their heartbeats, since they divide the slots of executors by it. A push is
// sent once for each summary and asks for no reply; if it is lost, the next heartbeat
// carries the summary.
func (e *Engine) pushSummary(now time.Time) {
	for _, l := range e.sortedLinks() {
		if e.near(l) && l.confirmed && e.active(l, now) && l.summarySent != e.summaryVersion {
			e.sendHeartbeat(l, true, now)
		}
	}
}

// summaryDue reports whether the peer lacks the newest summary and may get it now. A
// peer of the own zone gets a new one at once, and the same one again only when it
// did not say in time that it holds it; one of another zone after some heartbeats.
func (e *Engine) summaryDue(l *link, now time.Time) bool {
	if l.summaryHeld == e.summaryVersion {
		return false
	}
	if e.near(l) && l.summarySent != e.summaryVersion {
		return true
	}
	return !now.Before(l.nextSummary)
}

// near reports whether the peer is of the own availability zone.
func (e *Engine) near(l *link) bool { return e.zone(l.peer) == e.members.own().Zone }

// summaryPeriod is the time after which a summary may be sent to the peer again. For
// the own zone it is a heartbeat and a half, in which a peer has said what it holds.
func (e *Engine) summaryPeriod(l *link) time.Duration {
	if e.near(l) {
		return e.timing.HeartbeatInterval * 3 / 2
	}
	return farSummaryBeats * e.timing.HeartbeatInterval
}
