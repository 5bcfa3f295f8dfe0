package host

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestStopClockCountsSuspendedTime suspends a host for some seconds while it shuts down. The timers
// of the Go runtime do not count that time, but the stop clock must.
func TestStopClockCountsSuspendedTime(t *testing.T) {
	rows := []struct {
		name      string
		suspended time.Duration
		want      time.Duration // Measured by the timers of the runtime.
	}{
		{"not suspended", 0, 4 * time.Second},
		{"for less than the remaining time", 2 * time.Second, 2 * time.Second},
		{"for more than the remaining time", 5 * time.Second, time.Second},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				var suspended atomic.Int64
				clock := newStopClock(func() time.Duration { return time.Since(start) + time.Duration(suspended.Load()) })
				time.AfterFunc(time.Second, func() { suspended.Store(int64(row.suspended)) })
				bounded, cancel := clock.withTimeout(context.Background(), 4*time.Second)
				defer cancel()
				clock.wait(context.Background(), 4*time.Second)
				require.GreaterOrEqual(t, time.Since(start), row.want)
				require.LessOrEqual(t, time.Since(start), row.want+clockCheckInterval)
				<-bounded.Done()
				require.LessOrEqual(t, time.Since(start), row.want+clockCheckInterval)
			})
		})
	}
}

func TestStopClockAdvances(t *testing.T) {
	clock := newStopClock(sinceBoot)
	clock.wait(t.Context(), 20*time.Millisecond)
	require.LessOrEqual(t, clock.remaining(20*time.Millisecond), time.Duration(0))
}
