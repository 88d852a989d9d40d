package notice_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hawthornrock/hawthornrock/coordination/histories"
	"github.com/hawthornrock/hawthornrock/coordination/notice"
)

func TestMain(m *testing.M) {
	histories.FixSeed(1, 500)
	m.Run()
}

func ExampleRegister() {
	var r notice.Register
	incarnation := notice.Incarnation{Server: "i-7f3a", Born: 1700}
	r.Record(time.Second, incarnation, notice.Notice{Leaving: true, Backoff: 2 * time.Second})
	fmt.Println(r.Leaving(incarnation), r.Leaving(notice.Incarnation{Server: "i-7f3a", Born: 1900}))
	fmt.Println(r.Backoff(2*time.Second, "i-7f3a"), r.Backoff(4*time.Second, "i-7f3a"))
	// Output:
	// true false
	// 1s 0s
}

func TestRest(t *testing.T) {
	incarnation := notice.Incarnation{Server: "s"}
	for _, tc := range []struct {
		name  string
		rests []time.Duration
		want  time.Duration
	}{
		{"none", nil, 0},
		{"one", []time.Duration{time.Second}, time.Second},
		{"a_shorter_one_after_a_longer", []time.Duration{3 * time.Second, time.Second}, 3 * time.Second},
		{"absurd", []time.Duration{24 * time.Hour}, notice.MaxBackoff},
		{"negative", []time.Duration{-time.Second}, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var r notice.Register
			for _, rest := range tc.rests {
				r.Record(0, incarnation, notice.Notice{Backoff: rest})
			}
			require.Equal(t, tc.want, r.Backoff(0, "s"))
			require.Zero(t, r.Backoff(notice.MaxBackoff, "s"))
		})
	}
}

// TestLeavingSpreads guards against a leaving server that some daemons never learn about while the
// store is unavailable: one daemon gets the notice in an answer, and the others receive it from
// each other, in any order and with losses.
func TestLeavingSpreads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		incarnation := notice.Incarnation{Server: "s", Born: 1}
		daemons := make([]notice.Register, 4)
		require.True(t, daemons[0].Record(0, incarnation, notice.Notice{Leaving: true}))
		require.False(t, daemons[0].Record(0, incarnation, notice.Notice{Leaving: true}), "a repeated notice is not new")
		now := time.Duration(0)
		for range rapid.IntRange(0, 30).Draw(t, "messages") {
			now += 150 * time.Millisecond
			from, to := rapid.IntRange(0, 3).Draw(t, "from"), rapid.IntRange(0, 3).Draw(t, "to")
			announced := daemons[from].Announcements(now)
			recorded := daemons[to].Leaving(incarnation)
			require.Equal(t, len(announced) > 0 && !recorded, len(daemons[to].Merge(now, announced)) > 0)
			require.Equal(t, recorded || len(announced) > 0, daemons[to].Leaving(incarnation))
			daemons[to].Expire(now, func(notice.Incarnation) bool { return false })
		}
		require.Empty(t, daemons[0].Announcements(now+time.Minute), "announcements end after a while")
		daemons[0].Expire(now+time.Hour, func(notice.Incarnation) bool { return true })
		require.True(t, daemons[0].Leaving(incarnation), "a listed server stays recorded as leaving")
		daemons[0].Expire(now+time.Hour, func(notice.Incarnation) bool { return false })
		require.False(t, daemons[0].Leaving(incarnation))
	})
}
