package notice_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hawthornrock/hawthornrock/coordination/notice"
)

func ExampleLimits() {
	var here, there notice.Limits
	server := notice.Incarnation{Server: "s", Born: 1}
	here.Named(time.Second, 0, server, 2.5)
	limits, _ := here.Since(time.Second, 0)
	there.Merge(time.Minute, limits)
	fmt.Println(there.Of(server))
	// Output: 2.5 true
}

// TestLimits guards against a limit that is lifted or raised by an answer which the server gave before it named the limit.
func TestLimits(t *testing.T) {
	server := notice.Incarnation{Server: "s", Born: 1}
	const s = time.Second
	for _, tc := range []struct {
		name    string
		do      func(l *notice.Limits) bool
		changed bool
		want    float64
		limited bool
	}{
		{"named", func(*notice.Limits) bool { return true }, true, 4, true},
		{"same_again", func(l *notice.Limits) bool { return l.Named(4*s, 3*s, server, 4) }, false, 4, true},
		{"falls", func(l *notice.Limits) bool { return l.Named(4*s, 3*s, server, 2) }, true, 2, true},
		{"rises", func(l *notice.Limits) bool { return l.Named(4*s, 3*s, server, 8) }, true, 8, true},
		{"higher_in_an_answer_that_was_overtaken", func(l *notice.Limits) bool { return l.Named(4*s, s, server, 8) }, false, 4, true},
		{"not_named", func(l *notice.Limits) bool { return l.NotNamed(4*s, 3*s, server) }, true, 0, false},
		{"not_named_in_an_answer_that_was_overtaken", func(l *notice.Limits) bool { return l.NotNamed(4*s, s, server) }, false, 4, true},
		{"another_life", func(l *notice.Limits) bool { return l.NotNamed(4*s, 3*s, notice.Incarnation{Server: "s", Born: 2}) }, false, 4, true},
		{"zero", func(l *notice.Limits) bool { return l.Named(4*s, 3*s, server, 0) }, true, 0, true},
		{"told_later", func(l *notice.Limits) bool { return l.Merge(4*s, []notice.Limit{{Incarnation: server, PerSecond: 1}}) }, true, 1, true},
		{"told_earlier", func(l *notice.Limits) bool {
			return l.Merge(4*s, []notice.Limit{{Incarnation: server, PerSecond: 9, Age: 3 * s}})
		}, false, 4, true},
		{"told_that_it_ended", func(l *notice.Limits) bool { return l.Merge(4*s, []notice.Limit{{Incarnation: server, Ended: true}}) }, true, 0, false},
		{"told_too_soon_after_an_own_answer", func(l *notice.Limits) bool {
			return l.Merge(2*s+s/2, []notice.Limit{{Incarnation: server, Ended: true}})
		}, false, 4, true},
		{"told_nonsense", func(l *notice.Limits) bool {
			return l.Merge(4*s, []notice.Limit{{Incarnation: server, PerSecond: math.NaN()}, {Incarnation: server, PerSecond: -1}, {Incarnation: server, PerSecond: math.Inf(1)}, {Incarnation: server, Age: -s}})
		}, false, 4, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var l notice.Limits
			require.True(t, l.Named(2*s, s, server, 4))
			require.Equal(t, tc.changed, tc.do(&l))
			got, limited := l.Of(server)
			require.InDelta(t, tc.want, got, 0)
			require.Equal(t, tc.limited, limited)
		})
	}
}

// TestLimitsSince guards against changes that another daemon is never told, and against limits that stay for ever.
func TestLimitsSince(t *testing.T) {
	var l notice.Limits
	a, b := notice.Incarnation{Server: "a", Born: 1}, notice.Incarnation{Server: "b", Born: 1}
	l.Named(0, 0, a, 4)
	all, version := l.Since(0, 0)
	require.Len(t, all, 1)
	none, _ := l.Since(0, version)
	require.Empty(t, none)
	l.Named(time.Second, time.Second, a, 4)
	l.Named(time.Second, time.Second, b, 4)
	changed, version := l.Since(3*time.Second, version)
	require.Equal(t, []notice.Limit{{Incarnation: b, PerSecond: 4, Age: 2 * time.Second}}, changed)
	require.True(t, l.NotNamed(2*time.Second, 2*time.Second, a))
	changed, _ = l.Since(2*time.Second, version)
	require.Equal(t, []notice.Limit{{Incarnation: a, Ended: true}}, changed)
	l.Expire(time.Hour, func(i notice.Incarnation) bool { return i == b })
	all, _ = l.Since(time.Hour, 0)
	require.Len(t, all, 1)
}
