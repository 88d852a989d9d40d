package site

import (
	"strings"
	"time"
)

// A Kind tells whether a request may be executed more than once, and how it is answered.
type Kind int

// The kinds of request.
const (
	// NonIdempotent requests are executed at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may be executed more than once.
	Idempotent
	// Streaming requests are answered with a stream of events.
	Streaming
)

// A Route tells how requests to a host are served whose path begins with Path. Resumable streams
// can continue after a given event, Anonymous routes need no key, Target is the target latency, and
// Split divides the requests between services.
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

// A Share assigns a service a fraction of the requests of a route, in proportion to Weight.
type Share struct {
	Service string
	Weight  int
}

// Repeatable returns whether a request of r may be executed more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Service returns the service that a request is routed to, or "" if r has none. The same hash
// always selects the same service.
func (r *Route) Service(hash uint64) string {
	total := 0
	for _, s := range r.Split {
		total += s.Weight
	}
	if total <= 0 {
		return ""
	}
	point := int(hash % uint64(total))
	for _, s := range r.Split {
		if point -= s.Weight; point < 0 {
			return s.Service
		}
	}
	return ""
}

// An Organisation is one customer, whose callers authenticate with keys.
type Organisation struct {
	Name string
	// Priority overrides the priority of the route if HasPriority is set.
	Priority    int
	HasPriority bool
}

// Limits bound the requests of callers.
type Limits struct {
	BodyBytes int64
}

// A Configuration is one version of the configuration that operators have published.
type Configuration struct {
	Version  int64
	Limits   Limits
	Services map[string]*Service

	// routes holds the routes by lower-case host and path.
	routes       map[string]map[string]*Route
	keys         map[string]Organisation
	keysRequired bool
}

// AddRoute adds r and replaces an earlier route of the same host and path.
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

// AddKey registers key as a key of o.
func (c *Configuration) AddKey(key string, o Organisation) {
	if c.keys == nil {
		c.keys = make(map[string]Organisation)
	}
	c.keys[key] = o
}

// RequireKeys makes a key required on every route that is not anonymous.
func (c *Configuration) RequireKeys() { c.keysRequired = true }

// KeysRequired returns whether routes that are not anonymous need a key.
func (c *Configuration) KeysRequired() bool { return c.keysRequired }

// Organisation returns the organisation that key belongs to.
func (c *Configuration) Organisation(key string) (Organisation, bool) {
	o, ok := c.keys[key]
	return o, ok
}

// Match returns the route of host with the longest path that is a prefix of path. The path of every
// route ends with a slash.
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
