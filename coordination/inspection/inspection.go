// Package inspection decides what operators should know of a configuration before it is sent: errors, entries that can
// never match, limits that contradict each other, and what callers will see of the differences from the version in force.
package inspection

import (
	"strings"
	"time"

	"github.com/hawthornrock/hawthornrock/state/policy"
	"github.com/hawthornrock/hawthornrock/state/site"
)

const (
	// MaxSends is the largest number of servers that a daemon sends a request to.
	MaxSends = 4
	// DefaultBodyBytes is the limit for a body when a configuration has none.
	DefaultBodyBytes = 4 << 20
	// maxWeight is the largest weight of which millions can be added.
	maxWeight = 1 << 40
)

// A Request is what is inspected. InForce, Policy and Deployment are nil if they are not known.
type Request struct {
	Next       *Configuration
	InForce    *Configuration
	Policy     *policy.Policy
	Deployment *Deployment
}

// A Deployment is what the daemons' settings say.
type Deployment struct {
	// RetryRatio and RetrySlack bound the retries of all daemons; see site.Bounds.
	RetryRatio float64
	RetrySlack float64
	// MemoryMB is the memory of one daemon.
	MemoryMB int
}

// Inspect adds the findings about r to f. Differences are left out if f has errors already: they would include fields that
// could not be read.
func Inspect(f *Findings, r Request) {
	readable := f.Count(Error) == 0
	i := inspector{Findings: f, Request: r, services: make(map[string]*Service, len(r.Next.Services))}
	i.limits()
	i.indexServices()
	i.routes()
	i.unnamedServices()
	i.engines()
	i.organisations()
	if r.Policy != nil {
		i.policy()
	}
	if r.InForce != nil && readable {
		i.changes()
	}
}

// An inspector holds the state of one inspection.
type inspector struct {
	*Findings
	Request
	// services are the services that requests reach, by name, and named those that a route sends requests to.
	services map[string]*Service
	named    map[string]bool
}

// at adds a finding about a field of an object.
func at[T any](i *inspector, weight Weight, o Object, f Field[T], format string, args ...any) {
	path := f.Name
	if o.Entry != "" {
		path = o.Entry + "." + f.Name
	}
	i.addf(weight, f.At, path, format, args...)
}

// limits inspects what holds for the whole configuration.
func (i *inspector) limits() {
	n := i.Next
	switch {
	case n.Version.Value <= 0:
		at(i, Error, Object{}, n.Version, "is missing or not positive; daemons refuse the configuration")
	case i.InForce != nil && n.Version.Value <= i.InForce.Version.Value:
		at(i, Error, Object{}, n.Version, "%d is not above %d, the version in force; daemons ignore the configuration", n.Version.Value, i.InForce.Version.Value)
	}
	if n.BodyBytes.Set && n.BodyBytes.Value <= 0 {
		at(i, Contradiction, Object{}, n.BodyBytes, "%d is not positive; daemons use %d bytes", n.BodyBytes.Value, DefaultBodyBytes)
	}
	if d := i.Deployment; d != nil && d.MemoryMB > 0 && n.BodyBytes.Value > int64(d.MemoryMB)<<20 {
		at(i, Contradiction, Object{}, n.BodyBytes, "%d bytes are more than the %d MB of memory of a daemon: one body can end it", n.BodyBytes.Value, d.MemoryMB)
	}
	if len(n.Routes) == 0 {
		i.addf(NeverMatches, 0, "", "the configuration has no routes: all callers get 404")
	}
}

// indexServices inspects the names of services and their models.
func (i *inspector) indexServices() {
	for k := range i.Next.Services {
		s := &i.Next.Services[k]
		if earlier := i.services[s.Name.Value]; earlier != nil {
			at(i, NeverMatches, earlier.Object, earlier.Name, "service %s is described again by %s, which counts", Quote(s.Name.Value), s.Entry)
		}
		if s.Name.Value == "" {
			at(i, NeverMatches, s.Object, s.Name, "the service has no name: no route can name it")
		}
		i.services[s.Name.Value] = s
	}
}

// routes inspects all routes.
func (i *inspector) routes() {
	i.named = make(map[string]bool, len(i.Next.Services))
	reached := routesBySite(i.Next)
	names := make(map[string]*Route, len(i.Next.Routes))
	for k := range i.Next.Routes {
		r := &i.Next.Routes[k]
		if later := reached[r.site()]; later != r {
			at(i, NeverMatches, r.Object, r.Path, "route %s is hidden by route %s (%s), which has the same host and path", Quote(r.Name.Value), Quote(later.Name.Value), later.Entry)
		} else {
			i.split(r)
		}
		if earlier := names[r.Name.Value]; earlier != nil && earlier.site() != r.site() {
			at(i, Remark, r.Object, r.Name, "%s also has the name %s: logs do not tell them apart", earlier.Entry, Quote(r.Name.Value))
		}
		names[r.Name.Value] = r
		i.pattern(r)
		i.times(r)
		i.attempts(r)
		if r.Priority.Value < 0 {
			at(i, Contradiction, r.Object, r.Priority, "%d is above the highest rank, which is 0", r.Priority.Value)
		}
	}
}

