package gateway

import (
	"context"
	"fmt"
	"math"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/hawthornrock/hawthornrock/coordination/level"
	"github.com/hawthornrock/hawthornrock/coordination/quarantine"
	"github.com/hawthornrock/hawthornrock/platform"
	"github.com/hawthornrock/hawthornrock/transport/clock"
)

const (
	// heartbeatInterval is the time between the heartbeats of a daemon.
	heartbeatInterval = 1200 * time.Millisecond
	// maxHeartbeatsPerSecond bounds the heartbeats of all daemons together. Where there are more
	// daemons, each sends fewer heartbeats, and hubs report in between which daemons are alive.
	maxHeartbeatsPerSecond = 5
	// leaderInterval is the time between the heartbeats of the leader.
	leaderInterval = 450 * time.Millisecond
	// peerTimeout is how long a daemon counts as alive after its last heartbeat: two may be lost.
	// It is below the time after which callers must no longer be sent to a daemon that has ended.
	peerTimeout = 3500 * time.Millisecond
	// appendTimeout bounds the wait for the store to accept a record.
	appendTimeout = time.Second
	// predecessorWait is how long a daemon that restarts waits to read the heartbeat of its
	// previous incarnation, which its own replaces: a read of a slow store.
	predecessorWait = 500 * time.Millisecond
)

// A heartbeat is what a daemon reports to all others through the store.
type heartbeat struct {
	Daemon        string `cbor:"1,keyasint"`
	Incarnation   string `cbor:"2,keyasint"`
	Front         string `cbor:"3,keyasint"`
	FailureDomain string `cbor:"4,keyasint"`
	Ready         bool   `cbor:"5,keyasint"`
	Leaving       bool   `cbor:"6,keyasint"`
	// Peer is the address to which statuses are sent, and Secret is what they must carry.
	Peer   string `cbor:"7,keyasint"`
	Secret string `cbor:"8,keyasint"`
	// CPUShare is the daemon's share of a processor.
	CPUShare float64 `cbor:"11,keyasint"`
	// HadTraffic means that the daemon has had requests of callers.
	HadTraffic bool `cbor:"9,keyasint"`
	// Term is the term that the daemon leads under, or the last one if it is leaving; zero if there
	// is none.
	Term int64 `cbor:"10,keyasint"`
	// Findings are requests that servers crashed under, as of FindingsAt in Unix milliseconds.
	Findings   []quarantine.Finding `cbor:"12,keyasint,omitempty"`
	FindingsAt int64                `cbor:"13,keyasint,omitempty"`
	// PartFindings are parts of prompts that crash servers, as of FindingsAt.
	PartFindings []quarantine.PartFinding `cbor:"14,keyasint,omitempty"`
	Region       string                   `cbor:"15,keyasint,omitempty"`
	// Level is the level of the daemon's build.
	Level level.Level `cbor:"16,keyasint,omitempty"`
}

// level returns the level of the daemon that sent h.
func (h heartbeat) level() level.Level { return level.Of(h.Level, h.Region != "") }

// observeLevels records the levels of the daemons of v and logs what changed.
func (c *controller) observeLevels(v *View) {
	levels := make(map[string]level.Level, len(v.Peers))
	for _, h := range v.Peers {
		levels[h.Daemon] = h.level()
	}
	change := c.levels.Observe(levels)
	v.FleetLevel = c.levels.Lowest()
	if change.Moved {
		c.gateway.logger.Info().Str("event", "fleet_level").Int("from", int(change.From)).Int("to", int(change.To)).Int("own", int(level.Own)).
			Int("daemons", v.Daemons).Msg("lowest level of the live daemons changed")
	}
	for _, d := range change.Unknown {
		c.gateway.logger.Warn().Str("event", "level_unknown").Str("peer", d.Name).Int("level", int(d.Level)).Int("oldest", int(level.Oldest)).
			Int("own", int(level.Own)).Msg("daemon has a level that this build does not know")
	}
}

// maxTerm bounds a term so that its epochs, a million each, stay below 2^53, which JSON represents exactly.
const maxTerm = 1 << 33

// decodeHeartbeat decodes the heartbeat stored under key. One whose numbers no daemon can have is an error.
func decodeHeartbeat(key string, text []byte) (heartbeat, error) {
	var h heartbeat
	if err := cbor.Unmarshal(text, &h); err != nil {
		return h, fmt.Errorf("decode heartbeat of daemon %q: %w", key, err)
	}
	switch {
	case h.Front != key:
		return h, fmt.Errorf("heartbeat of daemon %q has the front address %q", key, h.Front)
	case h.Term < 0 || h.Term > maxTerm:
		return h, fmt.Errorf("heartbeat of daemon %q: term %d is out of range", key, h.Term)
	case math.IsNaN(h.CPUShare) || math.IsInf(h.CPUShare, 0):
		return h, fmt.Errorf("heartbeat of daemon %q: CPU share %g is out of range", key, h.CPUShare)
	}
	return h, nil
}

