// Package rest sends and answers small JSON requests over net/http.
package rest

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"syscall"
)

// maxAnswerBytes bounds the part of a response body that a client reads.
const maxAnswerBytes = 16 << 20

// A StatusError is a response whose status is not a success. Message is its body.
type StatusError struct {
	Status  int
	Message string
}

// Error returns the status and the message.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d: %s", e.Status, e.Message) }

// Call sends request as JSON to url and decodes the JSON body of the answer into response. If
// request is nil, no body is sent; if response is nil, the body is not decoded.
func Call(ctx context.Context, client *http.Client, method, url string, request, response any) error {
	return CallWith(ctx, client, method, url, nil, request, response)
}

// CallWith is Call with additional headers.
func CallWith(ctx context.Context, client *http.Client, method, url string, header http.Header, request, response any) error {
	var (
		req  *http.Request
		resp *http.Response
		err  error
	)
	if req, err = newRequest(ctx, method, url, request); err != nil {
		return err
	}
	for name, values := range header {
		req.Header[name] = values
	}
	if resp, err = client.Do(req); err != nil {
		return err
	}
	defer resp.Body.Close()
	return Decode(resp, response)
}

// Refused returns whether err proves that nothing listens at the called address, so that the request
// was not received.
func Refused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// Reply writes value as JSON with status.
func Reply(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The error is ignored: the client may have disconnected.
	_ = json.NewEncoder(w).Encode(value)
}

// Decode decodes the JSON body of resp into response, or returns a StatusError if resp is not a
// success.
func Decode(resp *http.Response, response any) error {
	var (
		body []byte
		err  error
	)
	if body, err = io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes)); err != nil {
		return fmt.Errorf("read answer: %w", err)
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return &StatusError{Status: resp.StatusCode, Message: string(bytes.TrimSpace(body))}
	}
	if response == nil {
		return nil
	}
	if err = json.Unmarshal(body, response); err != nil {
		return fmt.Errorf("decode answer: %w", err)
	}
	return nil
}

// newRequest returns an HTTP request with request as its JSON body, or without a body if request is
// nil.
func newRequest(ctx context.Context, method, url string, request any) (*http.Request, error) {
	if request == nil {
		return http.NewRequestWithContext(ctx, method, url, http.NoBody)
	}
	var (
		body []byte
		err  error
	)
	if body, err = json.Marshal(request); err != nil {
		return nil, fmt.Errorf("encode request: %w", err)
	}
	var req *http.Request
	if req, err = http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body)); err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	return req, nil
}
