package entry

import (
	"context"
	"sync"
)

// A cancelRequest asks the daemon that serves a request to cancel it.
type cancelRequest struct {
	Request      string `cbor:"request"`
	Organisation string `cbor:"organisation"`
}

// A cancelRegistry holds the requests in flight that callers can cancel. The zero value is ready to
// use.
type cancelRegistry struct {
	mu       sync.Mutex
	requests map[string]cancellable
}

// A cancellable is one request in flight with its cancel function.
type cancellable struct {
	organisation string
	cancel       context.CancelFunc
}

// add registers a request with the function that cancels it.
func (c *cancelRegistry) add(request, organisation string, cancel context.CancelFunc) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.requests == nil {
		c.requests = make(map[string]cancellable)
	}
	c.requests[request] = cancellable{organisation: organisation, cancel: cancel}
}

// cancel cancels a request if it belongs to organisation and is in flight at this daemon. It returns
// whether it did.
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

// remove removes a request that has ended.
func (c *cancelRegistry) remove(request string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.requests, request)
}
