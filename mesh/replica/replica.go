// Package replica holds the types of the documents that entry instances pass to
// each other and the interface of their holders.
package replica

import "context"

// Stream names one sequence of documents, such as "config" or "fleet/<availabilityZone>".
type Stream string

// StreamVersion says up to which version a stream is held. Versions only grow.
type StreamVersion struct {
	Stream  Stream `cbor:"1,keyasint"`
	Version int64  `cbor:"2,keyasint"`
}

// Document is one versioned value that entry instances pass to each other.
type Document struct {
	Stream  Stream `cbor:"1,keyasint"`
	Version int64  `cbor:"2,keyasint"`
	// Key names the value within the stream; a later version of a key replaces it.
	Key string `cbor:"3,keyasint,omitempty"`
	// Snapshot says that the document stands for the whole stream up to Version.
	Snapshot bool   `cbor:"4,keyasint,omitempty"`
	Body     []byte `cbor:"5,keyasint"`
}

// Replica is a holder of streams that the mesh keeps level between entry instances.
type Replica interface {
	// Digest returns the versions held.
	Digest() []StreamVersion
	// Read returns documents newer than after in order, up to about maxBytes.
	Read(stream Stream, after int64, maxBytes int) []Document
	// Merge takes documents from a peer; it ignores those that it holds already.
	Merge(ctx context.Context, documents []Document) error
}

// StreamOwner is a Replica that says which streams are its own, also before it holds
// any version of them. A Replica without this method owns the streams of its
// digest and those that share the part before the first slash with one of them.
type StreamOwner interface {
	Owns(stream Stream) bool
}
