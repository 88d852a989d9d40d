// Package load is a load generator that behaves like a real client and measures the responses: it
// fetches the directory of entry addresses, retries at another address when a request was not run,
// and checks that each response is complete.
package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hawthornrock/hawthornrock/coordination/outcome"
	"github.com/hawthornrock/hawthornrock/transport/clock"
	"github.com/hawthornrock/hawthornrock/transport/rest"
)

const (
	// outcomeHeader is the response header that carries the outcome of a request.
	outcomeHeader = "Hawthornrock-Outcome"
	// maxTries limits how often a caller sends the same request, the first attempt included.
	maxTries = 6
	// maxEventBytes limits the size of a server-sent event and of an error body.
	maxEventBytes = 1 << 20
)

// A Caller is the client of one organisation. It starts with Addresses and caches the directory that
// an entry instance returns.
type Caller struct {
	Addresses []string
	Key       string
	HTTP      *http.Client
	// Pinned restricts the caller to Addresses; it does not fetch the directory.
	Pinned bool
	// Random selects addresses. It must be set.
	Random *rand.Rand

	mu      sync.Mutex
	entries []weightedAddress
	expiry  time.Time
}

// A weightedAddress is an entry of the directory.
type weightedAddress struct {
	Address string `json:"address"`
	Weight  int    `json:"weight"`
}

// A directory is the response to GET /v1/entries.
type directory struct {
	Entries       []weightedAddress `json:"entries"`
	MaxAgeSeconds float64           `json:"max_age_seconds"`
}

// An Answer is the result of one request, after any retries. Whole means that the response was
// complete; otherwise Text may hold only the part that arrived. FirstToken and Gaps are meaningful
// only if the response was Streamed.
type Answer struct {
	Outcome    outcome.Outcome
	Status     int
	Text       string
	Whole      bool
	Streamed   bool
	Tries      int
	FirstToken time.Duration
	Total      time.Duration
	Gaps       []time.Duration
	Err        error
}

// Chat sends a streaming chat completion request for maxTokens tokens to deployment.
func (c *Caller) Chat(ctx context.Context, deployment, content string, maxTokens int) Answer {
	body, err := json.Marshal(map[string]any{
		"model": deployment, "stream": true, "max_tokens": maxTokens,
		"messages": []map[string]string{{"role": "user", "content": content}},
	})
	if err != nil {
		return Answer{Err: err}
	}
	// Model requests are idempotent, so a broken stream is retried from the start.
	return c.do(ctx, func(address string) Answer { return c.chat(ctx, address, body) }, outcome.NotRun, outcome.Failed)
}

// Prompt returns the prompt that an engine receives for a Chat request with content.
func Prompt(content string) string { return "user: " + content + "\n" }

// Service calls a plain service. It retries at other addresses only while the call was not run.
func (c *Caller) Service(ctx context.Context, method, deployment, path string, header http.Header, body []byte) Answer {
	return c.do(ctx, func(address string) Answer {
		return c.service(ctx, method, "http://"+address+"/services/"+deployment+path, header, body)
	}, outcome.NotRun)
}

// do calls try with successive addresses until the outcome is not in retryable or maxTries is reached.
func (c *Caller) do(ctx context.Context, try func(address string) Answer, retryable ...outcome.Outcome) Answer {
	started := time.Now()
	var answer Answer
	for n := 1; n <= maxTries; n++ {
		address := c.pickAddress(ctx)
		began := time.Since(started)
		answer = try(address)
		answer.Tries, answer.Total = n, time.Since(started)
		answer.FirstToken += began
		if !slices.Contains(retryable, answer.Outcome) || ctx.Err() != nil {
			return answer
		}
		c.dropAddress(address)
		clock.Sleep(ctx, time.Duration(n)*20*time.Millisecond)
	}
	return answer
}

// chat makes a single attempt at a streaming request.
func (c *Caller) chat(ctx context.Context, address string, body []byte) Answer {
	var (
		req  *http.Request
		resp *http.Response
		err  error
	)
	if req, err = http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", bytes.NewReader(body)); err != nil {
		return Answer{Err: err}
	}
	req.Header.Set("Authorization", "Bearer "+c.Key)
	sent := time.Now()
	if resp, err = c.HTTP.Do(req); err != nil {
		return connectionFailure(err, true)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errorResponse(resp)
	}
	return readStream(resp, sent)
}