// runHeartbeats sends a heartbeat at each interval, and at once on request.
func (g *Gateway) runHeartbeats(ctx context.Context) error {
	if !g.settings.FirstRun {
		g.awaitPredecessor(ctx)
	}
	ended := make(chan struct{}, maxHeartbeatsInFlight)
	inFlight, lastState := 0, heartbeatState{}
	for ctx.Err() == nil {
		// A heartbeat that arrives late must not undo what a later one says.
		for state := g.heartbeatState(); inFlight > 0 && (state != lastState || inFlight >= maxHeartbeatsInFlight); inFlight-- {
			<-ended
		}
		lastState = g.heartbeatState()
		inFlight++
		g.work.Go(ctx, "heartbeat", func(ctx context.Context) error {
			g.sendHeartbeat(ctx)
			ended <- struct{}{}
			return nil
		})
		interval := max(heartbeatInterval, time.Second*time.Duration(g.view.Load().Daemons)/maxHeartbeatsPerSecond)
		if g.term.Load() != 0 {
			interval = leaderInterval
		}
		sleepOrWake(ctx, interval, g.heartbeatNow)
		for len(ended) > 0 {
			<-ended
			inFlight--
		}
	}
	for ; inFlight > 0; inFlight-- {
		<-ended
	}
	return nil
}

// maxHeartbeatsInFlight is the number of heartbeats that may be on their way to the store at once, so that a leader
// keeps its lease while the store takes as long as appendTimeout to accept one.
const maxHeartbeatsInFlight = 3

// A heartbeatState is what must not change between two heartbeats that are on their way at once.
type heartbeatState struct {
	ready, leaving bool
	term           int64
}

// heartbeatState returns the state that the next heartbeat tells.
func (g *Gateway) heartbeatState() heartbeatState {
	return heartbeatState{ready: g.ready(), leaving: g.leaving.Load(), term: g.term.Load()}
}

// awaitPredecessor waits until the heartbeat of the previous incarnation has been read, but no
// longer than the other daemons can wait for the first one of this incarnation.
func (g *Gateway) awaitPredecessor(ctx context.Context) {
	sleepOrWake(ctx, predecessorWait, g.daemonsLoaded)
}

// requestHeartbeat requests a heartbeat before the next one is due.
func (g *Gateway) requestHeartbeat() { wake(g.heartbeatNow) }

// sleepOrWake returns after d, when woken, or when ctx ends.
func sleepOrWake(ctx context.Context, d time.Duration, woken <-chan struct{}) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-woken:
	}
}

// wake wakes the goroutine that waits on c, unless that is already pending.
func wake(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// sendHeartbeat writes the heartbeat of this daemon to the store.
func (g *Gateway) sendHeartbeat(ctx context.Context) {
	g.tracker.dropIdleTargets(time.Now())
	h := heartbeat{
		Daemon: g.settings.Daemon, Incarnation: g.incarnation, Front: g.settings.Front, FailureDomain: g.settings.FailureDomain, Region: g.settings.Region,
		Ready: g.ready(), Leaving: g.leaving.Load(), Peer: g.settings.Peer, Secret: g.secret, HadTraffic: g.tracker.hadTraffic(), CPUShare: g.settings.Limits.CPUShare, Level: level.Own,
	}
	if h.Term = g.term.Load(); h.Term != 0 {
		g.lastTerm.Store(h.Term)
	} else if h.Leaving {
		h.Term = g.lastTerm.Load()
	}
	h.PartFindings = g.crashes.partFindings(time.Now())
	if h.Findings = g.crashes.findings(time.Now()); len(h.Findings) > 0 || len(h.PartFindings) > 0 {
		h.FindingsAt = time.Now().UnixMilli()
	}
	var (
		data []byte
		err  error
	)
	if data, err = cbor.Marshal(h); err != nil {
		g.logger.Error().Str("event", "heartbeat_failed").Err(err).Msg("cannot encode heartbeat")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	g.metrics.storeCalls.Add("heartbeat", 1)
	sent := clock.Boot()
	if err = g.store.Put(ctx, platform.TopicDaemons, g.settings.Front, data); err != nil {
		g.metrics.storeFailures.Add("heartbeat", 1)
		g.logger.Warn().Str("event", "heartbeat_failed").Err(err).Msg("cannot write heartbeat to the store")
		return
	}
	g.enqueue(heartbeatStored{sentAt: sent, term: h.Term})
}
