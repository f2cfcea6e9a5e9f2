package mesh

import "github.com/tarragonreach/tarragonreach/mesh/replica"

// Stream names one sequence of documents, such as "config" or "fleet/<availabilityZone>".
type Stream = replica.Stream

// StreamVersion is the version up to which a stream is held. Versions only increase.
type StreamVersion = replica.StreamVersion

// Document is one versioned value that entry instances exchange.
type Document = replica.Document

// Replica holds streams that the mesh replicates between entry instances.
type Replica = replica.Replica

// StreamOwner is a Replica that reports which streams it owns, even before it holds any
// version of them.
type StreamOwner = replica.StreamOwner
