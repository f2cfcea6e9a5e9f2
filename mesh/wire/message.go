// Package wire defines the messages between entry instances and their codec.
//
// A message is one byte for its kind, followed by a CBOR map with small integer keys.
// Decoders skip unknown fields and report an unknown kind as ErrUnknownKind, so that
// instances of neighbouring versions of the program can communicate.
package wire

import (
	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/mesh/replica"
)

// Kind is the type of a message. The meaning of a number never changes.
type Kind uint8

// The kinds of message.
const (
	KindHeartbeat    Kind = 1
	KindHello        Kind = 2
	KindMembers      Kind = 3
	KindMemberDigest Kind = 4
	KindDigest       Kind = 5
	KindPull         Kind = 6
	KindDocuments    Kind = 7
	KindLeave        Kind = 8
	KindRequest      Kind = 9
	KindResponse     Kind = 10
)

var kindNames = map[Kind]string{
	KindHeartbeat:    "heartbeat",
	KindHello:        "hello",
	KindMembers:      "members",
	KindMemberDigest: "member-digest",
	KindDigest:       "digest",
	KindPull:         "pull",
	KindDocuments:    "documents",
	KindLeave:        "leave",
	KindRequest:      "request",
	KindResponse:     "response",
}

// String returns the name of the kind for metrics; it is "unknown" for kinds of
// another version of the program.
func (k Kind) String() string {
	name, ok := kindNames[k]
	if !ok {
		return "unknown"
	}
	return name
}

// Message is one message between entry instances.
type Message interface {
	// Kind returns the kind of the message.
	Kind() Kind
}

// Heartbeat shows that its sender is alive and which versions it holds. The side that
// dialed the connection sends it at each interval; the other side responds with Reply set.
// A heartbeat with Reply set gets no response; between intervals, it may carry a new summary.
type Heartbeat struct {
	Sequence   uint32 `cbor:"1,keyasint"`
	Reply      bool   `cbor:"2,keyasint,omitempty"`
	MemberHash uint64 `cbor:"3,keyasint"` // over the members that the sender finds reachable
	DigestHash uint64 `cbor:"4,keyasint"` // over the versions of all streams that the sender holds
	// SummaryVersion counts the sender's load summaries; zero means none.
	SummaryVersion uint32 `cbor:"5,keyasint,omitempty"`
	// SummaryHeld is the version of the receiver's load summary that the sender holds.
	SummaryHeld uint32 `cbor:"6,keyasint,omitempty"`
	// Summary is the load summary SummaryVersion; it is omitted if the receiver holds it
	// already or is not to get it yet.
	Summary []byte `cbor:"7,keyasint,omitempty"`
}

// Record describes an entry instance. Only the instance itself writes its record.
type Record struct {
	ID      fleet.InstanceID       `cbor:"1,keyasint"`
	Zone    fleet.AvailabilityZone `cbor:"2,keyasint"`
	Address string                 `cbor:"3,keyasint"` // host:port
	// Incarnation increases with each start of the process.
	Incarnation int64 `cbor:"4,keyasint"`
	// Sequence increases with each change of the record within an incarnation.
	Sequence uint64 `cbor:"5,keyasint"`
	// HeartbeatsFrom lists the peers whose heartbeats the instance receives.
	HeartbeatsFrom []fleet.InstanceID `cbor:"6,keyasint,omitempty"`
	// Left says that the instance has shut down for good.
	Left bool `cbor:"7,keyasint,omitempty"`
}

// NewerThan reports whether r replaces the other record of the same instance.
func (r Record) NewerThan(other Record) bool {
	if r.Incarnation != other.Incarnation {
		return r.Incarnation > other.Incarnation
	}
	return r.Sequence > other.Sequence
}

// Hello is the first message on a connection, in both directions.
type Hello struct {
	Record Record `cbor:"1,keyasint"`
}

// Members carries records of members, the sender's own or those of others.
type Members struct {
	Records []Record `cbor:"1,keyasint"`
}

// MemberVersion is the version of the newest record that the sender holds of a member.
type MemberVersion struct {
	ID          fleet.InstanceID `cbor:"1,keyasint"`
	Incarnation int64            `cbor:"2,keyasint"`
	Sequence    uint64           `cbor:"3,keyasint"`
}

// MemberDigest lists the record versions of all members that the sender finds reachable.
type MemberDigest struct {
	Versions []MemberVersion `cbor:"1,keyasint"`
	// Reply says that the message is the response to another MemberDigest.
	Reply bool `cbor:"2,keyasint,omitempty"`
}

// Digest lists stream versions that the sender holds.
type Digest struct {
	Versions []replica.StreamVersion `cbor:"1,keyasint"`
	// Full says that the sender holds no version of the streams that are not listed.
	Full bool `cbor:"2,keyasint,omitempty"`
}

// Pull requests the documents of a stream that are newer than version After.
type Pull struct {
	Stream replica.Stream `cbor:"1,keyasint"`
	After  int64          `cbor:"2,keyasint"`
}

// Documents carries documents of one or more streams.
type Documents struct {
	Documents []replica.Document `cbor:"1,keyasint"`
}

// Leave is the sender's last message; its record has Left set.
type Leave struct {
	Record Record `cbor:"1,keyasint"`
}

// Request is a call of a method of the receiver.
type Request struct {
	Method string `cbor:"1,keyasint"`
	// TimeoutMillis is the remaining time of the caller's timeout; zero means no timeout.
	TimeoutMillis int64  `cbor:"2,keyasint,omitempty"`
	Payload       []byte `cbor:"3,keyasint,omitempty"`
}

// Response is the result of a Request.
type Response struct {
	Payload []byte `cbor:"1,keyasint,omitempty"`
	// Code is empty for success, else the reason code of the error.
	Code string `cbor:"2,keyasint,omitempty"`
	// Verdict says whether a failed request may have run.
	Verdict string `cbor:"3,keyasint,omitempty"`
	Detail  string `cbor:"4,keyasint,omitempty"`
	// RetryAfterMillis is the time after which the caller should retry; zero means none is
	// recommended.
	RetryAfterMillis int64 `cbor:"5,keyasint,omitempty"`
}

// Kind returns KindHeartbeat.
func (*Heartbeat) Kind() Kind { return KindHeartbeat }

// Kind returns KindHello.
func (*Hello) Kind() Kind { return KindHello }

// Kind returns KindMembers.
func (*Members) Kind() Kind { return KindMembers }

// Kind returns KindMemberDigest.
func (*MemberDigest) Kind() Kind { return KindMemberDigest }

// Kind returns KindDigest.
func (*Digest) Kind() Kind { return KindDigest }

// Kind returns KindPull.
func (*Pull) Kind() Kind { return KindPull }

// Kind returns KindDocuments.
func (*Documents) Kind() Kind { return KindDocuments }

// Kind returns KindLeave.
func (*Leave) Kind() Kind { return KindLeave }

// Kind returns KindRequest.
func (*Request) Kind() Kind { return KindRequest }

// Kind returns KindResponse.
func (*Response) Kind() Kind { return KindResponse }
