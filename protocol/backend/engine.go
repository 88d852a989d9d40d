// Package backend is the client for backend servers. It defines the HTTP interface that the adapter
// of a model engine provides.
//
//	GET  /v1/report                  -> fleet.Report
//	POST /v1/orders   fleet.Order    -> fleet.OrderResult
//	POST /v1/generate GenerateRequest -> server-sent events, a Token each
//
// Status 409 in answer to a generate request means that the engine has not started to run it.
package backend

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"go.opentelemetry.io/otel/propagation"

	"github.com/hawthornrock/hawthornrock/state/fleet"
	"github.com/hawthornrock/hawthornrock/transport/rest"
)

// maxEventBytes bounds one server-sent event of an engine.
const maxEventBytes = 1 << 20

// A GenerateRequest asks the head of a replica to generate the tokens of one request from index
// Start on. Prefix is the text of the tokens before Start. Generation, Model, Adapter and Version
// must be those of the engine's assignment.
type GenerateRequest struct {
	Request    string           `json:"request"`
	Attempt    int              `json:"attempt"`
	Generation fleet.Generation `json:"generation"`
	Model      string           `json:"model"`
	Adapter    string           `json:"adapter"`
	Version    string           `json:"version"`
	Prompt     string           `json:"prompt"`
	Seed       uint64           `json:"seed"`
	Start      int              `json:"start"`
	Prefix     string           `json:"prefix"`
	MaxTokens  int              `json:"max_tokens"`
	Priority   fleet.Priority   `json:"priority"`
}

// A Token is one event of a stream. Done is set in the last event of a complete stream, whose Index
// is the number of tokens of the answer.
type Token struct {
	Request string `json:"request"`
	Attempt int    `json:"attempt"`
	Index   int    `json:"index"`
	Text    string `json:"text"`
	Done    bool   `json:"done"`
}

// ErrTruncated means that a stream ended before its last event, or that an event was invalid.
var ErrTruncated = errors.New("stream truncated before its last event")

// A Stream is the stream of events that answers a GenerateRequest.
type Stream interface {
	// Next returns the next event. It returns io.EOF after the last event, and ErrTruncated if the
	// stream ended without it.
	Next() (Token, error)
	// Close cancels the rest of the stream.
	Close() error
}

// An Engine calls the model engine at an address.
type Engine interface {
	Report(ctx context.Context, address string) (fleet.Report, error)
	Order(ctx context.Context, address string, order fleet.Order) (fleet.OrderResult, error)
	Generate(ctx context.Context, address string, request GenerateRequest) (Stream, error)
}

// A Client is an Engine over HTTP.
type Client struct {
	HTTP *http.Client
}

// Generate implements Engine.
func (c *Client) Generate(ctx context.Context, address string, request GenerateRequest) (Stream, error) {
	var (
		body []byte
		req  *http.Request
		resp *http.Response
		err  error
	)
	if body, err = json.Marshal(request); err != nil {
		return nil, fmt.Errorf("encode generate request: %w", err)
	}
	if req, err = http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/generate", bytes.NewReader(body)); err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(req.Header))
	// Without GetBody the transport cannot retry the request on its own.
	req.GetBody = nil
	if resp, err = c.HTTP.Do(req); err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		defer resp.Body.Close()
		message, _ := io.ReadAll(io.LimitReader(resp.Body, maxEventBytes))
		return nil, &rest.StatusError{Status: resp.StatusCode, Message: string(bytes.TrimSpace(message))}
	}
	scanner := bufio.NewScanner(resp.Body)
	scanner.Buffer(nil, maxEventBytes)
	return &eventStream{request: request.Request, attempt: request.Attempt, next: request.Start, body: resp.Body, scanner: scanner}, nil
}

// Order implements Engine.
func (c *Client) Order(ctx context.Context, address string, order fleet.Order) (fleet.OrderResult, error) {
	var result fleet.OrderResult
	if err := rest.Call(ctx, c.HTTP, http.MethodPost, "http://"+address+"/v1/orders", order, &result); err != nil {
		return fleet.OrderResult{}, fmt.Errorf("send order %s: %w", order.ID, err)
	}
	return result, nil
}

// Report implements Engine.
func (c *Client) Report(ctx context.Context, address string) (fleet.Report, error) {
	var report fleet.Report
	if err := rest.Call(ctx, c.HTTP, http.MethodGet, "http://"+address+"/v1/report", nil, &report); err != nil {
		return fleet.Report{}, fmt.Errorf("get report of engine at %s: %w", address, err)
	}
	return report, nil
}

// An eventStream reads tokens from server-sent events. It rejects an event of another request or
// attempt, and one that is out of sequence.
type eventStream struct {
	request string
	attempt int
	next    int
	done    bool
	body    io.ReadCloser
	scanner *bufio.Scanner
}

// Close implements Stream.
func (s *eventStream) Close() error { return s.body.Close() }

// Next implements Stream.
func (s *eventStream) Next() (Token, error) {
	if s.done {
		return Token{}, io.EOF
	}
	for s.scanner.Scan() {
		data, ok := bytes.CutPrefix(s.scanner.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		return s.accept(data)
	}
	if err := s.scanner.Err(); err != nil {
		return Token{}, fmt.Errorf("%w: %w", ErrTruncated, err)
	}
	return Token{}, ErrTruncated
}

// accept decodes one event and checks that it is the next one of this stream.
func (s *eventStream) accept(data []byte) (Token, error) {
	var token Token
	if err := json.Unmarshal(data, &token); err != nil {
		return Token{}, fmt.Errorf("%w: %w", ErrTruncated, err)
	}
	if token.Request != s.request || token.Attempt != s.attempt || token.Index != s.next {
		return Token{}, fmt.Errorf("%w: got event %d of request %s attempt %d, want event %d of request %s attempt %d",
			ErrTruncated, token.Index, token.Request, token.Attempt, s.next, s.request, s.attempt)
	}
	s.done = token.Done
	s.next++
	return token, nil
}
