// Package experiment runs named experiments on complete systems with simulated backend servers, and
// returns their measurements.
package experiment

import "io"

// Options are the parameters common to all experiments. Seeds is the number of random seeds to run;
// progress is written to Out.
type Options struct {
	Seeds int
	Out   io.Writer
}
