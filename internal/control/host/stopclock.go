package host

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// stopStep is the time between two looks at the clock of a stop.
const stopStep = 50 * time.Millisecond

// stopClock measures a planned stop by a clock that also counts the time for which the host was
// suspended, as whoever ends hosts that take too long does.
type stopClock struct {
	now   func() time.Duration
	began time.Duration
}

func newStopClock(now func() time.Duration) stopClock { return stopClock{now, now()} }

// sinceBoot returns the time since the machine started, suspensions included.
func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Duration(time.Now().UnixNano()) // The time of day counts suspensions too.
	}
	return time.Duration(t.Nano())
}

// left returns how much of a span since the begin of the stop is left.
func (c stopClock) left(span time.Duration) time.Duration { return c.began + span - c.now() }

// wait returns when the span since the begin of the stop has passed or ctx has ended.
func (c stopClock) wait(ctx context.Context, span time.Duration) {
	for ctx.Err() == nil {
		left := c.left(span)
		if left <= 0 {
			return
		}
		pause(ctx, min(left, stopStep))
	}
}

// bound returns a context that ends when the span since the begin of the stop has passed.
func (c stopClock) bound(ctx context.Context, span time.Duration) (context.Context, context.CancelFunc) {
	bounded, cancel := context.WithCancel(ctx)
	go func() {
		c.wait(bounded, span)
		cancel()
	}()
	return bounded, cancel
}
