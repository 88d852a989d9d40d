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

// maxAnswerBytes bounds what a client reads of one answer.
const maxAnswerBytes = 16 << 20

// A StatusError is an answer with a status that is not a success.
type StatusError struct {
	Status  int
	Message string
}

// Error returns the status and the message that came with it.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d: %s", e.Status, e.Message) }

// Call sends request as JSON by method to url and decodes the answer into
// response. A nil request has no body; a nil response is not decoded.
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

// Refused returns whether err proves that nothing listens at the address that
// was called, so that the request was not received.
func Refused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// Reply writes value as JSON with status.
func Reply(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The client may be gone, and then nobody is left to tell.
	_ = json.NewEncoder(w).Encode(value)
}

// Decode reads the answer into response.
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

// newRequest returns the HTTP request for a JSON request.
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
