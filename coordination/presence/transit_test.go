package presence_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hawthornrock/hawthornrock/coordination/presence"
)

func ExampleTransit() {
	var t presence.Transit
	// The sender's clock is 90 s ahead, and the receiver is suspended for 5 s.
	fmt.Println(t.Delay(100*time.Second, 10*time.Second))
	fmt.Println(t.Delay(101*time.Second, 11*time.Second+20*time.Millisecond) > 10*time.Millisecond)
	fmt.Println(t.Delay(101150*time.Millisecond, 16*time.Second).Round(10 * time.Millisecond))
	// Output:
	// 0s
	// true
	// 4.85s
}

// drifted returns what a clock shows at a time that is faster than it by parts per million.
func drifted(at time.Duration, ppm int) time.Duration {
	return at + time.Duration(at.Microseconds()*int64(ppm)/1000)
}

// TestDelay guards against messages that lay in a connection and count as just sent, and against sound ones that count as
// late: however far the clocks are apart and however they drift, the estimate is off by no more than the fastest message
// took and the drift since.
func TestDelay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		millis := func(name string, least, most int) time.Duration {
			return time.Duration(rapid.IntRange(least, most).Draw(t, name)) * time.Millisecond
		}
		apart, ppm := millis("apart", -1e9, 1e9), rapid.IntRange(-100, 100).Draw(t, "ppm")
		senderClock := func(at time.Duration) time.Duration { return apart + drifted(at, ppm) }
		var (
			transit  presence.Transit
			now      time.Duration
			received time.Duration
		)
		fastest := time.Hour
		for range rapid.IntRange(1, 50).Draw(t, "messages") {
			now += millis("pause", 1, 60000)
			transport := millis("transport", 1, 5000)
			if received >= now+transport {
				// Messages of one connection arrive in order.
				continue
			}
			received = now + transport
			delay := transit.Delay(senderClock(now), received)
			require.GreaterOrEqual(t, delay, time.Duration(0))
			require.LessOrEqual(t, delay, transport+received/1e4)
			fastest = min(fastest, transport)
			require.GreaterOrEqual(t, delay, transport-fastest-received/3e3)
		}
	})
}

// TestDriftingClocks guards against messages that count as late after days, since one clock is slower than the other.
func TestDriftingClocks(t *testing.T) {
	for _, ppm := range []int{-200, -50, 0, 50, 200} {
		t.Run(fmt.Sprint(ppm, "_ppm"), func(t *testing.T) {
			var transit presence.Transit
			for at := time.Duration(0); at < 72*time.Hour; at += 10 * time.Second {
				require.LessOrEqual(t, transit.Delay(drifted(at, ppm), at+time.Millisecond), 10*time.Millisecond, "after %s", at)
			}
			late := transit.Delay(drifted(72*time.Hour, ppm), 72*time.Hour+3001*time.Millisecond)
			require.Equal(t, 3*time.Second, late.Round(100*time.Millisecond))
		})
	}
}
