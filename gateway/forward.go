package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/hawthornrock/hawthornrock/coordination/budget"
	"github.com/hawthornrock/hawthornrock/platform"
	"github.com/hawthornrock/hawthornrock/state/site"
	"github.com/hawthornrock/hawthornrock/transport/clock"
)

// A sign is how an attempt at a server ended.
type sign int

// The signs.
const (
	// answered means that the answer of the server is there.
	answered sign = iota
	// notRun means proof that the server did not run the request.
	notRun
	// lost means that the request may have run.
	lost
)

// retryBudget returns the budget of second sends to service. The caller holds
// retryMu.
func (g *Gateway) retryBudget(service string) *budget.Retries {
	b, ok := g.retries[service]
	if !ok {
		bounds := g.bounds()
		b = &budget.Retries{Ratio: bounds.RetryRatio, Slack: bounds.RetrySlack, Span: bounds.RetryWindow}
		g.retries[service] = b
	}
	return b
}

// countRequest counts a caller's request for its service.
func (g *Gateway) countRequest(c *call) {
	g.retryMu.Lock()
	defer g.retryMu.Unlock()
	g.retryBudget(c.service.Name).CountRequest(clock.Boot())
}

// unrepeatable hides from the transport that a body is empty or can be read
// again, so that it never sends a request a second time on its own.
type unrepeatable struct{ io.Reader }

// Close implements io.Closer.
func (unrepeatable) Close() error { return nil }

// send sends c to server and returns its answer, whose body the caller closes.
func (g *Gateway) send(ctx context.Context, c *call, server site.Server, lastEvent string) (*http.Response, sign, error) {
	var written atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			written.Store(true)
			if !info.Reused {
				g.metrics.events.Add("connections", 1)
			}
		},
	})
	// Opaque keeps the target as the caller wrote it.
	req := &http.Request{
		Method: c.method, URL: &url.URL{Scheme: "http", Host: server.Address, Opaque: c.target}, Host: c.host,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, ContentLength: int64(len(c.body)),
		Body: unrepeatable{bytes.NewReader(c.body)},
	}
	priority := c.route.Priority
	if c.organisation.HasPriority {
		priority = c.organisation.Priority
	}
	req.Header = platform.EncodeRequest(c.header, platform.ForwardOptions{
		Server: server.ID, Organisation: c.organisation.Name, Remaining: time.Until(c.deadline), Priority: priority, LastEventID: lastEvent,
	})
	transport := g.kept
	if !c.route.Repeatable() {
		transport = g.fresh
	}
	c.sent++
	var (
		resp *http.Response
		err  error
	)
	if resp, err = transport.RoundTrip(req.WithContext(ctx)); err != nil {
		if !written.Load() {
			return nil, notRun, err
		}
		return nil, lost, err
	}
	return g.judge(c, server, resp)
}

// errForeign means that an answer is not the one to the request that was sent.
var errForeign = errors.New("answer belongs to another request")

// errUnsigned means that a success does not come from a backend server.
var errUnsigned = errors.New("success without a server's signature")

// errNotRun means that the server proved not to have run the request.
var errNotRun = errors.New("server did not run the request")

// judge finds out what an answer of server proves.
func (g *Gateway) judge(c *call, server site.Server, resp *http.Response) (*http.Response, sign, error) {
	a := platform.DecodeResponse(resp.StatusCode, resp.Header)
	g.takeNotice(c, server, a.Notice)
	switch {
	case a.Attempt != "" && a.Attempt != c.request.Attempt:
		discard(resp)
		return nil, lost, errForeign
	case a.NotRun:
		g.metrics.events.Add("declined", 1)
		discard(resp)
		return nil, notRun, errNotRun
	case resp.StatusCode < http.StatusMultipleChoices && !a.Signed:
		discard(resp)
		return nil, lost, errUnsigned
	}
	return resp, answered, nil
}

// discard ends a connection that can't be trusted.
func discard(resp *http.Response) {
	// Closing a body before its end closes the connection; a failure leaves nothing
	// to do.
	_ = resp.Body.Close()
}

// promises returns whether status tells callers that the request did not run.
// Such a status of a server without proof is not passed on.
func promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
