package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/sirupsen/logrus"

	"redwinglock/internal/fleet/passthrough"
	"redwinglock/internal/state/object"
	"redwinglock/internal/state/outcome"
)

const (
	// maxRejections bounds how many targets may refuse one request as full.
	maxRejections = 3
	// maxMoved bounds how many targets of one request may turn out to have lost their address.
	maxMoved = 10
	// rejectedRetryAfter is the retry hint when all targets that were asked have refused.
	rejectedRetryAfter = 300 * time.Millisecond
	// minLeft is the shortest time that is worth sending a request for.
	minLeft = 20 * time.Millisecond
)

// attemptResult is how one attempt has ended without a complete answer.
type attemptResult int

const (
	// answered attempts need nothing more.
	answered attemptResult = iota
	// lost attempts were sent, may have run and have no complete answer.
	lost
)

// forward sends a request to targets until one has answered it completely or nothing more
// may be done.
func (s *Server) forward(c *gin.Context, r *request) error {
	ctx, cancel := context.WithDeadline(c.Request.Context(), r.deadline)
	defer cancel()
	s.repeats.noteRequest(r.pool, r.arrived)
	a := &answer{writer: c.Writer, request: r}
	for attempt := 1; ; attempt++ {
		result, err := s.attempt(ctx, c.Request, r, a)
		if result == answered {
			return err
		}
		if ctx.Err() != nil {
			return s.outOfTime(ctx, a)
		}
		if !s.mayRepeat(r, a, attempt) {
			return err
		}
		s.common.CountRetry("target-lost")
		r.log.WithError(err).WithFields(logrus.Fields{"attempt": attempt, "tried": r.tried, "events": a.events.count}).Info("Request sent again.")
	}
}

// mayRepeat reports whether a request that may have run can be sent to another target.
func (s *Server) mayRepeat(r *request, a *answer, attempts int) bool {
	repeatable := r.route.Repeatable() && !a.started || r.route.Execution == object.Stream && r.route.Resumable
	if !repeatable || attempts >= r.route.MaxAttempts || time.Until(r.deadline) < minLeft {
		return false
	}
	return s.repeats.take(r.pool, time.Now())
}

// outOfTime returns the failure of a request whose caller has gone or whose time is up
// after it was sent.
func (s *Server) outOfTime(ctx context.Context, a *answer) error {
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return outcome.Lost(outcome.Unknown, outcome.TargetSilent, "the time was up before the answer was complete")
	}
	return outcome.Lost(outcome.Unknown, outcome.CallerGone, "the caller closed the connection")
}

// attempt waits for a target and sends the request to it. Targets that have not run the
// request are replaced.
func (s *Server) attempt(ctx context.Context, caller *http.Request, r *request, a *answer) (attemptResult, error) {
	ticket := s.arbiters.Register(s.registration(r, a.started))
	var away turnedAway
	for {
		name, err := s.arbiters.Wait(ctx, ticket)
		if err != nil {
			return answered, s.waitFailed(a, err)
		}
		target := s.findTarget(r, name)
		if target == nil {
			r.log.WithField("target", name).Info("Target declined: not known here, or it wants no requests.")
			s.notices.tellAgain(r.pool, s.lookUp(r.pool, name), time.Now())
			ticket.Decline()
			continue
		}
		if !ticket.Dispatch() {
			continue // The grant has ended; the next one is on its way.
		}
		finish, err := s.send(ctx, caller, r, target, a)
		switch {
		case err == nil:
			ticket.Finish(finish)
			return answered, nil
		case errors.Is(err, passthrough.ErrNotSent):
			r.log.WithError(err).WithField("target", name).Info("Target not reached.")
			s.common.CountRetry("target-unreachable")
			finish.Unreachable = ctx.Err() == nil
			if ctx.Err() != nil {
				ticket.Finish(finish)
				return answered, s.waitFailed(a, outcome.Refuse(outcome.DeadlinePassed, 0, "the time was up before a target was reached"))
			}
			ticket.Return(finish)
		case errors.Is(err, errMoved), errors.Is(err, errNotRun):
			r.tried = append(r.tried, name)
			s.common.CountRetry(away.note(err))
			finish.Rejected = true
			if away.tooOften() || !s.repeats.take(r.pool, time.Now()) {
				ticket.Finish(finish)
				return answered, s.waitFailed(a, away.refusal(err))
			}
			ticket.Return(finish)
		case errors.Is(err, errCallerGone):
			ticket.Finish(finish)
			return answered, outcome.Lost(outcome.Unknown, outcome.CallerGone, "%v", err)
		default:
			a.mayHaveRun = true
			r.tried = append(r.tried, name)
			r.runs++
			finish.Failed = ctx.Err() == nil
			finish.Expired = errors.Is(context.Cause(ctx), context.DeadlineExceeded)
			ticket.Finish(finish)
			return lost, err
		}
	}
}

// turnedAway counts the targets that have not run a request.
type turnedAway struct{ full, moved int }

// note counts one more and returns the reason of the retry.
func (t *turnedAway) note(err error) string {
	if errors.Is(err, errMoved) {
		t.moved++
		return "target-moved"
	}
	t.full++
	return "target-rejected"
}

// tooOften reports whether no further target is asked.
func (t *turnedAway) tooOften() bool { return t.full >= maxRejections || t.moved >= maxMoved }

// refusal returns what the caller is told if the last target was not replaced. Nothing has run.
func (t *turnedAway) refusal(last error) error {
	if errors.Is(last, errMoved) {
		return outcome.Refuse(outcome.NoTarget, rejectedRetryAfter, "other targets have the addresses of those that were asked")
	}
	return outcome.Refuse(outcome.TargetsFull, rejectedRetryAfter, "the targets are full")
}

// waitFailed returns the failure of an attempt that was not sent. If an attempt before it
// was, the request may have run.
func (s *Server) waitFailed(a *answer, err error) error {
	if !a.mayHaveRun {
		return err
	}
	return outcome.Lost(outcome.Unknown, outcome.TargetLost, "the target was lost and no other took the request: %v", err)
}

// findTarget looks a granted target up in the newest configuration. It returns nil if the
// target has left or must not get work any more.
func (s *Server) findTarget(r *request, name object.TargetName) *object.Target {
	t := s.lookUp(r.pool, name)
	if t == nil || t.Drain || !s.notices.open(t, time.Now()) {
		return nil
	}
	return t
}

// lookUp returns a target of a pool by the newest configuration, or nil.
func (s *Server) lookUp(pool object.PoolName, name object.TargetName) *object.Target {
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

// repeatsError reports whether an error that the target answered is worth another attempt.
func (s *Server) repeatsError(r *request, a *answer) bool {
	mayRunAgain := r.route.Repeatable() || r.route.Resumable
	return mayRunAgain && !a.started && r.runs+1 < r.route.MaxAttempts && time.Until(r.deadline) > minLeft && s.repeats.left(r.pool, time.Now())
}
