package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/hawthornrock/hawthornrock/coordination/memory"
	"github.com/hawthornrock/hawthornrock/platform"
)

// maxAheadBytes is the limit for the events of one stream that its caller has not read yet: several times the longest
// answer in the users' sheets.
const maxAheadBytes = 256 << 10

// An aheadBuffer holds complete events that were read from a server while its caller does not read, so that the server
// does not cut its answer off. Its memory is counted. The zero value is empty.
type aheadBuffer struct {
	mu sync.Mutex
	// open means that events are being written, after which those in the buffer are written, too.
	open   bool
	events []byte
	lastID string
	// awaits means that the account knows that the daemon waits for the caller.
	awaits bool
}

// begin opens the buffer for events that are read while others are written.
func (b *aheadBuffer) begin() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.open = true
}

// take removes and returns all events. If there are none, it closes the buffer and returns whether the account still
// knows that the daemon waits for the caller.
func (b *aheadBuffer) take() (events []byte, lastID string, awaits bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	events, lastID = b.events, b.lastID
	b.events = nil
	if len(events) == 0 {
		b.open = false
		awaits, b.awaits = b.awaits, false
	}
	return events, lastID, awaits
}

// readAhead keeps events of run, up to the one with the id lastID, until its caller has read the earlier ones. It returns
// false if these have been written by now, or if there is no room.
func (g *Gateway) readAhead(s *stream, run *streamRun, events []byte, lastID string) bool {
	b, h := &run.ahead, &s.call.held
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.open || len(b.events)+len(events) > maxAheadBytes {
		return false
	}
	if !b.awaits {
		b.awaits = true
		// The server of HTTP supports deadlines; if not, sendHeaders has recorded that.
		g.memory.awaitCaller(h, func() { _ = s.rc.SetWriteDeadline(past) })
	}
	if decision, _ := g.tryReserve(h, int64(len(events)), false); decision != memory.Accept {
		return false
	}
	b.events, b.lastID = append(b.events, events...), lastID
	return true
}

// forwardEvents passes the events of run to s. It passes complete events only, so that the stream can be continued by
// another replica.
func (g *Gateway) forwardEvents(ctx context.Context, s *stream, run *streamRun) error {
	if err := checkStream(run.resp.StatusCode, run.resp.Header); err != nil {
		return err
	}
	events := eventScanner{VersionField: platform.VersionField, LastID: run.lastEventID}
	buffer := make([]byte, 0, readBufferBytes)
	for {
		if len(buffer) == cap(buffer) {
			if cap(buffer) >= maxEventBytes {
				return fmt.Errorf("stream event exceeds %d bytes", maxEventBytes)
			}
			buffer = slices.Grow(buffer, cap(buffer))
		}
		n, err := run.resp.Body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		complete, malformed := events.Scan(buffer)
		if complete > 0 {
			inUse, writeErr := g.deliver(ctx, s, run, buffer[:complete], events.LastID)
			if writeErr != nil {
				return writeErr
			}
			rest := buffer[complete:]
			if inUse {
				buffer = make([]byte, 0, max(readBufferBytes, 2*len(rest)))
			}
			buffer = append(buffer[:0], rest...)
		}
		if malformed != nil {
			return malformed
		}
		if errors.Is(err, io.EOF) {
			return run.end(events.Partial)
		}
		if err != nil {
			return run.readError(err)
		}
	}
}

// readError returns why the events of run could not be read: err, or that its caller does not read any more.
func (run *streamRun) readError(err error) error {
	select {
	case writeErr := <-run.written:
		if writeErr != nil {
			return writeErr
		}
	default:
	}
	return err
}

// deliver passes complete events of run, up to the one with the id lastID, to s, and waits until they are written or the
// caller is found not to read. It returns whether the events are still in use.
func (g *Gateway) deliver(ctx context.Context, s *stream, run *streamRun, events []byte, lastID string) (inUse bool, err error) {
	if run.readsAhead {
		if g.readAhead(s, run, events, lastID) {
			return false, nil
		}
		run.readsAhead = false
		if err = <-run.written; err != nil {
			return false, err
		}
	}
	run.delivered = true
	select {
	case <-run.blocked:
		// It was about earlier events.
	default:
	}
	select {
	case s.messages <- runMessage{run: run, events: events, lastID: lastID}:
	case <-ctx.Done():
		return false, context.Cause(ctx)
	case <-s.done:
		return false, errOvertaken
	}
	select {
	case err = <-run.written:
		return false, err
	case <-run.blocked:
		run.readsAhead = true
		return true, nil
	}
}

// writeAhead writes the events that were read while those of m were written, and updates the last id of m.
func (g *Gateway) writeAhead(s *stream, m *runMessage) error {
	h := &s.call.held
	for {
		events, lastID, awaits := m.run.ahead.take()
		if awaits {
			g.memory.rest(h)
		}
		if len(events) == 0 {
			return nil
		}
		s.recordPause(time.Now())
		if err := s.write(events); err != nil {
			return err
		}
		m.lastID = lastID
		g.memory.moved(h, len(events), int64(len(events)))
	}
}
