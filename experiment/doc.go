// Package experiment runs named experiments on whole systems of built-in
// stand-ins, and returns what they measured.
package experiment

import "io"

// Options are what all experiments take. Out is told how the experiment goes.
type Options struct {
	Seeds int
	Out   io.Writer
}
