// Package replicatest holds a Replica in memory for tests and measurements.
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
	// OnMerge is called after documents were taken, if set.
	OnMerge func(stream replica.Stream, version int64)
}

// NewLog returns a log that owns the given streams.
func NewLog(streams ...replica.Stream) *Log {
	l := &Log{streams: make(map[replica.Stream][]replica.Document)}
	for _, s := range streams {
		l.streams[s] = nil
	}
	return l
}

// Append adds the next version of a stream and returns it.
func (l *Log) Append(stream replica.Stream, body []byte) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	version := int64(len(l.streams[stream]) + 1)
	d := replica.Document{Stream: stream, Version: version, Body: body}
	l.streams[stream] = append(l.streams[stream], d)
	return version
}

// Version returns the newest version of a stream.
func (l *Log) Version(stream replica.Stream) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return int64(len(l.streams[stream]))
}

// Owns reports whether the log was made with the stream.
func (l *Log) Owns(stream replica.Stream) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, owned := l.streams[stream]
	return owned
}

// Digest returns the versions held.
func (l *Log) Digest() []replica.StreamVersion {
	l.mu.Lock()
	defer l.mu.Unlock()
	versions := make([]replica.StreamVersion, 0, len(l.streams))
	for s, documents := range l.streams {
		versions = append(versions, replica.StreamVersion{Stream: s, Version: int64(len(documents))})
	}
	return versions
}

// Read returns documents newer than after, at least one where there is any.
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

// Merge appends the documents that follow the versions held, and ignores others.
func (l *Log) Merge(_ context.Context, documents []replica.Document) error {
	l.mu.Lock()
	var taken []replica.Document
	for _, d := range documents {
		if d.Version == int64(len(l.streams[d.Stream]))+1 {
			l.streams[d.Stream] = append(l.streams[d.Stream], d)
			taken = append(taken, d)
		}
	}
	merged := l.OnMerge
	l.mu.Unlock()
	if merged == nil {
		return nil
	}
	for _, d := range taken {
		merged(d.Stream, d.Version)
	}
	return nil
}
