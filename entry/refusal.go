package entry

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/hawthornrock/hawthornrock/coordination/outcome"
	"github.com/hawthornrock/hawthornrock/transport/rest"
)

const (
	// outcomeHeader carries the outcome of a request.
	outcomeHeader = "Hawthornrock-Outcome"
	// requestHeader carries the ID of a request.
	requestHeader = "Hawthornrock-Request"
	// entriesHeader carries addresses of other entry instances to try.
	entriesHeader = "Hawthornrock-Entries"
)

// A refusal is an error answer to a caller, or to the peer that forwarded the request. RetryAfter
// is the time after which a retry may succeed; zero if a retry is pointless.
type refusal struct {
	Status     int
	Outcome    outcome.Outcome
	Type       string
	Code       string
	Param      string
	Message    string
	RetryAfter time.Duration
}

// Error returns the code and the message.
func (r *refusal) Error() string { return fmt.Sprintf("%s: %s", r.Code, r.Message) }

// An errorBody is an error in the JSON format of the OpenAI interface.
type errorBody struct {
	Error errorDetail `json:"error"`
}

// An errorDetail is the content of an errorBody.
type errorDetail struct {
	Message string          `json:"message"`
	Type    string          `json:"type"`
	Param   *string         `json:"param"`
	Code    string          `json:"code"`
	Outcome outcome.Outcome `json:"outcome"`
}

// body returns r in the JSON format of the OpenAI interface.
func (r *refusal) body() errorBody {
	detail := errorDetail{Message: r.Message, Type: r.Type, Code: r.Code, Outcome: r.Outcome}
	if r.Param != "" {
		detail.Param = &r.Param
	}
	return errorBody{Error: detail}
}

// refuse answers with r. If the request did not run and may be retried, it adds the addresses of
// the other entry instances.
func (d *Daemon) refuse(w http.ResponseWriter, r *refusal) {
	d.counters.outcomes.Add(string(r.Outcome), 1)
	d.counters.events.Add("refused_"+r.Code, 1)
	header := w.Header()
	header.Set(outcomeHeader, string(r.Outcome))
	if r.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int((r.RetryAfter+time.Second-1)/time.Second)))
	}
	if r.Outcome == outcome.NotRun && r.RetryAfter > 0 {
		for _, e := range d.view.Load().Entries {
			if e.Daemon != d.settings.Daemon {
				header.Add(entriesHeader, e.Address)
			}
		}
	}
	rest.Reply(w, r.Status, r.body())
}

// unavailable returns the refusal of a request that cannot run at present.
func unavailable(code, message string) *refusal {
	return &refusal{
		Status: http.StatusServiceUnavailable, Outcome: outcome.NotRun, Type: "server_error",
		Code: code, Message: message, RetryAfter: defaultRetryAfter,
	}
}

// invalid returns the refusal of a request that is itself invalid.
func invalid(status int, code, param, message string) *refusal {
	return &refusal{
		Status: status, Outcome: outcome.NotRun, Type: "invalid_request_error",
		Code: code, Param: param, Message: message,
	}
}
