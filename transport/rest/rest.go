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

const (
	// maxAnswerBytes bounds the body of a response where the caller names no lower limit.
	maxAnswerBytes = 16 << 20
	// maxMessageBytes bounds the part of a body that is kept as the message of an error.
	maxMessageBytes = 4 << 10
)

// ErrTooLarge means that the body of a response exceeds its limit. The connection is closed.
var ErrTooLarge = errors.New("answer is too large")

// A StatusError is a response whose status is not a success. Message is the beginning of its body.
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
	return CallWithin(ctx, client, method, url, maxAnswerBytes, header, request, response)
}

// CallWithin is CallWith for an answer of at most limit bytes.
func CallWithin(ctx context.Context, client *http.Client, method, url string, limit int64, header http.Header, request, response any) error {
	_, err := CallStatus(ctx, client, method, url, limit, header, request, response)
	return err
}

// CallStatus is CallWithin for a caller that needs the status of a success.
func CallStatus(ctx context.Context, client *http.Client, method, url string, limit int64, header http.Header, request, response any) (int, error) {
	var (
		req  *http.Request
		resp *http.Response
		err  error
	)
	if req, err = newRequest(ctx, method, url, request); err != nil {
		return 0, err
	}
	for name, values := range header {
		req.Header[name] = values
	}
	if resp, err = client.Do(req); err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	return resp.StatusCode, decode(resp, limit, response)
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
func Decode(resp *http.Response, response any) error { return decode(resp, maxAnswerBytes, response) }

// decode is Decode for a body of at most limit bytes.
func decode(resp *http.Response, limit int64, response any) error {
	failed := resp.StatusCode >= http.StatusMultipleChoices
	if failed {
		limit = min(limit, maxMessageBytes)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	switch {
	case failed && (err == nil || int64(len(body)) > limit):
		return &StatusError{Status: resp.StatusCode, Message: string(bytes.TrimSpace(body[:min(int64(len(body)), limit)]))}
	case err != nil:
		return fmt.Errorf("read answer: %w", err)
	case int64(len(body)) > limit:
		return fmt.Errorf("status %d, more than %d bytes: %w", resp.StatusCode, limit, ErrTooLarge)
	case response == nil:
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
