package config

import (
	"context"
	"errors"

	"github.com/tarragonreach/tarragonreach/api/object"
	"github.com/tarragonreach/tarragonreach/mesh"
)

var _ mesh.Replica = (*Follower)(nil)

// Digest implements mesh.Replica.
func (f *Follower) Digest() []mesh.StreamVersion {
	return []mesh.StreamVersion{{Stream: Stream, Version: int64(f.Current().Revision)}}
}

// Read implements mesh.Replica. It returns log entries, or a snapshot if the entry
// after the given revision is no longer kept.
func (f *Follower) Read(stream mesh.Stream, after int64, maxBytes int) []mesh.Document {
	if stream != Stream {
		return nil
	}
	current, entries, ok := f.readTail(object.Revision(after), maxBytes)
	if int64(current.revision()) <= after {
		return nil
	}
	if !ok {
		return f.snapshotDocument(current)
	}
	documents := make([]mesh.Document, 0, len(entries))
	for _, entry := range entries {
		documents = append(documents, mesh.Document{Stream: Stream, Version: int64(entry.revision), Body: entry.body})
	}
	return documents
}

func (f *Follower) readTail(after object.Revision, maxBytes int) (*state, []logEntry, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	entries, ok := f.tail.after(after, maxBytes)
	return f.current.Load(), entries, ok
}

// encodedSnapshot is the encoded state of one revision.
type encodedSnapshot struct {
	revision object.Revision
	body     []byte
}

// snapshotDocument returns the state as a snapshot, encoded once for all peers that
// request the revision.
func (f *Follower) snapshotDocument(current *state) []mesh.Document {
	encoded := f.encoded.Load()
	if encoded == nil || encoded.revision != current.revision() {
		body, err := encodeSnapshot(current)
		if err != nil {
			f.logger.Error("configuration snapshot for a peer not encoded", "revision", current.revision(), "error", err)
			return nil
		}
		encoded = &encodedSnapshot{current.revision(), body}
		f.encoded.Store(encoded)
	}
	return []mesh.Document{{Stream: Stream, Version: int64(encoded.revision), Snapshot: true, Body: encoded.body}}
}

// Merge implements mesh.Replica. It applies the documents that it can decode and
// returns the joined errors of the others.
func (f *Follower) Merge(_ context.Context, documents []mesh.Document) error {
	var faults []error
	for _, document := range documents {
		if document.Stream != Stream || document.Version <= int64(f.Current().Revision) {
			continue
		}
		if err := f.merge(document); err != nil {
			f.counter.unreadable.Add(1)
			faults = append(faults, err)
		}
	}
	return errors.Join(faults...)
}

func (f *Follower) merge(document mesh.Document) error {
	if document.Snapshot {
		next, err := decodeSnapshot(document.Body)
		if err != nil {
			return err
		}
		f.install(next)
		return nil
	}
	record, err := decodeRecord(document.Body, object.Revision(document.Version))
	if err != nil {
		return err
	}
	f.append(record, document.Body)
	return nil
}
