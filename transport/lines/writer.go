// Package lines writes log lines without making their writers wait.
package lines

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// bufferBytes bounds the lines that wait to be written; a burst of a few
	// thousand decisions fits.
	bufferBytes = 512 << 10
	// flushInterval is the time between two writes.
	flushInterval = 250 * time.Millisecond
)

// A Writer keeps lines in memory and writes them from a goroutine of its own. A
// line that does not fit is dropped and counted. Out must be set.
type Writer struct {
	Out     io.Writer
	Dropped atomic.Int64

	mu      sync.Mutex
	pending []byte
	spare   []byte
}

// Write implements io.Writer. It never blocks on Out.
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

// Run writes the lines that were kept until ctx ends, and then those that are left.
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

// flush writes what is pending.
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
