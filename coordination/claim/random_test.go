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
func (w *simulation) append(records ...claim.Record) {
	switch w.random.IntN(6) {
	case 0:
		w.log = append(w.log, records, records)
	case 1:
	default:
		w.log = append(w.log, records)
	}
}

// call sends the request of a random caller to a random daemon.
func (w *simulation) call() {
	c, d := w.callers[w.random.IntN(len(w.callers))], w.daemons[w.random.IntN(len(w.daemons))]
	if !d.claimant.Ready {
		return
	}
	w.next++
	id := claim.ID{w.next, byte(w.random.Uint32())}
	own, _, taken := d.claimant.Claim(w.now, id, c.key)
	if taken {
		return
	}
	d.calls[id] = c
	w.append(own)
}

// cancel lets d cancel one pending claim and report the request as not run to its caller.
func (w *simulation) cancel(d *daemon) {
	for id, c := range d.calls {
		if d.claimant.Cancel(id) {
			w.notRun[id] = c
			w.append(claim.Record{ID: id, Key: c.key, Daemon: d.claimant.Daemon, Status: claim.StatusAbandoned})
			return
		}
	}
}

// readLog lets d read part of the rest of the log and run the requests whose claims it has won.
func (w *simulation) readLog(d *daemon) {
	upTo := d.read + w.random.IntN(len(w.log)-d.read+1)
	for ; d.read < upTo; d.read++ {
		for _, r := range d.claimant.Apply(w.now, w.now, w.log[d.read]) {
			if r.Won {
				w.run(d, r.ID)
			}
		}
	}
	if upTo == len(w.log) {
		d.claimant.Ready = true
	}
}

// run runs a request whose claim its daemon has won. Either the server refuses it, which proves
// that it did not run, or it runs and its end may or may not be recorded.
func (w *simulation) run(d *daemon, id claim.ID) {
	c := d.calls[id]
	if w.notRun[id] != nil {
		w.falseNotRun++
	}
	record := claim.Record{ID: id, Key: c.key, Daemon: d.claimant.Daemon, Status: claim.StatusEnded}
	if w.random.IntN(4) == 0 {
		record.Status = claim.StatusAbandoned
		w.append(record)
		return
	}
	c.runs++
	if w.random.IntN(2) == 0 {
		w.append(record)
	}
}

// genSteps generates the sequence of steps of a history.
var genSteps = rapid.SliceOfN(rapid.SampledFrom([]string{"call", "call", "read", "read", "give_up", "restart", "pause"}), 20, 120)

func TestRandomClaims(t *testing.T) {
	for seed := range *histories {
		w := &simulation{random: rand.New(rand.NewPCG(uint64(seed), 0)), now: start, notRun: make(map[claim.ID]*caller)}
		for n := range 3 {
			w.callers = append(w.callers, &caller{key: claim.Key{byte(n + 1)}})
			w.daemons = append(w.daemons, &daemon{})
			w.daemons[n].reset(n)
		}
		steps := genSteps.Example(seed)
		for _, step := range steps {
			w.now = w.now.Add(time.Duration(w.random.IntN(2000)) * time.Millisecond)
			n := w.random.IntN(len(w.daemons))
			switch step {
			case "call":
				w.call()
			case "read":
				w.readLog(w.daemons[n])
			case "give_up":
				w.cancel(w.daemons[n])
			case "restart":
				w.daemons[n].reset(n)
			case "pause":
				w.now = w.now.Add(90 * time.Second)
			}
		}
		for _, c := range w.callers {
			require.LessOrEqual(t, c.runs, 1, "seed %d: a request ran twice: %v", seed, steps)
		}
		require.Zero(t, w.falseNotRun, "seed %d: a request reported as not run was run: %v", seed, steps)
	}
}
