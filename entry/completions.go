package entry

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/hawthornrock/hawthornrock/coordination/outcome"
	"github.com/hawthornrock/hawthornrock/coordination/quarantine"
	"github.com/hawthornrock/hawthornrock/state/fleet"
	"github.com/hawthornrock/hawthornrock/transport/rest"
)

// defaultMaxTokens is the maximum length of an answer if the request does not set one.
const defaultMaxTokens = 16

// A chatMessage is one message of a chat. Content is a JSON string or a list of text parts.
type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// A contentPart is one part of the content of a message.
type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// A completionRequest holds the fields of an OpenAI chat or completion request that this program
// uses.
type completionRequest struct {
	Model               string        `json:"model"`
	Messages            []chatMessage `json:"messages"`
	Prompt              string        `json:"prompt"`
	Stream              bool          `json:"stream"`
	N                   *int          `json:"n"`
	MaxTokens           *int          `json:"max_tokens"`
	MaxCompletionTokens *int          `json:"max_completion_tokens"`
}

// A completion is a response of the OpenAI API, or one chunk of a streamed response.
type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

// A choice is the only choice of a completion.
type choice struct {
	Index        int               `json:"index"`
	Message      *assistantMessage `json:"message,omitempty"`
	Delta        *assistantMessage `json:"delta,omitempty"`
	Text         *string           `json:"text,omitempty"`
	FinishReason *string           `json:"finish_reason"`
}

// An assistantMessage is a message of the assistant, or the delta of one in a streamed response.
type assistantMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// A usage holds the token counts of a response.
type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// A completionWriter writes the answer to a chat or completion request, streamed or as one JSON
// object.
type completionWriter struct {
	daemon     *Daemon
	w          http.ResponseWriter
	controller *http.ResponseController
	chat       bool
	stream     bool
	headerSent bool
	id         string
	model      string
	created    int64
	text       strings.Builder
	tokenCount int
}

// serveChat answers POST /v1/chat/completions.
func (d *Daemon) serveChat(w http.ResponseWriter, r *http.Request, c call) {
	d.serveText(w, r, c, true)
}

// serveCompletion answers POST /v1/completions.
func (d *Daemon) serveCompletion(w http.ResponseWriter, r *http.Request, c call) {
	d.serveText(w, r, c, false)
}

// serveText answers a chat or completion request.
func (d *Daemon) serveText(w http.ResponseWriter, r *http.Request, c call, chat bool) {
	var (
		g       *generateCall
		request completionRequest
		refused *refusal
	)
	if g, request, refused = d.newGenerateCall(r, c, chat); refused != nil {
		d.refuse(w, refused)
		return
	}
	out := &completionWriter{
		daemon: d, w: w, controller: http.NewResponseController(w), chat: chat, stream: request.Stream,
		id: c.requestID, model: request.Model, created: c.startedAt.Unix(),
	}
	g.emit = out.addToken
	if refused = d.generate(r.Context(), g); refused != nil {
		out.sendError(refused)
		return
	}
	out.finish()
}

// newGenerateCall parses and validates r and returns the call that generates its answer.
func (d *Daemon) newGenerateCall(r *http.Request, c call, chat bool) (*generateCall, completionRequest, *refusal) {
	var (
		request completionRequest
		body    []byte
		refused *refusal
	)
	if body, refused = d.readBody(r); refused != nil {
		return nil, request, refused
	}
	if err := json.Unmarshal(body, &request); err != nil {
		return nil, request, invalid(http.StatusBadRequest, "invalid_json", "", "the body is not a valid request: "+err.Error())
	}
	g := &generateCall{call: c, maxTokens: defaultMaxTokens, deadline: c.startedAt.Add(d.settings.Limits.RequestTimeout)}
	if g.prompt, refused = request.promptText(chat); refused != nil {
		return nil, request, refused
	}
	if g.maxTokens, refused = request.tokenLimit(d.settings.Limits.Tokens); refused != nil {
		return nil, request, refused
	}
	if g.deployment, refused = d.lookUpDeployment(c.organisation, request.Model, fleet.KindEngine); refused != nil {
		return nil, request, refused
	}
	g.fingerprint = quarantine.FingerprintOf(c.organisation, request.Model, []byte(g.prompt))
	return g, request, nil
}

// promptText returns the prompt of r. For a chat, it joins all messages, each after its role.
func (r completionRequest) promptText(chat bool) (string, *refusal) {
	if r.N != nil && *r.N != 1 {
		return "", invalid(http.StatusBadRequest, "unsupported", "n", "only one choice is given")
	}
	if !chat {
		return r.Prompt, nil
	}
	if len(r.Messages) == 0 {
		return "", invalid(http.StatusBadRequest, "missing", "messages", "at least one message is required")
	}
	var b strings.Builder
	for i, m := range r.Messages {
		content, ok := m.text()
		if !ok {
			return "", invalid(http.StatusBadRequest, "unsupported", fmt.Sprintf("messages[%d].content", i), "only text is understood")
		}
		fmt.Fprintf(&b, "%s: %s\n", m.Role, content)
	}
	return b.String(), nil
}

