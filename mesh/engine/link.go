package engine

import (
	"slices"
	"strings"
	"time"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/mesh/replica"
	"github.com/tarragonreach/tarragonreach/mesh/wire"
)

// crossZoneSummaryHeartbeats is the number of heartbeat intervals between two summaries to
// a peer of another availability zone.
const crossZoneSummaryHeartbeats = 5

// unconfirmedHeartbeats is the number of heartbeats per heartbeat interval on a connection
// that the peer has not confirmed.
const unconfirmedHeartbeats = 8

// link is the connection to one peer.
type link struct {
	peer   fleet.InstanceID
	dialed bool // by this instance, which then initiates the heartbeats
	// address is the dialed address, empty if the peer dialed.
	address string
	// up is set by the peer's Hello.
	up bool
	// confirmed is set by the peer's first heartbeat.
	confirmed   bool
	lastContact time.Time
	// suspectUntil is the time by which a heartbeat of a suspected peer has to arrive;
	// zero if the peer is not suspected.
	suspectUntil      time.Time
	nextHeartbeat     time.Time
	heartbeatSequence uint32
	// offered holds the versions that the peer holds or was offered.
	offered          map[replica.Stream]int64
	streamComparison comparison
	memberComparison comparison
	// bridgeUntil is set if this instance opened the link while no other path led to the
	// peer. The link may be off the topology and is kept at least until then.
	bridgeUntil time.Time
	// summary is the peer's last load summary received, with its version.
	summary        []byte
	summaryVersion uint32
	nextSummary    time.Time
	// summarySent is this instance's summary version that was last sent to the peer.
	summarySent uint32
	// summaryHeld is this instance's summary version that the peer holds.
	summaryHeld uint32
}

// Connected reports a new connection to a peer; it replaces an earlier one. The address is
// the one that was dialed, empty if the peer dialed.
func (e *Engine) Connected(peer fleet.InstanceID, address string, dialed bool, now time.Time) []Action {
	if dialed {
		e.endAttempt(address, peer, now)
	}
	l := &link{
		peer:        peer,
		dialed:      dialed,
		address:     address,
		lastContact: now,
		offered:     make(map[replica.Stream]int64),
	}
	if dialed && !e.isReachable(peer) {
		l.bridgeUntil = now.Add(e.timing.MinBridgeTime)
	}
	e.links[peer] = l
	e.send(peer, &wire.Hello{Record: e.members.own()})
	return e.popActions()
}

// Disconnected reports the end of the current connection to a peer.
func (e *Engine) Disconnected(peer fleet.InstanceID, now time.Time) []Action {
	e.dropLink(peer, now)
	return e.popActions()
}

// Suspect reports that a call to the peer got no response in time. If no heartbeat arrives
// within SuspicionTimeout, the connection is closed.
func (e *Engine) Suspect(peer fleet.InstanceID, now time.Time) []Action {
	l := e.links[peer]
	if l == nil || !l.up || !l.suspectUntil.IsZero() {
		return nil
	}
	l.suspectUntil = now.Add(e.timing.SuspicionTimeout)
	e.sendHeartbeat(l, false, now)
	return e.popActions()
}

// Leave returns the messages that announce the shutdown of this instance to all peers.
func (e *Engine) Leave() []Action {
	record := e.members.own()
	record.Sequence++
	record.HeartbeatsFrom = nil
	record.Left = true
	for _, l := range e.sortedLinks() {
		e.send(l.peer, &wire.Leave{Record: record})
	}
	return e.popActions()
}

