package mesh

import (
	"errors"
	"io"
	"sync/atomic"

	"github.com/tarragonreach/tarragonreach/mesh/wire"
)

const (
	// nodeBufferBytes is the limit of the memory of all messages that are being received.
	nodeBufferBytes = 12 << 20
	// initialBufferBytes is the initial size of a message's buffer.
	initialBufferBytes = 16 << 10
)

var errOverBudget = errors.New("too many bytes of messages in memory")

// budget limits the bytes of messages in memory, over all peers.
type budget struct {
	limit int64
	used  atomic.Int64
}

func newBudget(limit int64) *budget {
	return &budget{limit: limit}
}

// reserve adds bytes to those in use, unless that would exceed the limit, and reports
// whether it added them.
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

// readMessage reads a stream to its end. The buffer grows with the bytes that arrive, so
// that a peer cannot reserve memory by announcing a size. The caller has to release
// cap(data), also after an error.
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

// grow doubles the capacity of a buffer, or gives an empty one initialBufferBytes.
func (b *budget) grow(data []byte) ([]byte, error) {
	size := min(max(2*cap(data), initialBufferBytes), wire.MaxMessageBytes+1)
	if !b.reserve(size - cap(data)) {
		return data, errOverBudget
	}
	grown := make([]byte, len(data), size)
	copy(grown, data)
	return grown, nil
}
