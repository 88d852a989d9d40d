package gateway

import (
	"context"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/hawthornrock/hawthornrock/coordination/notice"
	"github.com/hawthornrock/hawthornrock/coordination/quarantine"
	"github.com/hawthornrock/hawthornrock/state/site"
)

const (
	// crashesKept bounds the crashes that a status tells of: all replicas of a few fabric
	// domains, and suspectsKept the requests of each: a server's slots and its queue.
	crashesKept  = 32
	suspectsKept = 128
	// crashesTold is how long a status tells of a crash.
	crashesTold = 10 * time.Second
	// completedKept bounds the requests whose end is kept: a minute of a busy daemon.
	completedKept = 4096
	// convictedFor is how long a request that crashes servers is refused.
	convictedFor = time.Minute
	// findingsTold bounds the findings that a heartbeat tells of.
	findingsTold = 16
)

// A toldCrash is a crash that statuses tell of.
type toldCrash struct {
	crash quarantine.Crash
	at    time.Time
}

// A counted says what became of a crash that was heard of or seen.
type counted struct {
	news bool
	// urgent means that it is not the first one under a request.
	urgent    bool
	convicted []quarantine.Fingerprint
}

// crashes are what this daemon knows of requests that crash servers. The zero value
// knows of none.
type crashes struct {
	mu        sync.Mutex
	register  quarantine.Register
	exposures quarantine.Exposures[notice.Life]
	told      []toldCrash
	// completed holds when requests last ran to their end here.
	completed map[quarantine.Fingerprint]time.Time
}

// episode names the crash of a life of a server.
func episode(l notice.Life) string { return l.Server + "/" + strconv.FormatInt(l.Born, 10) }

// late returns the latest crashes, to tell others of.
func (c *crashes) late(now time.Time) []quarantine.Crash {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.told = slices.DeleteFunc(c.told, func(t toldCrash) bool { return now.Sub(t.at) > crashesTold })
	var late []quarantine.Crash
	for _, t := range c.told[max(0, len(c.told)-crashesKept):] {
		t.crash.Age = now.Sub(t.at)
		late = append(late, t.crash)
	}
	return late
}

// confirm counts a crash that this daemon saw, or heard of from another one, and tells
// others of it if it is news.
func (c *crashes) confirm(now time.Time, crash quarantine.Crash) counted {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.register.QuarantineFor = convictedFor
	at := now.Add(-crash.Age)
	crash.Suspects, crash.Weak = c.incomplete(at, crash.Suspects), c.incomplete(at, crash.Weak)
	all := slices.Concat(crash.Suspects, crash.Weak)
	open := slices.DeleteFunc(all, func(f quarantine.Fingerprint) bool { return c.register.Verdict(now, f) == quarantine.Convicted })
	if !c.register.Add(now, crash) {
		return counted{}
	}
	c.tell(now, crash)
	return counted{
		news:   true,
		urgent: slices.ContainsFunc(open, func(f quarantine.Fingerprint) bool { return c.register.Crashes(f) > 1 }),
		convicted: slices.DeleteFunc(open, func(f quarantine.Fingerprint) bool {
			return c.register.Verdict(now, f) != quarantine.Convicted
		}),
	}
}

// incomplete returns the suspects that did not run to their end here lately, nor since the
// crash: as a rule, what does so does not crash servers. The caller holds the lock.
func (c *crashes) incomplete(at time.Time, suspects []quarantine.Fingerprint) []quarantine.Fingerprint {
	return slices.DeleteFunc(slices.Clone(suspects), func(f quarantine.Fingerprint) bool {
		return c.ranSince(f, at.Add(-convictedFor))
	})
}

// ranSince returns whether a request last ran to its end here after at. The caller holds the lock.
func (c *crashes) ranSince(f quarantine.Fingerprint, at time.Time) bool {
	completed, ok := c.completed[f]
	return ok && completed.After(at)
}

// tell lets statuses tell of a crash, together with what is known of the same one. The caller
// holds the lock.
func (c *crashes) tell(now time.Time, crash quarantine.Crash) {
	// Who saw it does not matter to others.
	crash.Daemon, crash.Server = "", ""
	i := slices.IndexFunc(c.told, func(t toldCrash) bool { return t.crash.Episode == crash.Episode && t.crash.Resent == crash.Resent })
	if i < 0 {
		c.told = append(c.told, toldCrash{crash: crash, at: now.Add(-crash.Age)})
		return
	}
	known := &c.told[i].crash
	known.Suspects, known.Weak = union(known.Suspects, crash.Suspects), union(known.Weak, crash.Weak)
}

