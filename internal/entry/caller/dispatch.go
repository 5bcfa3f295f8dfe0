package caller

import (
	"context"
	"errors"
	"time"

	"github.com/uber-go/tally/v4"

	"redwinglock/internal/fleet/engine"
	"redwinglock/internal/peer/arbiter"
	"redwinglock/internal/peer/wire"
	"redwinglock/internal/state/object"
	"redwinglock/internal/state/outcome"
)

const (
	// maxAttempts bounds how often a request is granted a target that turns out to be
	// unreachable.
	maxAttempts         = 4
	noTargetRetryAfter  = time.Second
	preemptedRetryAfter = time.Second
)

// errPreempted is the cause of a cancellation by the arbiter.
var errPreempted = errors.New("preempted")

// send is one attempt to send a request to a target. It must ask the gate before the
// first byte and return an error that wraps engine.ErrNotSent if nothing was sent.
type send func(ctx context.Context, target *object.Target, gate engine.Gate) error

// dispatch registers a request, waits for a target and sends it. A target that cannot
// be reached is replaced by another as long as nothing was sent. The returned context
// ends when the arbiter cancels the request.
func (s *Server) dispatch(ctx context.Context, r *request, w wire.Register, attempt send) (context.Context, *arbiter.Ticket, error) {
	ticket := s.arbiters.Register(w)
	running, cancel := context.WithCancelCause(ctx)
	for range maxAttempts {
		name, err := s.arbiters.Wait(ctx, ticket)
		if err != nil {
			cancel(err)
			return nil, nil, err
		}
		s.scope(r, w.Pool).Timer("queue_delay").Record(time.Since(r.arrived))
		target := s.target(r, w.Pool, name)
		if target == nil {
			ticket.Unreachable()
			continue
		}
		go cancelOnPreempt(running, ticket, cancel)
		err = attempt(running, target, ticket.Dispatch)
		if !errors.Is(err, engine.ErrNotSent) {
			return running, ticket, err
		}
		if running.Err() != nil {
			ticket.Finish(wire.Finish{})
			return nil, nil, s.notSent(running)
		}
		s.common.CountRetry("target-unreachable")
		r.log.WithField("target", name).Warn("Target not reached, request goes back to the queue.")
		ticket.Unreachable()
	}
	ticket.Finish(wire.Finish{})
	cancel(nil)
	return nil, nil, outcome.Refuse(outcome.NoTarget, noTargetRetryAfter, "no target could be reached")
}

// scope returns the metrics of a request's tier, account group and pool.
func (s *Server) scope(r *request, pool object.PoolName) tally.Scope {
	return s.common.Metrics.Tagged(map[string]string{"tier": string(r.tier), "group": r.account.Group, "pool": string(pool)})
}

// cancelOnPreempt cancels a running request when the arbiter says so.
func cancelOnPreempt(ctx context.Context, t *arbiter.Ticket, cancel context.CancelCauseFunc) {
	select {
	case <-ctx.Done():
	case <-t.Preempted():
		cancel(errPreempted)
	}
}

// notSent returns the refusal of a request that was stopped before it was sent.
func (s *Server) notSent(ctx context.Context) error {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errPreempted):
		return outcome.Refuse(outcome.Preempted, preemptedRetryAfter, "more urgent work took the place of this request")
	case errors.Is(cause, context.DeadlineExceeded):
		return outcome.Refuse(outcome.DeadlinePassed, 0, "the deadline passed before the request was sent")
	}
	return outcome.Refuse(outcome.CallerGone, 0, "the caller closed the connection")
}

// explain replaces the error of a request that was stopped on purpose by the cause.
func explain(ctx context.Context, err error) error {
	if ctx == nil || ctx.Err() == nil {
		return err
	}
	failure := outcome.Describe(err)
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errPreempted):
		failure.Reason = outcome.Preempted
		failure.Message = "more urgent work took the place of this request"
		failure.RetryAfter = preemptedRetryAfter
	case errors.Is(cause, context.DeadlineExceeded):
		failure.Reason = outcome.DeadlinePassed
		failure.Message = "the deadline passed before the answer was complete"
	}
	return failure.Err()
}

// target looks a granted target up. The arbiter may know a newer configuration than the
// one that the request began with.
func (s *Server) target(r *request, pool object.PoolName, name object.TargetName) *object.Target {
	for _, snapshot := range []*object.Snapshot{r.snapshot, s.board.Config()} {
		view := snapshot.Pool(pool)
		if view == nil {
			continue
		}
		for _, t := range view.Targets {
			if t.Name == name {
				return t
			}
		}
	}
	return nil
}
