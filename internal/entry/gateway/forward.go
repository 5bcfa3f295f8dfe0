package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/sirupsen/logrus"

	"redwinglock/internal/fleet/passthrough"
	"redwinglock/internal/peer/wire"
	"redwinglock/internal/state/object"
	"redwinglock/internal/state/outcome"
)

const (
	// maxRejections bounds how many targets may refuse one request because they are full.
	maxRejections = 3
	// maxMovedTargets bounds how many targets one request may try whose addresses have passed to
	// other targets.
	maxMovedTargets = 10
	// rejectedRetryAfter is the retry hint if every target that was tried has refused the request.
	rejectedRetryAfter = 300 * time.Millisecond
	// heldRetryAfter is the retry hint of a request that crashes targets, itself or by a prefix of its prompt.
	heldRetryAfter = 30 * time.Second
	// minTimeLeft is the minimum time before the deadline at which a request is still sent.
	minTimeLeft = 20 * time.Millisecond
)

// attemptResult says whether another attempt may follow.
type attemptResult int

const (
	// attemptFinal means that the caller has its answer or gets the error of this attempt.
	attemptFinal attemptResult = iota
	// attemptLost means that the request was sent and may have run, but has no complete answer.
	attemptLost
)

// forward sends a request to targets until one has answered it completely or no further attempt
// is allowed.
func (s *Server) forward(c *gin.Context, r *request) error {
	ctx, cancel := s.stop.requestContext(c.Request.Context(), r.deadline)
	defer cancel()
	s.retries.recordRequest(r.pool, r.arrived)
	a := &answer{writer: c.Writer, request: r, events: eventSplitter{memory: s.answers.Reserve()}}
	defer a.close()
	for attempt := 1; ; attempt++ {
		result, err := s.attempt(ctx, c.Request, r, a)
		if result == attemptFinal {
			return err
		}
		if ctx.Err() != nil {
			return s.contextFailure(ctx, a)
		}
		if !s.mayRetry(r, a, attempt) {
			return err
		}
		s.common.CountRetry("target-lost")
		r.log.WithError(err).WithFields(logrus.Fields{"attempt": attempt, "tried": r.tried, "events": a.events.count, "request-digest": r.fingerprint().String()}).Info("Request sent again.")
	}
}

// mayRetry reports whether a request that may have run may be sent to another target. If so, it
// consumes one retry from the budget.
func (s *Server) mayRetry(r *request, a *answer, attempts int) bool {
	retryable := r.route.Retryable() && !a.started || r.route.Execution == object.Stream && r.route.Resumable
	if !retryable || attempts >= r.route.MaxAttempts || time.Until(r.deadline) < minTimeLeft {
		return false
	}
	return s.retries.consume(r.pool, time.Now())
}

// contextFailure returns the failure of a request whose caller disconnected, whose deadline passed, or whose
// host ended after it was sent.
func (s *Server) contextFailure(ctx context.Context, a *answer) error {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, context.DeadlineExceeded):
		return outcome.NotCompleted(outcome.Unknown, outcome.TargetSilent, "the time was up before the answer was complete")
	case errors.Is(cause, errHostEnds):
		return outcome.NotCompleted(outcome.Unknown, outcome.TargetSilent, "this host ended before the answer was complete")
	}
	return outcome.NotCompleted(outcome.Unknown, outcome.CallerDisconnected, "the caller closed the connection")
}

