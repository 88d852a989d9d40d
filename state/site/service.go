package site

import "time"

// A Service is a pool of backend servers that do the same work.
type Service struct {
	Name string
	// ColdFor is how long a server is cold after it starts during traffic.
	ColdFor time.Duration
	// ColdPerSecond is how many requests a second a cold server bears; zero if its
	// servers are never cold.
	ColdPerSecond float64
	// Engine is set where the servers run models.
	Engine *Engine
}

// An Engine is how the servers of a service run models. Times hold for a whole
// replica at pace 1.
type Engine struct {
	Slots          int
	Stride         int
	Chunk          int
	Step           time.Duration
	StepPerRequest time.Duration
	ReadPerSecond  float64
	// Form is how long the head of a replica takes from an order to open until it serves.
	Form                time.Duration
	LoadsPerSecond      float64
	LoadsAtOnce         int
	TypicalAnswerTokens int
	Models              []Model
}

// Model returns the model of the given name.
func (e *Engine) Model(name string) (Model, bool) {
	for _, m := range e.Models {
		if m.Name == name {
			return m, true
		}
	}
	return Model{}, false
}

// A Model is one model that an engine can run in replicas of Size servers.
type Model struct {
	Name string
	Size int
	// Pace is the factor on the engine's times.
	Pace float64
	// Share is the part of the work that asks for this model at the start.
	Share float64
	// Load is the time to load the weights, StagedLoad the time if they are staged on the host.
	Load       time.Duration
	StagedLoad time.Duration
}
