package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/hawthornrock/hawthornrock/coordination/outcome"
)

const (
	// maxMicros is the longest duration that a histogram can record.
	maxMicros = int64(10 * time.Minute / time.Microsecond)
	// significantDigits is the precision of the histograms.
	significantDigits = 3
)

// A Report collects the answers of one phase. The zero value is ready to use. It is safe for
// concurrent use.
type Report struct {
	mu         sync.Mutex
	outcomes   map[outcome.Outcome]int
	requests   int
	complete   int
	wrong      int
	retried    int
	firstToken *hdrhistogram.Histogram
	gap        *hdrhistogram.Histogram
}

// A Summary holds the counts and percentiles of a Report.
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

// Add records answer. A complete answer whose text differs from want counts as wrong; an empty want
// skips that check. Only complete, correct, streamed answers contribute to the latency figures.
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
	r.complete++
	if !answer.Streamed {
		return
	}
	record(r.firstToken, answer.FirstToken)
	for _, gap := range answer.Gaps {
		record(r.gap, gap)
	}
}

// Summary returns the counts and percentiles of the answers added so far.
func (r *Report) Summary() Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.init()
	s := Summary{
		Requests: r.requests, WholeAnswers: r.complete, WrongAnswers: r.wrong, Retried: r.retried,
		Failed: r.outcomes[outcome.Failed], NotRun: r.outcomes[outcome.NotRun], Unknown: r.outcomes[outcome.Unknown],
		FirstTokenP50Seconds: seconds(r.firstToken, 50), FirstTokenP95Seconds: seconds(r.firstToken, 95),
		FirstTokenP99Seconds: seconds(r.firstToken, 99), TokenGapP95Seconds: seconds(r.gap, 95),
	}
	if r.requests > 0 {
		s.SuccessRatio = float64(r.complete) / float64(r.requests)
	}
	return s
}

// init allocates the fields of a zero Report. The caller must hold r.mu.
func (r *Report) init() {
	if r.outcomes == nil {
		r.outcomes = make(map[outcome.Outcome]int)
		r.firstToken = hdrhistogram.New(1, maxMicros, significantDigits)
		r.gap = hdrhistogram.New(1, maxMicros, significantDigits)
	}
}

// record adds d to h, clamped to the range of h.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	// RecordValue fails only for values outside the range, which clamping rules out.
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxMicros))
}

// seconds returns a percentile of h in seconds.
func seconds(h *hdrhistogram.Histogram, percentile float64) float64 {
	return (time.Duration(h.ValueAtPercentile(percentile)) * time.Microsecond).Seconds()
}
