package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/hawthornrock/hawthornrock/coordination/memory"
)

const (
	// memoryShare is the part of the process's memory that requests may hold together.
	memoryShare = 0.125
	// uncountedBytes is how much of a body or of an answer is not counted: as much as the buffers of a connection hold.
	uncountedBytes = 8 << 10
)

// errMemoryFull is the detail of a call that pays for the memory that others need.
var errMemoryFull = errors.New("memory for requests is full and the caller is slow, or the request is large")

// A holding is the share of one request in the account of the daemon's memory.
type holding struct {
	// counted means that the account knows the request, sent that a server may have been sent it, released that it holds
	// nothing more.
	counted, sent, released bool
	// cut ends the wait for the caller, if the daemon waits for it.
	cut func()
	// result receives what becomes of the request while it waits for room.
	result chan memory.Decision
}

// tell sends what becomes of h to the goroutine that waits for room, if there is one. The caller holds the lock.
func (h *holding) tell(d memory.Decision) {
	if h.result != nil {
		h.result <- d
		h.result = nil
	}
}

// A memoryState is the account of the bytes that requests hold. The zero value is ready to use, with the default limit.
type memoryState struct {
	mu      sync.Mutex
	account memory.Account[*holding]
	// start is the beginning of the account's time, which stands still while the machine is suspended.
	start time.Time
}

// limitMemory sets the limit for all requests in a process with the given memory limit.
func (m *memoryState) limitMemory(megabytes int) {
	m.account.Limits.Total = max(memory.DefaultTotal, int64(memoryShare*float64(megabytes)*(1<<20)))
}

// now returns the time of the account. The caller holds the lock.
func (m *memoryState) now() time.Duration {
	if m.start.IsZero() {
		m.start = time.Now()
	}
	return time.Since(m.start)
}

// grant tells the requests for which there is room now. The caller holds the lock.
func (m *memoryState) grant() {
	for _, r := range m.account.Grant(m.now()) {
		r.Key.tell(r.Decision)
	}
}

// relieveMemory ends the requests that pay for those which wait for room.
func (g *Gateway) relieveMemory() {
	m := &g.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range m.account.Relieve(m.now()) {
		g.metrics.events.Add("memory_"+r.Decision.String(), 1)
		r.Key.tell(r.Decision)
		if r.Key.cut != nil {
			r.Key.cut()
		}
	}
}

// uncounted returns how much of a body or of an answer is not counted.
func (g *Gateway) uncounted() int64 {
	if g.settings.SlowPeers {
		return uncountedBytes
	}
	return answerChunkBytes
}

// reserve reserves n bytes for h, and waits until there is room. It returns errBufferFull if h pays, or if there is no
// room and the deployment has no slow peers.
func (g *Gateway) reserve(ctx context.Context, h *holding, n int64) error {
	decision, result := g.tryReserve(h, n, g.settings.SlowPeers)
	if decision == memory.Wait && result != nil {
		select {
		case decision = <-result:
		case <-ctx.Done():
			g.memory.cancel(h)
			return context.Cause(ctx)
		}
	}
	if decision != memory.Accept {
		return errBufferFull
	}
	return nil
}

// tryReserve reserves n bytes for h if there is room. If not and wait is set, the channel receives what becomes of h.
func (g *Gateway) tryReserve(h *holding, n int64, wait bool) (memory.Decision, <-chan memory.Decision) {
	m := &g.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	if h.released {
		return memory.End, nil
	}
	m.count(h)
	decision := m.account.Reserve(h, n)
	if decision != memory.Wait || !wait {
		return decision, nil
	}
	// It has room for one result, which may come after the wait was given up.
	h.result = make(chan memory.Decision, 1)
	m.account.Enqueue(m.now(), h, n)
	return decision, h.result
}

// cancel ends the wait of h for room.
func (m *memoryState) cancel(h *holding) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.account.Cancel(m.now(), h)
	h.result = nil
	m.grant()
}

// count adds h to the account. The caller holds the lock.
func (m *memoryState) count(h *holding) {
	if !h.counted && h.sent {
		m.account.Send(h)
	}
	h.counted = true
}

// awaitCaller records that the daemon waits for the caller of h from now on. cut ends that wait.
func (m *memoryState) awaitCaller(h *holding, cut func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.count(h)
	m.account.Await(m.now(), h)
	h.cut = cut
	if m.account.Ending(h) {
		cut()
	}
}

// moved records that the caller of h sent n bytes, or read n bytes of which released are not held any more.
func (m *memoryState) moved(h *holding, n int, released int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.account.Moved(m.now(), h, int64(n))
	if released > 0 {
		m.account.Release(h, released)
		m.grant()
	}
}

// rest records that the daemon does not wait for the caller of h any more.
func (m *memoryState) rest(h *holding) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.account.Rest(h)
	h.cut = nil
}

// send records that the request of h is sent to a server. It returns false for one that must not be sent, as its caller
// is told that it has not run.
func (m *memoryState) send(h *holding) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	h.sent = true
	return !h.counted || m.account.Send(h)
}

// pays returns whether h was ended for the memory that others need.
func (m *memoryState) pays(h *holding) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.account.Ending(h)
}

// release releases all memory of h. No attempt reserves more for it.
func (m *memoryState) release(h *holding) {
	m.mu.Lock()
	defer m.mu.Unlock()
	h.released, h.cut = true, nil
	if h.counted {
		m.account.Remove(h)
		m.grant()
	}
}

// held returns the bytes that requests hold.
func (m *memoryState) held() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.account.Held()
}

// past is a deadline that ends reads and writes at once.
var past = time.Unix(1, 0)

// readCounted reads the body of a request that is larger than what is not counted. A body of known length is reserved
// as a whole before it is read, so that two of them never wait for each other.
func (g *Gateway) readCounted(ctx context.Context, w http.ResponseWriter, c *call, body io.Reader, length int64, begun []byte) ([]byte, error) {
	// One byte more shows the end.
	size := max(length, int64(len(begun))) + 1
	if err := g.reserve(ctx, &c.held, size-g.uncounted()); err != nil {
		return nil, err
	}
	rc := http.NewResponseController(w)
	if err := rc.SetReadDeadline(c.deadline); err != nil {
		return nil, err
	}
	// The deadline was accepted above, so it is here.
	g.memory.awaitCaller(&c.held, func() { _ = rc.SetReadDeadline(past) })
	content := make([]byte, len(begun), size)
	copy(content, begun)
	for {
		if len(content) == cap(content) {
			if err := g.reserve(ctx, &c.held, int64(len(content))); err != nil {
				return nil, err
			}
			content = append(make([]byte, 0, 2*len(content)), content...)
		}
		n, err := body.Read(content[len(content):cap(content)])
		content = content[:len(content)+n]
		g.memory.moved(&c.held, n, 0)
		if errors.Is(err, io.EOF) {
			g.memory.rest(&c.held)
			return content, rc.SetReadDeadline(time.Time{})
		}
		if err != nil {
			return nil, err
		}
	}
}

// readPart reads until part is full or r has ended.
func readPart(r io.Reader, part []byte) (int, error) {
	n := 0
	for n < len(part) {
		m, err := r.Read(part[n:])
		if n += m; err != nil {
			return n, err
		}
	}
	return n, nil
}
