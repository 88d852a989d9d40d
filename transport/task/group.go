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

// A Group owns goroutines. Its owner reads their ends with Reap or Wait, by one of
// them at a time. The zero Group is ready to use.
type Group struct {
	mu      sync.Mutex
	ends    chan End
	running int
}

// Go runs f in a goroutine.
func (g *Group) Go(ctx context.Context, name string, f func(context.Context) error) {
	g.mu.Lock()
	ends := g.channel()
	g.running++
	g.mu.Unlock()
	go func() {
		ends <- End{Name: name, Err: f(ctx)}
	}()
}

// Reap reads ends until ctx ends, then waits for the goroutines that are left. It
// returns the first error.
func (g *Group) Reap(ctx context.Context) error {
	g.mu.Lock()
	ends := g.channel()
	g.mu.Unlock()
	var first error
	for {
		select {
		case <-ctx.Done():
			if err := g.Wait(); first == nil {
				first = err
			}
			return first
		case end := <-ends:
			first = g.ended(end, first)
		}
	}
}

// Wait reads the ends of all goroutines and returns the first error.
func (g *Group) Wait() error {
	var first error
	for {
		g.mu.Lock()
		ends, running := g.channel(), g.running
		g.mu.Unlock()
		if running == 0 {
			return first
		}
		first = g.ended(<-ends, first)
	}
}

// channel returns the channel of ends. The caller holds the lock.
func (g *Group) channel() chan End {
	if g.ends == nil {
		g.ends = make(chan End)
	}
	return g.ends
}

// ended counts an end and returns the first error so far.
func (g *Group) ended(end End, first error) error {
	g.mu.Lock()
	g.running--
	g.mu.Unlock()
	if end.Err != nil && first == nil {
		return fmt.Errorf("%s: %w", end.Name, end.Err)
	}
	return first
}
