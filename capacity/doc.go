// Package capacity measures the time and memory that parts of a daemon take at
// several sizes, fits a line to the measurements of each, and extrapolates the cost
// of each role to the size that users expect within two years.
package capacity
