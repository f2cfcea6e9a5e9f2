package engine

import (
	"encoding/binary"
	"hash/fnv"
	"slices"
	"strings"
	"time"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/mesh/replica"
	"github.com/tarragonreach/tarragonreach/mesh/wire"
)

const (
	// pushBytes is the size up to which new documents are sent without a request. Larger
	// ones are announced, so that each peer pulls them once.
	pushBytes = 256
	// pullBytes is the approximate size of one response to a pull.
	pullBytes = 64 << 10
	// documentOverhead is the size of a document's envelope in bytes.
	documentOverhead = 32
	// refusedPullTimeouts is the number of pull timeouts for which a stream is not pulled
	// again after the replica accepted none of the peer's documents.
	refusedPullTimeouts = 5
)

// pull is a request for documents without a response so far.
type pull struct {
	from     fleet.InstanceID
	after    int64
	deadline time.Time
	// target is the newest version announced so far, by the peer announcer.
	target    int64
	announcer fleet.InstanceID
}

// digest returns the versions of all replicas, sorted by stream.
func (e *Engine) digest() []replica.StreamVersion {
	var versions []replica.StreamVersion
	for _, r := range e.replicas {
		versions = append(versions, r.Digest()...)
	}
	slices.SortFunc(versions, func(a, b replica.StreamVersion) int {
		return strings.Compare(string(a.Stream), string(b.Stream))
	})
	return slices.DeleteFunc(versions, func(v replica.StreamVersion) bool { return v.Version <= 0 })
}

func digestHash(versions []replica.StreamVersion) uint64 {
	h := fnv.New64a()
	var number [8]byte
	for _, v := range versions {
		h.Write([]byte(v.Stream))
		binary.LittleEndian.PutUint64(number[:], uint64(v.Version))
		h.Write(number[:])
	}
	return h.Sum64()
}

// replicaOf returns the replica that owns a stream, or nil.
func (e *Engine) replicaOf(stream replica.Stream) replica.Replica {
	for _, r := range e.replicas {
		if owns(r, stream) {
			return r
		}
	}
	return nil
}

func owns(r replica.Replica, stream replica.Stream) bool {
	if owner, ok := r.(replica.StreamOwner); ok {
		return owner.Owns(stream)
	}
	for _, v := range r.Digest() {
		if prefixOf(v.Stream) == prefixOf(stream) {
			return true
		}
	}
	return false
}

// prefixOf returns the part of a stream's name before the first slash.
func prefixOf(stream replica.Stream) string {
	name, _, _ := strings.Cut(string(stream), "/")
	return name
}

// held returns the version of a stream that the replicas hold, zero for none.
func (e *Engine) held(stream replica.Stream) int64 {
	for _, v := range e.digest() {
		if v.Stream == stream {
			return v.Version
		}
	}
	return 0
}

// compareDigest sends all versions held if the peer's hash differs. Comparisons of the same
// two states become less frequent.
func (e *Engine) compareDigest(l *link, hash uint64, now time.Time) {
	versions := e.digest()
	own := digestHash(versions)
	if hash == own {
		for _, v := range versions {
			l.offered[v.Stream] = v.Version
		}
		return
	}
	if !l.streamComparison.due(own, hash, e.timing.HeartbeatInterval/2, now) {
		return
	}
	e.send(l.peer, &wire.Digest{Versions: versions, Full: true})
}

// receiveDigest pulls the streams of which the peer holds a newer version, and offers those
// of which it holds an older one.
func (e *Engine) receiveDigest(l *link, digest *wire.Digest, now time.Time) {
	peerVersions := make(map[replica.Stream]int64, len(digest.Versions))
	for _, v := range digest.Versions {
		peerVersions[v.Stream] = v.Version
		e.pullIfBehind(l, v, now)
	}
	var announce []replica.StreamVersion
	for _, v := range e.digest() {
		version, listed := peerVersions[v.Stream]
		if !listed && !digest.Full {
			continue
		}
		l.offered[v.Stream] = version
		announce = append(announce, e.offer(l, v)...)
	}
	e.announce(l, announce)
}

func (e *Engine) pullIfBehind(l *link, peerVersion replica.StreamVersion, now time.Time) {
	held := e.held(peerVersion.Stream)
	if peerVersion.Version <= held || e.replicaOf(peerVersion.Stream) == nil {
		return
	}
	if p, open := e.pulls[peerVersion.Stream]; open && now.Before(p.deadline) {
		if peerVersion.Version > p.target {
			p.target, p.announcer = peerVersion.Version, l.peer
			e.pulls[peerVersion.Stream] = p
		}
		return
	}
	e.sendPull(l.peer, peerVersion, held, now)
}

