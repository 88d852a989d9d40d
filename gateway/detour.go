package gateway

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/hawthornrock/hawthornrock/coordination/detour"
	"github.com/hawthornrock/hawthornrock/platform"
	"github.com/hawthornrock/hawthornrock/transport/clock"
	"github.com/hawthornrock/hawthornrock/transport/integrity"
	"github.com/hawthornrock/hawthornrock/transport/link"
)

const (
	// detourPath is the URL path at which a daemon accepts requests that it passes on to servers.
	detourPath = "/v1/detour"
	// maxHelpersAsked bounds the daemons that are asked to pass on one request.
	maxHelpersAsked = 3
	// helperAckTimeout bounds the wait for a daemon to confirm that it has received a request.
	helperAckTimeout = 250 * time.Millisecond
)

// A detourRequest asks a daemon to send a request to a server once, on a path of its own.
type detourRequest struct {
	Address string `cbor:"1,keyasint"`
	// Server is the id of the server that the sender knows at that address.
	Server string `cbor:"2,keyasint"`
	// Method is empty to ask only whether the daemon connects to the server.
	Method string      `cbor:"3,keyasint,omitempty"`
	Target string      `cbor:"4,keyasint,omitempty"`
	Host   string      `cbor:"5,keyasint,omitempty"`
	Header http.Header `cbor:"6,keyasint,omitempty"`
	Body   []byte      `cbor:"7,keyasint,omitempty"`
	// SendWithin is how long after its arrival the request may still be sent.
	SendWithin time.Duration `cbor:"8,keyasint,omitempty"`
	// Call means that the request is one of a caller, and not an order or a probe. SingleUse means that
	// it needs a connection of its own.
	Call      bool `cbor:"9,keyasint,omitempty"`
	SingleUse bool `cbor:"10,keyasint,omitempty"`
	// Longest is how long the request may take. Older daemons do not tell it.
	Longest time.Duration `cbor:"11,keyasint,omitempty"`
}

// A detourPart is one message of the answer to a detourRequest: first one with Received, then either
// one with Refusal, or one with the status and the header, the parts of the body, and one with End. One
// with Broken may come in place of each of the last three.
type detourPart struct {
	Received bool `cbor:"1,keyasint,omitempty"`
	// Refusal is why the request was not sent and will not be.
	Refusal detourRefusal `cbor:"2,keyasint,omitempty"`
	Status  int           `cbor:"3,keyasint,omitempty"`
	Header  http.Header   `cbor:"4,keyasint,omitempty"`
	Body    []byte        `cbor:"5,keyasint,omitempty"`
	// End means that the answer of the server is complete, Broken that it is lost or broke off.
	End    bool `cbor:"6,keyasint,omitempty"`
	Broken bool `cbor:"7,keyasint,omitempty"`
	// Framed means that the body has a length or chunks. It comes with Status.
	Framed bool `cbor:"8,keyasint,omitempty"`
	// Own means that the daemon has checked that the answer belongs to the request. Older ones do not.
	Own bool `cbor:"9,keyasint,omitempty"`
}

// A detourRefusal is why a daemon does not pass on a request.
type detourRefusal int

// The reasons for a refusal. They are numbers in messages between daemons.
const (
	// notRefused means that the request is passed on.
	notRefused detourRefusal = iota
	// refusedBusy means that the daemon passes on as many requests as it may, or is leaving.
	refusedBusy
	// refusedLinks means that the daemon does not reach other servers either.
	refusedLinks
	// refusedUnreachable means that the daemon reaches other servers, but not this one.
	refusedUnreachable
	// refusedAbsent is the same where the server's address refuses connections.
	refusedAbsent
	// refusedServer means that the server must not get the request as far as the daemon knows.
	refusedServer
)

// detourRefusalNames are the names of the reasons in logs.
var detourRefusalNames = [...]string{"not refused", "busy", "links lost", "unreachable", "absent", "server not in service"}

