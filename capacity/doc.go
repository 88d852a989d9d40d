// Package capacity measures what the parts of a daemon cost at several sizes, fits
// slopes to them, and works out from the slopes what each role costs at the size
// that the users expect within two years.
package capacity