// attempt waits for a target and sends the request to it. If the target did not run the request,
// it waits for another one.
func (s *Server) attempt(ctx context.Context, caller *http.Request, r *request, a *answer) (attemptResult, error) {
	ticket := s.arbiters.Register(s.registration(r, a.started))
	var refusals targetRefusals
	for {
		name, err := s.arbiters.Wait(ctx, ticket)
		if err != nil {
			return attemptFinal, s.unsentFailure(a, refuseAtEnd(ctx, err))
		}
		if s.stop.hasEnded() { // The requests that ended at this moment have freed a slot.
			ticket.Finish(wire.Finish{})
			return attemptFinal, s.unsentFailure(a, errNotSentBeforeEnd())
		}
		if cause, isHeld := s.board.Prefixes().HeldCause(time.Now(), r.pool, r.causes()); isHeld && !ticket.Watched() {
			// The grant is older than what this host knows of the cause.
			ticket.Finish(wire.Finish{})
			return attemptFinal, s.unsentFailure(a, heldFailure(cause))
		}
		r.rateCounted = ticket.RateCounted()
		target := s.findOpenTarget(r, name)
		if target == nil {
			r.log.WithField("target", name).Info("Target declined: it is not in the configuration of this host or accepts no more requests now.")
			s.notices.resend(r.pool, s.findTarget(r.pool, name), time.Now())
			ticket.Decline()
			continue
		}
		isItsVersion, err := s.checkVersion(r, ticket, target)
		if err != nil {
			ticket.Finish(wire.Finish{})
			return attemptFinal, s.unsentFailure(a, err)
		}
		if !isItsVersion {
			r.log.WithFields(logrus.Fields{"target": name, "version": target.Generation, "needs": r.version}).Info("Target declined: another version began the stream.")
			ticket.Decline()
			continue
		}
		if !ticket.Dispatch() {
			continue // The grant is no longer valid; wait for the next one.
		}
		finish, err := s.send(ctx, caller, r, target, a)
		if a.started {
			r.bindVersion(target.Generation)
		}
		switch {
		case err == nil:
			ticket.Finish(finish)
			return attemptFinal, nil
		case errors.Is(err, passthrough.ErrNotSent):
			r.log.WithError(err).WithField("target", name).Info("Target not reached.")
			s.common.CountRetry("target-unreachable")
			finish.Unreachable = ctx.Err() == nil
			if ctx.Err() != nil {
				ticket.Finish(finish)
				timeUp := outcome.Refuse(outcome.DeadlinePassed, 0, "the time was up before a target was reached")
				return attemptFinal, s.unsentFailure(a, refuseAtEnd(ctx, timeUp))
			}
			ticket.Return(finish)
		case errors.Is(err, errAddressMoved), errors.Is(err, errNotRun):
			r.tried = append(r.tried, name)
			s.common.CountRetry(refusals.record(err))
			finish.Rejected = true
			if refusals.limitReached() || !s.retries.consume(r.pool, time.Now()) {
				ticket.Finish(finish)
				return attemptFinal, s.unsentFailure(a, refusals.failure(err))
			}
			ticket.Return(finish)
		case errors.Is(err, errCallerDisconnected):
			ticket.Finish(finish)
			return attemptFinal, outcome.NotCompleted(outcome.Unknown, outcome.CallerDisconnected, "%v", err)
		default:
			a.mayHaveRun = true
			r.tried = append(r.tried, name)
			r.possibleRuns++
			finish.Failed = ctx.Err() == nil
			finish.Expired = errors.Is(context.Cause(ctx), context.DeadlineExceeded)
			ticket.Finish(finish)
			return attemptLost, err
		}
	}
}

// heldFailure returns the refusal of a request with a held cause.
func heldFailure(cause wire.Cause) error {
	if cause.Kind == wire.RequestCause {
		return outcome.Refuse(outcome.RequestHeld, heldRetryAfter, "the request crashes targets")
	}
	return outcome.Refuse(outcome.PromptHeld, heldRetryAfter, "a part of the prompt crashes targets")
}

// targetRefusals counts the targets that refused a request without running it.
type targetRefusals struct{ full, moved int }

// record counts a refusal and returns the reason of the retry for the metrics.
func (t *targetRefusals) record(err error) string {
	if errors.Is(err, errAddressMoved) {
		t.moved++
		return "target-moved"
	}
	t.full++
	return "target-rejected"
}

// limitReached reports whether no further target may be tried.
func (t *targetRefusals) limitReached() bool {
	return t.full >= maxRejections || t.moved >= maxMovedTargets
}

// failure returns the refusal for the caller if no further target is tried after the last one.
// No target has run the request.
func (t *targetRefusals) failure(last error) error {
	if errors.Is(last, errAddressMoved) {
		return outcome.Refuse(outcome.NoTarget, rejectedRetryAfter, "other targets have the addresses of those that were asked")
	}
	return outcome.Refuse(outcome.TargetsFull, rejectedRetryAfter, "the targets are full")
}

// unsentFailure returns the failure of a request whose current attempt was not sent. The request
// may still have run in an earlier attempt.
func (s *Server) unsentFailure(a *answer, err error) error {
	if !a.mayHaveRun {
		return err
	}
	return outcome.NotCompleted(outcome.Unknown, outcome.TargetLost, "the target was lost and no other took the request: %v", err)
}

// findOpenTarget returns a granted target by the current configuration, or nil if the target is
// removed or must not receive the request.
func (s *Server) findOpenTarget(r *request, name object.TargetName) *object.Target {
	t := s.findTarget(r.pool, name)
	if t == nil || t.Drain || !s.notices.acceptsRequests(t, r.rateCounted, time.Now()) {
		return nil
	}
	return t
}

// findTarget returns a target of a pool by the current configuration, or nil.
func (s *Server) findTarget(pool object.PoolName, name object.TargetName) *object.Target {
	view := s.board.Config().Pool(pool)
	if view == nil {
		return nil
	}
	for _, t := range view.Targets {
		if t.Name == name {
			return t
		}
	}
	return nil
}

// mayRunAgain reports whether the request may run more than once.
func (r *request) mayRunAgain() bool { return r.route.Retryable() || r.route.Resumable }

// retriesErrorStatus reports whether a request that a target answered with an error status may be
// sent to another target.
func (s *Server) retriesErrorStatus(r *request, a *answer) bool {
	return r.mayRunAgain() && !a.started && r.possibleRuns+1 < r.route.MaxAttempts && time.Until(r.deadline) > minTimeLeft && s.retries.available(r.pool, time.Now())
}