// String returns the name of r in logs.
func (r detourRefusal) String() string {
	if r < 0 || int(r) >= len(detourRefusalNames) {
		return "unknown"
	}
	return detourRefusalNames[r]
}

var (
	// errNoPath means that neither this daemon nor another one reaches a server. The request was not
	// sent.
	errNoPath = errors.New("no path to the server")
	// errDetourBroke means that a request was passed to another daemon and its answer was lost.
	errDetourBroke = errors.New("detour broke")
	// errAnswerLost is an errDetourBroke where the other daemon says that the server's connection broke.
	errAnswerLost = fmt.Errorf("%w: connection to the server broke", errDetourBroke)
)

// isHelperLost returns whether err means that a request was passed to another daemon which has not
// answered since.
func isHelperLost(err error) bool {
	return errors.Is(err, errDetourBroke) && !errors.Is(err, errAnswerLost)
}

// A helperRefusedError means that a daemon did not pass on a request.
type helperRefusedError struct{ reason detourRefusal }

// Error returns the reason.
func (e *helperRefusedError) Error() string { return "daemon refused a detour: " + e.reason.String() }

// A serverTransport sends requests to backend servers: on the daemon's own path or, where that is lost,
// through another daemon.
type serverTransport struct {
	gateway *Gateway
	// direct keeps connections for further requests, unless they are for one each, fresh never does.
	direct, fresh *http.Transport
}

// newServerTransport returns a serverTransport whose connections dial opens.
func (g *Gateway) newServerTransport(dial dialFunc, singleUse bool) *serverTransport {
	dial = wrapServerConns(integrity.WrapDial(dial))
	return &serverTransport{gateway: g, direct: newTransport(dial, singleUse), fresh: newTransport(dial, true)}
}

// RoundTrip implements http.RoundTripper. A request that fails with errNoPath or a dial error was not
// sent.
func (t *serverTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	g := t.gateway
	to := g.view.Load().destination(req.URL.Host)
	var direct error
	switch g.route(to) {
	case detour.Closed:
		return nil, errNoPath
	case detour.Direct:
		var (
			resp *http.Response
			err  error
		)
		if resp, err = t.sendDirect(req); err == nil || !isDialError(err) || req.Context().Err() != nil {
			return resp, err
		}
		direct = err
	case detour.Around:
	}
	return t.sendAround(req, to, direct)
}

// sendAround sends req to a server through another daemon. direct is the error with which this daemon's own path
// failed just now, nil if it was lost before.
func (t *serverTransport) sendAround(req *http.Request, to detour.Server, direct error) (*http.Response, error) {
	g, ctx := t.gateway, req.Context()
	a := attemptOf(ctx)
	if a != nil {
		a.around.Store(true)
	}
	q := detourRequest{
		// The address may have passed to another server since the choice.
		Address: to.Address, Server: platform.ServerID(req.Header), Method: req.Method, Target: cmp.Or(req.URL.Opaque, req.URL.RequestURI()),
		Host: req.Host, Header: req.Header, SendWithin: serverDialTimeout, Call: a != nil, SingleUse: t.firstTransport(req) == t.fresh,
	}
	if a != nil {
		q.Longest = a.longest(ctx, g.tracker.slowestRatio())
	}
	var (
		body io.Reader
		err  error
	)
	if body, err = newBody(req); err == nil {
		q.Body, err = io.ReadAll(body)
	}
	if err != nil {
		return nil, fmt.Errorf("%w: read request body: %w", errNoPath, err)
	}
	sentAt := clock.Boot()
	answer, reason := g.ask(ctx, to, q)
	if a != nil {
		a.helper = answer.helper
	}
	if reason != nil {
		if errors.Is(reason, errDetourBroke) || ctx.Err() != nil {
			return nil, reason
		}
		return nil, g.unreachable(to, direct, reason)
	}
	// Daemons of older builds do not check the responses that they pass on.
	if err = integrity.Check(req.Header, answer.head.Status, answer.head.Header); err != nil {
		answer.exchange.Abort()
		return nil, fmt.Errorf("%w: %w through %s", errAnswerLost, err, answer.helper)
	}
	if answer.head.Status != http.StatusMisdirectedRequest {
		g.recordLimit(to.Address, q.Server, decodeLimit(sentAt, answer.head.Header, a != nil))
	}
	if !answer.head.Own && platform.OriginOf(req.Method, req.Header, answer.head.Header, answer.head.Status, false) != platform.Own {
		// The connection to the server is the other daemon's, which may have used it before.
		answer.exchange.Abort()
		return nil, fmt.Errorf("%w: status %d through %s", platform.ErrForeignResponse, answer.head.Status, answer.helper)
	}
	var encoding []string
	if answer.head.Framed {
		encoding = []string{"chunked"}
	}
	return &http.Response{
		Status: http.StatusText(answer.head.Status), StatusCode: answer.head.Status, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: answer.head.Header, ContentLength: -1, TransferEncoding: encoding, Request: req, Body: &detourBody{ctx: ctx, exchange: answer.exchange},
	}, nil
}

