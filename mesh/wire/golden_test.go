package wire

import (
	"encoding/hex"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/mesh/replica"
)

// goldenMessages has a message of each kind, without zero fields.
func goldenMessages() []Message {
	record := Record{
		ID: "entry-1", Zone: "palermo", Address: "10.0.0.1:1", Incarnation: 1, Sequence: 2,
		HeartbeatsFrom: []fleet.InstanceID{"entry-2", "entry-3"}, Left: true,
	}
	return []Message{
		&Heartbeat{Sequence: 1, Reply: true, MemberHash: 2, DigestHash: 3, SummaryVersion: 4, SummaryHeld: 5, Summary: []byte("summary")},
		&Hello{Record: record},
		&Members{Records: []Record{record}},
		&MemberDigest{Versions: []MemberVersion{{ID: "entry-1", Incarnation: 1, Sequence: 2}}, Reply: true},
		&Digest{Versions: []replica.StreamVersion{{Stream: "config", Version: 1}}, Full: true},
		&Pull{Stream: "config", After: 1},
		&Documents{Documents: []replica.Document{{Stream: "fleet/palermo", Version: 1, Key: "key", Snapshot: true, Body: []byte("body")}}},
		&Leave{Record: record},
		&Request{Method: "method", TimeoutMillis: 1, Payload: []byte("payload")},
		&Response{Payload: []byte("payload"), Code: "code", Verdict: "ran", Detail: "detail", RetryAfterMillis: 1},
	}
}

// TestMessagesKeepTheirForm guards against changed kinds, CBOR keys and order, with which
// instances of two versions misread each other. The file was written by commit 81f8b51.
func TestMessagesKeepTheirForm(t *testing.T) {
	data, err := os.ReadFile("testdata/messages.txt")
	assert.NilError(t, err)
	lines := strings.Split(strings.TrimSpace(string(data)), "\n")
	messages := goldenMessages()
	assert.Equal(t, len(lines), len(messages))
	for i, line := range lines {
		kind, text, _ := strings.Cut(line, " ")
		body, err := hex.DecodeString(text)
		assert.NilError(t, err)
		message, err := Decode(body)
		assert.NilError(t, err, kind)
		assert.DeepEqual(t, message, messages[i])
		assert.Equal(t, message.Kind().String(), kind)
		encoded, err := Encode(message)
		assert.NilError(t, err)
		assert.Equal(t, hex.EncodeToString(encoded), text, kind)
	}
}
