// Package experiment runs named experiments on whole systems of built-in
// stand-ins, and returns what they measured.
package experiment
