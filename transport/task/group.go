// Package task runs groups of named goroutines and collects their errors.
package task

import (
	"context"
	"fmt"
	"sync"
)

// An End reports that a goroutine has returned: its name and its error.
type End struct {
	Name string
	Err  error
}

// A Group is a set of goroutines. A goroutine blocks at its end until its owner collects it by Reap
// or Wait, only one of which may run at a time. The zero Group is ready to use.
type Group struct {
	mu      sync.Mutex
	ends    chan End
	running int
}

// Go runs f in a goroutine. An error that f returns is prefixed with name.
func (g *Group) Go(ctx context.Context, name string, f func(context.Context) error) {
	g.mu.Lock()
	ends := g.channel()
	g.running++
	g.mu.Unlock()
	go func() {
		ends <- End{Name: name, Err: f(ctx)}
	}()
}

// Reap collects goroutines as they return until ctx ends, and then waits for the remaining ones. It
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
			first = g.recordEnd(end, first)
		}
	}
}

// Wait waits until all goroutines have returned, and returns the first error.
func (g *Group) Wait() error {
	var first error
	for {
		g.mu.Lock()
		ends, running := g.channel(), g.running
		g.mu.Unlock()
		if running == 0 {
			return first
		}
		first = g.recordEnd(<-ends, first)
	}
}

// channel returns the channel on which goroutines report their ends. The caller holds g.mu.
func (g *Group) channel() chan End {
	if g.ends == nil {
		g.ends = make(chan End)
	}
	return g.ends
}

// recordEnd counts a goroutine as returned. It returns first, or the error of end if first is nil.
func (g *Group) recordEnd(end End, first error) error {
	g.mu.Lock()
	g.running--
	g.mu.Unlock()
	if end.Err != nil && first == nil {
		return fmt.Errorf("%s: %w", end.Name, end.Err)
	}
	return first
}