// union returns the suspects of a and b, of which there may be a bounded number.
func union(a, b []quarantine.Fingerprint) []quarantine.Fingerprint {
	all := slices.Concat(a, b)
	slices.Sort(all)
	all = slices.Compact(all)
	return all[:min(len(all), suspectsKept)]
}

// verdict returns what is known of a request, and when that ends.
func (c *crashes) verdict(now time.Time, f quarantine.Fingerprint) (quarantine.Verdict, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.register.Verdict(now, f), c.register.ExpiresAt(f)
}

// mayRepeat returns whether a request may be sent once more as far as crashes go.
func (c *crashes) mayRepeat(now time.Time, f quarantine.Fingerprint) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.register.MayRetry(now, f, c.exposures.Incarnations(now, f))
}

// acquit clears a request that ran without crashing its server.
func (c *crashes) acquit(f quarantine.Fingerprint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.register.Acquit(f)
	c.exposures.Acquit(f)
	if c.completed == nil || len(c.completed) >= completedKept {
		c.completed = make(map[quarantine.Fingerprint]time.Time)
	}
	c.completed[f] = time.Now()
}

// expose notes that a server did not answer a request, although nothing shows that it ended.
func (c *crashes) expose(now time.Time, l notice.Life, f quarantine.Fingerprint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.exposures.Add(now, l, f)
}

// ended returns the crashes of the servers that turn out to be over.
func (c *crashes) ended(now time.Time, over func(notice.Life) bool) []quarantine.Crash {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []quarantine.Crash
	for l, weak := range c.exposures.Ended(now, over) {
		out = append(out, quarantine.Crash{Server: l.Server, Episode: episode(l), Weak: weak})
	}
	return out
}

// findings returns what heartbeats tell of, so that it outlives this process.
func (c *crashes) findings(now time.Time) []quarantine.Finding {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.register.Findings(now, findingsTold)
}

// learn takes findings that are told of in a heartbeat, and returns those that are news.
func (c *crashes) learn(now time.Time, told []quarantine.Finding) []quarantine.Finding {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.register.QuarantineFor = convictedFor
	return slices.DeleteFunc(slices.Clone(told), func(f quarantine.Finding) bool {
		return c.ranSince(f.Fingerprint, now.Add(-f.Age-convictedFor)) || !c.register.ApplyFinding(now, f)
	})
}

// hearCrashes takes crashes that another daemon saw.
func (g *Gateway) hearCrashes(m message) {
	for _, crash := range m.Crashes {
		g.countCrash(crash, m.From)
	}
}

// countCrash counts a crash. From names the daemon that told of it; empty if this one saw it.
func (g *Gateway) countCrash(crash quarantine.Crash, from string) {
	counted := g.crashes.confirm(time.Now(), crash)
	if counted.news {
		g.metrics.events.Add("crashes_counted", 1)
		g.logger.Info().Str("event", "server_crashed").Str("server", crash.Server).Str("episode", crash.Episode).Str("daemon", crash.Daemon).
			Str("from", from).Strs("suspects", fingerprints(crash.Suspects)).Strs("weak", fingerprints(crash.Weak)).Dur("age", crash.Age).
			Msg("server crashed under requests")
	}
	if counted.urgent {
		// Its caller may send it to another daemon at once.
		nudge(g.tellNow)
	}
	if len(counted.convicted) > 0 && from == "" {
		// It is to be known also after this process has ended.
		nudge(g.beatNow)
	}
	for _, f := range counted.convicted {
		g.metrics.events.Add("requests_convicted", 1)
		g.logger.Warn().Str("event", "request_convicted").Str("fingerprint", fingerprint(f)).Str("episode", crash.Episode).Str("from", from).
			Msg("request crashes servers and is refused")
	}
}

// fingerprint returns f as log lines show it.
func fingerprint(f quarantine.Fingerprint) string { return strconv.FormatUint(uint64(f), 16) }

