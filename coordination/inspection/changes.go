package inspection

import (
	"fmt"
	"strings"
	"time"
)

// change adds what callers see of a difference. The place is that of f, in the configuration that is to be sent.
func change[T any](i *inspector, o Object, f Field[T], format string, args ...any) {
	at(i, Change, o, f, format, args...)
}

// changes reports the differences from the version in force.
func (i *inspector) changes() {
	next, inForce := i.Next, i.InForce
	before := i.Count(Change)
	if a, b := bodyLimit(inForce), bodyLimit(next); a != b {
		change(i, Object{}, next.BodyBytes, "bodies above %d bytes get 413; before, above %d", b, a)
	}
	i.routeChanges()
	i.keyChanges()
	i.serviceChanges()
	if i.Count(Change) == before && next.Version.Value > inForce.Version.Value {
		at(i, Remark, Object{}, next.Version, "the check finds no difference for callers from version %d", inForce.Version.Value)
	}
}

// bodyLimit returns the limit for bodies that is in force with c.
func bodyLimit(c *Configuration) int64 {
	if c.BodyBytes.Value <= 0 {
		return DefaultBodyBytes
	}
	return c.BodyBytes.Value
}

// routesBySite returns the routes that requests reach, by site.
func routesBySite(c *Configuration) map[string]*Route {
	out := make(map[string]*Route, len(c.Routes))
	for k := range c.Routes {
		out[c.Routes[k].site()] = &c.Routes[k]
	}
	return out
}

// maxParents bounds the shorter paths that are looked up for a route.
const maxParents = 64

// parentOf returns the route that serves the requests for the path of r without r, nil if they get 404.
func parentOf(routes map[string]*Route, r *Route) *Route {
	path := strings.TrimSuffix(r.Path.Value, "/")
	host := strings.ToLower(r.Host.Value)
	for range maxParents {
		end := strings.LastIndexByte(path, '/')
		if end < 0 {
			return nil
		}
		if parent := routes[host+path[:end+1]]; parent != nil {
			return parent
		}
		path = path[:end]
	}
	return nil
}

// routeChanges reports the differences between routes.
func (i *inspector) routeChanges() {
	was, is := routesBySite(i.InForce), routesBySite(i.Next)
	for k := range i.Next.Routes {
		r := &i.Next.Routes[k]
		switch old := was[r.site()]; {
		case is[r.site()] != r:
			// Another route replaces it.
		case old == nil:
			i.addf(Change, r.At, r.Entry, "requests for %s go to %s; before, they %s", Quote(r.site()), destination(r), pick(parentOf(was, r) == nil, "got 404", "were "+answeredBy(parentOf(was, r))))
		default:
			i.routeChange(old, r)
		}
	}
	for k := range i.InForce.Routes {
		r := &i.InForce.Routes[k]
		if was[r.site()] == r && is[r.site()] == nil {
			i.addf(Change, NoPlace, "", "requests for %s %s; before, they went to %s", Quote(r.site()), pick(parentOf(is, r) == nil, "get 404", "are "+answeredBy(parentOf(is, r))), destination(r))
		}
	}
}

// routeChange reports the differences between two versions of a route.
func (i *inspector) routeChange(old, r *Route) {
	o, path := r.Object, Quote(r.site())
	i.shareChange(old, r)
	if old.Kind.Value != r.Kind.Value {
		change(i, o, r.Kind, "a request for %s %s; before, it %s", path, kindWords[r.Kind.Value].is, kindWords[old.Kind.Value].was)
	}
	if a, b := old.repeatable(), r.repeatable(); a != b && old.Kind.Value == r.Kind.Value {
		change(i, o, r.Resumable, "%s", pick(b, "streams for "+path+" that break off go on at another server; before, they ended", "streams for "+path+" that break off end; before, they went on at another server"))
	}
	if a, b := max(old.Timeout.Value, 0), max(r.Timeout.Value, 0); a != b {
		change(i, o, r.Timeout, "requests for %s are given up %s; before, %s", path, limit(b), limit(a))
	}
	if a, b := old.Target.Value, r.Target.Value; a != b {
		change(i, o, r.Target, "answers to %s count as late after %v; before, after %v", path, b, a)
	}
	if a, b := old.Priority.Value, r.Priority.Value; a != b {
		change(i, o, r.Priority, "requests for %s have rank %d; before, %d (0 is the highest)", path, b, a)
	}
	if a, b := min(max(old.Attempts.Value, 1), MaxSends), min(max(r.Attempts.Value, 1), MaxSends); a != b {
		change(i, o, r.Attempts, "a request for %s runs on at most %d servers; before, %d", path, b, a)
	}
	if a, b := needsKey(i.InForce, old), needsKey(i.Next, r); a != b {
		change(i, o, r.Anonymous, "%s", pick(b, "callers of "+path+" without a key get 401; before, they needed none", "callers of "+path+" need no key; before, they got 401 without one"))
	}
}

