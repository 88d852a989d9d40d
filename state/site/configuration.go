package site

import (
	"strings"
	"time"
)

// A Kind tells how often a request may run.
type Kind int

// The kinds of request.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Streaming requests are answered with a stream of events.
	Streaming
)

// A Route says how requests below a path of a host are served.
type Route struct {
	Name        string
	Host        string
	Path        string
	Kind        Kind
	Resumable   bool
	Anonymous   bool
	Timeout     time.Duration
	Target      time.Duration
	Priority    int
	MaxAttempts int
	Split       []Share
}

// A Share is the part of a route's requests that a service gets.
type Share struct {
	Service string
	Weight  int
}

// Repeatable returns whether a request of r may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Service returns the service that a request goes to. The same hash always gives
// the same service.
func (r *Route) Service(hash uint64) string {
	total := 0
	for _, s := range r.Split {
		total += s.Weight
	}
	if total <= 0 {
		return ""
	}
	at := int(hash % uint64(total))
	for _, s := range r.Split {
		if at -= s.Weight; at < 0 {
			return s.Service
		}
	}
	return ""
}

// An Organisation is one customer whose callers hold keys.
type Organisation struct {
	Name string
	// Priority replaces that of the route where HasPriority is true.
	Priority    int
	HasPriority bool
}

// Limits bound what a caller may send.
type Limits struct {
	BodyBytes int64
}

// A Configuration is all that operators have put in force at one version.
type Configuration struct {
	Version  int64
	Limits   Limits
	Services map[string]*Service

	routes map[string]map[string]*Route
	keys   map[string]Organisation
	closed bool
}

// AddRoute adds a route.
func (c *Configuration) AddRoute(r *Route) {
	if c.routes == nil {
		c.routes = make(map[string]map[string]*Route)
	}
	host := strings.ToLower(r.Host)
	if c.routes[host] == nil {
		c.routes[host] = make(map[string]*Route)
	}
	c.routes[host][r.Path] = r
}

// AddKey lets key stand for organisation.
func (c *Configuration) AddKey(key string, o Organisation) {
	if c.keys == nil {
		c.keys = make(map[string]Organisation)
	}
	c.keys[key] = o
}

// RequireKeys makes every route but the anonymous ones ask for a key.
func (c *Configuration) RequireKeys() { c.closed = true }

// KeysRequired returns whether callers must hold keys.
func (c *Configuration) KeysRequired() bool { return c.closed }

// Organisation returns who holds key.
func (c *Configuration) Organisation(key string) (Organisation, bool) {
	o, ok := c.keys[key]
	return o, ok
}

// Match returns the route with the longest path that begins path. Every route's
// path ends with a slash.
func (c *Configuration) Match(host, path string) (*Route, bool) {
	paths := c.routes[strings.ToLower(host)]
	for end := len(path); end > 0; {
		end = strings.LastIndexByte(path[:end], '/') + 1
		if r, ok := paths[path[:end]]; ok {
			return r, true
		}
		end--
	}
	return nil, false
}

// Routes returns the number of routes.
func (c *Configuration) Routes() int {
	n := 0
	for _, paths := range c.routes {
		n += len(paths)
	}
	return n
}
