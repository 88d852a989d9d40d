package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hawthornrock/hawthornrock/state/site"
)

// newRosterWithMember returns a roster with one server that the list shows as a replica member.
func newRosterWithMember(m site.Membership) *roster {
	r := &roster{}
	r.put(0, 10, site.Server{ID: "s", Service: "models", Address: "a", Born: 5, Sequence: 3, Member: m}, 0)
	return r
}

// TestReportsBeforeTheList guards against acting on an outdated list during a repair: a server's
// own report is about a second ahead of the list.
func TestReportsBeforeTheList(t *testing.T) {
	ready := site.Membership{Group: "large/1/1", Epoch: 7, State: site.Ready}
	open := site.Membership{Group: "large/1/1", Epoch: 7, State: site.Open}
	later := site.Membership{Group: "large/2/1", Epoch: 9, State: site.Joining}
	put := func(r *roster, at time.Duration, born int64, m site.Membership) {
		r.put(at, 11, site.Server{ID: "s", Service: "models", Address: "a", Born: born, Sequence: 4, Member: m}, 0)
	}
	for _, tc := range []struct {
		name string
		do   func(r *roster)
		want site.Membership
	}{
		{"newer_than_the_list", func(r *roster) { r.update(time.Millisecond, "s", 5, open) }, open},
		{"of_another_life", func(r *roster) { r.update(time.Millisecond, "s", 4, open) }, ready},
		{"of_an_earlier_replica", func(r *roster) {
			r.update(time.Millisecond, "s", 5, site.Membership{Group: "large/0/1", Epoch: 6, State: site.Open})
		}, ready},
		{"older_than_the_list", func(r *roster) { put(r, time.Millisecond, 5, open); r.update(2*time.Millisecond, "s", 5, ready) }, open},
		{"the_list_is_ahead", func(r *roster) {
			r.update(time.Millisecond, "s", 5, open)
			put(r, time.Second, 5, site.Membership{Group: "large/1/1", Epoch: 7, State: site.Closing})
		}, site.Membership{Group: "large/1/1", Epoch: 7, State: site.Closing}},
		{"the_list_lags", func(r *roster) { r.update(time.Millisecond, "s", 5, open); put(r, time.Second, 5, ready) }, open},
		{"the_list_has_caught_up", func(r *roster) { r.update(time.Millisecond, "s", 5, open); put(r, 2*reportTTL, 5, ready) }, ready},
		{"the_list_has_a_later_replica", func(r *roster) { r.update(time.Millisecond, "s", 5, open); put(r, time.Second, 5, later) }, later},
		{"the_list_has_a_new_life", func(r *roster) { r.update(time.Millisecond, "s", 5, open); put(r, time.Second, 6, site.Membership{}) }, site.Membership{}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newRosterWithMember(ready)
			tc.do(r)
			require.Equal(t, tc.want, r.entries["s"].server.Member)
		})
	}
}

func TestAnnouncements(t *testing.T) {
	var a announcementLog
	add := func(n int) { a.add(replicaChange{Group: fmt.Sprint(n)}) }
	groups := func(incarnation string) []string {
		var out []string
		for _, c := range a.unsentTo(incarnation) {
			out = append(out, c.Group)
		}
		return out
	}
	add(0)
	require.Empty(t, groups("x"), "a daemon seen for the first time has the list")
	add(1)
	add(2)
	require.Equal(t, []string{"1", "2"}, groups("x"))
	require.Empty(t, groups("x"), "each change is sent once")
	require.Empty(t, groups("y"))
	for n := range 2 * maxAnnouncements {
		add(n)
	}
	require.Len(t, groups("x"), maxAnnouncements, "the log is bounded")
	add(-1)
	a.dropUnlinked(func(incarnation string) bool { return incarnation == "y" })
	require.Empty(t, groups("x"))
	require.Len(t, groups("y"), maxAnnouncements)
}