// shareChange reports the difference between the services that two versions of a route send requests to.
func (i *inspector) shareChange(old, r *Route) {
	was, is := old.shares(), r.shares()
	before := make(map[string]float64, len(was))
	for _, s := range was {
		before[s.service] = s.of
	}
	var differing []string
	for _, s := range is {
		if before[s.service] != s.of {
			differing = append(differing, fmt.Sprintf("%s %.9g%% (before, %.9g%%)", Quote(s.service), 100*s.of, 100*before[s.service]))
		}
		delete(before, s.service)
	}
	switch a, b := destination(old), destination(r); {
	case len(differing) == 0 && len(before) == 0:
		// Only the order differs.
	case a != b:
		i.addf(Change, r.At, r.Entry, "requests for %s go to %s; before, to %s", Quote(r.site()), b, a)
	default:
		i.addf(Change, r.At, r.Entry, "the shares of services in the requests for %s differ: %s", Quote(r.site()), listed(differing))
	}
}

// listed returns the first of words, and how many there are beside them.
func listed(words []string) string {
	out := strings.Join(words[:min(len(words), maxNamed)], ", ")
	if len(words) > maxNamed {
		out += fmt.Sprintf(", %d more", len(words)-maxNamed)
	}
	return out
}

// needsKey returns whether callers of r need a key.
func needsKey(c *Configuration, r *Route) bool { return c.KeysRequired.Value && !r.Anonymous.Value }

// keyChanges reports the differences between the keys of organisations.
func (i *inspector) keyChanges() {
	if !i.Next.asksForKeys() {
		return
	}
	was, is := holders(i.InForce), holders(i.Next)
	for k := range i.Next.Organisations {
		i.keysOf(&i.Next.Organisations[k], was, is)
	}
	for k := range i.InForce.Organisations {
		o := &i.InForce.Organisations[k]
		withdrawn := 0
		for _, key := range o.Keys.Value {
			if is[key.Text] == nil && was[key.Text] == o {
				withdrawn++
			}
		}
		if withdrawn > 0 {
			i.addf(Change, NoPlace, "", "callers with %s of organisation %s get 401; before, answers", keys(withdrawn), Quote(o.Name.Value))
		}
	}
}

// keysOf reports the differences that callers with the keys of o see. The entries that hold a key are given by key.
func (i *inspector) keysOf(o *Organisation, was, is map[string]*Organisation) {
	var (
		name         = Quote(o.Name.Value)
		added, moved int
		ranked       int
		before       Field[int64]
	)
	for _, key := range o.Keys.Value {
		switch old := was[key.Text]; {
		case is[key.Text] != o:
			// A later entry has it.
		case old == nil:
			added++
		case old.Name.Value != o.Name.Value:
			moved++
		case old.Priority.Set != o.Priority.Set || old.Priority.Value != o.Priority.Value:
			ranked++
			before = old.Priority
		}
	}
	if added > 0 && i.InForce.KeysRequired.Value {
		i.addf(Change, o.At, o.Entry, "%s of organisation %s get answers; before, 401", keys(added), name)
	}
	if added > 0 && !i.InForce.KeysRequired.Value {
		i.addf(Change, o.At, o.Entry, "callers with %s count as organisation %s; before, as none", keys(added), name)
	}
	if moved > 0 {
		i.addf(Change, o.At, o.Entry, "callers with %s count as organisation %s; before, as another one", keys(moved), name)
	}
	if ranked > 0 {
		change(i, o.Object, o.Priority, "requests of organisation %s have %s (%s); before, %s", name, rank(o.Priority), keys(ranked), rank(before))
	}
}

// holders returns the entry of the organisation that each key counts as.
func holders(c *Configuration) map[string]*Organisation {
	out := make(map[string]*Organisation, c.keyCount())
	for k := range c.Organisations {
		for _, key := range c.Organisations[k].Keys.Value {
			out[key.Text] = &c.Organisations[k]
		}
	}
	return out
}

// serviceChanges reports the differences between services that both versions have.
func (i *inspector) serviceChanges() {
	was := make(map[string]*Service, len(i.InForce.Services))
	for k := range i.InForce.Services {
		was[i.InForce.Services[k].Name.Value] = &i.InForce.Services[k]
	}
	for k := range i.Next.Services {
		s := &i.Next.Services[k]
		old := was[s.Name.Value]
		if old == nil || i.services[s.Name.Value] != s {
			continue
		}
		name := Quote(s.Name.Value)
		if old.ColdFor.Value != s.ColdFor.Value || old.ColdPerSecond.Value != s.ColdPerSecond.Value {
			change(i, s.Object, s.ColdFor, "a server of %s that starts gets %s; before, %s", name, cold(s), cold(old))
		}
		switch {
		case (old.Engine == nil) != (s.Engine == nil):
			i.addf(Change, s.At, s.Entry, "%s", pick(s.Engine != nil, "requests for service "+name+" name a model; before, none", "requests for service "+name+" name no model; before, one"))
		case s.Engine != nil:
			i.engineChanges(name, old.Engine, s.Engine)
		}
	}
}

