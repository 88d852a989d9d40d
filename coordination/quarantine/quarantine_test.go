package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hawthornrock/hawthornrock/coordination/histories"
	"github.com/hawthornrock/hawthornrock/coordination/quarantine"
)

func TestMain(m *testing.M) {
	histories.FixSeed(1, 500)
	m.Run()
}

const (
	// maxCrashes is the number of crashes after which a request must be refused, and maxLaterCrashes
	// the number that it may cause after that, by the users' rule on requests that crash servers.
	maxCrashes      = 3
	maxLaterCrashes = 3
)

var start = time.Date(2026, 12, 4, 5, 0, 0, 0, time.UTC)

func ExampleRegister_Findings() {
	register := quarantine.Register{QuarantineFor: time.Minute}
	for n := range 3 {
		register.Add(start, quarantine.Crash{Episode: fmt.Sprint(n), Weak: []quarantine.Fingerprint{7}})
	}
	later := start.Add(time.Second)
	another := quarantine.Register{QuarantineFor: time.Minute}
	for _, finding := range register.Findings(later, 10) {
		another.ApplyFinding(later, finding)
	}
	fmt.Println(another.Verdict(later, 7) == quarantine.Convicted)
	// Output: true
}

func ExampleRegister() {
	register := quarantine.Register{QuarantineFor: 10 * time.Minute}
	f := quarantine.FingerprintOf("bakery", "decoration", []byte("a request that crashes servers"))
	register.Add(start, quarantine.Crash{Episode: "one", Suspects: []quarantine.Fingerprint{f, 7}})
	later := start.Add(time.Second)
	register.Add(later, quarantine.Crash{Episode: "two", Suspects: []quarantine.Fingerprint{f}})
	fmt.Println(register.Verdict(later, f) == quarantine.Convicted, register.Verdict(later, 7) == quarantine.Suspect)
	// Output: true true
}

func TestRegister(t *testing.T) {
	crash := func(episode string, suspects ...quarantine.Fingerprint) quarantine.Crash {
		return quarantine.Crash{Episode: episode, Suspects: suspects}
	}
	for _, tc := range []struct {
		name    string
		crashes []quarantine.Crash
		after   time.Duration
		want    map[quarantine.Fingerprint]quarantine.Verdict
	}{
		{"one_crash_convicts_nobody", []quarantine.Crash{crash("a", 1)}, 0, map[quarantine.Fingerprint]quarantine.Verdict{1: quarantine.Suspect}},
		{"same_crash_twice_is_one", []quarantine.Crash{crash("a", 1), crash("a", 1)}, 0, map[quarantine.Fingerprint]quarantine.Verdict{1: quarantine.Suspect}},
		{"second_crash_alone_convicts", []quarantine.Crash{crash("a", 1, 2, 3), crash("b", 1)}, 0, map[quarantine.Fingerprint]quarantine.Verdict{
			1: quarantine.Convicted, 2: quarantine.Suspect, 3: quarantine.Suspect,
		}},
		{"second_crash_among_strangers_convicts", []quarantine.Crash{crash("a", 1, 2), crash("b", 1, 8, 9)}, 0, map[quarantine.Fingerprint]quarantine.Verdict{
			1: quarantine.Convicted, 2: quarantine.Suspect, 8: quarantine.Suspect,
		}},
		{"two_suspects_in_the_second_crash_convict_nobody", []quarantine.Crash{crash("a", 1, 2), crash("b", 1, 2)}, 0, map[quarantine.Fingerprint]quarantine.Verdict{
			1: quarantine.Suspect, 2: quarantine.Suspect,
		}},
		{"findings_end", []quarantine.Crash{crash("a", 1), crash("b", 1)}, time.Hour, map[quarantine.Fingerprint]quarantine.Verdict{1: quarantine.Clear}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			register := quarantine.Register{QuarantineFor: 10 * time.Minute}
			at := start
			for _, c := range tc.crashes {
				register.Add(at, c)
				at = at.Add(time.Second)
			}
			for f, want := range tc.want {
				require.Equal(t, want, register.Verdict(at.Add(tc.after), f), "fingerprint %d", f)
			}
		})
	}
}

// TestCompanionsDoNotHideACrashingRequest guards against an exceeded budget of crashes (BUDGET):
// a request that is never the only suspect of a crash would never be refused.
func TestCompanionsDoNotHideACrashingRequest(t *testing.T) {
	register := quarantine.Register{QuarantineFor: time.Minute}
	at := start
	for n := range quarantine.Fingerprint(maxCrashes) {
		// Two other requests were at the server as well, one of them for the second time.
		register.Add(at, quarantine.Crash{Episode: fmt.Sprint(n), Suspects: []quarantine.Fingerprint{1, 100 + n, 101 + n}})
		at = at.Add(time.Second)
	}
	require.Equal(t, quarantine.Convicted, register.Verdict(at, 1))
	require.NotEqual(t, quarantine.Convicted, register.Verdict(at, 102), "it was at two of the servers")
}