// pickAddress returns a random address of the directory, by weight. It fetches the directory again
// once it has expired, and falls back to Addresses if the directory is empty.
func (c *Caller) pickAddress(ctx context.Context) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.Pinned && time.Now().After(c.expiry) {
		c.refresh(ctx)
	}
	total := 0
	for _, e := range c.entries {
		total += e.Weight
	}
	if total == 0 {
		return c.Addresses[c.Random.IntN(len(c.Addresses))]
	}
	n := c.Random.IntN(total)
	for _, e := range c.entries {
		if n -= e.Weight; n < 0 {
			return e.Address
		}
	}
	return c.entries[0].Address
}

// dropAddress removes an address that failed, until the directory is fetched again.
func (c *Caller) dropAddress(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := c.entries[:0]
	for _, e := range c.entries {
		if e.Address != address {
			kept = append(kept, e)
		}
	}
	c.entries = kept
}

// refresh fetches the directory from the first of Addresses that returns one, in random order. The
// caller must hold c.mu.
func (c *Caller) refresh(ctx context.Context) {
	for _, i := range c.Random.Perm(len(c.Addresses)) {
		var d directory
		attempt, cancel := context.WithTimeout(ctx, time.Second)
		err := rest.Call(attempt, c.HTTP, http.MethodGet, "http://"+c.Addresses[i]+"/v1/entries", nil, &d)
		cancel()
		if err == nil && len(d.Entries) > 0 {
			c.entries = d.Entries
			c.expiry = time.Now().Add(time.Duration(d.MaxAgeSeconds * float64(time.Second)))
			return
		}
	}
}

// service makes a single attempt at a call of a plain service.
func (c *Caller) service(ctx context.Context, method, url string, header http.Header, body []byte) Answer {
	var (
		req  *http.Request
		resp *http.Response
		data []byte
		err  error
	)
	if req, err = http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body)); err != nil {
		return Answer{Err: err}
	}
	for name, values := range header {
		req.Header[name] = values
	}
	req.Header.Set("Authorization", "Bearer "+c.Key)
	if resp, err = c.HTTP.Do(req); err != nil {
		return connectionFailure(err, method == http.MethodGet)
	}
	defer resp.Body.Close()
	if data, err = io.ReadAll(resp.Body); err != nil {
		return connectionFailure(err, method == http.MethodGet)
	}
	o := outcome.Outcome(resp.Header.Get(outcomeHeader))
	return Answer{Outcome: o, Status: resp.StatusCode, Text: string(data), Whole: o == outcome.Completed}
}

// connectionFailure returns the Answer for a request whose connection failed. The outcome is NotRun if
// the request is idempotent or the connection was refused, so that nothing was sent; otherwise it is
// Unknown.
func connectionFailure(err error, idempotent bool) Answer {
	if idempotent || rest.Refused(err) {
		return Answer{Outcome: outcome.NotRun, Err: err}
	}
	return Answer{Outcome: outcome.Unknown, Err: err}
}

// readStream reads a stream of chat completion chunks to its end.
func readStream(resp *http.Response, sent time.Time) Answer {
	a := Answer{Streamed: true, Status: resp.StatusCode, Outcome: outcome.Failed, Err: errors.New("stream ended before the [DONE] event")}
	var (
		text strings.Builder
		last time.Time
	)
	scanner := bufio.NewScanner(resp.Body)
	scanner.Buffer(nil, maxEventBytes)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			a.Outcome, a.Whole, a.Err = outcome.Completed, true, nil
			continue
		}
		chunk, failure := chunkText(data)
		if failure != nil {
			a.Err = failure
			break
		}
		if chunk == "" {
			continue
		}
		at := time.Now()
		if last.IsZero() {
			a.FirstToken = at.Sub(sent)
		} else {
			a.Gaps = append(a.Gaps, at.Sub(last))
		}
		last = at
		text.WriteString(chunk)
	}
	a.Text = text.String()
	return a
}

// chunkText returns the text of one chunk of a stream, or the error that the chunk reports.
func chunkText(data string) (string, error) {
	var chunk struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
		Error *struct {
			Message string `json:"message"`
		} `json:"error"`
	}
	if err := json.Unmarshal([]byte(data), &chunk); err != nil {
		return "", fmt.Errorf("decode chat completion chunk: %w", err)
	}
	if chunk.Error != nil {
		return "", errors.New(chunk.Error.Message)
	}
	if len(chunk.Choices) == 0 {
		return "", nil
	}
	return chunk.Choices[0].Delta.Content, nil
}

// errorResponse returns the Answer for a response with an error status.
func errorResponse(resp *http.Response) Answer {
	message, _ := io.ReadAll(io.LimitReader(resp.Body, maxEventBytes))
	return Answer{
		Outcome: outcome.Outcome(resp.Header.Get(outcomeHeader)), Status: resp.StatusCode,
		Err: &rest.StatusError{Status: resp.StatusCode, Message: string(bytes.TrimSpace(message))},
	}
}