// unreachable records that no daemon reaches s for the given reason, and returns the error for its request. A refused connection is only believed if another daemon says the same.
func (g *Gateway) unreachable(s detour.Server, direct, reason error) error {
	g.paths.mu.Lock()
	g.paths.paths.Unreachable(clock.Boot(), s)
	g.paths.mu.Unlock()
	var refused *helperRefusedError
	asked := errors.As(reason, &refused)
	switch {
	case direct == nil:
		return fmt.Errorf("%w: %w", errNoPath, reason)
	case !asked || refused.reason == refusedAbsent:
		return direct
	}
	return fmt.Errorf("%w: %s: %w", errNoPath, direct.Error(), reason)
}

// A detourAnswer is the beginning of an answer that the daemon with the front address helper passes on.
type detourAnswer struct {
	helper   string
	exchange *link.Exchange[detourRequest, detourPart]
	head     detourPart
}

// ask asks other daemons, one after the other, to pass q on to a server, and returns the beginning of the server's
// answer. Unless the error is errDetourBroke, q was not sent.
func (g *Gateway) ask(ctx context.Context, to detour.Server, q detourRequest) (detourAnswer, error) {
	var (
		asked  []string
		answer detourAnswer
		last   = errNoPath
		self   = detour.Helper{Name: g.settings.Front, FailureDomain: g.settings.FailureDomain}
	)
	for range maxHelpersAsked {
		view := g.view.Load()
		g.paths.mu.Lock()
		helper, ok := g.paths.helpers.Choose(clock.Boot(), self, to, g.helperCandidates(view, asked), rand.IntN)
		g.paths.mu.Unlock()
		if !ok {
			break
		}
		asked = append(asked, helper.Name)
		answer.helper = helper.Name
		var err error
		if answer.exchange, answer.head, err = g.askHelper(ctx, view, helper.Name, q); err == nil {
			g.recordReached(q.Address, helper.Name)
			g.metrics.events.Add("detours", 1)
			return answer, nil
		}
		var refused *helperRefusedError
		if last = err; errors.As(err, &refused) && (refused.reason == refusedServer || refused.reason == refusedAbsent || refused.reason == refusedUnreachable) || errors.Is(err, errAnswerLost) {
			// The daemon's own links work: others are no better.
			break
		}
		g.paths.mu.Lock()
		g.paths.helpers.Pause(clock.Boot(), helper.Name, to.FailureDomain)
		g.paths.mu.Unlock()
		if ctx.Err() != nil || errors.Is(err, errDetourBroke) {
			break
		}
	}
	return answer, last
}