// TestCallerThatNeverGivesUp guards against an exceeded budget of crashes (BUDGET): with a
// conviction that expires after a minute, a persistent caller would crash two more servers each
// minute.
func TestCallerThatNeverGivesUp(t *testing.T) {
	register := quarantine.Register{QuarantineFor: time.Minute}
	crashes := 0
	for at := start; at.Before(start.Add(time.Hour)); at = at.Add(10 * time.Second) {
		if register.Verdict(at, 1) != quarantine.Convicted {
			crashes++
			register.Add(at, quarantine.Crash{Episode: fmt.Sprint(crashes), Suspects: []quarantine.Fingerprint{1}})
		}
	}
	require.LessOrEqual(t, crashes, maxCrashes+maxLaterCrashes)
}

func TestRegisterAcquits(t *testing.T) {
	register := quarantine.Register{QuarantineFor: time.Minute}
	register.Add(start, quarantine.Crash{Episode: "a", Suspects: []quarantine.Fingerprint{1}})
	register.Acquit(1)
	require.Equal(t, quarantine.Clear, register.Verdict(start, 1))
}

func TestFingerprintsOfOrganisationsDiffer(t *testing.T) {
	require.NotEqual(t, quarantine.FingerprintOf("a", "d", []byte("x")), quarantine.FingerprintOf("b", "d", []byte("x")))
}

func TestServersThatCrashTogetherAreOneIncident(t *testing.T) {
	for _, tc := range []struct {
		name  string
		apart time.Duration
		want  quarantine.Verdict
	}{
		{"together", quarantine.IncidentWindow - time.Millisecond, quarantine.Suspect},
		{"one_after_the_other", quarantine.IncidentWindow, quarantine.Convicted},
	} {
		t.Run(tc.name, func(t *testing.T) {
			register := quarantine.Register{QuarantineFor: time.Minute}
			register.Add(start, quarantine.Crash{Episode: "a", Suspects: []quarantine.Fingerprint{1}})
			register.Add(start.Add(tc.apart), quarantine.Crash{Episode: "b", Suspects: []quarantine.Fingerprint{1}})
			require.Equal(t, tc.want, register.Verdict(start.Add(tc.apart), 1))
		})
	}
}

func TestSuspectsOfAllDaemonsRunInOneOrder(t *testing.T) {
	register := quarantine.Register{QuarantineFor: time.Minute}
	register.Add(start, quarantine.Crash{Daemon: "a", Episode: "x", Suspects: []quarantine.Fingerprint{9, 3}})
	register.Add(start, quarantine.Crash{Daemon: "b", Episode: "x", Suspects: []quarantine.Fingerprint{5}})
	require.Equal(t, []int{0, 1, 2}, []int{register.Rank(3), register.Rank(5), register.Rank(9)})
	require.Zero(t, register.Rank(42))
}

// TestWeakSuspects guards against the refusal of streams that happened to run on two servers that
// crashed, and against requests whose crashes are never recorded as strong.
func TestWeakSuspects(t *testing.T) {
	weak := func(episode string) quarantine.Crash {
		return quarantine.Crash{Episode: episode, Weak: []quarantine.Fingerprint{1}}
	}
	strong := func(episode string) quarantine.Crash {
		return quarantine.Crash{Episode: episode, Suspects: []quarantine.Fingerprint{1}}
	}
	for _, tc := range []struct {
		name    string
		crashes []quarantine.Crash
		want    quarantine.Verdict
	}{
		{"two_weak", []quarantine.Crash{weak("a"), weak("b")}, quarantine.Suspect},
		{"weak_and_strong", []quarantine.Crash{weak("a"), strong("b")}, quarantine.Suspect},
		{"weak_then_strong_in_one_crash", []quarantine.Crash{weak("a"), strong("a"), strong("b")}, quarantine.Convicted},
		{"strong_then_weak_in_one_crash", []quarantine.Crash{strong("a"), weak("a"), strong("b")}, quarantine.Convicted},
		{"three_weak", []quarantine.Crash{weak("a"), weak("b"), weak("c")}, quarantine.Convicted},
	} {
		t.Run(tc.name, func(t *testing.T) {
			register := quarantine.Register{QuarantineFor: time.Minute}
			at := start
			for _, c := range tc.crashes {
				at = at.Add(time.Second)
				register.Add(at, c)
			}
			require.Equal(t, tc.want, register.Verdict(at, 1))
		})
	}
}

// TestMayRepeat guards against a retry that crashes one more server before the crash of the
// previous one is known.
func TestMayRepeat(t *testing.T) {
	for _, tc := range []struct {
		name                string
		crashes, unanswered int
		want                bool
	}{
		{"clear", 0, 3, true},
		{"one_crash", 1, 1, true},
		{"one_crash_and_two_unanswered", 1, 2, false},
		{"two_crashes", 2, 0, true},
		{"two_crashes_and_one_unanswered", 2, 1, false},
		{"convicted", 3, 0, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			register := quarantine.Register{QuarantineFor: time.Minute}
			for n := range tc.crashes {
				register.Add(start, quarantine.Crash{Episode: fmt.Sprint(n), Weak: []quarantine.Fingerprint{1}})
			}
			require.Equal(t, tc.want, register.MayRetry(start, 1, tc.unanswered))
		})
	}
}

