package mesh

import (
	"errors"
	"io"
	"sync/atomic"

	"github.com/tarragonreach/tarragonreach/mesh/wire"
)

const (
	// nodeBufferBytes bounds the memory of all messages that are being received.
	nodeBufferBytes = 12 << 20
	// readStepBytes is the step in which a message's buffer grows.
	readStepBytes = 16 << 10
)

var errOverBudget = errors.New("too many bytes of messages in memory")

// budget bounds the bytes of messages in memory, over all peers.
type budget struct {
	limit int64
	used  atomic.Int64
}

func newBudget(limit int64) *budget {
	return &budget{limit: limit}
}

func (b *budget) reserve(bytes int) bool {
	if b.used.Add(int64(bytes)) > b.limit {
		b.used.Add(-int64(bytes))
		return false
	}
	return true
}

func (b *budget) release(bytes int) {
	b.used.Add(-int64(bytes))
}

// readMessage reads a stream to its end. The memory grows with the bytes that
// arrive, not with what the peer promises. The caller gives back cap(data).
func (b *budget) readMessage(r io.Reader) (data []byte, err error) {
	for {
		if len(data) == cap(data) {
			if data, err = b.grow(data); err != nil {
				return data, err
			}
		}
		n, err := r.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if len(data) > wire.MaxMessageBytes {
			return data, wire.ErrTooLarge
		}
		if errors.Is(err, io.EOF) {
			return data, nil
		}
		if err != nil {
			return data, err
		}
	}
}

// grow doubles a buffer, or adds one step to an empty one.
func (b *budget) grow(data []byte) ([]byte, error) {
	size := min(max(2*cap(data), readStepBytes), wire.MaxMessageBytes+1)
	if !b.reserve(size - cap(data)) {
		return data, errOverBudget
	}
	grown := make([]byte, len(data), size)
	copy(grown, data)
	return grown, nil
}
