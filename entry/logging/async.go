package logging

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// AsyncWriter passes lines on to a slower writer without ever blocking its callers.
// Lines that find the queue full are dropped and counted.
type AsyncWriter struct {
	out     io.Writer
	lines   chan []byte
	stop    chan struct{}
	dropped atomic.Int64
	done    sync.WaitGroup
}

// asyncLines is how many lines may wait; at about 200 bytes each, under a megabyte.
const queueLines = 4096

// NewAsyncWriter returns a writer in front of out.
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

// Close writes what waits and stops. Lines that come later are lost.
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

// atomicWrite is the most that a pipe takes in one piece: PIPE_BUF of Linux.
const maxAtomicWrite = 4096

// write writes a line and those that wait already. Several lines share a write as long
// as a pipe passes them on in one piece.
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
	// There is nowhere left to report that the log itself can't be written.
	_, _ = w.out.Write(lines)
}
