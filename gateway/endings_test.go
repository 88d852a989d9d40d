package gateway

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestEndOf guards against log lines that blame a server for an end that the daemon, the caller or the
// deadline caused.
func TestEndOf(t *testing.T) {
	caller, leave := context.WithCancel(t.Context())
	leave()
	deadline, cancel := context.WithTimeout(t.Context(), -time.Second)
	defer cancel()
	stop, end := context.WithCancelCause(t.Context())
	end(errDrainEnded)
	stopped := func() context.Context { return stop }
	left, expired := func() context.Context { return caller }, func() context.Context { return deadline }
	for _, tc := range []struct {
		name  string
		state func() context.Context
		err   error
		want  endedBy
	}{
		{"server", t.Context, errUnsigned, endedByServer},
		{"answer_buffer_full", t.Context, errBufferFull, endedByDaemon},
		{"helper_lost", t.Context, fmt.Errorf("%w: late", errDetourBroke), endedByDaemon},
		{"answer_lost_at_helper", t.Context, errAnswerLost, endedByServer},
		{"convicted_part", t.Context, errConvictedPart, endedByDaemon},
		{"convicted_part_of_an_attempt", t.Context, fmt.Errorf("attempt: %w", errConvictedPart), endedByDaemon},
		{"caller_left", left, errStalled, endedByCaller},
		{"planned_stop", stopped, errOvertaken, endedByDaemon},
		{"deadline", expired, errStalled, endedByDeadline},
	} {
		t.Run(tc.name, func(t *testing.T) {
			require.Equal(t, tc.want, endOf(tc.state(), tc.err))
		})
	}
}
