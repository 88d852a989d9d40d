package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/hawthornrock/hawthornrock/coordination/detour"
	"github.com/hawthornrock/hawthornrock/coordination/memory"
	"github.com/hawthornrock/hawthornrock/platform"
	"github.com/hawthornrock/hawthornrock/transport/clock"
)

const (
	// maxDetours bounds the requests that a daemon passes on for others at once.
	maxDetours = 256
	// detourChunkBytes is the size of the largest part of a body that is passed on.
	detourChunkBytes = 32 << 10
)

// serveDetour sends a request of another daemon to its server, once and on this daemon's own path, and
// passes the answer back.
func (g *Gateway) serveDetour(ctx context.Context, q detourRequest, send func(detourPart) error) {
	arrived := clock.Boot()
	if send(detourPart{Received: true}) != nil {
		return
	}
	view := g.view.Load()
	server := view.Servers[q.Address]
	reason := g.refusesDetour(view, q)
	var held holding
	defer g.memory.release(&held)
	if reason == notRefused && !g.holdDetour(&held, q) {
		reason = refusedBusy
	}
	var (
		resp *http.Response
		err  error
	)
	if reason == notRefused {
		g.tracker.requestStarted()
		defer g.tracker.requestEnded()
		g.detours.Add(1)
		defer g.detours.Add(-1)
		if q.Method == "" {
			if !g.testPath(ctx, q.Address) {
				reason = g.refusalOf(ctx, q.Address, arrived, nil)
			}
		} else if clock.Boot()-arrived > q.SendWithin {
			// This daemon was paused.
			reason = refusedBusy
		} else {
			resp, reason, err = g.passOn(ctx, q)
		}
	}
	if reason != notRefused {
		g.metrics.events.Add("detours_refused", 1)
		// An error means that the other daemon has given up.
		_ = send(detourPart{Refusal: reason})
		return
	}
	g.metrics.events.Add("detours_served", 1)
	if resp == nil {
		_ = send(detourPart{End: err == nil, Broken: err != nil})
		return
	}
	defer resp.Body.Close()
	if q.Call {
		g.recordNotice(&call{request: platform.Request{Attempt: platform.AttemptID(q.Header)}}, server, platform.DecodeResponse(resp.StatusCode, resp.Header).Notice)
	}
	if send(detourPart{Status: resp.StatusCode, Header: resp.Header, Framed: isFramed(resp), Own: true}) == nil {
		g.passBack(resp, send)
	}
}

// refusesDetour returns why q must not be passed on as of view.
func (g *Gateway) refusesDetour(view *View, q detourRequest) detourRefusal {
	server := view.Servers[q.Address]
	switch {
	case !g.acceptsRequests() || g.detours.Load() >= maxDetours:
		return refusedBusy
	case server.ID == "" || server.ID != q.Server:
		return refusedServer
	}
	if g.route(view.destination(q.Address)) != detour.Direct {
		if g.paths.linksLost() {
			return refusedLinks
		}
		return refusedUnreachable
	}
	if !q.Call {
		return notRefused
	}
	if !g.canEnd(q.Longest) {
		return refusedBusy
	}
	if server.Draining || view.DomainsOut[server.FailureDomain] || g.tracker.isLeaving(server) || g.tracker.isBackingOff(server) {
		return refusedServer
	}
	return notRefused
}

// passOn sends q to its server. If it returns a refusal, q was not sent; after an error it may have run.
func (g *Gateway) passOn(ctx context.Context, q detourRequest) (*http.Response, detourRefusal, error) {
	target, err := targetURL(q.Address, q.Target)
	if err != nil {
		return nil, refusedBusy, nil //nolint:nilerr // The other daemon has checked the target; the refusal says that nothing was sent.
	}
	req := &http.Request{
		Method: q.Method, URL: target, Host: q.Host,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: q.Header, ContentLength: int64(len(q.Body)),
		Body: newSingleUseBody(q.Body),
	}
	began, transport := clock.Boot(), g.pooledTransport
	if q.SingleUse {
		transport = g.singleUseTransport
	}
	resp, err := transport.sendDirect(req.WithContext(ctx))
	if err != nil && isDialError(err) {
		return nil, g.refusalOf(ctx, q.Address, began, err), nil
	}
	return resp, notRefused, err
}

// refusalOf returns the refusal of a request whose server this daemon tried to connect to from began on, in
// vain, with err.
func (g *Gateway) refusalOf(ctx context.Context, address string, began time.Duration, err error) detourRefusal {
	switch {
	case !g.ownLinksWork(ctx, address, began):
		return refusedLinks
	case isRefused(err):
		return refusedAbsent
	}
	return refusedUnreachable
}

// holdDetour returns whether there is memory for the body of q, and reserves it if so.
func (g *Gateway) holdDetour(h *holding, q detourRequest) bool {
	if int64(len(q.Body)) <= g.uncounted() {
		return true
	}
	g.memory.send(h)
	decision, _ := g.tryReserve(h, int64(len(q.Body)), false)
	return decision == memory.Accept
}

// passBack sends the body of resp in parts, and then whether it is complete.
func (g *Gateway) passBack(resp *http.Response, send func(detourPart) error) {
	buffer := make([]byte, detourChunkBytes)
	for {
		n, err := resp.Body.Read(buffer)
		if n > 0 && send(detourPart{Body: buffer[:n]}) != nil {
			return
		}
		if err != nil {
			complete := errors.Is(err, io.EOF)
			_ = send(detourPart{End: complete, Broken: !complete})
			return
		}
	}
}
