package formation

import (
	"time"

	"github.com/hawthornrock/hawthornrock/state/site"
)

// A reportedPlace is the membership that one incarnation of a server reported itself, when asked at a time.
type reportedPlace struct {
	member  site.Membership
	born    int64
	askedAt time.Duration
}

// reportLag is how old what a server reports may be: the platform's documentation says some hundred milliseconds.
const reportLag = 500 * time.Millisecond

// firstTerm is the first term of a deployment.
const firstTerm = 1

// UnconfirmedServers returns the servers whose places were not known in the last step. Their reports are to be recorded, those
// that can't be earlier ones.
func (p *Planner) UnconfirmedServers() []site.Server { return p.unconfirmed }

// A placeAsk is how often a server was asked where it is in a row, and when it may be asked next.
type placeAsk struct {
	count  int
	nextAt time.Duration
}

const (
	// firstAskPause is the time to the second question to a server where it is, a few round trips. It doubles with each one, up
	// to maxAskPause, so that servers that can't be asked cost little.
	firstAskPause = 100 * time.Millisecond
	maxAskPause   = 3200 * time.Millisecond
	// maxAskDoublings is the number of doublings that reach maxAskPause.
	maxAskDoublings = 5
)

// askPlace makes server one of those to be asked where they are.
func (s *step) askPlace(server site.Server) {
	p := s.planner
	ask := p.placeAsks[server.ID]
	if s.now < ask.nextAt {
		return
	}
	ask.nextAt = s.now + min(firstAskPause<<min(ask.count, maxAskDoublings), maxAskPause)
	ask.count++
	p.placeAsks[server.ID] = ask
	p.unconfirmed = append(p.unconfirmed, server)
}

// RecordReport records the report of a server that was asked for it at askedAt.
func (p *Planner) RecordReport(askedAt time.Duration, server site.Server) {
	if last, ok := p.reported[server.ID]; !ok || askedAt >= last.askedAt {
		p.reported[server.ID] = reportedPlace{member: server.Member, born: server.Born, askedAt: askedAt}
	}
}

// confirmPlace returns whether server is known to be where the list shows it, so that the head of that replica is the one
// that has to stop before server is given away. The list may be older than the term, and than what the leader before has
// ordered. The place is known if the server is listed in a replica of this term, or has left it, and otherwise by its own
// report, which it is asked for. Before callers come, the first leader, whom no other went before, does not wait for it.
func (s *step) confirmPlace(server site.Server) bool {
	p, m := s.planner, server.Member
	if m.Epoch >= p.term*epochsPerTerm {
		return true
	}
	moved := p.movedAt[server.ID]
	if l, ok := p.left[server.ID]; ok && l.at >= moved {
		return true
	}
	knownFrom := max(moved, p.termStart) + reportLag
	if r, ok := p.reported[server.ID]; ok && r.askedAt >= knownFrom && r.born == server.Born && r.member.Group == m.Group && r.member.Epoch == m.Epoch {
		delete(p.placeAsks, server.ID)
		return true
	}
	if s.now >= knownFrom {
		s.askPlace(server)
	}
	return !s.fleet.TrafficStarted && p.term == firstTerm
}

// outdated returns whether the server itself reported, after the list last showed it in last, that it is not there.
func (s *step) outdated(id string, last seenMember) bool {
	r, ok := s.planner.reported[id]
	return ok && r.born == last.born && r.askedAt >= last.at+reportLag && r.member.Epoch < last.member.Epoch
}
