package inspection

import (
	"math"
	"time"
)

// maxShareSum is the largest sum of the shares of models: 1, and what fractions like 0.1 lose to rounding.
const maxShareSum = 1 + 1e-6

// engines inspects the engines of all services.
func (i *inspector) engines() {
	for k := range i.Next.Services {
		if e := i.Next.Services[k].Engine; e != nil {
			i.engine(&i.Next.Services[k], e)
		}
	}
}

// engine inspects the engine of s.
func (i *inspector) engine(s *Service, e *Engine) {
	if e.Slots.Value <= 0 {
		at(i, NeverMatches, e.Object, e.Slots, "%d requests at once: the servers of service %s get none", e.Slots.Value, Quote(s.Name.Value))
	}
	if e.ReadPerSecond.Value <= 0 {
		at(i, NeverMatches, e.Object, e.ReadPerSecond, "%g prompt tokens a second: no prompt of service %s is read in time", e.ReadPerSecond.Value, Quote(s.Name.Value))
	}
	if tokens := e.TypicalPrompt.Value + e.TypicalAnswer.Value; e.MemoryTokens.Set && e.MemoryTokens.Value < tokens*float64(e.Slots.Value) {
		at(i, Contradiction, e.Object, e.MemoryTokens, "memory for %.0f tokens does not hold %d usual requests of %.0f tokens, which the engine runs at once", e.MemoryTokens.Value, e.Slots.Value, tokens)
	}
	if len(e.Models) > 0 && e.LoadsPerSecond.Value <= 0 {
		at(i, NeverMatches, e.Object, e.LoadsPerSecond, "%g loads a second: no load of weights may start for service %s", e.LoadsPerSecond.Value, Quote(s.Name.Value))
	}
	i.models(s, e)
}

// models inspects the models of an engine.
func (i *inspector) models(s *Service, e *Engine) {
	if len(e.Models) == 0 {
		i.addf(NeverMatches, e.At, e.Entry, "the engine of service %s has no models: no request is answered", Quote(s.Name.Value))
	}
	sum := 0.0
	first := make(map[string]*Model, len(e.Models))
	for k := range e.Models {
		m := &e.Models[k]
		if earlier := first[m.Name.Value]; earlier != nil {
			at(i, NeverMatches, m.Object, m.Name, "model %s is described before, by %s, which counts", Quote(m.Name.Value), earlier.Entry)
			continue
		}
		first[m.Name.Value] = m
		if m.Size.Value <= 0 {
			at(i, NeverMatches, m.Object, m.Size, "model %s has replicas of %d servers: none is formed", Quote(m.Name.Value), m.Size.Value)
		}
		if m.Pace.Value <= 0 {
			at(i, Contradiction, m.Object, m.Pace, "%g is not positive: daemons expect that model %s takes no time", m.Pace.Value, Quote(m.Name.Value))
		}
		switch {
		case m.Share.Value < 0:
			at(i, Contradiction, m.Object, m.Share, "%g is negative", m.Share.Value)
		case m.Share.Value == 0:
			at(i, Remark, m.Object, m.Share, "model %s gets no replica until it is asked for: its first callers wait for a load or are refused", Quote(m.Name.Value))
		}
		sum += max(m.Share.Value, 0)
	}
	if sum > maxShareSum {
		at(i, Contradiction, e.Models[0].Object, e.Models[0].Share, "the shares of the models of service %s add up to %.3g, more than 1", Quote(s.Name.Value), sum)
	}
}

// extremes returns the models of e with the lowest and the highest pace, nil if it has none of positive pace.
func (e *Engine) extremes() (fastest, slowest *Model) {
	for k := range e.Models {
		m := &e.Models[k]
		if m.Pace.Value <= 0 {
			continue
		}
		if fastest == nil || m.Pace.Value < fastest.Pace.Value {
			fastest = m
		}
		if slowest == nil || m.Pace.Value > slowest.Pace.Value {
			slowest = m
		}
	}
	return fastest, slowest
}

// firstEvent returns the least time from a prompt of the given number of tokens to the first event, on an idle replica.
func (e *Engine) firstEvent(m *Model, prompt float64) time.Duration {
	return e.duration(m, prompt, 1)
}

// wholeAnswer returns the least time from a usual prompt to the end of a usual answer, on an idle replica.
func (e *Engine) wholeAnswer(m *Model) time.Duration {
	return e.duration(m, e.TypicalPrompt.Value, e.TypicalAnswer.Value)
}

// duration returns the least time for a prompt and an answer of the given numbers of tokens, on an idle replica.
func (e *Engine) duration(m *Model, prompt, answer float64) time.Duration {
	read := 0.0
	if e.ReadPerSecond.Value > 0 {
		read = max(prompt, 0) / e.ReadPerSecond.Value * float64(time.Second)
	}
	step := float64(max(e.Step.Value, 0)) + float64(max(e.StepPerRequest.Value, 0))
	total := (read + max(answer, 0)*step) * m.Pace.Value
	if !(total < math.MaxInt64/2) {
		return math.MaxInt64 / 2
	}
	return time.Duration(total)
}
