package presence_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hawthornrock/hawthornrock/coordination/presence"
)

func ExampleRead_Sign() {
	// A copy of the heartbeats ends at 131 when a hub that has just started sends all that it knows.
	listing := presence.Read{Listing: true, Comparable: true, EndBefore: 131, End: 133, Round: 11}
	fmt.Println(listing.Sign(96) == presence.Repeated, listing.Sign(132) == presence.New)
	// A daemon that has just started has no copy.
	listing.Comparable = false
	fmt.Println(listing.Sign(96) == presence.Outdated, listing.Sign(126) == presence.Undated)
	// Output:
	// true true
	// true true
}

func TestSign(t *testing.T) {
	for _, tc := range []struct {
		name   string
		read   presence.Read
		offset int64
		want   presence.Sign
	}{
		{"follows_the_copy", presence.Read{Comparable: true, EndBefore: 7, End: 9}, 8, presence.New},
		{"first_of_what_follows_the_copy", presence.Read{Comparable: true, EndBefore: 7, End: 9}, 7, presence.New},
		{"listed_again", presence.Read{Listing: true, Comparable: true, EndBefore: 7, End: 7, Round: 9}, 6, presence.Repeated},
		{"listed_after_the_copy", presence.Read{Listing: true, Comparable: true, EndBefore: 7, End: 8, Round: 9}, 7, presence.New},
		{"listed_far_behind_the_end", presence.Read{Listing: true, Comparable: true, EndBefore: 7, End: 900, Round: 9}, 8, presence.New},
		{"listed_without_a_copy", presence.Read{Listing: true, EndBefore: -1, End: 30, Round: 9}, 3, presence.Undated},
		{"listed_without_a_copy_long_ago", presence.Read{Listing: true, EndBefore: -1, End: 30, Round: 9}, 2, presence.Outdated},
		{"listed_in_another_era", presence.Read{Listing: true, EndBefore: 900, End: 7, Round: 9}, 6, presence.Undated},
	} {
		t.Run(tc.name, func(t *testing.T) { require.Equal(t, tc.want, tc.read.Sign(tc.offset)) })
	}
}
