// Package memory decides which requests may hold bytes in a daemon, and which of them pays when there is no room:
// the slowest and largest first, so that a peer that is slow costs only its own requests.
package memory

import (
	"cmp"
	"slices"
	"time"
)

const (
	// DefaultTotal is the limit for all requests together when none is set, in bytes: a tenth of the memory of the
	// smallest machines.
	DefaultTotal = 16 << 20
	// requestShare is the part of the total that one request may hold.
	requestShare = 0.75
	// MinRate is the rate, in bytes a second, at which a peer that sends or reads is never slow: a tenth of the
	// slowest link of a machine.
	MinRate = 256 << 10
	// SlowAfter is how far a peer may lag behind MinRate before its request may be ended for the room of another:
	// two retransmissions. Servers cut off an answer that is unread for some seconds, so it is a part of one.
	SlowAfter = 500 * time.Millisecond
	// Patience is how long a request waits for room when no peer is slow. With SlowAfter, it stays below the
	// seconds after which a server cuts off an answer that is not read.
	Patience = time.Second
)

// Limits bound the bytes that requests hold. Total is the limit for all of them, DefaultTotal if it is zero.
type Limits struct{ Total int64 }

// total returns the limit for all requests.
func (l Limits) total() int64 { return cmp.Or(l.Total, DefaultTotal) }

// request returns the limit for one request.
func (l Limits) request() int64 { return int64(requestShare * float64(l.total())) }

// A Decision is what becomes of a request that asks for room.
type Decision int

// The decisions.
const (
	// Accept means that the bytes are counted.
	Accept Decision = iota
	// Wait means that the request has to wait until others have released bytes.
	Wait
	// Refuse means that the request pays, and has not been sent to any server.
	Refuse
	// End means that the request pays, and may have run.
	End
)

// String returns the name of d in logs.
func (d Decision) String() string { return [...]string{"accept", "wait", "refuse", "end"}[d] }

// An Account is the bytes that the requests of a daemon hold, by a key of each request. The zero value is empty, with
// the default limits. It is not safe for concurrent use.
type Account[K comparable] struct {
	Limits Limits

	requests map[K]*request
	held     int64
	// ending is the part of held that belongs to requests which have been told to end.
	ending int64
	begun  int64
	// queue holds the requests that wait for room, the smallest first.
	queue []waiter[K]
}

// A waiter is a request that waits for bytes since a time.
type waiter[K comparable] struct {
	key   K
	bytes int64
	since time.Duration
}

// A Result is what becomes of a request: Accept means that it has the bytes that it waited for, Refuse and End that it
// pays.
type Result[K comparable] struct {
	Key      K
	Decision Decision
}

// A request is what an account knows of one request.
type request struct {
	bytes int64
	// number orders requests by their beginnings.
	number int64
	// sent means that a server may have been sent the request, ending that it pays for others.
	sent, ending bool
	// awaits means that the daemon waits for the peer. lag is how far it lagged behind MinRate at the time at.
	awaits  bool
	lag, at time.Duration
	// waits means that the request is in the queue, for waitsFor bytes.
	waits    bool
	waitsFor int64
}

// lagAt returns how far the peer of r lags at now, zero unless the daemon waits for it. The time in which r waits for
// room is not its peer's.
func (r *request) lagAt(now time.Duration) time.Duration {
	switch {
	case !r.awaits:
		return 0
	case r.waits:
		return r.lag
	}
	return r.lag + max(now-r.at, 0)
}

// end returns how r ends when it pays.
func (r *request) end() Decision {
	if r.sent {
		return End
	}
	return Refuse
}

// request returns the request with the given key, which it adds if there is none.
func (a *Account[K]) request(key K) *request {
	r, ok := a.requests[key]
	if !ok {
		if a.requests == nil {
			a.requests = make(map[K]*request)
		}
		a.begun++
		r = &request{number: a.begun}
		a.requests[key] = r
	}
	return r
}

// Held returns the bytes that are held.
func (a *Account[K]) Held() int64 { return a.held }

// Reserve decides whether a request may hold n more bytes. One that was told to end, or that needs more than one
// request may hold, is refused or ended. One that is told to wait may be put into the queue.
func (a *Account[K]) Reserve(key K, n int64) Decision {
	r := a.request(key)
	switch {
	case r.ending || r.waits || r.bytes+n > a.Limits.request():
		return r.end()
	case a.held+n > a.Limits.total(), len(a.queue) > 0 && a.queue[0].bytes <= n:
		return Wait
	}
	r.bytes += n
	a.held += n
	return Accept
}

// Enqueue puts a request, which was told to wait, into the queue for n bytes.
func (a *Account[K]) Enqueue(now time.Duration, key K, n int64) {
	r := a.request(key)
	r.lag, r.waits, r.waitsFor = r.lagAt(now), true, n
	i, _ := slices.BinarySearchFunc(a.queue, n, func(w waiter[K], n int64) int {
		if w.bytes <= n {
			return -1
		}
		return 1
	})
	a.queue = slices.Insert(a.queue, i, waiter[K]{key: key, bytes: n, since: now})
}

// Cancel removes a request from the queue.
func (a *Account[K]) Cancel(now time.Duration, key K) {
	r, ok := a.requests[key]
	if !ok || !r.waits {
		return
	}
	r.waits, r.waitsFor, r.at = false, 0, now
	a.queue = slices.DeleteFunc(a.queue, func(w waiter[K]) bool { return w.key == key })
}

