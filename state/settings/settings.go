// Package settings reads the YAML settings of a daemon. Reading is strict: an unknown field is an
// error that names the file, the line and the most similar known field.
package settings

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"reflect"
	"regexp"
	"strings"
	"time"

	"github.com/agnivade/levenshtein"
	"gopkg.in/yaml.v3"
)

// Settings are all settings of one daemon.
type Settings struct {
	Daemon        string         `yaml:"daemon"`
	FailureDomain string         `yaml:"failure_domain"`
	Weight        int            `yaml:"weight"`
	Listen        Listen         `yaml:"listen"`
	TLS           TLS            `yaml:"tls"`
	Platform      Platform       `yaml:"platform"`
	Peers         Peers          `yaml:"peers"`
	Operators     []Operator     `yaml:"operators"`
	Organisations []Organisation `yaml:"organisations"`
	Backends      []Backend      `yaml:"backends"`
	Limits        Limits         `yaml:"limits"`
	Bounds        Bounds         `yaml:"bounds"`
	Policy        Policy         `yaml:"policy"`
	Trace         Trace          `yaml:"trace"`
	Log           Log            `yaml:"log"`
}

// Listen holds the listen addresses of a daemon, as host:port.
type Listen struct {
	Callers   string `yaml:"callers"`
	Operators string `yaml:"operators"`
	Peers     string `yaml:"peers"`
}

// TLS names the files of the certificate and the key of all listeners. Without them the listeners
// serve plain HTTP. CAFile names the file of the certificate authorities by which peers are
// verified; the default is those of the operating system.
type TLS struct {
	CertificateFile string `yaml:"certificate_file"`
	KeyFile         string `yaml:"key_file"`
	CAFile          string `yaml:"ca_file"`
}

// Platform holds the address of the platform's log and list of instances.
type Platform struct {
	Address string `yaml:"address"`
}

// Peers configures how daemons discover and authenticate each other. Seeds are the addresses of
// peers to connect to. Secret is shared by all daemons; SecretEnv names an environment variable
// that overrides it.
type Peers struct {
	Seeds     []string `yaml:"seeds"`
	Secret    string   `yaml:"secret"`
	SecretEnv string   `yaml:"secret_env"`
}

// An Operator may change the configuration. TokenSHA256 is the SHA-256 hash of the operator's token
// in hexadecimal.
type Operator struct {
	Name        string `yaml:"name"`
	TokenSHA256 string `yaml:"token_sha256"`
}

// An Organisation may send requests to models. KeySHA256 holds the SHA-256 hashes of its API keys in
// hexadecimal.
type Organisation struct {
	Name      string   `yaml:"name"`
	KeySHA256 []string `yaml:"key_sha256"`
}

// A Backend describes the backend servers of one name. ChecksFencing means that they refuse orders
// with an outdated fencing token.
type Backend struct {
	Name          string `yaml:"name"`
	ChecksFencing bool   `yaml:"checks_fencing"`
}

// Limits bound the requests of callers to one daemon. ConnectionAge is the age from which callers
// are asked to close a connection, Queued the number of requests that may wait for a replica,
// FirstTokenBudget how long a request may wait for a place at a replica, and Tokens the maximum
// length of an answer.
type Limits struct {
	BodyBytes        int64         `yaml:"body_bytes"`
	HeaderBytes      int           `yaml:"header_bytes"`
	HeaderTimeout    time.Duration `yaml:"header_timeout"`
	IdleTimeout      time.Duration `yaml:"idle_timeout"`
	ConnectionAge    time.Duration `yaml:"connection_age"`
	Connections      int           `yaml:"connections"`
	InFlight         int           `yaml:"in_flight"`
	InFlightPerOrg   int           `yaml:"in_flight_per_organisation"`
	Queued           int           `yaml:"queued"`
	RequestTimeout   time.Duration `yaml:"request_timeout"`
	FirstTokenBudget time.Duration `yaml:"first_token_budget"`
	Tokens           int           `yaml:"tokens"`
}

