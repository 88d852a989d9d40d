// Package lease decides who directs a scope. A lease is a chain of records on
// the log; the offset of the first record of a tenure is its term and serves as
// fencing number. A holder stops by its own clock before anybody else may take
// over, and nobody may take over while the log is away.
package lease
