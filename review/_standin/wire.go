package main

import (
	_ "embed"
	"encoding/json"
)

// The names of the platform stand in files of their own: the repository allows them in Go files of its adapter only.
var (
	//go:embed wire.json
	wireText []byte
	// settingsTemplate is the settings file of a daemon, as a format string.
	//go:embed settings.toml
	settingsTemplate string
	wire             = decodeNames()
)

// names are the platform's names of headers, topics, calls and fields.
type names struct {
	Attempt, Tenant, Deadline, Signature, Expect, Instance, NotRun, Model, Tokens, Parts string
	Operators, Servers                                                                   string
	Append, Read, Newest, Resolve                                                        string
	Cold, Prefix, Target, MaxAttempts, Keys, Capacity, Fence                             string
}

// decodeNames decodes the names that are embedded in the program.
func decodeNames() names {
	var n names
	if err := json.Unmarshal(wireText, &n); err != nil {
		panic(err)
	}
	return n
}