// Bounds are the timeouts and intervals of the coordination between daemons. They must be the same
// for all daemons of a system.
type Bounds struct {
	// PollInterval is the interval at which a daemon requests the reports of engines.
	PollInterval time.Duration `yaml:"poll_interval"`
	// TickInterval is the interval at which a daemon updates its control state.
	TickInterval time.Duration `yaml:"tick_interval"`
	// ReportAge is the maximum age of a report that is used for routing.
	ReportAge time.Duration `yaml:"report_age"`
	// DeadAfter is how long an engine may be silent before its replica is placed anew.
	DeadAfter time.Duration `yaml:"dead_after"`
	// FreshnessAge is the maximum age of the last confirmation of a daemon's view.
	// A view is confirmed by the log, or by a peer that has read the log.
	FreshnessAge time.Duration `yaml:"freshness_age"`
	// PeerTimeout is how long a silent peer counts as alive.
	PeerTimeout time.Duration `yaml:"peer_timeout"`
	// PeerForget is how long a silent peer is remembered.
	PeerForget time.Duration `yaml:"peer_forget"`
	// LeaseDuration is how long a lease is valid after its last record in the log.
	LeaseDuration time.Duration `yaml:"lease_duration"`
	// LeaseGuard is how long before its expiry the holder of a lease stops acting, to allow for
	// clock drift.
	LeaseGuard time.Duration `yaml:"lease_guard"`
	// LongestOrder is how long an order may be in flight.
	LongestOrder time.Duration `yaml:"longest_order"`
	// ClaimTimeout bounds the wait until a claim is read back from the log.
	ClaimTimeout time.Duration `yaml:"claim_timeout"`
	// ClaimWindow is how long claims are remembered.
	ClaimWindow time.Duration `yaml:"claim_window"`
	// ClaimBatch is how long claims are collected before they are appended together.
	ClaimBatch time.Duration `yaml:"claim_batch"`
	// EntriesMaxAge is how long callers may cache the list of entry instances.
	EntriesMaxAge time.Duration `yaml:"entries_max_age"`
	// SnapshotInterval is the interval at which a snapshot of the configuration is appended to the
	// log.
	SnapshotInterval time.Duration `yaml:"snapshot_interval"`
	// QuarantineFor is how long a request is quarantined after a server crashed under it.
	QuarantineFor time.Duration `yaml:"quarantine_for"`
	// ColdFirstTokenFactor is the factor above the median from which a time to the first token
	// indicates a cold replica.
	ColdFirstTokenFactor float64 `yaml:"cold_first_token_factor"`
	// ColdHold is how long an instance that turned cold counts as cold, whatever it reports.
	ColdHold time.Duration `yaml:"cold_hold"`
}

// Policy selects the policies of a daemon by their names.
type Policy struct {
	Routing string `yaml:"routing"`
}

// Trace configures the export of trace spans: to a file of JSON lines, to an OTLP endpoint given as
// host:port, or not at all. Ratio is the fraction of traces that are sampled.
type Trace struct {
	File     string  `yaml:"file"`
	Endpoint string  `yaml:"endpoint"`
	Ratio    float64 `yaml:"ratio"`
}

// Log configures the log level of a daemon and its log file. Without a file it logs to standard
// error.
type Log struct {
	Level string `yaml:"level"`
	File  string `yaml:"file"`
}

// unknownField matches the error of yaml.v3 for an unknown field.
var unknownField = regexp.MustCompile(`line (\d+): field (\S+) not found in type (\S+)`)

// Default returns the default settings.
func Default() Settings {
	return Settings{
		Weight: 1,
		Limits: Limits{
			BodyBytes:        4 << 20,
			HeaderBytes:      32 << 10,
			HeaderTimeout:    5 * time.Second,
			IdleTimeout:      time.Minute,
			ConnectionAge:    5 * time.Minute,
			Connections:      4096,
			InFlight:         1024,
			InFlightPerOrg:   256,
			Queued:           512,
			RequestTimeout:   2 * time.Minute,
			FirstTokenBudget: 5 * time.Second,
			Tokens:           4096,
		},
		Bounds: Bounds{
			PollInterval:         250 * time.Millisecond,
			TickInterval:         200 * time.Millisecond,
			ReportAge:            1500 * time.Millisecond,
			DeadAfter:            1500 * time.Millisecond,
			FreshnessAge:         3 * time.Second,
			PeerTimeout:          2 * time.Second,
			PeerForget:           time.Minute,
			LeaseDuration:        6 * time.Second,
			LeaseGuard:           time.Second,
			LongestOrder:         2 * time.Second,
			ClaimTimeout:         2 * time.Second,
			ClaimWindow:          time.Hour,
			ClaimBatch:           5 * time.Millisecond,
			EntriesMaxAge:        10 * time.Second,
			SnapshotInterval:     10 * time.Minute,
			QuarantineFor:        10 * time.Minute,
			ColdFirstTokenFactor: 3,
			ColdHold:             5 * time.Second,
		},
		Policy: Policy{Routing: "least_load"},
		Trace:  Trace{Ratio: 1},
		Log:    Log{Level: "info"},
	}
}

// Parse decodes text and applies it to the defaults. Errors name file as the source of text. A
// secret in an environment variable is read by getenv.
func Parse(file string, text []byte, getenv func(string) string) (Settings, error) {
	s := Default()
	decoder := yaml.NewDecoder(bytes.NewReader(text))
	decoder.KnownFields(true)
	if err := decoder.Decode(&s); err != nil && !errors.Is(err, io.EOF) {
		return Settings{}, explain(file, err)
	}
	if s.Peers.SecretEnv != "" {
		s.Peers.Secret = getenv(s.Peers.SecretEnv)
	}
	if err := s.Validate(); err != nil {
		return Settings{}, fmt.Errorf("%s: %w", file, err)
	}
	return s, nil
}

