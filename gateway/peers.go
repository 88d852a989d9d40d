package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/hawthornrock/hawthornrock/coordination/dispatch"
	"github.com/hawthornrock/hawthornrock/coordination/quarantine"
	"github.com/hawthornrock/hawthornrock/transport/link"
	"github.com/hawthornrock/hawthornrock/transport/task"
)

const (
	// statusInterval is the time between two statuses to a peer while there are few:
	// two passes of a busy engine.
	statusInterval = 150 * time.Millisecond
	// statusesPerSecond bounds the statuses that a daemon sends to all its peers.
	statusesPerSecond = 120
	// statusAge is how old a status may be to count.
	statusAge = 2 * time.Second
	// peersInterval is the time between looks at which peers there are.
	peersInterval = 300 * time.Millisecond
)

// A status is what one daemon tells its peers directly: what the store is too slow
// for.
type status struct {
	Incarnation string `cbor:"1,keyasint"`
	// Work is the daemon's work at each replica, by epoch.
	Work map[int64]replicaWork `cbor:"2,keyasint"`
	// Crashes are the latest crashes of servers under its requests.
	Crashes []quarantine.Crash `cbor:"3,keyasint,omitempty"`
}

// A replicaWork is the work of one daemon at one replica. Silent is the time since
// the last event from it, in milliseconds; Stalled means that it does not answer.
type replicaWork struct {
	_       struct{} `cbor:",toarray"`
	Writing int
	Waiting int
	Tokens  int
	Silent  int64
	Stalled bool
}

// A heardStatus is the newest status of a peer.
type heardStatus struct {
	status status
	at     time.Time
}

// peerHandler takes the statuses of peers.
func (g *Gateway) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(link.Path, link.Accept(g.secret, g.links, func(s status) {
		g.board.heard(s, time.Now())
	}))
	return mux
}

// runPeers keeps a link to every daemon that is known, and sends them statuses.
func (g *Gateway) runPeers(ctx context.Context) error {
	var (
		senders = make(map[string]*link.Sender[status])
		cancels = make(map[string]context.CancelFunc)
		group   task.Group
		looked  time.Time
	)
	reaped := make(chan error, 1)
	reapCtx, stopReaping := context.WithCancel(ctx)
	go func() { reaped <- group.Reap(reapCtx) }()
	for ctx.Err() == nil {
		if time.Since(looked) > peersInterval {
			looked = time.Now()
			g.connect(ctx, senders, cancels, &group)
		}
		s := g.board.status(g.incarnation, time.Now())
		for _, sender := range senders {
			sender.Send(s)
		}
		sleep(ctx, max(statusInterval, time.Duration(len(senders))*time.Second/statusesPerSecond))
	}
	for _, cancel := range cancels {
		cancel()
	}
	stopReaping()
	return <-reaped
}

// connect opens links to new peers and closes those to peers that are gone.
func (g *Gateway) connect(ctx context.Context, senders map[string]*link.Sender[status], cancels map[string]context.CancelFunc, group *task.Group) {
	peers := g.view.Load().Peers
	for incarnation, cancel := range cancels {
		if _, ok := peers[incarnation]; !ok {
			cancel()
			delete(cancels, incarnation)
			delete(senders, incarnation)
		}
	}
	for incarnation, h := range peers {
		if _, ok := senders[incarnation]; ok || h.Peer == "" {
			continue
		}
		sender := link.NewSender[status]("ws://"+h.Peer+link.Path, h.Secret, g.peerClient, g.links)
		senderCtx, cancel := context.WithCancel(ctx)
		senders[incarnation], cancels[incarnation] = sender, cancel
		group.Go(senderCtx, "peer "+h.Daemon, sender.Run)
	}
}

// heard takes the status of a peer.
func (b *board) heard(s status, now time.Time) {
	b.convicted(s.Crashes)
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.peers == nil {
		b.peers = make(map[string]heardStatus)
	}
	b.peers[s.Incarnation] = heardStatus{status: s, at: now}
}

// status returns what this daemon tells its peers.
func (b *board) status(incarnation string, now time.Time) status {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := status{Incarnation: incarnation, Work: make(map[int64]replicaWork), Crashes: b.lateCrashes(now)}
	for _, seat := range b.seats {
		stalled := now.Before(seat.suspectUntil)
		if seat.epoch == 0 || len(seat.attempts) == 0 && !stalled {
			continue
		}
		l := seat.load()
		s.Work[seat.epoch] = replicaWork{
			Writing: l.Writing, Waiting: l.Waiting, Tokens: l.Tokens, Silent: now.Sub(seat.lastEvent).Milliseconds(), Stalled: stalled,
		}
	}
	for incarnation, h := range b.peers {
		if now.Sub(h.at) > statusAge {
			delete(b.peers, incarnation)
		}
	}
	return s
}

// elsewhere is what peers tell of one replica. Silent is the shortest time since an
// event that one of them with work there had, a long time if none has.
type elsewhere struct {
	load    dispatch.Load
	silent  time.Duration
	stalled int
}

// noEvent stands for the time since the last event where there was none.
const noEvent = time.Hour

// elsewhere returns what peers tell of the replica of epoch. The caller holds the
// lock.
func (b *board) elsewhere(epoch int64, now time.Time) elsewhere {
	e := elsewhere{silent: noEvent}
	for _, h := range b.peers {
		w, ok := h.status.Work[epoch]
		if !ok || now.Sub(h.at) > statusAge {
			continue
		}
		e.load = e.load.Add(dispatch.Load{Writing: w.Writing, Waiting: w.Waiting, Tokens: w.Tokens})
		if w.Writing > 0 {
			e.silent = min(e.silent, time.Duration(w.Silent)*time.Millisecond+now.Sub(h.at))
		}
		if w.Stalled {
			e.stalled++
		}
	}
	return e
}
