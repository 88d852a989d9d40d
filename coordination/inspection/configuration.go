package inspection

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/hawthornrock/hawthornrock/state/site"
)

// A Field is a value of a configuration with its place. Name is what its author calls it, At the number of bytes of the
// file before it. Fields that are not Set have the place of the object that lacks them.
type Field[T any] struct {
	Value T
	Name  string
	At    int
	Set   bool
}

// An Object is an entry of a list. Entry is what its author calls it, as "routes[3]", and At the number of bytes of the
// file before it.
type Object struct {
	Entry string
	At    int
}

// A Configuration is a configuration as its author wrote it. Unlike a site.Configuration it keeps entries that others
// replace.
type Configuration struct {
	Version       Field[int64]
	BodyBytes     Field[int64]
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	// KeysRequired is set if the configuration has a list of organisations, even an empty one.
	KeysRequired Field[bool]
}

// A Route is a route. It has either a Service or a Split.
type Route struct {
	Object
	Name      Field[string]
	Host      Field[string]
	Path      Field[string]
	Kind      Field[site.Kind]
	Timeout   Field[time.Duration]
	Target    Field[time.Duration]
	Priority  Field[int64]
	Attempts  Field[int64]
	Service   Field[string]
	Split     []Share
	Anonymous Field[bool]
	Resumable Field[bool]
}

// A Share is the share of a service in the requests of a route.
type Share struct {
	Object
	Service Field[string]
	Weight  Field[int64]
}

// A Service is a pool of servers. Engine is nil if they run no models.
type Service struct {
	Object
	Name          Field[string]
	ColdFor       Field[time.Duration]
	ColdPerSecond Field[float64]
	Engine        *Engine
}

// An Engine describes how the servers of a service run models; see site.Engine. MemoryTokens is the number of tokens that
// the requests of a batch may have together.
type Engine struct {
	Object
	Slots          Field[int64]
	Stride         Field[int64]
	Chunk          Field[int64]
	Step           Field[time.Duration]
	StepPerRequest Field[time.Duration]
	ReadPerSecond  Field[float64]
	Form           Field[time.Duration]
	LoadsPerSecond Field[float64]
	LoadsAtOnce    Field[int64]
	MemoryTokens   Field[float64]
	TypicalPrompt  Field[float64]
	TypicalAnswer  Field[float64]
	Models         []Model
}

// A Model is a model that an engine can run.
type Model struct {
	Object
	Name       Field[string]
	Size       Field[int64]
	Share      Field[float64]
	Pace       Field[float64]
	Load       Field[time.Duration]
	StagedLoad Field[time.Duration]
}

// An Organisation is one customer.
type Organisation struct {
	Object
	Name     Field[string]
	Priority Field[int64]
	// Keys has the name of the list of keys, and its place.
	Keys Field[[]Key]
}

// A Key is a key of an organisation. At is the number of bytes of the file before it.
type Key struct {
	Text string
	At   int
}

// keyField returns the key of o with the given index as a field.
func (o *Organisation) keyField(index int) Field[string] {
	key := o.Keys.Value[index]
	return Field[string]{Value: key.Text, Name: fmt.Sprintf("%s[%d]", o.Keys.Name, index), At: key.At, Set: true}
}

// keyCount returns the number of keys of all organisations.
func (c *Configuration) keyCount() int {
	out := 0
	for i := range c.Organisations {
		out += len(c.Organisations[i].Keys.Value)
	}
	return out
}

// asksForKeys returns whether callers of any route need a key.
func (c *Configuration) asksForKeys() bool {
	return c.KeysRequired.Value && slices.ContainsFunc(c.Routes, func(r Route) bool { return !r.Anonymous.Value })
}

// repeatable returns whether a request of r may be executed more than once.
func (r *Route) repeatable() bool {
	route := site.Route{Kind: r.Kind.Value, Resumable: r.Resumable.Value}
	return route.Repeatable()
}

// site returns what callers send to reach r: routes are the same to them if their site is.
func (r *Route) site() string { return strings.ToLower(r.Host.Value) + r.Path.Value }

// shares returns the services of r with positive weight, each with its fraction of the requests, in the order of the file.
func (r *Route) shares() []fraction {
	var (
		out   []fraction
		total float64
	)
	index := make(map[string]int, len(r.Split)+1)
	add := func(service string, weight float64) {
		if weight <= 0 {
			return
		}
		i, ok := index[service]
		if !ok {
			i = len(out)
			index[service] = i
			out = append(out, fraction{service: service})
		}
		out[i].of += weight
		total += weight
	}
	if r.Service.Value != "" {
		add(r.Service.Value, 1)
	}
	for i := range r.Split {
		add(r.Split[i].Service.Value, float64(r.Split[i].Weight.Value))
	}
	for i := range out {
		out[i].of /= total
	}
	return out
}

// A fraction is the fraction of requests that go to a service.
type fraction struct {
	service string
	of      float64
}