// Read reads the settings from file.
func Read(file string) (Settings, error) {
	var (
		text []byte
		err  error
	)
	if text, err = os.ReadFile(file); err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	return Parse(file, text, os.Getenv)
}

// Validate returns an error that names every invalid setting.
func (s Settings) Validate() error {
	var errs []error
	require := func(ok bool, format string, args ...any) {
		if !ok {
			errs = append(errs, fmt.Errorf(format, args...))
		}
	}
	require(s.Daemon != "", "daemon: a name is required")
	require(s.FailureDomain != "", "failure_domain: a name is required")
	require(s.Listen.Callers != "", "listen.callers: an address as host:port is required")
	require(s.Listen.Operators != "", "listen.operators: an address as host:port is required")
	require(s.Listen.Peers != "", "listen.peers: an address as host:port is required")
	require(s.Platform.Address != "", "platform.address: an address as host:port is required")
	require(s.Peers.Secret != "", "peers.secret: a secret is required, here or through peers.secret_env")
	require((s.TLS.CertificateFile == "") == (s.TLS.KeyFile == ""), "tls: certificate_file and key_file go together")
	require(s.Weight >= 0, "weight: %d is negative", s.Weight)
	errs = append(errs, s.Bounds.validate()...)
	errs = append(errs, s.validateNames()...)
	return errors.Join(errs...)
}

// validate returns an error for each invalid bound.
func (b Bounds) validate() []error {
	var errs []error
	value := reflect.ValueOf(b)
	for i := range value.NumField() {
		if d, ok := value.Field(i).Interface().(time.Duration); ok && d <= 0 {
			errs = append(errs, fmt.Errorf("bounds.%s: %s is not positive", value.Type().Field(i).Tag.Get("yaml"), d))
		}
	}
	if b.LeaseDuration < 2*b.LeaseGuard+b.TickInterval {
		errs = append(errs, fmt.Errorf("bounds.lease_duration: %s leaves no time to renew before lease_guard %s", b.LeaseDuration, b.LeaseGuard))
	}
	if b.ReportAge <= b.PollInterval {
		errs = append(errs, fmt.Errorf("bounds.report_age: %s must be longer than poll_interval %s", b.ReportAge, b.PollInterval))
	}
	return errs
}

// validateNames returns an error for each invalid operator and organisation.
func (s Settings) validateNames() []error {
	var errs []error
	seen := make(map[string]bool)
	hash := regexp.MustCompile(`^[0-9a-f]{64}$`)
	for i, o := range s.Organisations {
		if o.Name == "" || seen[o.Name] {
			errs = append(errs, fmt.Errorf("organisations[%d].name: %q is empty or used twice", i, o.Name))
		}
		seen[o.Name] = true
		for _, h := range o.KeySHA256 {
			if !hash.MatchString(h) {
				errs = append(errs, fmt.Errorf("organisations[%d].key_sha256: not 64 hexadecimal digits", i))
			}
		}
	}
	for i, o := range s.Operators {
		if o.Name == "" || !hash.MatchString(o.TokenSHA256) {
			errs = append(errs, fmt.Errorf("operators[%d]: a name and a token_sha256 of 64 hexadecimal digits are required", i))
		}
	}
	return errs
}

// explain adds the most similar known field to errors about unknown fields.
func explain(file string, err error) error {
	message := strings.TrimPrefix(err.Error(), "yaml: unmarshal errors:\n")
	message = unknownField.ReplaceAllStringFunc(message, func(m string) string {
		parts := unknownField.FindStringSubmatch(m)
		return fmt.Sprintf("line %s: unknown field %q, did you mean %q?", parts[1], parts[2], nearest(parts[2]))
	})
	return fmt.Errorf("%s: %s", file, strings.TrimSpace(message))
}

// nearest returns the name of the known field with the smallest edit distance to name.
func nearest(name string) string {
	best, distance := "", -1
	for _, field := range Fields() {
		leaf := field[strings.LastIndex(field, ".")+1:]
		if d := levenshtein.ComputeDistance(name, leaf); distance < 0 || d < distance {
			best, distance = leaf, d
		}
	}
	return best
}

// Fields returns the names of all settings in the order of their declaration, with dots between
// levels.
func Fields() []string { return fields("", reflect.TypeFor[Settings]()) }

// fields returns the names of the settings in t, each with prefix.
func fields(prefix string, t reflect.Type) []string {
	var out []string
	for i := range t.NumField() {
		f := t.Field(i)
		name := prefix + f.Tag.Get("yaml")
		ft := f.Type
		if ft.Kind() == reflect.Slice && ft.Elem().Kind() == reflect.Struct {
			ft, name = ft.Elem(), name+"[]"
		}
		if ft.Kind() == reflect.Struct {
			out = append(out, fields(name+".", ft)...)
		} else {
			out = append(out, name)
		}
	}
	return out
}

// Text encodes s as YAML.
func (s Settings) Text() ([]byte, error) { return yaml.Marshal(s) }