// engineChanges reports the differences between two versions of the engine of a service.
func (i *inspector) engineChanges(service string, old, e *Engine) {
	was, is := modelsByName(old), modelsByName(e)
	for k := range e.Models {
		m := &e.Models[k]
		switch earlier := was[m.Name.Value]; {
		case is[m.Name.Value] != m:
			// An earlier entry counts.
		case earlier == nil:
			i.addf(Change, m.At, m.Entry, "requests for model %s of service %s are served once its weights are loaded; before, they were refused", Quote(m.Name.Value), service)
		default:
			i.modelChange(earlier, m)
		}
	}
	for k := range old.Models {
		m := &old.Models[k]
		if was[m.Name.Value] == m && is[m.Name.Value] == nil {
			i.addf(Change, NoPlace, "", "requests for model %s of service %s are refused; before, they were served", Quote(m.Name.Value), service)
		}
	}
	if figures(old) != figures(e) {
		i.addf(Change, e.At, e.Entry, "daemons expect other times of service %s, by which they choose replicas and refuse what would be late", service)
	}
}

// modelChange reports the differences between two versions of a model.
func (i *inspector) modelChange(old, m *Model) {
	name := Quote(m.Name.Value)
	if old.Size.Value != m.Size.Value {
		change(i, m.Object, m.Size, "replicas of model %s have %d servers; before, %d: those that serve are replaced, and callers may be refused meanwhile", name, m.Size.Value, old.Size.Value)
	}
	if old.Share.Value != m.Share.Value {
		change(i, m.Object, m.Share, "replicas of model %s are formed for a share of %v until all models are asked for; before, %v", name, m.Share.Value, old.Share.Value)
	}
	if old.Pace.Value != m.Pace.Value || old.Load.Value != m.Load.Value || old.StagedLoad.Value != m.StagedLoad.Value {
		i.addf(Change, m.At, m.Entry, "daemons expect other times of model %s, by which they choose replicas and refuse what would be late", name)
	}
}

// modelsByName returns the models that requests reach, by name.
func modelsByName(e *Engine) map[string]*Model {
	out := make(map[string]*Model, len(e.Models))
	for k := range e.Models {
		if out[e.Models[k].Name.Value] == nil {
			out[e.Models[k].Name.Value] = &e.Models[k]
		}
	}
	return out
}

// figures returns what daemons expect times from.
func figures(e *Engine) [10]float64 {
	return [10]float64{
		float64(e.Slots.Value), float64(max(e.Stride.Value, 1)), float64(e.Chunk.Value), float64(e.Step.Value), float64(e.StepPerRequest.Value), e.ReadPerSecond.Value,
		float64(e.Form.Value), e.LoadsPerSecond.Value, float64(e.LoadsAtOnce.Value), e.TypicalAnswer.Value,
	}
}

// maxNamed bounds the services that a message names.
const maxNamed = 8

// destination returns the services of r in words.
func destination(r *Route) string {
	shares := r.shares()
	switch len(shares) {
	case 0:
		return "no service"
	case 1:
		return "service " + Quote(shares[0].service)
	}
	var words []string
	for _, s := range shares {
		words = append(words, fmt.Sprintf("%.3g%% %s", 100*s.of, Quote(s.service)))
	}
	return "services " + listed(words)
}

// answeredBy returns the route that serves requests in words.
func answeredBy(r *Route) string {
	if r == nil {
		return ""
	}
	return fmt.Sprintf("served by route %s (%s)", Quote(r.Name.Value), Quote(r.Path.Value))
}

// limit returns the time limit of a route in words.
func limit(d time.Duration) string {
	if d == 0 {
		return "when their callers say so"
	}
	return "after " + d.String()
}

// rank returns the priority of an organisation in words.
func rank(p Field[int64]) string {
	if !p.Set {
		return "the rank of their route"
	}
	return fmt.Sprintf("rank %d", p.Value)
}

// cold returns the limit of servers that start in words.
func cold(s *Service) string {
	if s.ColdPerSecond.Value <= 0 || s.ColdFor.Value <= 0 {
		return "its full share at once"
	}
	return fmt.Sprintf("%g requests a second for %v", s.ColdPerSecond.Value, s.ColdFor.Value)
}

// keys returns a number of keys in words.
func keys(n int) string {
	if n == 1 {
		return "1 key"
	}
	return fmt.Sprintf("%d keys", n)
}

// pick returns yes if ok is set and no otherwise.
func pick(ok bool, yes, no string) string {
	if ok {
		return yes
	}
	return no
}
