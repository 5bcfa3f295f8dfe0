package host

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// clockCheckInterval is the time between two reads of the clock while waiting.
const clockCheckInterval = 50 * time.Millisecond

// stopClock measures the duration of a graceful shutdown, including the time for which the host
// was suspended, because a supervisor that kills hosts that take too long counts that time too.
type stopClock struct {
	now       func() time.Duration
	startedAt time.Duration
}

func newStopClock(now func() time.Duration) stopClock { return stopClock{now, now()} }

// sinceBoot returns the time since the machine started, including suspensions.
func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Duration(time.Now().UnixNano()) // The wall clock also includes suspensions.
	}
	return time.Duration(t.Nano())
}

// age returns for how long the shutdown has lasted.
func (c stopClock) age() time.Duration { return c.now() - c.startedAt }

// remaining returns how much of the timeout, which begins with the shutdown, is left. It is negative
// after the timeout.
func (c stopClock) remaining(timeout time.Duration) time.Duration {
	return timeout - c.age()
}

// wait returns when the timeout, which begins with the shutdown, has expired or ctx is done.
func (c stopClock) wait(ctx context.Context, timeout time.Duration) {
	for ctx.Err() == nil {
		remaining := c.remaining(timeout)
		if remaining <= 0 {
			return
		}
		sleep(ctx, min(remaining, clockCheckInterval))
	}
}

// withTimeout returns a context that is canceled when the timeout, which begins with the shutdown,
// expires.
func (c stopClock) withTimeout(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	bounded, cancel := context.WithCancel(ctx)
	go func() {
		c.wait(bounded, timeout)
		cancel()
	}()
	return bounded, cancel
}
