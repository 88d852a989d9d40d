package site

import "time"

// A Service is a pool of interchangeable backend servers.
type Service struct {
	Name string
	// ColdFor is how long a server is cold if it starts after the first traffic.
	ColdFor time.Duration
	// ColdPerSecond is the number of requests per second that a cold server can serve. Zero means
	// that the servers are never cold.
	ColdPerSecond float64
	// Engine is nil if the servers run no models.
	Engine *Engine
}

// An Engine describes how the servers of a service run models. Its times are those of a whole
// replica for a model of pace 1. A replica runs up to Slots requests as one batch. Between two
// chunks of prefill, of up to Chunk tokens each, it runs Stride decode steps; a step takes Step,
// and StepPerRequest more for each request in the batch. ReadPerSecond is the number of prompt
// tokens that it prefills per second.
type Engine struct {
	Slots          int
	Stride         int
	Chunk          int
	Step           time.Duration
	StepPerRequest time.Duration
	ReadPerSecond  float64
	// Form is the time from the order to open a replica until its head serves.
	Form time.Duration
	// LoadsPerSecond and LoadsAtOnce limit the loads of weights in the whole deployment.
	LoadsPerSecond      float64
	LoadsAtOnce         int
	TypicalAnswerTokens int
	// MemoryTokens is how many tokens of prompts and answers the requests of a replica may hold together, zero if that
	// is not known.
	MemoryTokens int
	Models       []Model
}

// Model returns the model called name.
func (e *Engine) Model(name string) (Model, bool) {
	for _, m := range e.Models {
		if m.Name == name {
			return m, true
		}
	}
	return Model{}, false
}

// A Model is a model that an engine can run, in replicas of Size servers.
type Model struct {
	Name string
	Size int
	// Pace is the factor by which the engine's times are multiplied for this model.
	Pace float64
	// Share is the fraction of the initial work that is for this model.
	Share float64
	// Load is the time to load the weights, StagedLoad the time if they are staged on the host.
	Load       time.Duration
	StagedLoad time.Duration
}
