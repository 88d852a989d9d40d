// Package lines buffers log lines, so that logging never blocks on the output.
package lines

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// bufferBytes bounds the buffered lines. It holds a burst of a few thousand lines.
	bufferBytes = 512 << 10
	// flushInterval is the time between two writes to the output.
	flushInterval = 250 * time.Millisecond
)

// A Writer buffers lines in memory; Run writes them to Out, which must be set. A line that does not
// fit into the buffer is dropped and counted in Dropped.
type Writer struct {
	Out     io.Writer
	Dropped atomic.Int64

	mu      sync.Mutex
	pending []byte
	// spare is the buffer of the last write. It is reused.
	spare []byte
}

// Write implements io.Writer. It buffers line and never blocks on Out.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.pending)+len(line) > bufferBytes {
		w.Dropped.Add(1)
		return len(line), nil
	}
	w.pending = append(w.pending, line...)
	return len(line), nil
}

// Run writes buffered lines to Out at regular intervals until ctx ends, and then the remaining ones.
func (w *Writer) Run(ctx context.Context) error {
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return w.flush()
		case <-ticker.C:
			if err := w.flush(); err != nil {
				return err
			}
		}
	}
}

// flush writes the buffered lines to Out.
func (w *Writer) flush() error {
	w.mu.Lock()
	w.pending, w.spare = w.spare[:0], w.pending
	lines := w.spare
	w.mu.Unlock()
	if len(lines) == 0 {
		return nil
	}
	_, err := w.Out.Write(lines)
	return err
}
