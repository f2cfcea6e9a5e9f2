// Package replica defines the documents that entry instances exchange and the interface of
// the replicas that hold them.
package replica

import "context"

// Stream names one sequence of documents, such as "config" or "fleet/<availabilityZone>".
type Stream string

// StreamVersion is the version up to which a stream is held. Versions only increase.
type StreamVersion struct {
	Stream  Stream `cbor:"1,keyasint"`
	Version int64  `cbor:"2,keyasint"`
}

// Document is one versioned value that entry instances exchange.
type Document struct {
	Stream  Stream `cbor:"1,keyasint"`
	Version int64  `cbor:"2,keyasint"`
	// Key identifies the value within the stream; a later version of a key replaces it.
	Key string `cbor:"3,keyasint,omitempty"`
	// Snapshot says that the document contains the whole stream up to Version.
	Snapshot bool   `cbor:"4,keyasint,omitempty"`
	Body     []byte `cbor:"5,keyasint"`
}

// Replica holds streams that the mesh replicates between entry instances.
type Replica interface {
	// Digest returns the versions of all streams held.
	Digest() []StreamVersion
	// Read returns the documents of a stream that are newer than version after, in order, up
	// to about maxBytes.
	Read(stream Stream, after int64, maxBytes int) []Document
	// Merge stores documents from a peer; it ignores those that it holds already.
	Merge(ctx context.Context, documents []Document) error
}

// StreamOwner is a Replica that reports which streams it owns, even before it holds any
// version of them. A Replica without this method owns the streams of its digest and those
// that share the part before the first slash with one of them.
type StreamOwner interface {
	Owns(stream Stream) bool
}
