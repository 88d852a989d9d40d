package claim_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hawthornrock/hawthornrock/coordination/claim"
)

var histories = flag.Int("histories", 2000, "random histories of claims")

// A caller repeats one request at several daemons.
type caller struct {
	key  claim.Key
	runs int
}

// A daemon is one claimant of a history. read is the number of log entries that it has read.
type daemon struct {
	claimant claim.Claimant
	read     int
	calls    map[claim.ID]*caller
}

// A simulation is a log and the daemons that append claims to it. falseNotRun counts requests that
// ran after their caller was told that they had not.
type simulation struct {
	random      *rand.Rand
	now         time.Time
	log         [][]claim.Record
	daemons     []*daemon
	callers     []*caller
	next        byte
	falseNotRun int
	notRun      map[claim.ID]*caller
}

// reset puts d in the state of a process that has just started.
func (d *daemon) reset(n int) {
	*d = daemon{calls: make(map[claim.ID]*caller), claimant: claim.Claimant{
		Daemon: fmt.Sprint(n), SendWithin: time.Minute, Table: claim.Table{Window: time.Hour},
	}}
}

// append appends records to the log: twice if the response is lost and the append repeated, and
// not at all in an outage.
func (sim *simulation) append(records ...claim.Record) {
	switch sim.random.IntN(6) {
	case 0:
		sim.log = append(sim.log, records, records)
	case 1:
	default:
		sim.log = append(sim.log, records)
	}
}

// call sends the request of a random caller to a random daemon.
func (sim *simulation) call() {
	c, d := sim.callers[sim.random.IntN(len(sim.callers))], sim.daemons[sim.random.IntN(len(sim.daemons))]
	if !d.claimant.Ready {
		return
	}
	sim.next++
	id := claim.ID{sim.next, byte(sim.random.Uint32())}
	own, _, taken := d.claimant.Claim(sim.now, id, c.key)
	if taken {
		return
	}
	d.calls[id] = c
	sim.append(own)
}

// cancel lets d cancel one pending claim and report the request as not run to its caller.
func (sim *simulation) cancel(d *daemon) {
	for id, c := range d.calls {
		if d.claimant.Cancel(id) {
			sim.notRun[id] = c
			sim.append(claim.Record{ID: id, Key: c.key, Daemon: d.claimant.Daemon, Status: claim.StatusAbandoned})
			return
		}
	}
}

// readLog lets d read part of the rest of the log and run the requests whose claims it has won.
func (sim *simulation) readLog(d *daemon) {
	upTo := d.read + sim.random.IntN(len(sim.log)-d.read+1)
	for ; d.read < upTo; d.read++ {
		for _, r := range d.claimant.Apply(sim.now, sim.now, sim.log[d.read]) {
			if r.Won {
				sim.run(d, r.ID)
			}
		}
	}
	if upTo == len(sim.log) {
		d.claimant.Ready = true
	}
}

// run runs a request whose claim its daemon has won. Either the server refuses it, which proves
// that it did not run, or it runs and its end may or may not be recorded.
func (sim *simulation) run(d *daemon, id claim.ID) {
	c := d.calls[id]
	if sim.notRun[id] != nil {
		sim.falseNotRun++
	}
	record := claim.Record{ID: id, Key: c.key, Daemon: d.claimant.Daemon, Status: claim.StatusEnded}
	if sim.random.IntN(4) == 0 {
		record.Status = claim.StatusAbandoned
		sim.append(record)
		return
	}
	c.runs++
	if sim.random.IntN(2) == 0 {
		sim.append(record)
	}
}

// genSteps generates the sequence of steps of a history.
var genSteps = rapid.SliceOfN(rapid.SampledFrom([]string{"call", "call", "read", "read", "give_up", "restart", "pause"}), 20, 120)

func TestRandomClaims(t *testing.T) {
	for seed := range *histories {
		sim := &simulation{random: rand.New(rand.NewPCG(uint64(seed), 0)), now: start, notRun: make(map[claim.ID]*caller)}
		for n := range 3 {
			sim.callers = append(sim.callers, &caller{key: claim.Key{byte(n + 1)}})
			sim.daemons = append(sim.daemons, &daemon{})
			sim.daemons[n].reset(n)
		}
		steps := genSteps.Example(seed)
		for _, step := range steps {
			sim.now = sim.now.Add(time.Duration(sim.random.IntN(2000)) * time.Millisecond)
			n := sim.random.IntN(len(sim.daemons))
			switch step {
			case "call":
				sim.call()
			case "read":
				sim.readLog(sim.daemons[n])
			case "give_up":
				sim.cancel(sim.daemons[n])
			case "restart":
				sim.daemons[n].reset(n)
			case "pause":
				sim.now = sim.now.Add(90 * time.Second)
			}
		}
		for _, c := range sim.callers {
			require.LessOrEqual(t, c.runs, 1, "seed %d: a request ran twice: %v", seed, steps)
		}
		require.Zero(t, sim.falseNotRun, "seed %d: a request reported as not run was run: %v", seed, steps)
	}
}
