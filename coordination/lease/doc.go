// Package lease elects one holder for each scope by records on a shared log. The records of a
// scope form a chain: each names the offset of the one before it. The offset of a holder's first
// record is its term and serves as fencing token. A holder stops by its own clock before another
// daemon may take over, and there is no takeover while the log is unavailable.
package lease
