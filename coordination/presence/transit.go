package presence

import "time"

// maxDriftInverse is the inverse of the greatest drift between two daemons' clocks: 200 ppm, twice what the crystal of
// a server may be off.
const maxDriftInverse = 5000

// A Transit estimates how late the messages of one sender arrive, from the sender's clock, which need not agree with that
// of the receiver. The fastest message counts as on time. A receiver that was suspended, or has much to read, may find
// messages that were sent long before. The zero Transit has seen no message.
type Transit struct {
	started bool
	// fastest is the least difference between the receiver's clock and the sender's, as of receivedAt.
	fastest    time.Duration
	receivedAt time.Duration
}

// Delay returns how late a message is that arrived at receivedAt by the receiver's clock, and was sent at sentAt by the
// sender's.
func (t *Transit) Delay(sentAt, receivedAt time.Duration) time.Duration {
	difference := receivedAt - sentAt
	t.fastest += max(receivedAt-t.receivedAt, 0) / maxDriftInverse
	if t.receivedAt = receivedAt; !t.started || difference < t.fastest {
		t.started, t.fastest = true, difference
	}
	return difference - t.fastest
}

// ReceivedAt returns when the last message arrived.
func (t *Transit) ReceivedAt() time.Duration { return t.receivedAt }