// askHelper asks the daemon of view with the given front address to pass q on.
func (g *Gateway) askHelper(ctx context.Context, view *View, front string, q detourRequest) (*link.Exchange[detourRequest, detourPart], detourPart, error) {
	exchanger := g.exchanger(view, front)
	if exchanger == nil {
		return nil, detourPart{}, errNoPath
	}
	ackCtx, cancel := context.WithTimeout(context.Background(), helperAckTimeout)
	defer cancel()
	// Without the values of ctx: its trace hooks are about connections to servers.
	defer context.AfterFunc(ctx, cancel)()
	x, err := exchanger.Begin(ackCtx, q)
	switch {
	case errors.Is(err, link.ErrNotSent):
		return nil, detourPart{}, fmt.Errorf("%w: %w", errNoPath, err)
	case err != nil:
		return nil, detourPart{}, fmt.Errorf("%w: %w", errDetourBroke, err)
	}
	var part detourPart
	if part, err = x.Next(ackCtx); err == nil && part.Received {
		part, err = x.Next(ctx)
	}
	switch {
	case err != nil:
		x.Abort()
		return nil, detourPart{}, fmt.Errorf("%w: %w", errDetourBroke, err)
	case part.Broken:
		x.End()
		return nil, detourPart{}, errAnswerLost
	case part.Refusal != notRefused:
		x.End()
		return nil, detourPart{}, &helperRefusedError{reason: part.Refusal}
	case part.End:
		x.End()
	}
	return x, part, nil
}

// testAround returns whether another daemon connects to the server at address, and records the result.
func (g *Gateway) testAround(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	view := g.view.Load()
	to := view.destination(address)
	_, err := g.ask(ctx, to, detourRequest{Address: address, Server: view.Servers[address].ID})
	if err != nil {
		g.paths.mu.Lock()
		g.paths.paths.Unreachable(clock.Boot(), to)
		g.paths.mu.Unlock()
	}
	return err == nil
}

// A detourBody is the body of an answer that another daemon passes on.
type detourBody struct {
	ctx      context.Context //nolint:containedctx // The body is read under the context of its request.
	exchange *link.Exchange[detourRequest, detourPart]
	unread   []byte
	ended    bool
}

// Read implements io.Reader. Only a part with End is the end of the answer.
func (b *detourBody) Read(p []byte) (int, error) {
	for len(b.unread) == 0 {
		if b.ended {
			return 0, io.EOF
		}
		part, err := b.exchange.Next(b.ctx)
		if err != nil {
			return 0, fmt.Errorf("%w: %w", errDetourBroke, err)
		}
		b.unread, b.ended = part.Body, part.End || part.Broken
		if b.ended {
			b.exchange.End()
		}
		if part.Broken {
			return 0, errAnswerLost
		}
	}
	n := copy(p, b.unread)
	b.unread = b.unread[n:]
	return n, nil
}

// Close implements io.Closer. Before the end of the answer it cancels the request.
func (b *detourBody) Close() error {
	if !b.ended {
		b.ended = true
		b.exchange.Abort()
	}
	return nil
}

// exchanger returns the links for detours through the daemon of view with the given front address; nil if
// there is none.
func (g *Gateway) exchanger(view *View, front string) *link.Exchanger[detourRequest, detourPart] {
	h, ok := view.peer(front)
	group := g.linkGroup.Load()
	if !ok || group == nil {
		return nil
	}
	ps := &g.peers
	ps.mu.Lock()
	defer ps.mu.Unlock()
	if ps.exchangers == nil {
		ps.exchangers = make(map[string]*link.Exchanger[detourRequest, detourPart])
	}
	e, ok := ps.exchangers[h.Incarnation]
	if !ok {
		e = &link.Exchanger[detourRequest, detourPart]{
			URL: "ws://" + h.Peer + detourPath, Secret: h.Secret, Client: g.peerClient, Counters: g.links, Tasks: group,
		}
		ps.exchangers[h.Incarnation] = e
	}
	return e
}

// closeIdleExchangers closes the links for detours that are no longer used.
func (ps *peerState) closeIdleExchangers(v *View) {
	for incarnation, e := range ps.exchangers {
		if _, listed := v.Peers[incarnation]; e.CloseIdle() == 0 && !listed {
			e.Close()
			delete(ps.exchangers, incarnation)
		}
	}
}
