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
	// streamClaims is the stream of the log that holds the claims.
	streamClaims = "claims"
	// maxBatchRecords is the maximum number of claim records in one append.
	maxBatchRecords = 256
	// claimQueueSize is the maximum number of claim records that wait for an append.
	claimQueueSize = 4096
)

// A claimRegistry reads the claims of all daemons from the log and appends those of this daemon in
// batches.
type claimRegistry struct {
	daemon *Daemon
	queue  chan claim.Record

	mu       sync.Mutex
	claimant claim.Claimant
	pending  map[claim.ID]chan claim.Resolution
}

// newClaimRegistry returns a registry that has not read the log yet.
func newClaimRegistry(d *Daemon) *claimRegistry {
	return &claimRegistry{
		daemon: d, queue: make(chan claim.Record, claimQueueSize), pending: make(map[claim.ID]chan claim.Resolution),
		claimant: claim.Claimant{
			Daemon: d.settings.Daemon, SendWithin: d.settings.Bounds.ClaimTimeout, Table: claim.Table{Window: d.settings.Bounds.ClaimWindow},
		},
	}
}

// abandon releases the claim of a request that is known not to have run.
func (c *claimRegistry) abandon(r claim.Record) {
	r.Status = claim.StatusAbandoned
	c.enqueue(r)
}

// complete records the outcome of the request that r claimed.
func (c *claimRegistry) complete(r claim.Record, o outcome.Outcome, status int) {
	r.Status, r.Outcome, r.HTTPStatus = claim.StatusEnded, o, status
	c.enqueue(r)
}

// enqueue queues a record for the next append and returns whether the queue had room.
func (c *claimRegistry) enqueue(r claim.Record) bool {
	select {
	case c.queue <- r:
		return true
	default:
		c.daemon.counters.events.Add("claim_queue_full", 1)
		return false
	}
}

// claim claims key. It returns the daemon's own claim once the log shows it to be the first of key,
// the current record of key if another claim came first, or an error if the claim could not be
// appended and read back within the claim timeout.
func (c *claimRegistry) claim(ctx context.Context, key claim.Key) (own claim.Record, current *claim.Record, err error) {
	id := claim.ID(uuid.New())
	var resolved chan claim.Resolution
	if own, current, resolved, err = c.start(id, key); err != nil || current != nil {
		return own, current, err
	}
	if !c.enqueue(own) {
		c.cancelPending(id)
		return own, nil, errors.New("too many claims wait for the log")
	}
	ctx, cancel := context.WithTimeout(ctx, c.daemon.settings.Bounds.ClaimTimeout)
	defer cancel()
	select {
	case r := <-resolved:
		return c.result(own, r)
	case <-ctx.Done():
		if c.cancelPending(id) {
			c.abandon(own)
			return own, nil, fmt.Errorf("claim was not read back: %w", ctx.Err())
		}
		return c.result(own, <-resolved)
	}
}

// start registers a claim and returns it with the channel that receives its resolution, or returns
// the current record of key if there is one.
func (c *claimRegistry) start(id claim.ID, key claim.Key) (claim.Record, *claim.Record, chan claim.Resolution, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.claimant.Ready {
		return claim.Record{}, nil, nil, errors.New("claims of the window have not been read yet")
	}
	own, current, exists := c.claimant.Claim(time.Now(), id, key)
	if exists {
		return own, &current, nil, nil
	}
	resolved := make(chan claim.Resolution, 1)
	c.pending[id] = resolved
	return own, nil, resolved, nil
}

// cancelPending cancels a pending claim. It returns false if the claim has already been resolved.
func (c *claimRegistry) cancelPending(id claim.ID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.claimant.Cancel(id) {
		return false
	}
	delete(c.pending, id)
	return true
}

// result returns the values that claim returns for a resolution. It abandons a claim that was read
// back too late to send the request.
func (c *claimRegistry) result(own claim.Record, r claim.Resolution) (claim.Record, *claim.Record, error) {
	switch {
	case r.Won:
		return own, nil, nil
	case r.Current.ID == own.ID:
		c.abandon(own)
		return own, nil, errors.New("claim was read back too late")
	}
	return own, &r.Current, nil
}

// follow reads the claims of all daemons from the log and applies them.
func (c *claimRegistry) follow(ctx context.Context) error {
	from := uint64(1)
	for ctx.Err() == nil {
		var (
			page platform.Page
			err  error
		)
		if page, err = c.daemon.platform.Read(ctx, streamClaims, from, logReadWait); err != nil {
			clock.Sleep(ctx, logRetryInterval)
			continue
		}
		from = page.Next
		c.apply(page)
	}
	return nil
}

// apply applies one page of claims and sends the resolutions of this daemon's pending claims. It
// skips and counts records that cannot be decoded.
func (c *claimRegistry) apply(page platform.Page) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range page.Records {
		var records []claim.Record
		if err := cbor.Unmarshal(r.Data, &records); err != nil {
			c.daemon.counters.events.Add("undecodable_records", 1)
			continue
		}
		for _, resolution := range c.claimant.Apply(time.Now(), r.Time, records) {
			c.pending[resolution.ID] <- resolution
			delete(c.pending, resolution.ID)
		}
	}
	c.claimant.Ready = true
}

// len returns the number of keys in the claim table.
func (c *claimRegistry) len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.claimant.Table.Len()
}

// writeBatches appends queued records. It waits ClaimBatch after the first one, so that one append
// covers all records queued meanwhile.
func (c *claimRegistry) writeBatches(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case first := <-c.queue:
			clock.Sleep(ctx, c.daemon.settings.Bounds.ClaimBatch)
			c.appendBatch(ctx, c.nextBatch(first))
		}
	}
}

// appendBatch appends batch. While the log is unavailable, it retries for claimAppendTimeout, as
// claimants may still wait. Retrying is safe: a record that is appended twice takes effect once.
func (c *claimRegistry) appendBatch(ctx context.Context, batch []claim.Record) {
	var (
		data []byte
		err  error
	)
	if data, err = cbor.Marshal(batch); err != nil {
		c.daemon.logger.Error().Err(err).Msg("cannot encode claims; batch dropped")
		return
	}
	submission := platform.Submission{ID: hex.EncodeToString(batch[0].ID[:]), Data: data}
	deadline := time.Now().Add(claimAppendTimeout)
	for ctx.Err() == nil && time.Now().Before(deadline) {
		if _, err = c.daemon.platform.Append(ctx, streamClaims, submission); err == nil {
			c.daemon.counters.events.Add("claim_appends", 1)
			return
		}
		clock.Sleep(ctx, logRetryInterval)
	}
	c.daemon.counters.events.Add("claim_appends_failed", 1)
}

// claimAppendTimeout bounds the time for which an append of claims is retried.
const claimAppendTimeout = 10 * time.Second

// nextBatch returns first and the records queued after it, up to maxBatchRecords.
func (c *claimRegistry) nextBatch(first claim.Record) []claim.Record {
	batch := []claim.Record{first}
	for len(batch) < maxBatchRecords {
		select {
		case r := <-c.queue:
			batch = append(batch, r)
		default:
			return batch
		}
	}
	return batch
}
