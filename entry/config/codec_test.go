package config

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/object"
	"github.com/tarragonreach/tarragonreach/mesh"
	"github.com/tarragonreach/tarragonreach/platform/memory"
)

// newerEntry is a log entry of a newer version of the program: with fields and a kind
// that this version does not have, and a field whose type differs here.
const newerEntry = `{"revision":1,"id":"new","at":"2026-01-01T00:00:00Z","approvedBy":"b","put":[
 {"key":{"kind":"Tenant","name":"t"},"body":{"name":"t","weight":2,"color":"red"}},
 {"key":{"kind":"Region","name":"r"},"body":{"name":"r"}},
 {"key":{"kind":"Pool","name":"p"},"body":{"name":"p","min":"three"}}]}`

func TestEntriesOfNewerVersionAreKeptUnchanged(t *testing.T) {
	store := memory.New(time.Now)
	_, err := store.Create(t.Context(), logKey(1), []byte(newerEntry), 0)
	assert.NilError(t, err)
	follower, log := newPair(store)
	_, err = follower.refresh(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, follower.Current().Tenants["t"].Spec.Weight, 2)
	assert.Equal(t, follower.Status(time.Now()).Unreadable, 2)

	_, err = log.Accept(t.Context(), putTenant("old", "t", 3, follower.Current()))
	assert.ErrorContains(t, err, "written by a newer version of the program")
	_, err = log.Accept(t.Context(), putTenant("other", "u", 3, follower.Current()))
	assert.NilError(t, err, "other objects can be changed")

	documents := follower.Read(Stream, 0, 1<<20)
	assert.Equal(t, string(documents[0].Body), newerEntry, "peers get the entry unchanged")
	restored, err := decodeSnapshot(mustEncode(t, follower))
	assert.NilError(t, err)
	for _, key := range []object.Key{{Kind: "Region", Name: "r"}, {Kind: "Pool", Name: "p"}, {Kind: "Tenant", Name: "t"}} {
		assert.DeepEqual(t, restored.objects[key].Body, follower.current.Load().objects[key].Body)
	}
	assert.Equal(t, restored.unread, 2)
}

func TestMergeIgnoresKnownRevisionsAndReportsInvalidDocuments(t *testing.T) {
	store := memory.New(time.Now)
	source, log := newPair(store)
	for _, id := range []string{"a", "b", "c"} {
		_, err := log.Accept(t.Context(), putTenant(id, id, 1, source.Current()))
		assert.NilError(t, err)
	}
	peer := NewFollower(store, Options{})
	documents := source.Read(Stream, 0, 1<<20)
	assert.Equal(t, len(documents), 3)
	assert.NilError(t, peer.Merge(t.Context(), documents[2:]))
	assert.Equal(t, peer.Current().Revision, object.Revision(0), "a gap is not applied")
	malformed := mesh.Document{Stream: Stream, Version: 9, Body: []byte("{")}
	mismatched := mesh.Document{Stream: Stream, Version: 1, Body: documents[1].Body}
	unknown := mesh.Document{Stream: "fleet/palermo", Version: 1}
	err := peer.Merge(t.Context(), append([]mesh.Document{malformed, mismatched, unknown}, documents...))
	assert.ErrorContains(t, err, "log entry 9")
	assert.ErrorContains(t, err, "log entry 1 contains revision 2")
	assert.Equal(t, peer.Current().Revision, object.Revision(3))
	assert.NilError(t, peer.Ready(), "a peer's configuration is enough to be ready")
	assert.NilError(t, peer.Merge(t.Context(), documents[:1]))
	assert.Equal(t, peer.Current().Revision, object.Revision(3))
}

func TestReadReturnsSnapshotWhenTailIsTooShort(t *testing.T) {
	store := memory.New(time.Now)
	source, log := newPair(store)
	for i := range tailEntries + 10 {
		_, err := log.Accept(t.Context(), putTenant(time.Duration(i).String(), "t", i, source.Current()))
		assert.NilError(t, err)
	}
	documents := source.Read(Stream, 5, 1<<20)
	assert.Equal(t, len(documents), 1)
	assert.Assert(t, documents[0].Snapshot)
	peer := NewFollower(store, Options{})
	assert.NilError(t, peer.Merge(t.Context(), documents))
	assert.DeepEqual(t, mustEncode(t, peer), mustEncode(t, source))
	assert.Equal(t, len(source.Read(Stream, int64(source.Current().Revision), 1<<20)), 0)
	assert.Equal(t, len(source.Read(Stream, int64(source.Current().Revision)-3, 1)), 1, "at least one entry")
}

func FuzzDecodeRecord(f *testing.F) {
	f.Add([]byte(newerEntry))
	f.Add([]byte(`{"revision":1,"put":[{"key":{"kind":"Job"},"body":null}],"delete":[{"kind":"x"}]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		record, err := decodeRecord(body, 1)
		if err != nil {
			return
		}
		next := emptyState().apply(record)
		assert.Equal(t, next.revision(), object.Revision(1))
		_, err = encodeSnapshot(next)
		assert.NilError(t, err)
	})
}

func FuzzDecodeSnapshot(f *testing.F) {
	var record Record
	assert.NilError(f, json.Unmarshal([]byte(newerEntry), &record))
	body, err := encodeSnapshot(emptyState().apply(record))
	assert.NilError(f, err)
	f.Add(body)
	plain, err := gunzip(body)
	assert.NilError(f, err)
	f.Add(plain)
	f.Fuzz(func(t *testing.T, body []byte) {
		if _, err := decodeSnapshot(body); err != nil {
			return
		}
		decoded, err := decodeSnapshot(body)
		assert.NilError(t, err)
		_, err = encodeSnapshot(decoded)
		assert.NilError(t, err)
	})
}
