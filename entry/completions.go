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

// defaultTokens is the length of an answer that the caller does not bound.
const defaultTokens = 16

// A chatMessage is one message of a chat. Content is a string or a list of text
// parts.
type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// A chatPart is one part of the content of a message.
type chatPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// A completionRequest is the part that this program uses of a request of the
// OpenAI interface, chat or not.
type completionRequest struct {
	Model               string        `json:"model"`
	Messages            []chatMessage `json:"messages"`
	Prompt              string        `json:"prompt"`
	Stream              bool          `json:"stream"`
	N                   *int          `json:"n"`
	MaxTokens           *int          `json:"max_tokens"`
	MaxCompletionTokens *int          `json:"max_completion_tokens"`
}

// A completion is an answer, or a piece of one, of the OpenAI interface.
type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

// A choice is the one choice of a completion.
type choice struct {
	Index        int          `json:"index"`
	Message      *chatContent `json:"message,omitempty"`
	Delta        *chatContent `json:"delta,omitempty"`
	Text         *string      `json:"text,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

// A chatContent is what the assistant says.
type chatContent struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// A usage counts the tokens of an answer.
type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// A writer writes an answer in one of the forms of the OpenAI interface.
type writer struct {
	daemon   *Daemon
	w        http.ResponseWriter
	control  *http.ResponseController
	chat     bool
	stream   bool
	begun    bool
	id       string
	model    string
	created  int64
	contents strings.Builder
	tokens   int
}

// serveChat answers POST /v1/chat/completions.
func (d *Daemon) serveChat(w http.ResponseWriter, r *http.Request, c call) {
	d.serveText(w, r, c, true)
}

// serveCompletion answers POST /v1/completions.
func (d *Daemon) serveCompletion(w http.ResponseWriter, r *http.Request, c call) {
	d.serveText(w, r, c, false)
}

// serveText answers a request for text.
func (d *Daemon) serveText(w http.ResponseWriter, r *http.Request, c call, chat bool) {
	var (
		g       *generation
		request completionRequest
		refused *refusal
	)
	if g, request, refused = d.newGeneration(r, c, chat); refused != nil {
		d.refuse(w, refused)
		return
	}
	out := &writer{
		daemon: d, w: w, control: http.NewResponseController(w), chat: chat, stream: request.Stream,
		id: c.request, model: request.Model, created: c.started.Unix(),
	}
	g.emit = out.token
	if refused = d.generate(r.Context(), g); refused != nil {
		out.fail(refused)
		return
	}
	out.end()
}

// newGeneration returns the request that r asks for.
func (d *Daemon) newGeneration(r *http.Request, c call, chat bool) (*generation, completionRequest, *refusal) {
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
	g := &generation{call: c, maxTokens: defaultTokens, deadline: c.started.Add(d.settings.Limits.RequestTimeout)}
	if g.prompt, refused = request.text(chat); refused != nil {
		return nil, request, refused
	}
	if g.maxTokens, refused = request.tokens(d.settings.Limits.Tokens); refused != nil {
		return nil, request, refused
	}
	if g.deployment, refused = d.admit(c.organisation, request.Model, fleet.KindEngine); refused != nil {
		return nil, request, refused
	}
	g.fingerprint = quarantine.FingerprintOf(c.organisation, request.Model, []byte(g.prompt))
	return g, request, nil
}

// text returns the prompt of r.
func (r completionRequest) text(chat bool) (string, *refusal) {
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

// tokens returns the length of the answer that r asks for.
func (r completionRequest) tokens(limit int) (int, *refusal) {
	n := defaultTokens
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

// text returns the text of m.
func (m chatMessage) text() (string, bool) {
	var (
		text  string
		parts []chatPart
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

// begin sends the header of a stream.
func (o *writer) begin() {
	header := o.w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-cache")
	header.Set("Trailer", outcomeHeader)
	o.w.WriteHeader(http.StatusOK)
	o.begun = true
}

// end sends the end of a whole answer.
func (o *writer) end() {
	o.daemon.counters.outcomes.Add(string(outcome.Completed), 1)
	stop := "stop"
	if !o.stream {
		o.w.Header().Set(outcomeHeader, string(outcome.Completed))
		rest.Reply(o.w, http.StatusOK, o.piece(o.contents.String(), &stop, &usage{CompletionTokens: o.tokens, TotalTokens: o.tokens}))
		return
	}
	if !o.begun {
		o.begin()
	}
	// The caller may be gone, and then nobody is left to tell.
	_ = o.event(o.piece("", &stop, nil))
	_, _ = fmt.Fprint(o.w, "data: [DONE]\n\n")
	o.w.Header().Set(outcomeHeader, string(outcome.Completed))
}

// event sends one piece of a stream.
func (o *writer) event(value any) error {
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
	return o.control.Flush()
}

// fail sends the refusal of a request. A stream that has begun ends with an
// error event and without [DONE], so that it cannot look whole.
func (o *writer) fail(r *refusal) {
	if !o.begun {
		o.daemon.refuse(o.w, r)
		return
	}
	o.daemon.counters.outcomes.Add(string(r.Outcome), 1)
	// The caller may be gone, and then nobody is left to tell.
	_ = o.event(r.body())
	o.w.Header().Set(outcomeHeader, string(r.Outcome))
}

// piece returns text as an answer, or as a piece of one.
func (o *writer) piece(text string, finish *string, u *usage) completion {
	c := completion{ID: o.id, Object: "text_completion", Created: o.created, Model: o.model, Usage: u}
	ch := choice{FinishReason: finish}
	switch {
	case !o.chat:
		ch.Text = &text
	case o.stream:
		c.Object = "chat.completion.chunk"
		ch.Delta = &chatContent{Content: text}
		if o.tokens <= 1 {
			ch.Delta.Role = "assistant"
		}
	default:
		c.Object = "chat.completion"
		ch.Message = &chatContent{Role: "assistant", Content: text}
	}
	c.Choices = []choice{ch}
	return c
}

// token takes the next token of the answer.
func (o *writer) token(text string) error {
	o.tokens++
	if !o.stream {
		o.contents.WriteString(text)
		return nil
	}
	if !o.begun {
		o.begin()
	}
	return o.event(o.piece(text, nil, nil))
}
