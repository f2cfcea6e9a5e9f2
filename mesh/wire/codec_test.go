package wire

import (
	"errors"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/mesh/replica"
)

func samples() []Message {
	record := Record{ID: "a", Zone: "z", Address: "10.0.0.1:1", Incarnation: 3, Sequence: 4, HeartbeatsFrom: []fleet.InstanceID{"b"}}
	return []Message{
		&Heartbeat{Sequence: 1, Reply: true, MemberHash: 2, DigestHash: 3, SummaryVersion: 1, SummaryHeld: 9, Summary: []byte("s")},
		&Hello{Record: record},
		&Members{Records: []Record{record}},
		&MemberDigest{Versions: []MemberVersion{{ID: "a", Incarnation: 1, Sequence: 2}}, Reply: true},
		&Digest{Versions: []replica.StreamVersion{{Stream: "config", Version: 7}}, Full: true},
		&Pull{Stream: "config", After: 3},
		&Documents{Documents: []replica.Document{{Stream: "config", Version: 4, Key: "k", Snapshot: true, Body: []byte("b")}}},
		&Leave{Record: record},
		&Request{Method: "m", TimeoutMillis: 5, Payload: []byte("p")},
		&Response{Payload: []byte("p"), Code: "c", Verdict: "ran", Detail: "d", RetryAfterMillis: 1},
	}
}

func TestMessagesRoundTrip(t *testing.T) {
	for _, message := range samples() {
		data, err := Encode(message)
		assert.NilError(t, err)
		decoded, err := Decode(data)
		assert.NilError(t, err)
		assert.DeepEqual(t, decoded, message)
		assert.Assert(t, message.Kind().String() != "unknown")
	}
}

// TestMessagesOfLaterVersionsAreDecoded adds an unknown field, as a later version of the
// program would, to each message.
func TestMessagesOfLaterVersionsAreDecoded(t *testing.T) {
	for _, message := range samples() {
		data, err := Encode(message)
		assert.NilError(t, err)
		fields := make(map[int]cbor.RawMessage)
		assert.NilError(t, cbor.Unmarshal(data[1:], &fields))
		fields[99] = cbor.RawMessage{0x82, 0x01, 0x61, 0x78}
		extended, err := cbor.Marshal(fields)
		assert.NilError(t, err)
		decoded, err := Decode(append([]byte{data[0]}, extended...))
		assert.NilError(t, err)
		assert.DeepEqual(t, decoded, message)
	}
}

// TestMessagesOfEarlierVersionsAreDecoded omits the fields that an earlier version of the
// program does not send.
func TestMessagesOfEarlierVersionsAreDecoded(t *testing.T) {
	data, err := cbor.Marshal(map[int]any{1: 7})
	assert.NilError(t, err)
	decoded, err := Decode(append([]byte{byte(KindHeartbeat)}, data...))
	assert.NilError(t, err)
	assert.DeepEqual(t, decoded, &Heartbeat{Sequence: 7})
}

func TestMalformedMessagesAreRefused(t *testing.T) {
	longName := make([]byte, MaxNameBytes+1)
	cases := []struct {
		name string
		data []byte
		want error
	}{
		{"empty", nil, ErrMalformed},
		{"unknown kind", []byte{200, 0xa0}, ErrUnknownKind},
		{"kind zero", []byte{0, 0xa0}, ErrUnknownKind},
		{"no body", []byte{byte(KindHello)}, ErrMalformed},
		{"garbage", []byte{byte(KindHello), 0xff, 0x00, 0x13}, ErrMalformed},
		{"trailing bytes", []byte{byte(KindHeartbeat), 0xa0, 0xa0}, ErrMalformed},
		{"array length beyond the limit", []byte{byte(KindDocuments), 0xa1, 0x01, 0x9b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}, ErrMalformed},
		{"oversized", make([]byte, MaxMessageBytes+1), ErrTooLarge},
		{"record without a name", mustEncode(t, &Hello{Record: Record{Zone: "z", Address: "x:1"}}), ErrMalformed},
		{"name too long", mustEncode(t, &Pull{Stream: replica.Stream(longName)}), ErrMalformed},
		{"summary too large", mustEncode(t, &Heartbeat{Summary: make([]byte, MaxSummaryBytes+1)}), ErrMalformed},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			_, err := Decode(tc.data)
			assert.Assert(t, errors.Is(err, tc.want), "%v", err)
		})
	}
	_, err := Encode(&Request{Method: "m", Payload: make([]byte, MaxMessageBytes)})
	assert.Assert(t, errors.Is(err, ErrTooLarge))
}

func TestLargestHeartbeatFitsInOnePacket(t *testing.T) {
	data := mustEncode(t, &Heartbeat{
		Sequence: 1<<32 - 1, Reply: true, MemberHash: 1<<64 - 1, DigestHash: 1<<64 - 1,
		SummaryVersion: 1<<32 - 1, SummaryHeld: 1<<32 - 1, Summary: make([]byte, MaxSummaryBytes),
	})
	assert.Assert(t, len(data) <= MaxHeartbeatBytes, "%d bytes", len(data))
}

func mustEncode(t *testing.T, message Message) []byte {
	t.Helper()
	data, err := Encode(message)
	assert.NilError(t, err)
	return data
}

// FuzzDecode covers the decoders of all kinds, since the first byte selects the kind.
func FuzzDecode(f *testing.F) {
	for _, message := range samples() {
		data, err := Encode(message)
		assert.NilError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		message, err := Decode(data)
		if err != nil {
			return
		}
		encoded, err := Encode(message)
		if errors.Is(err, ErrTooLarge) {
			return
		}
		assert.NilError(t, err)
		decoded, err := Decode(encoded)
		assert.NilError(t, err)
		assert.DeepEqual(t, decoded, message)
	})
}