// TestConvictionsAreKept guards against an exceeded budget of crashes (BUDGET): many innocent
// suspects would evict a request that crashes servers.
func TestConvictionsAreKept(t *testing.T) {
	register := quarantine.Register{QuarantineFor: time.Minute}
	for n := range maxCrashes {
		register.Add(start, quarantine.Crash{Episode: fmt.Sprint(n), Suspects: []quarantine.Fingerprint{1}})
	}
	const innocents = 10_000
	for n := range innocents {
		register.Add(start.Add(time.Second), quarantine.Crash{Episode: "innocent", Suspects: []quarantine.Fingerprint{quarantine.Fingerprint(1000 + n)}})
	}
	require.Equal(t, quarantine.Convicted, register.Verdict(start.Add(2*time.Second), 1))
}

// TestRandomReports guards against daemons with different views of the same crashes: the verdict
// does not depend on the order in which reports arrive, nor on duplicates.
func TestRandomReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		suspects := rapid.SliceOfN(rapid.Map(rapid.Uint64Range(1, 6), func(n uint64) quarantine.Fingerprint { return quarantine.Fingerprint(n) }), 0, 4)
		reports := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) quarantine.Crash {
			return quarantine.Crash{
				Episode: rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "episode"), Suspects: suspects.Draw(t, "suspects"), Weak: suspects.Draw(t, "weak"),
			}
		}), 1, 12).Draw(t, "reports")
		at := map[string]time.Time{"a": start, "b": start.Add(time.Second), "c": start.Add(2 * time.Second), "d": start.Add(3 * time.Second)}
		one, other := quarantine.Register{QuarantineFor: time.Hour}, quarantine.Register{QuarantineFor: time.Hour}
		for _, c := range reports {
			one.Add(at[c.Episode], c)
		}
		for _, c := range append(rapid.Permutation(reports).Draw(t, "order"), reports...) {
			other.Add(at[c.Episode], c)
		}
		now := start.Add(time.Minute)
		for f := range quarantine.Fingerprint(7) {
			require.Equal(t, one.Verdict(now, f), other.Verdict(now, f), "fingerprint %d", f)
		}
	})
}

// A fleet is the daemons of a random history, and the findings that each published last.
type fleet struct {
	registers [4]quarantine.Register
	published [4][]quarantine.Finding
	crashes   int
}

// maxFindings is the maximum number of findings that a daemon publishes.
const maxFindings = 16

// restart restarts a daemon, which then reads the last findings of all daemons, including its
// own from before the restart.
func (f *fleet) restart(i int, at time.Time) {
	f.registers[i] = quarantine.Register{QuarantineFor: time.Minute}
	for _, findings := range f.published {
		for _, finding := range findings {
			f.registers[i].ApplyFinding(at, finding)
		}
	}
}

// send has a daemon send a request that crashes its server, unless it refuses it, together with
// an innocent one that another server completes.
func (f *fleet) send(i int, at time.Time, poison, innocent quarantine.Fingerprint, weak bool) {
	if f.registers[i].Verdict(at, poison) == quarantine.Convicted {
		return
	}
	f.crashes++
	c := quarantine.Crash{Episode: fmt.Sprint(f.crashes), Suspects: []quarantine.Fingerprint{poison, innocent}}
	if weak {
		c.Suspects, c.Weak = nil, c.Suspects
	}
	for j := range f.registers {
		f.registers[j].Add(at, c)
		f.registers[j].Acquit(innocent)
		f.published[j] = f.registers[j].Findings(at, maxFindings)
	}
}

// TestRandomCallers guards against an exceeded budget of crashes (BUDGET) over random histories
// of several daemons: a request that crashes servers is refused everywhere after a few crashes,
// whichever daemons restart, and no other request is refused.
func TestRandomCallers(t *testing.T) {
	const poison, innocent, rounds = 1, 10, 60
	rapid.Check(t, func(t *rapid.T) {
		var f fleet
		for i := range f.registers {
			f.restart(i, start)
		}
		for round := range rounds {
			at := start.Add(time.Duration(round) * time.Second)
			i := rapid.IntRange(0, len(f.registers)-1).Draw(t, "daemon")
			if rapid.IntRange(0, 9).Draw(t, "starts_again") == 0 {
				f.restart(i, at)
			}
			f.send(i, at, poison, innocent+quarantine.Fingerprint(round), rapid.Bool().Draw(t, "weak"))
		}
		require.LessOrEqual(t, f.crashes, maxCrashes+maxLaterCrashes)
		for i := range f.registers {
			for n := range quarantine.Fingerprint(rounds) {
				require.NotEqual(t, quarantine.Convicted, f.registers[i].Verdict(start.Add(rounds*time.Second), innocent+n), "an innocent is refused")
			}
		}
	})
}