// pattern inspects the host and path of a route.
func (i *inspector) pattern(r *Route) {
	host, path := r.Host.Value, r.Path.Value
	if !strings.HasPrefix(path, "/") || !strings.HasSuffix(path, "/") {
		at(i, Error, r.Object, r.Path, "%s does not begin and end with a slash; daemons refuse the configuration", Quote(path))
	} else if strings.ContainsFunc(path, func(c rune) bool { return c <= ' ' || c == 0x7f || c == '?' || c == '#' }) {
		at(i, NeverMatches, r.Object, r.Path, "%s has a character that no path of a request has", Quote(path))
	}
	if host == "" || strings.ContainsFunc(host, func(c rune) bool { return c <= ' ' || c == 0x7f || c == '/' || c == '@' }) {
		at(i, NeverMatches, r.Object, r.Host, "%s is no name of a host: no request has it", Quote(host))
	}
}

// split inspects the services of a route that requests reach.
func (i *inspector) split(r *Route) {
	if r.Service.Value != "" && len(r.Split) > 0 {
		at(i, Contradiction, r.Object, r.Service, "the route has a split too; %s takes part in it with weight 1", Quote(r.Service.Value))
	}
	if r.Service.Value != "" {
		i.serviceOf(r, r.Object, r.Service)
	}
	for k := range r.Split {
		s := &r.Split[k]
		if s.Weight.Value > 0 {
			i.serviceOf(r, s.Object, s.Service)
		}
		switch {
		case s.Weight.Value < 0:
			at(i, Error, s.Object, s.Weight, "%d is negative: other services lose requests that nobody gets", s.Weight.Value)
		case s.Weight.Value > maxWeight:
			at(i, Error, s.Object, s.Weight, "%d is above %d: the sum of the weights may overflow", s.Weight.Value, int64(maxWeight))
		case s.Weight.Value == 0:
			at(i, NeverMatches, s.Object, s.Weight, "weight 0: service %s gets no request of route %s", Quote(s.Service.Value), Quote(r.Name.Value))
		}
	}
	if len(r.shares()) == 0 {
		i.addf(Error, r.At, r.Entry, "route %s sends requests to no service: callers get 503", Quote(r.Name.Value))
	}
}

// serviceOf inspects the name of a service that gets requests of a route.
func (i *inspector) serviceOf(r *Route, o Object, name Field[string]) {
	i.named[name.Value] = true
	if i.services[name.Value] == nil {
		at(i, Error, o, name, "service %s does not exist: callers of route %s get 503", Quote(name.Value), Quote(r.Name.Value))
	}
}

// times inspects the time limit and the target of a route.
func (i *inspector) times(r *Route) {
	timeout, target := r.Timeout.Value, r.Target.Value
	if r.Timeout.Set && timeout <= 0 {
		at(i, Contradiction, r.Object, r.Timeout, "%v is not positive: the route has no time limit of its own", timeout)
	}
	if target < 0 {
		at(i, Contradiction, r.Object, r.Target, "%v is negative", target)
	}
	if timeout > 0 && timeout < target {
		at(i, Contradiction, r.Object, r.Timeout, "requests are given up after %v, before their target of %v has passed", timeout, target)
	}
	for _, share := range r.shares() {
		if s := i.services[share.service]; s != nil && s.Engine != nil {
			i.engineTimes(r, s)
		}
	}
}

// engineTimes compares the time limit and the target of a route with what the engine of s reaches on an idle replica.
func (i *inspector) engineTimes(r *Route, s *Service) {
	timeout, target := r.Timeout.Value, r.Target.Value
	fastest, slowest := s.Engine.extremes()
	if fastest == nil {
		return
	}
	first := s.Engine.firstEvent(fastest, 1)
	switch {
	case timeout > 0 && timeout < first:
		at(i, NeverMatches, r.Object, r.Timeout, "%v is below the %v that the fastest model of service %s, %s, needs for its first event: no request is answered in time",
			timeout, round(first), Quote(s.Name.Value), Quote(fastest.Name.Value))
	case target > 0 && target < first:
		at(i, NeverMatches, r.Object, r.Target, "%v is below the %v that the fastest model of service %s, %s, needs for its first event: all answers are late",
			target, round(first), Quote(s.Name.Value), Quote(fastest.Name.Value))
	default:
		usual := s.Engine.firstEvent(slowest, s.Engine.TypicalPrompt.Value)
		if target > 0 && target < usual {
			at(i, Contradiction, r.Object, r.Target, "%v is below the %v that model %s of service %s needs for its first event after a usual prompt, on an idle replica",
				target, round(usual), Quote(slowest.Name.Value), Quote(s.Name.Value))
		}
	}
	whole := s.Engine.wholeAnswer(slowest)
	if timeout >= first && timeout > 0 && timeout < whole {
		at(i, Contradiction, r.Object, r.Timeout, "%v is below the %v that model %s of service %s needs for a usual answer, on an idle replica: answers are cut",
			timeout, round(whole), Quote(slowest.Name.Value), Quote(s.Name.Value))
	}
}

