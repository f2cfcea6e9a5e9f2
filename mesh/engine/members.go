package engine

import (
	"encoding/binary"
	"hash/fnv"
	"slices"
	"strings"
	"time"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/mesh/wire"
)

// memberTable holds the newest record of each member. Only the member itself writes its
// record, so any two records of a member are ordered.
type memberTable struct {
	self    fleet.InstanceID
	entries map[fleet.InstanceID]*memberEntry
	// changes counts the changes of records and of reachability.
	changes    uint64
	hashed     uint64 // hash of the table at hashedAt
	hashedAt   uint64 // changes at the time of the hash
	searchedAt uint64 // changes at the time of the last search for reachable members
	// heartbeatsFrom holds the peers of self from which the last search started.
	heartbeatsFrom []fleet.InstanceID
}

type memberEntry struct {
	record    wire.Record
	reachable bool
	// reachabilitySince is the time at which the member became known or its reachability
	// last changed.
	reachabilitySince time.Time
}

func newMemberTable(self wire.Record) *memberTable {
	table := &memberTable{self: self.ID, entries: make(map[fleet.InstanceID]*memberEntry), changes: 1}
	table.entries[self.ID] = &memberEntry{record: self, reachable: true}
	return table
}

// own returns the record of the instance itself.
func (t *memberTable) own() wire.Record {
	return t.entries[t.self].record
}

// setOwn replaces the record of the instance itself.
func (t *memberTable) setOwn(record wire.Record) {
	t.entries[t.self].record = record
	t.changes++
}

// merge stores a record if it is newer than the one held and the table has space for it,
// and reports whether it did.
func (t *memberTable) merge(record wire.Record, now time.Time) bool {
	entry, known := t.entries[record.ID]
	if known && !record.NewerThan(entry.record) {
		return false
	}
	if !known && len(t.entries) >= wire.MaxMembers {
		return false
	}
	if !known {
		entry = &memberEntry{reachabilitySince: now}
		t.entries[record.ID] = entry
	}
	entry.record = record
	t.changes++
	t.dropSuperseded(record)
	return true
}

// dropSuperseded removes unreachable members that have the address of the given record and an
// earlier incarnation.
func (t *memberTable) dropSuperseded(record wire.Record) {
	for id, entry := range t.entries {
		if id == record.ID || id == t.self || entry.reachable {
			continue
		}
		if entry.record.Address == record.Address && entry.record.Incarnation < record.Incarnation {
			delete(t.entries, id)
			t.changes++
		}
	}
}

// updateReachable recomputes which members are reachable, given the peers from which self
// receives heartbeats. It returns the addresses of the members that became reachable.
func (t *memberTable) updateReachable(heartbeatsFrom []fleet.InstanceID, now time.Time) []string {
	if t.searchedAt == t.changes && slices.Equal(heartbeatsFrom, t.heartbeatsFrom) {
		return nil
	}
	t.heartbeatsFrom = heartbeatsFrom
	found := t.reachableFrom(heartbeatsFrom)
	var becameReachable []string
	for id, entry := range t.entries {
		if entry.reachable == found[id] {
			continue
		}
		entry.reachable = found[id]
		entry.reachabilitySince = now
		t.changes++
		if entry.reachable {
			becameReachable = append(becameReachable, entry.record.Address)
		}
	}
	t.searchedAt = t.changes
	return becameReachable
}

// reachableFrom follows the links from self: to the peers from which self receives
// heartbeats, and beyond them where the records of both ends list each other.
func (t *memberTable) reachableFrom(heartbeatsFrom []fleet.InstanceID) map[fleet.InstanceID]bool {
	found := map[fleet.InstanceID]bool{t.self: true}
	queue := []fleet.InstanceID{}
	for _, id := range heartbeatsFrom {
		if t.entries[id] != nil {
			found[id] = true
			queue = append(queue, id)
		}
	}
	for len(queue) > 0 {
		from := queue[0]
		queue = queue[1:]
		for _, to := range t.entries[from].record.HeartbeatsFrom {
			if found[to] || !t.receivesFrom(to, from) {
				continue
			}
			found[to] = true
			queue = append(queue, to)
		}
	}
	return found
}

func (t *memberTable) receivesFrom(receiver, sender fleet.InstanceID) bool {
	entry := t.entries[receiver]
	return entry != nil && slices.Contains(entry.record.HeartbeatsFrom, sender)
}

// removeUnreachable removes members that were unreachable for longer than the given time.
func (t *memberTable) removeUnreachable(after time.Duration, now time.Time) {
	for id, entry := range t.entries {
		if !entry.reachable && now.Sub(entry.reachabilitySince) > after {
			delete(t.entries, id)
			t.changes++
		}
	}
}

// reachable returns the records of reachable members, self included, sorted by ID.
func (t *memberTable) reachable() []wire.Record {
	return t.records(func(e *memberEntry) bool { return e.reachable })
}

// present returns the records of members that have not left, sorted by ID.
func (t *memberTable) present() []wire.Record {
	return t.records(func(e *memberEntry) bool { return !e.record.Left })
}

// all returns every record held, self included, sorted by ID.
func (t *memberTable) all() []wire.Record {
	return t.records(func(*memberEntry) bool { return true })
}

func (t *memberTable) records(keep func(*memberEntry) bool) []wire.Record {
	records := make([]wire.Record, 0, len(t.entries))
	for _, entry := range t.entries {
		if keep(entry) {
			records = append(records, entry.record)
		}
	}
	slices.SortFunc(records, func(a, b wire.Record) int {
		return strings.Compare(string(a.ID), string(b.ID))
	})
	return records
}

// hash returns a hash over the versions of all reachable records.
func (t *memberTable) hash() uint64 {
	if t.hashedAt == t.changes {
		return t.hashed
	}
	h := fnv.New64a()
	var number [8]byte
	for _, record := range t.reachable() {
		h.Write([]byte(record.ID))
		binary.LittleEndian.PutUint64(number[:], uint64(record.Incarnation))
		h.Write(number[:])
		binary.LittleEndian.PutUint64(number[:], record.Sequence)
		h.Write(number[:])
	}
	t.hashed = h.Sum64()
	t.hashedAt = t.changes
	return t.hashed
}

// versions lists the versions of all reachable records.
func (t *memberTable) versions() []wire.MemberVersion {
	records := t.reachable()
	versions := make([]wire.MemberVersion, len(records))
	for i, record := range records {
		versions[i] = wire.MemberVersion{ID: record.ID, Incarnation: record.Incarnation, Sequence: record.Sequence}
	}
	return versions
}

// difference returns the reachable records that a peer's digest lacks or lists in an older
// version, and reports whether the digest lists a newer one than held here.
func (t *memberTable) difference(digest []wire.MemberVersion) (newer []wire.Record, behind bool) {
	peerRecords := make(map[fleet.InstanceID]wire.Record, len(digest))
	for _, v := range digest {
		record := wire.Record{ID: v.ID, Incarnation: v.Incarnation, Sequence: v.Sequence}
		peerRecords[v.ID] = record
		entry := t.entries[v.ID]
		behind = behind || entry == nil || record.NewerThan(entry.record)
	}
	for _, record := range t.reachable() {
		held, listed := peerRecords[record.ID]
		if !listed || record.NewerThan(held) {
			newer = append(newer, record)
		}
	}
	return newer, behind
}
