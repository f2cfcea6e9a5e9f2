package logging

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// stuckWriter takes nothing until it is released.
type stuckWriter struct {
	release chan struct{}
	mu      sync.Mutex
	text    bytes.Buffer
}

func (w *stuckWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(p)
}

func TestLogNeverBlocksAndTellsWhatItDropped(t *testing.T) {
	out := &stuckWriter{release: make(chan struct{})}
	w := NewAsyncWriter(out)
	const lines = 3 * asyncLines
	for i := range lines {
		n, err := fmt.Fprintf(w, "line %d\n", i) // would hang here if it blocked
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

// Work that ends after the log was closed may still write a line.
func TestLineAfterCloseIsLostWithoutHarm(t *testing.T) {
	out := &bytes.Buffer{}
	w := NewAsyncWriter(out)
	_, err := w.Write([]byte("before\n"))
	assert.NilError(t, err)
	w.Close()
	_, err = w.Write([]byte("after\n"))
	assert.NilError(t, err)
	assert.Equal(t, out.String(), "before\n")
}
