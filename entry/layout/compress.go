package layout

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"
	"sync"
)

const (
	// compressFrom is the length in bytes from which values are compressed. Shorter ones gain little.
	compressFrom = 512
	// compressedMark is the first byte of a compressed value. No JSON text begins with it.
	compressedMark = 0x01
	// maxDecompressed bounds a decompressed value in bytes, which the store would not take uncompressed if it
	// were longer. Another writer may have left any value.
	maxDecompressed = 1 << 20
)

var errTooLong = errors.New("the decompressed value is too long")

// compressor is a flate writer with its output buffer. Both are reused: a writer needs some 600 kB.
type compressor struct {
	writer *flate.Writer
	output bytes.Buffer
}

var compressors = sync.Pool{New: func() any {
	c := &compressor{}
	c.writer, _ = flate.NewWriter(&c.output, flate.BestSpeed) // the level is valid
	return c
}}

// compress returns the compressed form of a JSON text, or the text itself if that is short or not longer.
func compress(text []byte) []byte {
	if len(text) < compressFrom {
		return text
	}
	c := compressors.Get().(*compressor)
	defer compressors.Put(c)
	c.output.Reset()
	c.output.WriteByte(compressedMark)
	c.writer.Reset(&c.output)
	if _, err := c.writer.Write(text); err != nil {
		return text // a buffer takes everything
	}
	if err := c.writer.Close(); err != nil || c.output.Len() >= len(text) {
		return text
	}
	return bytes.Clone(c.output.Bytes())
}

var decompressors = sync.Pool{New: func() any { return flate.NewReader(bytes.NewReader(nil)) }}

// decompress returns the JSON text of a stored value, which may be compressed or not.
func decompress(value []byte) ([]byte, error) {
	if len(value) == 0 || value[0] != compressedMark {
		return value, nil
	}
	reader := decompressors.Get().(io.ReadCloser)
	defer decompressors.Put(reader)
	if err := reader.(flate.Resetter).Reset(bytes.NewReader(value[1:]), nil); err != nil {
		return nil, fmt.Errorf("decompress: %w", err)
	}
	text, err := io.ReadAll(io.LimitReader(reader, maxDecompressed+1))
	if err != nil {
		return nil, fmt.Errorf("decompress: %w", err)
	}
	if len(text) > maxDecompressed {
		return nil, errTooLong
	}
	return text, nil
}
