package settings_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hawthornrock/hawthornrock/state/settings"
)

const minimal = `
daemon: entry-1
failure_domain: bayangol
listen: {callers: "127.0.0.1:1", operators: "127.0.0.1:2", peers: "127.0.0.1:3"}
platform: {address: "127.0.0.1:4"}
peers: {secret: s}
`

func ExampleParse() {
	_, err := settings.Parse("entry-1.yaml", []byte("daemon: entry-1\nfailure_domian: bayangol\n"), os.Getenv)
	fmt.Println(err)
	// Output: entry-1.yaml: line 2: unknown field "failure_domian", did you mean "failure_domain"?
}

func TestParse(t *testing.T) {
	for _, tc := range []struct{ name, text, want string }{
		{"minimal", minimal, ""},
		{"empty", "", "daemon: a name is required"},
		{"unknown_nested_field", minimal + "bounds: {lease_durations: 5s}\n", `unknown field "lease_durations", did you mean "lease_duration"?`},
		{"not_a_duration", minimal + "bounds: {lease_duration: soon}\n", "line 7"},
		{"negative_duration", minimal + "bounds: {report_age: -1s}\n", "bounds.report_age: -1s is not positive"},
		{"lease_shorter_than_its_guard", minimal + "bounds: {lease_duration: 1s}\n", "bounds.lease_duration"},
		{"key_is_not_a_hash", minimal + "organisations: [{name: o, key_sha256: [secret]}]\n", "organisations[0].key_sha256"},
		{"organisation_twice", minimal + "organisations: [{name: o}, {name: o}]\n", "organisations[1].name"},
		{"half_of_tls", minimal + "tls: {key_file: k}\n", "tls: certificate_file and key_file go together"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, err := settings.Parse("file.yaml", []byte(tc.text), os.Getenv)
			if tc.want == "" {
				require.NoError(t, err)
				return
			}
			require.ErrorContains(t, err, "file.yaml")
			require.ErrorContains(t, err, tc.want)
		})
	}
}

func TestSecretFromTheEnvironment(t *testing.T) {
	text := strings.Replace(minimal, "secret: s", "secret_env: PEERS", 1)
	got, err := settings.Parse("file.yaml", []byte(text), func(name string) string { return "from " + name })
	require.NoError(t, err)
	require.Equal(t, "from PEERS", got.Peers.Secret)
}

func TestReferenceNamesEverySetting(t *testing.T) {
	page, err := os.ReadFile("../../docs/reference/settings.md")
	require.NoError(t, err)
	documented := make(map[string]bool)
	for _, line := range strings.Split(string(page), "\n") {
		if cells := strings.Split(line, "|"); len(cells) > 3 {
			documented[strings.Trim(cells[1], " `")] = true
		}
	}
	for _, field := range settings.Fields() {
		require.True(t, documented[field], "docs/reference/settings.md does not name %s", field)
		delete(documented, field)
	}
	delete(documented, "setting")
	delete(documented, "---")
	require.Empty(t, documented, "docs/reference/settings.md names settings that do not exist")
}

func TestExamples(t *testing.T) {
	files, err := filepath.Glob("../../examples/*/*.yaml")
	require.NoError(t, err)
	require.Len(t, files, 6)
	for _, file := range files {
		_, err := settings.Read(file)
		require.NoError(t, err)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(minimal))
	f.Add([]byte("bounds: {lease_duration: 1s"))
	f.Fuzz(func(t *testing.T, text []byte) {
		if s, err := settings.Parse("f", text, os.Getenv); err == nil {
			require.NoError(t, s.Validate())
		}
	})
}
