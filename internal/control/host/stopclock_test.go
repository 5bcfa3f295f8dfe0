package host

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestStopCountsTheTimeOfASuspension: a host that stops is suspended for some seconds, which
// its own timers do not count.
func TestStopCountsTheTimeOfASuspension(t *testing.T) {
	rows := []struct {
		name      string
		suspended time.Duration
		want      time.Duration // By the timers of the host.
	}{
		{"not suspended", 0, 4 * time.Second},
		{"for a part of the time", 2 * time.Second, 2 * time.Second},
		{"for longer than is left", 5 * time.Second, time.Second},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				began := time.Now()
				var suspended atomic.Int64
				clock := newStopClock(func() time.Duration { return time.Since(began) + time.Duration(suspended.Load()) })
				time.AfterFunc(time.Second, func() { suspended.Store(int64(row.suspended)) })
				bounded, cancel := clock.bound(context.Background(), 4*time.Second)
				defer cancel()
				clock.wait(context.Background(), 4*time.Second)
				require.GreaterOrEqual(t, time.Since(began), row.want)
				require.LessOrEqual(t, time.Since(began), row.want+stopStep)
				<-bounded.Done()
				require.LessOrEqual(t, time.Since(began), row.want+stopStep)
			})
		})
	}
}

func TestClockOfAStopRuns(t *testing.T) {
	clock := newStopClock(sinceBoot)
	clock.wait(t.Context(), 20*time.Millisecond)
	require.LessOrEqual(t, clock.left(20*time.Millisecond), time.Duration(0))
}
