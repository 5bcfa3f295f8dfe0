package host

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// Signals receives the signals of the process. Those that stop it have a channel of their own, so that they are not lost
// behind others.
type Signals struct {
	stop, hangup chan os.Signal
}

// WatchSignals subscribes to the signals of the process. Before that, each of them kills it, so it is called first.
func WatchSignals() *Signals {
	s := &Signals{stop: make(chan os.Signal, 1), hangup: make(chan os.Signal, 1)}
	signal.Notify(s.stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.hangup, syscall.SIGHUP)
	return s
}

// Close ends the subscription.
func (s *Signals) Close() {
	signal.Stop(s.stop)
	signal.Stop(s.hangup)
}

// awaitStop returns at a signal that stops the process. It calls onHangup for each SIGHUP before, or once for several that come
// together.
func (s *Signals) awaitStop(onHangup func()) {
	for {
		select {
		case <-s.stop:
			return
		case <-s.hangup:
			onHangup()
		}
	}
}

// cancelOnInterrupt cancels a graceful shutdown on SIGINT, which a user sends from a terminal.
// Other signals are ignored, because a platform may send its stop signal repeatedly.
func cancelOnInterrupt(ctx context.Context, signals <-chan os.Signal, cancel func()) {
	for {
		select {
		case s := <-signals:
			if s == syscall.SIGINT {
				cancel()
				return
			}
		case <-ctx.Done():
			return
		}
	}
}