func (e *Engine) dropLink(peer fleet.InstanceID, now time.Time) {
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

// active reports whether a link carries heartbeats. Connections used only for calls do not.
func (e *Engine) active(l *link, now time.Time) bool {
	return l.up && l.heartbeatSequence > 0 && now.Sub(l.lastContact) <= e.timing.HeartbeatTimeout
}

// heartbeatPeers returns the peers whose heartbeats arrive in time, sorted.
func (e *Engine) heartbeatPeers(now time.Time) []fleet.InstanceID {
	var peers []fleet.InstanceID
	for _, l := range e.sortedLinks() {
		if e.active(l, now) {
			peers = append(peers, l.peer)
		}
	}
	return peers
}

// closeUnresponsive closes the connections that this instance keeps up if their heartbeats
// are overdue, and those to suspected peers whose heartbeat did not arrive in time. The
// transport's idle timeout closes the others.
func (e *Engine) closeUnresponsive(now time.Time) {
	for _, l := range e.sortedLinks() {
		if !e.unresponsive(l, now) {
			continue
		}
		e.dropLink(l.peer, now)
		e.actions = append(e.actions, Close{Peer: l.peer})
	}
}

// shouldKeep reports whether this instance keeps the link up.
func (e *Engine) shouldKeep(l *link) bool {
	return e.wantedPeers[l.peer] || !l.bridgeUntil.IsZero()
}

// releaseBridges stops keeping bridges whose peer is reachable over other links, and
// extends the time of the others.
func (e *Engine) releaseBridges(now time.Time) {
	for _, l := range e.links {
		if l.bridgeUntil.IsZero() || now.Before(l.bridgeUntil) {
			continue
		}
		others := slices.DeleteFunc(e.heartbeatPeers(now), func(id fleet.InstanceID) bool { return id == l.peer })
		if e.members.reachableFrom(others)[l.peer] {
			l.bridgeUntil = time.Time{}
			continue
		}
		l.bridgeUntil = now.Add(e.timing.MinBridgeTime)
	}
}

func (e *Engine) unresponsive(l *link, now time.Time) bool {
	if !l.suspectUntil.IsZero() && now.After(l.suspectUntil) {
		return true
	}
	return e.shouldKeep(l) && now.Sub(l.lastContact) > e.timing.HeartbeatTimeout
}

// sendHeartbeats sends the heartbeats that are due on the links that this instance dialed
// and keeps up.
func (e *Engine) sendHeartbeats(now time.Time) {
	for _, l := range e.sortedLinks() {
		if !l.up || !l.dialed || !e.shouldKeep(l) || now.Before(l.nextHeartbeat) {
			continue
		}
		l.nextHeartbeat = now.Add(e.heartbeatPeriod(l))
		l.heartbeatSequence++
		e.sendHeartbeat(l, false, now)
	}
}

// heartbeatPeriod is shorter until the peer's first heartbeat, since the peer ignores
// heartbeats that overtake the Hello.
func (e *Engine) heartbeatPeriod(l *link) time.Duration {
	if l.confirmed {
		return e.timing.HeartbeatInterval
	}
	return e.timing.HeartbeatInterval / unconfirmedHeartbeats
}

func (e *Engine) sendHeartbeat(l *link, reply bool, now time.Time) {
	heartbeat := &wire.Heartbeat{
		Sequence:       l.heartbeatSequence,
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

// pushSummary sends a changed summary to the peers of the local zone without waiting for the
// next heartbeat, since they allocate the slots of executors by it. Each summary is pushed
// once, in a heartbeat with Reply set, to which the peer does not respond; if it is lost, a
// later heartbeat carries it.
func (e *Engine) pushSummary(now time.Time) {
	for _, l := range e.sortedLinks() {
		if e.inLocalZone(l) && l.confirmed && e.active(l, now) && l.summarySent != e.summaryVersion {
			e.sendHeartbeat(l, true, now)
		}
	}
}

// summaryDue reports whether the peer lacks the newest summary and may get it now. A peer
// of the local zone gets a new summary at once, and the same one again only if it has not
// confirmed it within summaryPeriod. A peer of another zone gets at most one per
// summaryPeriod.
func (e *Engine) summaryDue(l *link, now time.Time) bool {
	if l.summaryHeld == e.summaryVersion {
		return false
	}
	if e.inLocalZone(l) && l.summarySent != e.summaryVersion {
		return true
	}
	return !now.Before(l.nextSummary)
}

// inLocalZone reports whether the peer is in this instance's availability zone.
func (e *Engine) inLocalZone(l *link) bool { return e.zone(l.peer) == e.members.own().Zone }

// summaryPeriod is the time after which a summary may be sent to the peer again. In the
// local zone it is one and a half heartbeat intervals, within which a heartbeat of the peer
// confirms the version that it holds.
func (e *Engine) summaryPeriod(l *link) time.Duration {
	if e.inLocalZone(l) {
		return e.timing.HeartbeatInterval * 3 / 2
	}
	return crossZoneSummaryHeartbeats * e.timing.HeartbeatInterval
}