func (e *Engine) sendPull(from fleet.InstanceID, target replica.StreamVersion, held int64, now time.Time) {
	e.pulls[target.Stream] = pull{
		from:      from,
		after:     held,
		deadline:  now.Add(e.timing.PullTimeout),
		target:    target.Version,
		announcer: from,
	}
	e.send(from, &wire.Pull{Stream: target.Stream, After: held})
}

func (e *Engine) receivePull(l *link, request *wire.Pull) {
	source := e.replicaOf(request.Stream)
	if source == nil {
		return
	}
	documents := source.Read(request.Stream, request.After, pullBytes)
	if len(documents) == 0 {
		return
	}
	e.send(l.peer, &wire.Documents{Documents: documents})
}

// receiveDocuments passes documents to their replicas, with one Merge per replica.
func (e *Engine) receiveDocuments(l *link, message *wire.Documents) {
	for _, r := range e.replicas {
		var documents []replica.Document
		for _, d := range message.Documents {
			if e.replicaOf(d.Stream) == r {
				documents = append(documents, d)
			}
		}
		if len(documents) > 0 {
			e.actions = append(e.actions, Merge{From: l.peer, Replica: r, Documents: documents})
		}
	}
}

// Merged reports that the replica of a Merge has accepted or refused its documents.
func (e *Engine) Merged(merge Merge, now time.Time) []Action {
	newest := make(map[replica.Stream]int64)
	for _, d := range merge.Documents {
		newest[d.Stream] = max(newest[d.Stream], d.Version)
	}
	for stream, version := range newest {
		e.handleMergedStream(merge.From, stream, version, now)
	}
	e.offerToPeers(now)
	return e.popActions()
}

func (e *Engine) handleMergedStream(from fleet.InstanceID, stream replica.Stream, version int64, now time.Time) {
	held := e.held(stream)
	l := e.links[from]
	if l != nil {
		l.offered[stream] = max(l.offered[stream], version)
	}
	e.markOfferedInLocalZone(from, stream, held)
	p, open := e.pulls[stream]
	if !open || p.from != from {
		return
	}
	if held <= p.after {
		p.deadline = now.Add(refusedPullTimeouts * e.timing.PullTimeout)
		e.pulls[stream] = p
		return
	}
	delete(e.pulls, stream)
	if held < p.target && e.links[p.announcer] != nil {
		e.sendPull(p.announcer, replica.StreamVersion{Stream: stream, Version: p.target}, held, now)
	}
}

// markOfferedInLocalZone marks a version from a peer of the local zone as offered to the other
// peers of the zone, since that peer offers it to them directly.
func (e *Engine) markOfferedInLocalZone(from fleet.InstanceID, stream replica.Stream, version int64) {
	for _, l := range e.links {
		if e.servedBySource(l, from) {
			l.offered[stream] = max(l.offered[stream], version)
		}
	}
}

// offerToPeers offers each peer the versions that it does not hold.
func (e *Engine) offerToPeers(now time.Time) {
	versions := e.digest()
	for _, l := range e.sortedLinks() {
		if !e.active(l, now) {
			continue
		}
		var announce []replica.StreamVersion
		for _, v := range versions {
			announce = append(announce, e.offer(l, v)...)
		}
		e.announce(l, announce)
	}
}

// offer sends the peer those documents of a stream that it lacks if they are small. Otherwise
// it returns the version that is to be announced instead.
func (e *Engine) offer(l *link, v replica.StreamVersion) []replica.StreamVersion {
	after := l.offered[v.Stream]
	if after >= v.Version {
		return nil
	}
	l.offered[v.Stream] = v.Version
	source := e.replicaOf(v.Stream)
	if source == nil {
		return nil
	}
	documents := source.Read(v.Stream, after, pushBytes)
	if len(documents) == 0 {
		return nil
	}
	complete := documents[len(documents)-1].Version >= v.Version
	if !complete || sizeOf(documents) > pushBytes {
		return []replica.StreamVersion{v}
	}
	e.send(l.peer, &wire.Documents{Documents: documents})
	return nil
}

func (e *Engine) announce(l *link, versions []replica.StreamVersion) {
	if len(versions) > 0 {
		e.send(l.peer, &wire.Digest{Versions: versions})
	}
}

func sizeOf(documents []replica.Document) int {
	size := 0
	for _, d := range documents {
		size += len(d.Body) + len(d.Key) + len(d.Stream) + documentOverhead
	}
	return size
}
