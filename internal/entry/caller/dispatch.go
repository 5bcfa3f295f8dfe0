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
	// maxAttempts bounds how often a request is granted an unreachable target.
	maxAttempts         = 4
	noTargetRetryAfter  = time.Second
	preemptedRetryAfter = time.Second
)

// errPreempted is the cancellation cause of a request that the arbiter has preempted.
var errPreempted = errors.New("preempted")

// sendFunc sends a request to a target. It must call the gate before it sends the first byte, and
// return an error that wraps engine.ErrNotSent if it sent nothing.
type sendFunc func(ctx context.Context, target *object.Target, gate engine.Gate) error

// dispatch registers a request, waits for a target and sends the request to it. If the target is
// unreachable and nothing was sent, it waits for another one. The returned context is canceled when
// the arbiter preempts the request. The returned ticket is nil if the request was not sent.
func (s *Server) dispatch(ctx context.Context, r *request, w wire.Register, send sendFunc) (context.Context, *arbiter.Ticket, error) {
	ticket := s.arbiters.Register(w)
	runCtx, cancel := context.WithCancelCause(ctx)
	for range maxAttempts {
		name, err := s.arbiters.Wait(ctx, ticket)
		if err != nil {
			cancel(err)
			return nil, nil, err
		}
		s.scope(r, w.Pool).Timer("queue_delay").Record(time.Since(r.arrived))
		target := s.findTarget(r, w.Pool, name)
		if target == nil {
			ticket.Unreachable()
			continue
		}
		go cancelOnPreempt(runCtx, ticket, cancel)
		err = send(runCtx, target, ticket.Dispatch)
		if !errors.Is(err, engine.ErrNotSent) {
			return runCtx, ticket, err
		}
		if runCtx.Err() != nil {
			ticket.Finish(wire.Finish{})
			return nil, nil, s.unsentFailure(runCtx)
		}
		s.common.CountRetry("target-unreachable")
		r.log.WithField("target", name).Warn("Target not reached; the request is queued again.")
		ticket.Unreachable()
	}
	ticket.Finish(wire.Finish{})
	cancel(nil)
	return nil, nil, outcome.Refuse(outcome.NoTarget, noTargetRetryAfter, "no target could be reached")
}

// scope returns the metrics scope for a request's tier, account group and pool.
func (s *Server) scope(r *request, pool object.PoolName) tally.Scope {
	return s.common.Metrics.Tagged(map[string]string{"tier": string(r.tier), "group": r.account.Group, "pool": string(pool)})
}

// cancelOnPreempt cancels a running request when the arbiter preempts it.
func cancelOnPreempt(ctx context.Context, t *arbiter.Ticket, cancel context.CancelCauseFunc) {
	select {
	case <-ctx.Done():
	case <-t.Preempted():
		cancel(errPreempted)
	}
}

// unsentFailure returns the refusal of a request that was canceled before it was sent.
func (s *Server) unsentFailure(ctx context.Context) error {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errPreempted):
		return outcome.Refuse(outcome.Preempted, preemptedRetryAfter, "more urgent work took the place of this request")
	case errors.Is(cause, context.DeadlineExceeded):
		return outcome.Refuse(outcome.DeadlinePassed, 0, "the deadline passed before the request was sent")
	}
	return outcome.Refuse(outcome.CallerDisconnected, 0, "the caller closed the connection")
}

// withCancelCause replaces the reason and the message of an error if the request was preempted or its
// deadline has passed. It keeps other errors.
func withCancelCause(ctx context.Context, err error) error {
	if ctx == nil || ctx.Err() == nil {
		return err
	}
	failure := outcome.FailureOf(err)
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

// findTarget returns a granted target, or nil. It also searches the current configuration, because
// the arbiter may use a newer one than this request.
func (s *Server) findTarget(r *request, pool object.PoolName, name object.TargetName) *object.Target {
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
