package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/hawthornrock/hawthornrock/platform"
	"github.com/hawthornrock/hawthornrock/transport/clock"
)

const (
	// operatorsWait is how long a read waits for an operator's change. A few of
	// them fit into the time after which a withdrawn key must not work.
	operatorsWait = time.Second
	// serversInterval is the time between reads of the list of servers, which
	// changes all the time: a third of the servers' own interval.
	serversInterval = 400 * time.Millisecond
	// daemonsInterval is the time between reads of the daemons' heartbeats.
	daemonsInterval = time.Second
	// readTimeout bounds a read beyond the time that it may wait. A slow store
	// takes a few hundred milliseconds.
	readTimeout = 900 * time.Millisecond
	// retryInterval is the pause after a failed call to the store.
	retryInterval = 250 * time.Millisecond
)

// A feedPage is what one read of a topic brought. SentAt is when the read was
// sent, by the boot clock. Whole pages hold the newest record of every key.
type feedPage struct {
	topic  string
	page   platform.Page
	sentAt time.Duration
	whole  bool
	// missed means that reads before this one failed for some time.
	missed time.Duration
}

// A feedFailed is a read of a topic that failed.
type feedFailed struct {
	topic string
	err   error
}

// followOperators follows what operators ask for.
func (g *Gateway) followOperators(ctx context.Context) error {
	return g.follow(ctx, platform.TopicOperators, operatorsWait, 0)
}

// followServers follows the list of servers.
func (g *Gateway) followServers(ctx context.Context) error {
	return g.follow(ctx, platform.TopicServers, 0, serversInterval)
}

// followDaemons follows the heartbeats of the daemons.
func (g *Gateway) followDaemons(ctx context.Context) error {
	return g.follow(ctx, platform.TopicDaemons, 0, daemonsInterval)
}

// follow reads topic for ever and gives what it reads to the control state.
func (g *Gateway) follow(ctx context.Context, topic string, wait, interval time.Duration) error {
	next, whole := int64(0), true
	last := clock.Boot()
	for ctx.Err() == nil {
		sent := clock.Boot()
		var (
			page platform.Page
			err  error
		)
		if page, err = g.readFeed(ctx, topic, next, wait, whole); err != nil {
			g.metrics.storeFailures.Add(topic, 1)
			if errors.Is(err, platform.ErrExpired) {
				whole = true
				continue
			}
			g.tell(feedFailed{topic: topic, err: err})
			sleep(ctx, retryInterval)
			continue
		}
		if topic == platform.TopicOperators {
			g.confirmed.Store(int64(sent))
		}
		g.tell(feedPage{topic: topic, page: page, sentAt: sent, whole: whole, missed: sent - last})
		next, whole, last = page.End, false, clock.Boot()
		sleep(ctx, interval)
	}
	return nil
}

// readFeed reads topic once: all newest records if whole is set, else those from
// next on.
func (g *Gateway) readFeed(ctx context.Context, topic string, next int64, wait time.Duration, whole bool) (platform.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeout)
	defer cancel()
	g.metrics.storeCalls.Add("read", 1)
	if whole {
		return g.store.Newest(ctx, topic)
	}
	return g.store.Read(ctx, topic, next, wait)
}
