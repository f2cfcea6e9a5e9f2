package wire

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"
)

// BenchmarkMeshCodec reports the encoded size of an idle heartbeat and of a Hello, in CBOR
// and for comparison in JSON.
func BenchmarkMeshCodec(b *testing.B) {
	messages := map[string]Message{
		"heartbeat": &Heartbeat{Sequence: 4711, MemberHash: 0x9e3779b97f4a7c15, DigestHash: 0xc2b2ae3d27d4eb4f, SummaryVersion: 31, SummaryHeld: 29},
		"hello":     samples()[1],
	}
	for name, message := range messages {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				data, err := Encode(message)
				assert.NilError(b, err)
				_, err = Decode(data)
				assert.NilError(b, err)
			}
			data, err := Encode(message)
			assert.NilError(b, err)
			text, err := json.Marshal(message)
			assert.NilError(b, err)
			b.ReportMetric(float64(len(data)), "cbor-B")
			b.ReportMetric(float64(len(text)), "json-B")
		})
	}
}
