package clock

import (
	"context"
	"time"
)

// Sleep waits for d or the end of ctx.
func Sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