// attempts inspects how often a request of r may be sent.
func (i *inspector) attempts(r *Route) {
	switch n := r.Attempts.Value; {
	case n < 0:
		at(i, Contradiction, r.Object, r.Attempts, "%d is negative; daemons use 1", n)
	case n > MaxSends:
		at(i, NeverMatches, r.Object, r.Attempts, "%d is above %d, the most servers that a request is sent to", n, MaxSends)
	case n > 1 && !r.repeatable():
		at(i, NeverMatches, r.Object, r.Attempts, "%d has no effect: a request of this kind that may have run is not sent again", n)
	case n > 1 && i.Deployment != nil && i.Deployment.RetryRatio <= 0 && i.Deployment.RetrySlack <= 0:
		at(i, Contradiction, r.Object, r.Attempts, "%d has no effect: the retry budget of the deployment is 0", n)
	}
}

// unnamedServices reports services and models that no route reaches.
func (i *inspector) unnamedServices() {
	for k := range i.Next.Services {
		s := &i.Next.Services[k]
		if i.services[s.Name.Value] == s && s.Name.Value != "" && !i.named[s.Name.Value] {
			models := ""
			if s.Engine != nil && len(s.Engine.Models) > 0 {
				models = ", nor does a request reach its models"
			}
			at(i, NeverMatches, s.Object, s.Name, "no route sends requests to service %s%s", Quote(s.Name.Value), models)
		}
	}
}

// organisations inspects organisations and their keys.
func (i *inspector) organisations() {
	n := i.Next
	names := make(map[string]*Organisation, len(n.Organisations))
	for k := range n.Organisations {
		o := &n.Organisations[k]
		if earlier := names[o.Name.Value]; earlier != nil {
			at(i, Remark, o.Object, o.Name, "%s also has the name %s: both count as one organisation", earlier.Entry, Quote(o.Name.Value))
		}
		names[o.Name.Value] = o
		if o.Name.Value == "" {
			at(i, Contradiction, o.Object, o.Name, "the organisation has no name: servers are not told whose requests they run")
		}
		if len(o.Keys.Value) == 0 {
			i.addf(NeverMatches, o.At, o.Entry, "organisation %s has no key: nobody can call for it", Quote(o.Name.Value))
		}
		if o.Priority.Value < 0 {
			at(i, Contradiction, o.Object, o.Priority, "%d is above the highest rank, which is 0", o.Priority.Value)
		}
	}
	i.keys()
	keys := n.keyCount()
	switch {
	case keys == 0 && n.asksForKeys():
		at(i, Error, Object{}, n.KeysRequired, "there is no key: all callers of routes that need one get 401")
	case keys > 0 && !n.asksForKeys() && len(n.Routes) > 0:
		at(i, NeverMatches, Object{}, n.KeysRequired, "all routes are anonymous: no key is ever asked for")
	}
}

// keys inspects the keys of all organisations.
func (i *inspector) keys() {
	type holder struct{ organisation, key int32 }
	holders := make(map[string]holder, i.Next.keyCount())
	for k := range i.Next.Organisations {
		o := &i.Next.Organisations[k]
		for j, key := range o.Keys.Value {
			if key.Text == "" {
				at(i, Error, o.Object, o.keyField(j), "the key is empty: everybody who sends no key calls as organisation %s", Quote(o.Name.Value))
			} else if strings.TrimSpace(key.Text) != key.Text || strings.ContainsFunc(key.Text, func(c rune) bool { return c < ' ' || c == 0x7f }) {
				at(i, NeverMatches, o.Object, o.keyField(j), "the key has a space at an end or a control character: no request can carry it")
			} else if earlier, ok := holders[key.Text]; ok {
				i.heldTwice(&i.Next.Organisations[earlier.organisation], int(earlier.key), o)
			}
			holders[key.Text] = holder{organisation: int32(k), key: int32(j)}
		}
	}
}

// heldTwice reports that organisation o, later in the list, holds the same key as an earlier one.
func (i *inspector) heldTwice(earlier *Organisation, key int, o *Organisation) {
	if earlier.Name.Value == o.Name.Value {
		at(i, NeverMatches, earlier.Object, earlier.keyField(key), "the key is listed again in %s", o.Entry)
		return
	}
	at(i, NeverMatches, earlier.Object, earlier.keyField(key), "organisation %s (%s) holds the same key: its callers count as organisation %s, never as %s",
		Quote(o.Name.Value), o.Entry, Quote(o.Name.Value), Quote(earlier.Name.Value))
}

// round returns d with three digits at most, for messages.
func round(d time.Duration) time.Duration {
	switch {
	case d < time.Millisecond:
		return d.Round(time.Microsecond)
	case d < time.Second:
		return d.Round(100 * time.Microsecond)
	}
	return d.Round(10 * time.Millisecond)
}

// kindWords say what happens to requests of a kind, and what happened to them before a change.
var kindWords = map[site.Kind]struct{ is, was string }{
	site.NonIdempotent: {"runs at most once", "ran at most once"},
	site.Idempotent:    {"may run more than once", "might run more than once"},
	site.Streaming:     {"is answered with a stream", "was answered with a stream"},
}
