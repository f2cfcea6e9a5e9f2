package wire

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Limits of messages.
const (
	// MaxMessageBytes is the size of the largest message on a stream: the largest value of
	// the platform's store, with space for the envelope.
	MaxMessageBytes = 1<<20 + 64<<10
	// MaxHeartbeatBytes is the size of the largest heartbeat; it fits into one packet on any
	// path.
	MaxHeartbeatBytes = 1100
	// MaxSummaryBytes is the size of the largest load summary in a heartbeat.
	MaxSummaryBytes = 900
	// MaxMembers is the maximum number of members that an instance keeps, itself included.
	MaxMembers = 1024
	// MaxNameBytes is the maximum length of the name of an instance, zone, stream or method,
	// or of an address.
	MaxNameBytes = 256

	maxArrayElements = 16384
	maxMapPairs      = 64
	maxNestedLevels  = 8
)

// Errors of Decode.
var (
	ErrUnknownKind = errors.New("message of an unknown kind")
	ErrMalformed   = errors.New("malformed message")
	ErrTooLarge    = errors.New("message exceeds the size limit")
)

var (
	encoder = newEncoder()
	decoder = newDecoder()
)

func newEncoder() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(fmt.Sprintf("invalid options of the CBOR encoder: %v", err))
	}
	return mode
}

func newDecoder() cbor.DecMode {
	options := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		MaxArrayElements:  maxArrayElements,
		MaxMapPairs:       maxMapPairs,
		MaxNestedLevels:   maxNestedLevels,
		IndefLength:       cbor.IndefLengthForbidden,
		TagsMd:            cbor.TagsForbidden,
		ExtraReturnErrors: cbor.ExtraDecErrorNone,
	}
	mode, err := options.DecMode()
	if err != nil {
		panic(fmt.Sprintf("invalid options of the CBOR decoder: %v", err))
	}
	return mode
}

// Encode returns the bytes of a message. Its errors wrap ErrTooLarge if the message exceeds
// MaxMessageBytes.
func Encode(message Message) ([]byte, error) {
	body, err := encoder.Marshal(message)
	if err != nil {
		return nil, fmt.Errorf("encode %s: %w", message.Kind(), err)
	}
	if len(body)+1 > MaxMessageBytes {
		return nil, fmt.Errorf("encode %s of %d bytes: %w", message.Kind(), len(body), ErrTooLarge)
	}
	data := make([]byte, 0, len(body)+1)
	data = append(data, byte(message.Kind()))
	return append(data, body...), nil
}

// Decode decodes and validates a message. Its errors wrap ErrUnknownKind, ErrMalformed or
// ErrTooLarge.
func Decode(data []byte) (Message, error) {
	if len(data) == 0 {
		return nil, fmt.Errorf("empty message: %w", ErrMalformed)
	}
	if len(data) > MaxMessageBytes {
		return nil, fmt.Errorf("message of %d bytes: %w", len(data), ErrTooLarge)
	}
	message := newMessage(Kind(data[0]))
	if message == nil {
		return nil, fmt.Errorf("kind %d: %w", data[0], ErrUnknownKind)
	}
	if err := decoder.Unmarshal(data[1:], message); err != nil {
		return nil, fmt.Errorf("%s: %w: %v", message.Kind(), ErrMalformed, err)
	}
	if err := validate(message); err != nil {
		return nil, fmt.Errorf("%s: %w: %v", message.Kind(), ErrMalformed, err)
	}
	return message, nil
}

func newMessage(kind Kind) Message {
	switch kind {
	case KindHeartbeat:
		return &Heartbeat{}
	case KindHello:
		return &Hello{}
	case KindMembers:
		return &Members{}
	case KindMemberDigest:
		return &MemberDigest{}
	case KindDigest:
		return &Digest{}
	case KindPull:
		return &Pull{}
	case KindDocuments:
		return &Documents{}
	case KindLeave:
		return &Leave{}
	case KindRequest:
		return &Request{}
	case KindResponse:
		return &Response{}
	default:
		return nil
	}
}
