// Package logqueue decouples the program from the reader of its log: whoever logs never waits for a pipe that is full.
package logqueue

import (
	"io"
	"log/slog"
	"sync"
	"time"
)

// maxQueuedBytes is the total size of the lines that may wait to be written; later lines are dropped.
const maxQueuedBytes = 256 << 10

// Writer passes lines to another writer on a goroutine of its own. It implements io.Writer, one call a line, and is safe
// for concurrent use.
type Writer struct {
	out io.Writer

	mu      sync.Mutex
	queue   []byte
	writing bool // lines taken from the queue are being written
	dropped uint64
	changed sync.Cond // the queue has lines, or all lines are written
}

// New returns a Writer that writes to out.
func New(out io.Writer) *Writer {
	w := &Writer{out: out}
	w.changed.L = &w.mu
	go w.run()
	return w
}

// Write queues a line and never blocks. It reports success also for a line that is dropped because too many wait.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.queue)+len(line) > maxQueuedBytes {
		w.dropped++
		return len(line), nil
	}
	w.queue = append(w.queue, line...)
	w.changed.Broadcast()
	return len(line), nil
}

// Dropped returns the number of lines that were dropped.
func (w *Writer) Dropped() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dropped
}

// Flush waits until all lines are written, up to the timeout.
func (w *Writer) Flush(timeout time.Duration) {
	flushed := make(chan struct{})
	go func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		for len(w.queue) > 0 || w.writing {
			w.changed.Wait()
		}
		close(flushed)
	}()
	select {
	case <-flushed:
	case <-time.After(timeout):
	}
}

// run writes queued lines for ever. An error, as of a closed pipe, loses the lines at hand, but ends nothing.
func (w *Writer) run() {
	reported := uint64(0)
	for {
		lines, dropped := w.take()
		w.out.Write(lines)
		if dropped > reported {
			slog.Warn("the log was not read in time", "dropped_lines", dropped-reported, "in_all", dropped)
			reported = dropped
		}
		w.mu.Lock()
		w.writing = false
		w.changed.Broadcast()
		w.mu.Unlock()
	}
}

// take waits for lines and returns them, with the number of lines dropped before now.
func (w *Writer) take() (lines []byte, dropped uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for len(w.queue) == 0 {
		w.changed.Wait()
	}
	lines, w.queue, w.writing = w.queue, nil, true
	return lines, w.dropped
}
