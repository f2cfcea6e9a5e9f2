package mesh

import "github.com/tarragonreach/tarragonreach/mesh/replica"

// Stream names one sequence of documents, such as "config" or "fleet/<availabilityZone>".
type Stream = replica.Stream

// StreamVersion says up to which version a stream is held. Versions only grow.
type StreamVersion = replica.StreamVersion

// Document is one versioned value that entry instances pass to each other.
type Document = replica.Document

// Replica is a holder of streams that the mesh keeps level between entry instances.
type Replica = replica.Replica

// StreamOwner is a Replica that names its streams before it holds any version of them.
type StreamOwner = replica.StreamOwner
