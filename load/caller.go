// Package load calls a running system as its callers do, and measures what they
// get: it asks which addresses to use, tries another one when a request was not
// run, and checks each answer whole.
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
	// outcomeHeader tells what became of a request.
	outcomeHeader = "Hawthornrock-Outcome"
	// maxTries bounds how often a caller sends a request that was not run.
	maxTries = 6
	// maxEventBytes bounds one server-sent event.
	maxEventBytes = 1 << 20
)

// A Caller is one organisation's client. Addresses are those to begin with; it
// keeps the directory that an entry instance answers with.
type Caller struct {
	Addresses []string
	Key       string
	HTTP      *http.Client
	// Pinned keeps the caller to Addresses, without a directory.
	Pinned bool
	// Random chooses addresses; it must be set.
	Random *rand.Rand

	mu      sync.Mutex
	entries []weighted
	expiry  time.Time
}

// A weighted address is one of the directory.
type weighted struct {
	Address string `json:"address"`
	Weight  int    `json:"weight"`
}

// A directory is the answer to GET /v1/entries.
type directory struct {
	Entries       []weighted `json:"entries"`
	MaxAgeSeconds float64    `json:"max_age_seconds"`
}

// An Answer is what a caller got for one request. Whole means that the answer
// ended as a whole one does; Text is what came of it. FirstToken and Gaps are set
// where the answer was Streamed.
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

// Chat asks deployment for maxTokens tokens as a stream.
func (c *Caller) Chat(ctx context.Context, deployment, content string, maxTokens int) Answer {
	body, err := json.Marshal(map[string]any{
		"model": deployment, "stream": true, "max_tokens": maxTokens,
		"messages": []map[string]string{{"role": "user", "content": content}},
	})
	if err != nil {
		return Answer{Err: err}
	}
	// A model request may be repeated, so a broken stream is asked for again.
	return c.do(ctx, func(address string) Answer { return c.chat(ctx, address, body) }, outcome.NotRun, outcome.Failed)
}

// Prompt returns the prompt that an engine sees for Chat with content.
func Prompt(content string) string { return "user: " + content + "\n" }

// Service calls a plain service once at each address until it was run.
func (c *Caller) Service(ctx context.Context, method, deployment, path string, header http.Header, body []byte) Answer {
	return c.do(ctx, func(address string) Answer {
		return c.service(ctx, method, "http://"+address+"/services/"+deployment+path, header, body)
	}, outcome.NotRun)
}

// do makes try at addresses until its outcome is none of again.
func (c *Caller) do(ctx context.Context, try func(address string) Answer, again ...outcome.Outcome) Answer {
	started := time.Now()
	var answer Answer
	for n := 1; n <= maxTries; n++ {
		address := c.choose(ctx)
		began := time.Since(started)
		answer = try(address)
		answer.Tries, answer.Total = n, time.Since(started)
		answer.FirstToken += began
		if !slices.Contains(again, answer.Outcome) || ctx.Err() != nil {
			return answer
		}
		c.forget(address)
		clock.Sleep(ctx, time.Duration(n)*20*time.Millisecond)
	}
	return answer
}

// chat sends one request for a stream.
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
		return lost(err, true)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return refused(resp)
	}
	return readStream(resp, sent)
}

// choose returns an address of the directory by weight, asking for a new one
// when it is too old.
func (c *Caller) choose(ctx context.Context) string {
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

// forget drops an address that did not serve until the next directory.
func (c *Caller) forget(address string) {
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

// refresh asks the known addresses for the directory. The caller holds the lock.
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

// service calls a plain service once.
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
		return lost(err, method == http.MethodGet)
	}
	defer resp.Body.Close()
	if data, err = io.ReadAll(resp.Body); err != nil {
		return lost(err, method == http.MethodGet)
	}
	o := outcome.Outcome(resp.Header.Get(outcomeHeader))
	return Answer{Outcome: o, Status: resp.StatusCode, Text: string(data), Whole: o == outcome.Completed}
}

// lost returns the answer to a request whose connection broke. A request that
// may be repeated, or surely never left, counts as not run.
func lost(err error, idempotent bool) Answer {
	if idempotent || rest.Refused(err) {
		return Answer{Outcome: outcome.NotRun, Err: err}
	}
	return Answer{Outcome: outcome.Unknown, Err: err}
}

// readStream reads a stream of chat pieces to its end.
func readStream(resp *http.Response, sent time.Time) Answer {
	a := Answer{Streamed: true, Status: resp.StatusCode, Outcome: outcome.Failed, Err: errors.New("the stream broke off")}
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
		piece, failure := pieceText(data)
		if failure != nil {
			a.Err = failure
			break
		}
		if piece == "" {
			continue
		}
		at := time.Now()
		if last.IsZero() {
			a.FirstToken = at.Sub(sent)
		} else {
			a.Gaps = append(a.Gaps, at.Sub(last))
		}
		last = at
		text.WriteString(piece)
	}
	a.Text = text.String()
	return a
}

// pieceText returns the text of one piece of a stream, or the error that it
// reports.
func pieceText(data string) (string, error) {
	var piece struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
		Error *struct {
			Message string `json:"message"`
		} `json:"error"`
	}
	if err := json.Unmarshal([]byte(data), &piece); err != nil {
		return "", fmt.Errorf("decode piece: %w", err)
	}
	if piece.Error != nil {
		return "", errors.New(piece.Error.Message)
	}
	if len(piece.Choices) == 0 {
		return "", nil
	}
	return piece.Choices[0].Delta.Content, nil
}

// refused returns the answer to a request that was answered with an error.
func refused(resp *http.Response) Answer {
	message, _ := io.ReadAll(io.LimitReader(resp.Body, maxEventBytes))
	return Answer{
		Outcome: outcome.Outcome(resp.Header.Get(outcomeHeader)), Status: resp.StatusCode,
		Err: &rest.StatusError{Status: resp.StatusCode, Message: string(bytes.TrimSpace(message))},
	}
}
