package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/hawthornrock/hawthornrock/coordination/outcome"
)

const (
	// longestMicros is the longest time that a histogram holds.
	longestMicros = int64(10 * time.Minute / time.Microsecond)
	// digits is the precision of histograms.
	digits = 3
)

// A Report counts the answers of one phase. The zero Report is ready to use and
// safe for concurrent use.
type Report struct {
	mu         sync.Mutex
	outcomes   map[outcome.Outcome]int
	requests   int
	whole      int
	wrong      int
	retried    int
	firstToken *hdrhistogram.Histogram
	gap        *hdrhistogram.Histogram
}

// A Summary is a Report in figures.
type Summary struct {
	Requests             int     `json:"requests"`
	WholeAnswers         int     `json:"whole_answers"`
	WrongAnswers         int     `json:"wrong_answers"`
	Failed               int     `json:"failed"`
	NotRun               int     `json:"not_run"`
	Unknown              int     `json:"unknown"`
	Retried              int     `json:"retried"`
	SuccessRatio         float64 `json:"success_ratio"`
	FirstTokenP50Seconds float64 `json:"first_token_p50_seconds"`
	FirstTokenP95Seconds float64 `json:"first_token_p95_seconds"`
	FirstTokenP99Seconds float64 `json:"first_token_p99_seconds"`
	TokenGapP95Seconds   float64 `json:"token_gap_p95_seconds"`
}

// Add counts answer. want is the text that a whole answer must have; empty if
// that is not known.
func (r *Report) Add(answer Answer, want string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.init()
	r.requests++
	r.outcomes[answer.Outcome]++
	if answer.Tries > 1 {
		r.retried++
	}
	if !answer.Whole {
		return
	}
	if want != "" && answer.Text != want {
		r.wrong++
		return
	}
	r.whole++
	if !answer.Streamed {
		return
	}
	record(r.firstToken, answer.FirstToken)
	for _, gap := range answer.Gaps {
		record(r.gap, gap)
	}
}

// Summary returns r in figures.
func (r *Report) Summary() Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.init()
	s := Summary{
		Requests: r.requests, WholeAnswers: r.whole, WrongAnswers: r.wrong, Retried: r.retried,
		Failed: r.outcomes[outcome.Failed], NotRun: r.outcomes[outcome.NotRun], Unknown: r.outcomes[outcome.Unknown],
		FirstTokenP50Seconds: seconds(r.firstToken, 50), FirstTokenP95Seconds: seconds(r.firstToken, 95),
		FirstTokenP99Seconds: seconds(r.firstToken, 99), TokenGapP95Seconds: seconds(r.gap, 95),
	}
	if r.requests > 0 {
		s.SuccessRatio = float64(r.whole) / float64(r.requests)
	}
	return s
}

// init makes the parts of a zero Report. The caller holds the lock.
func (r *Report) init() {
	if r.outcomes == nil {
		r.outcomes = make(map[outcome.Outcome]int)
		r.firstToken = hdrhistogram.New(1, longestMicros, digits)
		r.gap = hdrhistogram.New(1, longestMicros, digits)
	}
}

// record adds d to h, cut to what h holds.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	// The value is within the bounds of the histogram, so there is no error.
	_ = h.RecordValue(min(max(d.Microseconds(), 1), longestMicros))
}

// seconds returns a percentile of h.
func seconds(h *hdrhistogram.Histogram, percentile float64) float64 {
	return (time.Duration(h.ValueAtPercentile(percentile)) * time.Microsecond).Seconds()
}
