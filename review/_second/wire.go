package main

import (
	_ "embed"
	"encoding/json"
	"maps"
)

// wireText holds the users' names and two configurations, settingsTemplate a settings file with the figures of a small
// deployment. Both stand in files of their own, as the names of the users' pages are not used in Go code outside platform/.
//
//go:embed wire.json
var wireText []byte

//go:embed settings.toml
var settingsTemplate string

// wire is what wireText says.
var wire = readWire()

// A wireFile holds names by what they mean here.
type wireFile struct {
	Header map[string]string `json:"header"`
	Topic  map[string]string `json:"topic"`
	Field  map[string]string `json:"field"`
	// Plain has a service without models, Model one with models.
	Plain map[string]any `json:"plain_config"`
	Model map[string]any `json:"model_config"`
}

// readWire decodes wireText.
func readWire() wireFile {
	var w wireFile
	if err := json.Unmarshal(wireText, &w); err != nil {
		panic(err)
	}
	return w
}

// configWith returns a version of a configuration in which one tenant has the given keys.
func configWith(base map[string]any, version int, keys ...string) map[string]any {
	c := maps.Clone(base)
	c["version"] = version
	c["tenants"] = []any{map[string]any{"name": "hule930", "priority": 1, wire.Field["keys"]: keys}}
	return c
}