// tokenLimit returns the maximum number of tokens that r asks for, or a refusal if it is not between
// 1 and limit.
func (r completionRequest) tokenLimit(limit int) (int, *refusal) {
	n := defaultMaxTokens
	if r.MaxTokens != nil {
		n = *r.MaxTokens
	}
	if r.MaxCompletionTokens != nil {
		n = *r.MaxCompletionTokens
	}
	if n < 1 || n > limit {
		return 0, invalid(http.StatusBadRequest, "out_of_range", "max_tokens", fmt.Sprintf("%d, expected 1 to %d", n, limit))
	}
	return n, nil
}

// text returns the text content of m, and false if m has content of another type.
func (m chatMessage) text() (string, bool) {
	var (
		text  string
		parts []contentPart
	)
	if len(m.Content) == 0 || json.Unmarshal(m.Content, &text) == nil {
		return text, true
	}
	if err := json.Unmarshal(m.Content, &parts); err != nil {
		return "", false
	}
	for _, p := range parts {
		if p.Type != "text" {
			return "", false
		}
		text += p.Text
	}
	return text, true
}

// sendHeader sends the response header of an event stream.
func (o *completionWriter) sendHeader() {
	header := o.w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-cache")
	header.Set("Trailer", outcomeHeader)
	o.w.WriteHeader(http.StatusOK)
	o.headerSent = true
}

// finish sends a complete answer, or the end of a streamed one.
func (o *completionWriter) finish() {
	o.daemon.counters.outcomes.Add(string(outcome.Completed), 1)
	stop := "stop"
	if !o.stream {
		o.w.Header().Set(outcomeHeader, string(outcome.Completed))
		rest.Reply(o.w, http.StatusOK, o.newCompletion(o.text.String(), &stop, &usage{CompletionTokens: o.tokenCount, TotalTokens: o.tokenCount}))
		return
	}
	if !o.headerSent {
		o.sendHeader()
	}
	// Ignore the error: the caller may have disconnected.
	_ = o.sendEvent(o.newCompletion("", &stop, nil))
	_, _ = fmt.Fprint(o.w, "data: [DONE]\n\n")
	o.w.Header().Set(outcomeHeader, string(outcome.Completed))
}

// sendEvent sends value as one event of a stream.
func (o *completionWriter) sendEvent(value any) error {
	var (
		data []byte
		err  error
	)
	if data, err = json.Marshal(value); err != nil {
		return fmt.Errorf("encode event: %w", err)
	}
	if _, err = fmt.Fprintf(o.w, "data: %s\n\n", data); err != nil {
		return fmt.Errorf("write event: %w", err)
	}
	return o.controller.Flush()
}

// sendError answers with r. A stream that has started ends with an error event and without [DONE],
// so that a caller cannot mistake it for complete.
func (o *completionWriter) sendError(r *refusal) {
	if !o.headerSent {
		o.daemon.refuse(o.w, r)
		return
	}
	o.daemon.counters.outcomes.Add(string(r.Outcome), 1)
	// Ignore the error: the caller may have disconnected.
	_ = o.sendEvent(r.body())
	o.w.Header().Set(outcomeHeader, string(r.Outcome))
}

// newCompletion returns a response with text, or a chunk with text for a streamed response.
func (o *completionWriter) newCompletion(text string, finish *string, u *usage) completion {
	c := completion{ID: o.id, Object: "text_completion", Created: o.created, Model: o.model, Usage: u}
	ch := choice{FinishReason: finish}
	switch {
	case !o.chat:
		ch.Text = &text
	case o.stream:
		c.Object = "chat.completion.chunk"
		ch.Delta = &assistantMessage{Content: text}
		if o.tokenCount <= 1 {
			ch.Delta.Role = "assistant"
		}
	default:
		c.Object = "chat.completion"
		ch.Message = &assistantMessage{Role: "assistant", Content: text}
	}
	c.Choices = []choice{ch}
	return c
}

// addToken sends the next token of the answer to the caller, or buffers it if the response is not
// streamed.
func (o *completionWriter) addToken(text string) error {
	o.tokenCount++
	if !o.stream {
		o.text.WriteString(text)
		return nil
	}
	if !o.headerSent {
		o.sendHeader()
	}
	return o.sendEvent(o.newCompletion(text, nil, nil))
}
