package task_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hawthornrock/hawthornrock/transport/task"
)

func TestGroup(t *testing.T) {
	failure := errors.New("failed")
	after := func(d time.Duration, err error) func(context.Context) error {
		return func(context.Context) error {
			time.Sleep(d)
			return err
		}
	}
	t.Run("wait_reads_all_ends", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			var g task.Group
			require.NoError(t, g.Wait())
			g.Go(t.Context(), "slow", after(2*time.Second, nil))
			g.Go(t.Context(), "broken", after(time.Second, failure))
			began := time.Now()
			require.ErrorIs(t, g.Wait(), failure)
			require.Equal(t, 2*time.Second, time.Since(began))
		})
	})
	t.Run("reap_outlives_its_context_until_all_have_ended", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			var g task.Group
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			g.Go(ctx, "short", after(time.Millisecond, nil))
			g.Go(ctx, "long", after(time.Minute, nil))
			began := time.Now()
			require.NoError(t, g.Reap(ctx))
			require.Equal(t, time.Minute, time.Since(began))
		})
	})
}
