package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/hawthornrock/hawthornrock/coordination/budget"
	"github.com/hawthornrock/hawthornrock/platform"
	"github.com/hawthornrock/hawthornrock/state/site"
	"github.com/hawthornrock/hawthornrock/transport/clock"
)

// An attemptResult is how an attempt at a server ended.
type attemptResult int

// The results of an attempt.
const (
	// answered means that the server sent an answer.
	answered attemptResult = iota
	// notRun means that there is proof that the server did not run the request.
	notRun
	// lost means that there is no valid answer and the request may have run.
	lost
)

// retryBudget returns the retry budget of service at now. The caller holds retryMu.
func (g *Gateway) retryBudget(now time.Duration, service string) *budget.Retries {
	b, ok := g.retries[service]
	if !ok {
		b = &budget.Retries{}
		g.retries[service] = b
	}
	bounds := g.bounds()
	b.SetBounds(now, bounds.RetryRatio, bounds.RetrySlack, bounds.RetryWindow)
	return b
}

// countRequest adds a caller's request to the retry budget of its service.
func (g *Gateway) countRequest(c *call) {
	g.retryMu.Lock()
	defer g.retryMu.Unlock()
	now := clock.Boot()
	g.retryBudget(now, c.service.Name).CountRequest(now)
}

// singleUseBody hides from the transport that a body is empty or can be read again, so that it
// never resends a request on its own.
type singleUseBody struct {
	io.Reader
	content []byte
}

// newSingleUseBody returns a body with the given content.
func newSingleUseBody(content []byte) singleUseBody {
	return singleUseBody{Reader: bytes.NewReader(content), content: content}
}

// newBody returns the body of req, of which nothing was sent, from its beginning.
func newBody(req *http.Request) (io.ReadCloser, error) {
	if body, ok := req.Body.(singleUseBody); ok {
		return newSingleUseBody(body.content), nil
	}
	if req.GetBody == nil {
		return http.NoBody, nil
	}
	return req.GetBody()
}

// Close implements io.Closer.
func (singleUseBody) Close() error { return nil }

// send sends c to server and returns the response, whose body the caller closes.
func (g *Gateway) send(ctx context.Context, c *call, server site.Server, lastEventID string) (*http.Response, attemptResult, error) {
	var written atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			written.Store(true)
			if !info.Reused {
				g.metrics.events.Add("connections", 1)
			}
		},
	})
	target, err := targetURL(server.Address, c.target)
	if err != nil {
		return nil, notRun, err
	}
	req := &http.Request{
		Method: c.method, URL: target, Host: c.host,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, ContentLength: int64(len(c.body)),
		Body: newSingleUseBody(c.body),
	}
	req.Header = platform.EncodeRequest(c.header, platform.ForwardOptions{
		Server: server.ID, Organisation: c.organisation.Name, Remaining: time.Until(c.deadline), Priority: c.rank(), LastEventID: lastEventID,
	})
	transport := g.pooledTransport
	if !c.route.Repeatable() {
		transport = g.singleUseTransport
	}
	var resp *http.Response
	if resp, err = transport.RoundTrip(req.WithContext(ctx)); err != nil {
		notSent := !written.Load() || errors.Is(err, errNotWritten) || isUnreached(err)
		if notSent && !errors.Is(err, errDetourBroke) && !errors.Is(err, platform.ErrForeignResponse) {
			return nil, notRun, err
		}
		return nil, lost, err
	}
	return g.classifyResponse(c, server, resp)
}

// errUnsigned means that a success response does not carry the signature of a backend server.
var errUnsigned = errors.New("success response without a server signature")

// errNotRun means that the server proved that it did not run the request.
var errNotRun = errors.New("server did not run the request")

// classifyResponse determines from a response of server to c whether the request ran.
func (g *Gateway) classifyResponse(c *call, server site.Server, resp *http.Response) (*http.Response, attemptResult, error) {
	a := platform.DecodeResponse(resp.StatusCode, resp.Header)
	g.recordNotice(c, server, a.Notice)
	switch {
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

// discard closes a connection that cannot be trusted.
func discard(resp *http.Response) {
	// Closing a body before its end closes the connection; an error needs no handling.
	_ = resp.Body.Close()
}

// impliesNotRun returns whether status tells callers that the request did not run. Such a status is
// not forwarded from a server without proof.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
