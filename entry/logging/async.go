package logging

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// AsyncWriter writes lines to a slower writer in the background, without ever blocking
// its callers. Lines that arrive while the queue is full are dropped and counted.
type AsyncWriter struct {
	out     io.Writer
	lines   chan []byte
	stop    chan struct{}
	dropped atomic.Int64
	done    sync.WaitGroup
}

// queueLines is the capacity of the queue in lines: less than 1 MB at about 200 bytes per line.
const queueLines = 4096

// NewAsyncWriter returns an AsyncWriter to out. Close stops its goroutine.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{out: out, lines: make(chan []byte, queueLines), stop: make(chan struct{})}
	w.done.Go(w.run)
	return w
}

// Write queues a copy of the line. It never fails.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes the queued lines and stops. Later lines are discarded.
func (w *AsyncWriter) Close() {
	close(w.stop)
	w.done.Wait()
}

func (w *AsyncWriter) run() {
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		case <-w.stop:
			w.write(nil)
			return
		}
	}
}

// maxAtomicWrite is the largest write to a pipe, in bytes, that is atomic: PIPE_BUF of Linux.
const maxAtomicWrite = 4096

// write writes a line and those already queued. Lines are combined into writes of at
// most maxAtomicWrite bytes, so that a pipe does not split them; a longer line is written
// by itself.
func (w *AsyncWriter) write(line []byte) {
	for waiting := true; waiting; {
		select {
		case next := <-w.lines:
			if len(line)+len(next) > maxAtomicWrite {
				w.flush(line)
				line = nil
			}
			line = append(line, next...)
		default:
			waiting = false
		}
	}
	w.flush(line)
	if dropped := w.dropped.Swap(0); dropped > 0 {
		w.flush(fmt.Appendf(nil, "{\"level\":\"WARN\",\"msg\":\"log lines dropped\",\"count\":%d}\n", dropped))
	}
}

func (w *AsyncWriter) flush(lines []byte) {
	if len(lines) == 0 {
		return
	}
	// The error is ignored: there is no other place to report that the log can't be written.
	_, _ = w.out.Write(lines)
}
