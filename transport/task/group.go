// Package task runs goroutines that report their end on a channel which their
// owner reads.
package task

import (
	"context"
	"fmt"
	"sync"
)

// An End is the end of one goroutine: its name and the error that it returned.
type End struct {
	Name string
	Err  error
}

// A Group owns goroutines that share a context. The zero Group is ready to use.
type Group struct {
	mu      sync.Mutex
	ends    chan End
	running int
}

// Go runs f in a goroutine. A panic in f ends it with an error.
func (g *Group) Go(ctx context.Context, name string, f func(context.Context) error) {
	g.mu.Lock()
	if g.ends == nil {
		g.ends = make(chan End)
	}
	g.running++
	ends := g.ends
	g.mu.Unlock()
	go func() {
		ends <- End{Name: name, Err: f(ctx)}
	}()
}

// Wait reads the ends of all goroutines and returns the first error.
func (g *Group) Wait() error {
	var first error
	for {
		g.mu.Lock()
		if g.running == 0 {
			g.mu.Unlock()
			return first
		}
		g.running--
		ends := g.ends
		g.mu.Unlock()
		if end := <-ends; end.Err != nil && first == nil {
			first = fmt.Errorf("%s: %w", end.Name, end.Err)
		}
	}
}
