package entry

import (
	"context"
	"sync"
)

// A cancelRequest tells the daemon that owns a request to cancel it.
type cancelRequest struct {
	Request      string `cbor:"request"`
	Organisation string `cbor:"organisation"`
}

// cancels are the requests in flight that may be cancelled. The zero value is
// ready to use.
type cancelRegistry struct {
	mu       sync.Mutex
	requests map[string]cancellable
}

// A cancellable is one request in flight.
type cancellable struct {
	organisation string
	cancel       context.CancelFunc
}

// add makes a request cancellable.
func (c *cancelRegistry) add(request, organisation string, cancel context.CancelFunc) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.requests == nil {
		c.requests = make(map[string]cancellable)
	}
	c.requests[request] = cancellable{organisation: organisation, cancel: cancel}
}

// cancel cancels a request of organisation and returns whether it was here.
func (c *cancelRegistry) cancel(request, organisation string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	r, ok := c.requests[request]
	if !ok || r.organisation != organisation {
		return false
	}
	r.cancel()
	return true
}

// remove forgets a request that has ended.
func (c *cancelRegistry) remove(request string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.requests, request)
}