// Grant reserves the bytes of the requests in the queue for which there is room now, and removes and returns these.
func (a *Account[K]) Grant(now time.Duration) []Result[K] {
	var granted []Result[K]
	for len(a.queue) > 0 && a.held+a.queue[0].bytes <= a.Limits.total() {
		w := a.queue[0]
		a.queue = slices.Delete(a.queue, 0, 1)
		r := a.requests[w.key]
		r.waits, r.waitsFor, r.at = false, 0, now
		r.bytes += w.bytes
		a.held += w.bytes
		granted = append(granted, Result[K]{Key: w.key, Decision: Accept})
	}
	return granted
}

// Relieve decides who pays for the requests in the queue. Those that pay keep their bytes until they release them. Call
// it several times within SlowAfter.
func (a *Account[K]) Relieve(now time.Duration) []Result[K] {
	if len(a.queue) == 0 {
		return nil
	}
	needed := int64(0)
	for _, w := range a.queue {
		needed += w.bytes
	}
	var paying []Result[K]
	for _, key := range a.slowest(now) {
		if a.fits(needed) {
			break
		}
		paying = append(paying, a.pay(now, key))
	}
	var impatient []waiter[K]
	for _, w := range a.queue {
		if now-w.since >= Patience {
			impatient = append(impatient, w)
		}
	}
	if len(impatient) == 0 {
		return paying
	}
	unsent := a.largestUnsent()
	for _, w := range impatient {
		if !a.requests[w.key].waits || a.fits(w.bytes) {
			continue
		}
		pays := w.key
		if len(unsent) > 0 {
			pays, unsent = unsent[0], unsent[1:]
		}
		paying = append(paying, a.pay(now, pays))
	}
	return paying
}

// fits returns whether there is room for n bytes once the requests that pay have ended.
func (a *Account[K]) fits(n int64) bool { return a.held-a.ending+n <= a.Limits.total() }

// pay tells a request to end.
func (a *Account[K]) pay(now time.Duration, key K) Result[K] {
	a.Cancel(now, key)
	r := a.requests[key]
	r.ending = true
	a.ending += r.bytes
	return Result[K]{Key: key, Decision: r.end()}
}

// slowest returns the requests whose peers are slow, that with the most bytes times lag first.
func (a *Account[K]) slowest(now time.Duration) []K {
	return a.keys(func(r *request) float64 {
		if lag := r.lagAt(now); lag >= SlowAfter {
			return float64(r.bytes) * lag.Seconds()
		}
		return 0
	})
}

// largestUnsent returns the requests that no server was sent, the largest first, with the bytes that they wait for.
func (a *Account[K]) largestUnsent() []K {
	return a.keys(func(r *request) float64 {
		if r.sent {
			return 0
		}
		return float64(r.bytes + r.waitsFor)
	})
}

// keys returns the requests that have not been told to end and whose cost is not zero, the highest first and of equal
// ones the latest.
func (a *Account[K]) keys(cost func(r *request) float64) []K {
	type candidate struct {
		key    K
		cost   float64
		number int64
	}
	var candidates []candidate
	for key, r := range a.requests {
		if c := cost(r); !r.ending && c > 0 {
			candidates = append(candidates, candidate{key: key, cost: c, number: r.number})
		}
	}
	slices.SortFunc(candidates, func(x, y candidate) int {
		return cmp.Or(cmp.Compare(y.cost, x.cost), cmp.Compare(y.number, x.number))
	})
	keys := make([]K, len(candidates))
	for i, c := range candidates {
		keys[i] = c.key
	}
	return keys
}

// Await records that the daemon waits for the peer of a request from now on, to send its body or read its answer.
func (a *Account[K]) Await(now time.Duration, key K) {
	r := a.request(key)
	r.awaits, r.lag, r.at = true, 0, now
}

// Moved records that the peer of a request sent or read n bytes by now.
func (a *Account[K]) Moved(now time.Duration, key K, n int64) {
	r := a.request(key)
	r.lag = max(r.lagAt(now)-time.Duration(float64(n)/MinRate*float64(time.Second)), 0)
	r.at = now
}

// Rest records that the daemon does not wait for the peer of a request any more.
func (a *Account[K]) Rest(key K) { a.request(key).awaits = false }

// Send records that a request is sent to a server, so that it may have run from now on. It returns false for one that
// was told to end, which must not be sent.
func (a *Account[K]) Send(key K) bool {
	r := a.request(key)
	r.sent = true
	return !r.ending
}

// Ending returns whether a request was told to end.
func (a *Account[K]) Ending(key K) bool {
	r, ok := a.requests[key]
	return ok && r.ending
}

// Release records that a request holds n bytes less.
func (a *Account[K]) Release(key K, n int64) {
	r := a.request(key)
	n = min(n, r.bytes)
	r.bytes -= n
	a.held -= n
	if r.ending {
		a.ending -= n
	}
}

// Remove removes a request that has ended, with all its bytes.
func (a *Account[K]) Remove(key K) {
	if r, ok := a.requests[key]; ok {
		a.Cancel(0, key)
		a.Release(key, r.bytes)
		delete(a.requests, key)
	}
}

// Fits returns whether a request of the given tokens fits into the memory of a server which holds requests of held
// tokens, each with its prompt and its longest answer. A capacity of zero is unknown, and everything fits.
func Fits(capacity, held, request int) bool { return capacity <= 0 || held+request <= capacity }
