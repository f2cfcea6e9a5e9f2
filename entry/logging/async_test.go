package logging

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// blockedWriter blocks every write until release is closed.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	text    bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(p)
}

func TestLogNeverBlocksAndCountsDroppedLines(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	w := NewAsyncWriter(out)
	const lines = 3 * queueLines
	for i := range lines {
		n, err := fmt.Fprintf(w, "line %d\n", i) // a blocking writer would hang here
		assert.NilError(t, err)
		assert.Assert(t, n > 0)
	}
	close(out.release)
	w.Close()
	text := out.text.String()
	assert.Assert(t, strings.HasPrefix(text, "line 0\n"))
	assert.Assert(t, strings.Contains(text, `"msg":"log lines dropped"`))
	assert.Assert(t, strings.Count(text, "\n") < lines)
}

// TestLineAfterCloseIsDiscarded: work that ends after the log is closed may still write a
// line, which must neither block nor panic.
func TestLineAfterCloseIsDiscarded(t *testing.T) {
	out := &bytes.Buffer{}
	w := NewAsyncWriter(out)
	_, err := w.Write([]byte("before\n"))
	assert.NilError(t, err)
	w.Close()
	_, err = w.Write([]byte("after\n"))
	assert.NilError(t, err)
	assert.Equal(t, out.String(), "before\n")
}

// recordingWriter records the data of each write.
type recordingWriter struct{ writes []string }

func (w *recordingWriter) Write(data []byte) (int, error) {
	w.writes = append(w.writes, string(data))
	return len(data), nil
}

// TestWritesHoldWholeLinesWithinPipeBuf guards against interleaved lines: a pipe splits
// writes above PIPE_BUF, and lines of other processes may come between the parts.
func TestWritesHoldWholeLinesWithinPipeBuf(t *testing.T) {
	out := &recordingWriter{}
	w := &AsyncWriter{out: out, lines: make(chan []byte, queueLines)}
	const lines = 200
	for i := range lines {
		_, err := fmt.Fprintf(w, "%s %d\n", strings.Repeat("x", 37*i%900), i)
		assert.NilError(t, err)
	}
	w.write(nil)
	text := ""
	for _, write := range out.writes {
		assert.Assert(t, len(write) <= maxAtomicWrite)
		assert.Assert(t, strings.HasSuffix(write, "\n"))
		text += write
	}
	assert.Equal(t, strings.Count(text, "\n"), lines)
	assert.Assert(t, len(out.writes) < lines)
}
