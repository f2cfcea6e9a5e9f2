// Package replicatest provides a Replica in memory for tests and measurements.
package replicatest

import (
	"context"
	"slices"
	"sync"

	"github.com/tarragonreach/tarragonreach/mesh/replica"
)

// Log is a Replica of streams that are logs: each version is one document.
type Log struct {
	mu      sync.Mutex
	streams map[replica.Stream][]replica.Document
	// OnMerge, if set, is called after a merge for each document that was appended.
	OnMerge func(stream replica.Stream, version int64)
}

// NewLog returns an empty log that owns the given streams.
func NewLog(streams ...replica.Stream) *Log {
	l := &Log{streams: make(map[replica.Stream][]replica.Document)}
	for _, s := range streams {
		l.streams[s] = nil
	}
	return l
}

// Append adds a document as the next version of a stream and returns that version.
func (l *Log) Append(stream replica.Stream, body []byte) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	version := int64(len(l.streams[stream]) + 1)
	d := replica.Document{Stream: stream, Version: version, Body: body}
	l.streams[stream] = append(l.streams[stream], d)
	return version
}

// Version returns the newest version of a stream, zero for none.
func (l *Log) Version(stream replica.Stream) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return int64(len(l.streams[stream]))
}

// Owns reports whether the stream was given to NewLog or has been appended to.
func (l *Log) Owns(stream replica.Stream) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, owned := l.streams[stream]
	return owned
}

// Digest returns the versions of all streams held.
func (l *Log) Digest() []replica.StreamVersion {
	l.mu.Lock()
	defer l.mu.Unlock()
	versions := make([]replica.StreamVersion, 0, len(l.streams))
	for s, documents := range l.streams {
		versions = append(versions, replica.StreamVersion{Stream: s, Version: int64(len(documents))})
	}
	return versions
}

// Read returns the documents newer than version after, up to about maxBytes, but at least
// one if there is any.
func (l *Log) Read(stream replica.Stream, after int64, maxBytes int) []replica.Document {
	l.mu.Lock()
	defer l.mu.Unlock()
	documents := l.streams[stream]
	if after < 0 || after >= int64(len(documents)) {
		return nil
	}
	size := 0
	newer := documents[after:]
	for i, d := range newer {
		size += len(d.Body)
		if size >= maxBytes {
			return slices.Clone(newer[:i+1])
		}
	}
	return slices.Clone(newer)
}

// Merge appends each document whose version directly follows the one held, and ignores the
// others.
func (l *Log) Merge(_ context.Context, documents []replica.Document) error {
	l.mu.Lock()
	var appended []replica.Document
	for _, d := range documents {
		if d.Version == int64(len(l.streams[d.Stream]))+1 {
			l.streams[d.Stream] = append(l.streams[d.Stream], d)
			appended = append(appended, d)
		}
	}
	onMerge := l.OnMerge
	l.mu.Unlock()
	if onMerge == nil {
		return nil
	}
	for _, d := range appended {
		onMerge(d.Stream, d.Version)
	}
	return nil
}
