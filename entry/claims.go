package entry

import (
	"context"
	"encoding/hex"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"

	"github.com/hawthornrock/hawthornrock/coordination/claim"
	"github.com/hawthornrock/hawthornrock/coordination/outcome"
	"github.com/hawthornrock/hawthornrock/protocol/platform"
	"github.com/hawthornrock/hawthornrock/transport/clock"
)

const (
	// streamClaims is the stream of claims on the log.
	streamClaims = "claims"
	// maxBatch bounds the claim records of one append.
	maxBatch = 256
	// claimQueue bounds the claim records that wait for an append.
	claimQueue = 4096
)

// claims follows the claims of all daemons and writes those of this one, many to
// an append.
type claims struct {
	daemon *Daemon
	queue  chan claim.Record

	mu       sync.Mutex
	claimant claim.Claimant
	waiting  map[claim.ID]chan claim.Resolution
}

// newClaims returns claims that have not yet read the log.
func newClaims(d *Daemon) *claims {
	return &claims{
		daemon: d, queue: make(chan claim.Record, claimQueue), waiting: make(map[claim.ID]chan claim.Resolution),
		claimant: claim.Claimant{
			Daemon: d.settings.Daemon, SendWithin: d.settings.Bounds.ClaimTimeout, Table: claim.Table{Window: d.settings.Bounds.ClaimWindow},
		},
	}
}

// abandon gives a claim back whose request was surely not run.
func (c *claims) abandon(r claim.Record) {
	r.Status = claim.StatusAbandoned
	c.enqueue(r)
}

// end records the outcome of the request of a claim.
func (c *claims) end(r claim.Record, o outcome.Outcome, status int) {
	r.Status, r.Outcome, r.HTTPStatus = claim.StatusEnded, o, status
	c.enqueue(r)
}

// enqueue queues a record for the next append, and returns whether it had room.
func (c *claims) enqueue(r claim.Record) bool {
	select {
	case c.queue <- r:
		return true
	default:
		c.daemon.counters.events.Add("claim_queue_full", 1)
		return false
	}
}

// claim claims key and returns the claim once it has been read back as the first
// of its key, the record that stands before it, or an error if the log did not
// tell within the claim timeout.
func (c *claims) claim(ctx context.Context, key claim.Key) (own claim.Record, standing *claim.Record, err error) {
	id := claim.ID(uuid.New())
	var resolved chan claim.Resolution
	if own, standing, resolved, err = c.begin(id, key); err != nil || standing != nil {
		return own, standing, err
	}
	if !c.enqueue(own) {
		c.giveUp(id)
		return own, nil, errors.New("too many claims wait for the log")
	}
	ctx, cancel := context.WithTimeout(ctx, c.daemon.settings.Bounds.ClaimTimeout)
	defer cancel()
	select {
	case r := <-resolved:
		return c.resolved(own, r)
	case <-ctx.Done():
		if c.giveUp(id) {
			c.abandon(own)
			return own, nil, fmt.Errorf("claim was not read back: %w", ctx.Err())
		}
		return c.resolved(own, <-resolved)
	}
}

// begin returns the claim to append and the channel on which it will be resolved,
// or the record that stands for key.
func (c *claims) begin(id claim.ID, key claim.Key) (claim.Record, *claim.Record, chan claim.Resolution, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.claimant.Ready {
		return claim.Record{}, nil, nil, errors.New("claims of the window have not been read yet")
	}
	own, standing, taken := c.claimant.Claim(time.Now(), id, key)
	if taken {
		return own, &standing, nil, nil
	}
	resolved := make(chan claim.Resolution, 1)
	c.waiting[id] = resolved
	return own, nil, resolved, nil
}

// giveUp stops waiting for a claim and returns whether it was not yet read back.
func (c *claims) giveUp(id claim.ID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.claimant.Cancel(id) {
		return false
	}
	delete(c.waiting, id)
	return true
}

// resolved returns what a claim that was read back means for its request.
func (c *claims) resolved(own claim.Record, r claim.Resolution) (claim.Record, *claim.Record, error) {
	switch {
	case r.Won:
		return own, nil, nil
	case r.Current.ID == own.ID:
		c.abandon(own)
		return own, nil, errors.New("claim was read back too late")
	}
	return own, &r.Current, nil
}

// follow folds the claims of all daemons.
func (c *claims) follow(ctx context.Context) error {
	from := uint64(1)
	for ctx.Err() == nil {
		var (
			page platform.Page
			err  error
		)
		if page, err = c.daemon.platform.Read(ctx, streamClaims, from, followWait); err != nil {
			clock.Sleep(ctx, retryInterval)
			continue
		}
		from = page.Next
		c.fold(page)
	}
	return nil
}

// fold folds one page of claims and tells those that wait for them.
func (c *claims) fold(page platform.Page) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range page.Records {
		var records []claim.Record
		if err := cbor.Unmarshal(r.Data, &records); err != nil {
			c.daemon.counters.events.Add("undecodable_records", 1)
			continue
		}
		for _, resolution := range c.claimant.Apply(time.Now(), r.Time, records) {
			c.waiting[resolution.ID] <- resolution
			delete(c.waiting, resolution.ID)
		}
	}
	c.claimant.Ready = true
}

// len returns the number of keys held.
func (c *claims) len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.claimant.Table.Len()
}

// write appends queued records, as many at once as have come.
func (c *claims) write(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case first := <-c.queue:
			clock.Sleep(ctx, c.daemon.settings.Bounds.ClaimBatch)
			c.append(ctx, c.batch(first))
		}
	}
}

// append appends batch, again while the log is away and claimants may wait. A
// record that is appended twice takes effect once.
func (c *claims) append(ctx context.Context, batch []claim.Record) {
	var (
		data []byte
		err  error
	)
	if data, err = cbor.Marshal(batch); err != nil {
		c.daemon.logger.Error().Err(err).Msg("encode claims")
		return
	}
	submission := platform.Submission{ID: hex.EncodeToString(batch[0].ID[:]), Data: data}
	deadline := time.Now().Add(claimRetries)
	for ctx.Err() == nil && time.Now().Before(deadline) {
		if _, err = c.daemon.platform.Append(ctx, streamClaims, submission); err == nil {
			c.daemon.counters.events.Add("claim_appends", 1)
			return
		}
		clock.Sleep(ctx, retryInterval)
	}
	c.daemon.counters.events.Add("claim_appends_failed", 1)
}

// claimRetries bounds how long an append of claims is repeated.
const claimRetries = 10 * time.Second

// batch returns first and what is queued behind it.
func (c *claims) batch(first claim.Record) []claim.Record {
	batch := []claim.Record{first}
	for len(batch) < maxBatch {
		select {
		case r := <-c.queue:
			batch = append(batch, r)
		default:
			return batch
		}
	}
	return batch
}