// loggedSuspects bounds the suspects that a log line names.
const loggedSuspects = 16

// fingerprints returns the first of all as log lines show them.
func fingerprints(all []quarantine.Fingerprint) []string {
	var out []string
	for _, f := range all[:min(len(all), loggedSuspects)] {
		out = append(out, fingerprint(f))
	}
	return out
}

// suspects returns the crash of server under a, with all requests that it had not answered
// to their end: those that had part of their answer are weak suspects.
func (b *board) suspects(daemon string, server site.Server, a *attempt) quarantine.Crash {
	b.mu.Lock()
	defer b.mu.Unlock()
	crash := quarantine.Crash{Daemon: daemon, Server: server.ID, Episode: episode(lifeOf(server))}
	if a.resent && !a.started {
		crash.Resent = a.fingerprint
	}
	running := b.seat(a.target).attempts
	for other := range running {
		if other.started {
			crash.Weak = append(crash.Weak, other.fingerprint)
		} else {
			crash.Suspects = append(crash.Suspects, other.fingerprint)
		}
	}
	return crash
}

// lost finds out what became of server, which did not answer an attempt at c to its end.
func (g *Gateway) lost(ctx context.Context, c *call, a *attempt, server site.Server) {
	found := "unknown"
	if ctx.Err() == nil {
		found = g.lookAfter(c, a, server)
	} else {
		// The caller left, or the server was silent for too long.
		g.crashes.expose(time.Now(), lifeOf(server), c.fingerprint)
		g.tell(unanswered{})
	}
	g.metrics.events.Add("attempts_lost", 1)
	g.logger.Info().Str("event", "attempt_lost").Str("request", c.request.Attempt).Str("fingerprint", fingerprint(c.fingerprint)).
		Str("server", server.ID).Int64("born", server.Born).Bool("started", a.started).Str("found", found).Msg("no whole answer")
}

// lookAfter looks at a server whose connection broke under an attempt, and returns what it
// found. One that lives has lost an answer only, and may get new work at once.
func (g *Gateway) lookAfter(c *call, a *attempt, server site.Server) string {
	crash := g.board.suspects(g.settings.Daemon, server, a)
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	if g.sameLife(ctx, c, server) {
		if c.service.Engine != nil {
			g.board.answers(a.target)
		}
		return "lives"
	}
	c.crashes++
	g.countCrash(crash, "")
	return "crashed"
}

// sameLife returns whether a server still lives as it is listed. Servers of plain services tell
// no more than whether they listen.
func (g *Gateway) sameLife(ctx context.Context, c *call, server site.Server) bool {
	if c.service.Engine == nil {
		dialer := net.Dialer{}
		conn, err := dialer.DialContext(ctx, "tcp", server.Address)
		if err != nil {
			return false
		}
		g.metrics.events.Add("connections", 1)
		// Nothing was sent.
		_ = conn.Close()
		return true
	}
	g.metrics.events.Add("probes", 1)
	now, err := g.engines.Report(ctx, server)
	return err == nil && now.Born == server.Born
}

// An unanswered asks the control state to look whether servers that did not answer are over.
type unanswered struct{}

// suspectUnanswered counts the end of servers against the requests that they did not answer.
func (c *control) suspectUnanswered() {
	g := c.gateway
	for _, crash := range g.crashes.ended(time.Now(), func(l notice.Life) bool { return !c.lists(l) }) {
		crash.Daemon = g.settings.Daemon
		g.countCrash(crash, "")
	}
}

// learn takes the findings of another daemon, or of the life before, from a heartbeat.
func (g *Gateway) learn(h heartbeat) {
	age := max(time.Duration(time.Now().UnixMilli()-h.FoundAt)*time.Millisecond, 0)
	told := slices.Clone(h.Findings)
	for i := range told {
		told[i].Age += age
	}
	for _, f := range g.crashes.learn(time.Now(), told) {
		g.metrics.events.Add("findings_learned", 1)
		g.logger.Info().Str("event", "finding_learned").Str("fingerprint", fingerprint(f.Fingerprint)).Int("crashes", f.Crashes).
			Bool("convicted", f.Convicted).Dur("age", f.Age).Str("from", h.Daemon).Msg("another daemon knows of a request that crashes servers")
	}
}
