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

// A caller is one request that its caller repeats at several daemons.
type caller struct {
	key  claim.Key
	runs int
}

// A daemon is one claimant of a history, with what it has read of the log.
type daemon struct {
	claimant claim.Claimant
	read     int
	calls    map[claim.ID]*caller
}

// A world is a log and the daemons that claim on it.
type world struct {
	random  *rand.Rand
	now     time.Time
	log     [][]claim.Record
	daemons []*daemon
	callers []*caller
	next    byte
	falses  int
	notRun  map[claim.ID]*caller
}

// reset makes d a process that has just started.
func (d *daemon) reset(n int) {
	*d = daemon{calls: make(map[claim.ID]*caller), claimant: claim.Claimant{
		Daemon: fmt.Sprint(n), SendWithin: time.Minute, Table: claim.Table{Window: time.Hour},
	}}
}

// append appends records, and again where the answer is lost; nothing in an outage.
func (w *world) append(records ...claim.Record) {
	switch w.random.IntN(6) {
	case 0:
		w.log = append(w.log, records, records)
	case 1:
	default:
		w.log = append(w.log, records)
	}
}

// call lets a caller repeat its request at a daemon.
func (w *world) call() {
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

// giveUp lets a daemon give up a claim, and tell its caller that it was not run.
func (w *world) giveUp(d *daemon) {
	for id, c := range d.calls {
		if d.claimant.Cancel(id) {
			w.notRun[id] = c
			w.append(claim.Record{ID: id, Key: c.key, Daemon: d.claimant.Daemon, Status: claim.StatusAbandoned})
			return
		}
	}
}

// readOn lets a daemon read on and run what it has won.
func (w *world) readOn(d *daemon) {
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

// run runs a request that its daemon has won: the call is refused with proof, or
// runs and its end is or is not recorded.
func (w *world) run(d *daemon, id claim.ID) {
	c := d.calls[id]
	if w.notRun[id] != nil {
		w.falses++
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

// genSteps generates the steps of a history.
var genSteps = rapid.SliceOfN(rapid.SampledFrom([]string{"call", "call", "read", "read", "give_up", "restart", "pause"}), 20, 120)

func TestRandomClaims(t *testing.T) {
	for seed := range *histories {
		w := &world{random: rand.New(rand.NewPCG(uint64(seed), 0)), now: start, notRun: make(map[claim.ID]*caller)}
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
				w.readOn(w.daemons[n])
			case "give_up":
				w.giveUp(w.daemons[n])
			case "restart":
				w.daemons[n].reset(n)
			case "pause":
				w.now = w.now.Add(90 * time.Second)
			}
		}
		for _, c := range w.callers {
			require.LessOrEqual(t, c.runs, 1, "seed %d: a request ran twice: %v", seed, steps)
		}
		require.Zero(t, w.falses, "seed %d: a request said not to have run was run: %v", seed, steps)
	}
}
