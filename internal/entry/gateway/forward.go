package gateway

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"redwinglock/internal/fleet/passthrough"
	"redwinglock/internal/peer/wire"
	"redwinglock/internal/state/object"
	"redwinglock/internal/state/outcome"
)

const (
	// maxRejections bounds how many targets may refuse one request.
	maxRejections = 3
	// rejectedRetryAfter is the retry hint when all targets that were asked have refused.
	rejectedRetryAfter = 300 * time.Millisecond
	// minLeft is the shortest time that is worth sending a request for.
	minLeft = 20 * time.Millisecond
)

func pickBelow(n int) int {
	if n <= 1 {
		return 0
	}
	return rand.IntN(n)
}

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
	for rejections := 0; ; {
		name, err := s.arbiters.Wait(ctx, ticket)
		if err != nil {
			return answered, s.waitFailed(a, err)
		}
		target := s.findTarget(r, name)
		if target == nil {
			r.log.WithField("target", name).Info("Target not known here.")
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
		case errors.Is(err, errNotRun):
			r.tried = append(r.tried, name)
			rejections++
			s.common.CountRetry("target-rejected")
			if rejections >= maxRejections || !s.repeats.take(r.pool, time.Now()) {
				finish.Rejected = true
				ticket.Finish(finish)
				return answered, s.waitFailed(a, outcome.Refuse(outcome.TargetRefused, rejectedRetryAfter, "the targets are full"))
			}
			finish.Rejected = true
			ticket.Return(finish)
		case errors.Is(err, errCallerGone):
			ticket.Finish(finish)
			return answered, outcome.Lost(outcome.Unknown, outcome.CallerGone, "%v", err)
		default:
			a.mayHaveRun = true
			r.tried = append(r.tried, name)
			finish.Failed = ctx.Err() == nil
			ticket.Finish(finish)
			return lost, err
		}
	}
}

// waitFailed returns the failure of an attempt that was not sent. If an attempt before it
// was, the request may have run.
func (s *Server) waitFailed(a *answer, err error) error {
	if !a.mayHaveRun {
		return err
	}
	return outcome.Lost(outcome.Unknown, outcome.TargetLost, "the target was lost and no other took the request: %v", err)
}

// registrationID names one registration. The first has the id of the request, so that the
// logs of front and arbiter can be put together.
func (r *request) registrationID() wire.RequestID {
	r.attempts++
	if r.attempts == 1 {
		return r.id
	}
	return wire.RequestID(fmt.Sprintf("%s.%d", r.id, r.attempts))
}

// registration tells the arbiter about a request, or about a stream that goes on.
func (s *Server) registration(r *request, goesOn bool) wire.Register {
	w := wire.Register{
		ID:           r.registrationID(),
		Pool:         r.pool,
		Tier:         r.tier(),
		Class:        r.route.Tier,
		PromptTokens: max(r.demand.PromptTokens, 1),
		OutputTokens: r.demand.OutputTokens,
		Prefixes:     r.demand.Prefixes,
		DeadlineMS:   max(time.Until(r.deadline).Milliseconds(), 1),
		Avoid:        r.tried,
		Zone:         s.common.Settings.Zone,
	}
	if r.demand.ExpectedOutput > 0 {
		w.OutputTokens = min(r.demand.ExpectedOutput, r.demand.OutputTokens)
	}
	if r.route.Objective > 0 {
		objective := time.Duration(r.route.Objective)
		before := s.patience.waitedBefore(r.route.Name, r.demand.Left)
		left := answerWithin(objective, before, time.Since(r.arrived))
		w.BeginMS = left.Milliseconds()
		w.ObjectiveMS = sendWithin(left).Milliseconds()
		w.MaxWaitMS = maxWait(r, objective).Milliseconds()
		w.MayReturn = before < objective && time.Until(r.deadline) > returnObjectives*objective
	}
	if goesOn && r.route.EventGap > 0 {
		// The answer is in time if its next event comes within the gap.
		w.ObjectiveMS = time.Duration(r.route.EventGap).Milliseconds()
		w.BeginMS = w.ObjectiveMS
		w.MayReturn = false
	}
	if r.account != nil {
		w.Account = r.account.Name
		if r.account.Quota != nil && len(r.tried) == 0 {
			w.QuotaCost = r.account.Quota.Cost(r.demand.Tokens())
		}
	}
	return w
}

const (
	// startShareMax is the part of the objective, in percent, that may pass before a request
	// is sent; the rest is for the target to begin its answer.
	startShareMax = 70
	// returnedPart is the part of the objective for which a request that came back ranks as
	// one in time. It was told when to come, and what it has waited already is lost if it is
	// refused again.
	returnedPart = 2
)

// answerWithin returns how soon the answer to a request should begin to be in time. before is
// how long its caller has waited before this request, and waited how long since.
func answerWithin(objective, before, waited time.Duration) time.Duration {
	left := objective - before
	if before > 0 {
		left = max(left, objective/returnedPart)
	}
	return max(left-waited, time.Millisecond)
}

// sendWithin returns how soon a request should be sent whose answer should begin within the
// time left.
func sendWithin(left time.Duration) time.Duration {
	return max(left*startShareMax/100, time.Millisecond)
}

// maxWait bounds how long a request waits for a target. Callers leave a stream whose first
// event does not come within two seconds or four times the objective.
func maxWait(r *request, objective time.Duration) time.Duration {
	wait := time.Until(r.deadline) / 2
	if r.route.Execution == object.Stream {
		wait = min(wait, max(streamPatience, 4*objective)-objective)
	}
	return max(wait, minLeft)
}

// returnObjectives is the time, in objectives, that a caller must have left to be sent away
// and come back.
const returnObjectives = 5

const streamPatience = 2 * time.Second

// findTarget looks a granted target up in the newest configuration. It returns nil if the
// target has left or must not get work any more.
func (s *Server) findTarget(r *request, name object.TargetName) *object.Target {
	view := s.board.Config().Pool(r.pool)
	if view == nil {
		return nil
	}
	for _, t := range view.Targets {
		if t.Name == name && !t.Drain {
			return t
		}
	}
	return nil
}

// errCallerGone says that the answer could not be passed on because the caller has left.
var errCallerGone = errors.New("caller has gone")

// errNotRun says that the target has not run the request.
var errNotRun = errors.New("target has not run the request")

// send sends the request to one target and passes the answer on. After an error that is
// neither errNotRun nor passthrough.ErrNotSent the request may have run.
func (s *Server) send(ctx context.Context, caller *http.Request, r *request, target *object.Target, a *answer) (wire.Finish, error) {
	left := time.Until(r.deadline)
	if left < minLeft {
		<-ctx.Done()
		return wire.Finish{}, passthrough.ErrNotSent
	}
	sendCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	call := passthrough.Call{
		Address:    target.Address,
		Method:     caller.Method,
		URI:        caller.RequestURI,
		Host:       caller.Host,
		Header:     forwardedHeader(caller.Header),
		Body:       r.body,
		Repeatable: r.route.Repeatable() && len(r.body) == 0,
	}
	dispatch := Dispatch{Target: target.Name, Left: left, LastEventID: a.events.lastID}
	if r.account != nil {
		dispatch.Account = r.account.Name
	}
	s.dialect.WriteDispatch(call.Header, dispatch)
	sentAt := time.Now()
	response, err := s.targets.Do(sendCtx, call)
	if errors.Is(err, passthrough.ErrNotSent) {
		return wire.Finish{}, err
	}
	if err != nil {
		return wire.Finish{}, outcome.Lost(outcome.Unknown, outcome.TargetLost, "target %s: %v", target.Name, err)
	}
	defer response.Body.Close()
	failed := response.StatusCode >= http.StatusInternalServerError && response.StatusCode != http.StatusGatewayTimeout
	if err := s.checkReply(r, a, target, response, failed); err != nil {
		return wire.Finish{}, err
	}
	measure, err := a.copy(response)
	finish := wire.Finish{
		Dispatched:   true,
		Failed:       failed,
		Completed:    err == nil && response.StatusCode < http.StatusMultipleChoices,
		PromptTokens: r.demand.PromptTokens,
	}
	if measure.events > 0 {
		eventTokens := r.eventTokens()
		finish.FirstTokenMS = measure.first.Sub(sentAt).Milliseconds()
		finish.OutputTokens = measure.events * eventTokens
		finish.DecodeUS = measure.tokenTime(eventTokens).Microseconds()
	}
	if errors.Is(err, errCallerGone) {
		return finish, err
	}
	if err != nil {
		return finish, outcome.Lost(outcome.Incomplete, outcome.TargetLost, "target %s: %v", target.Name, err)
	}
	s.logAnswer(r, target, response.StatusCode, sentAt, finish)
	return finish, nil
}

// checkReply returns why an answer must not be passed on, or nil. failed answers are errors
// of the target itself.
func (s *Server) checkReply(r *request, a *answer, target *object.Target, response *http.Response, failed bool) error {
	reply := s.dialect.ReadReply(response.StatusCode, response.Header)
	switch {
	case reply.NotRun:
		r.log.WithFields(logrus.Fields{"target": target.Name, "status": response.StatusCode, "wrong-target": reply.Wrong}).Info("Target refused.")
		return errNotRun
	case reply.ID != r.demand.ID:
		return outcome.Lost(outcome.Unknown, outcome.TargetInvalidResponse, "target %s answered another request", target.Name)
	case response.StatusCode < http.StatusMultipleChoices && !reply.Sealed:
		return outcome.Lost(outcome.Unknown, outcome.TargetInvalidResponse, "target %s did not seal its answer", target.Name)
	case a.started && response.StatusCode != http.StatusOK:
		return outcome.Lost(outcome.Incomplete, outcome.TargetLost, "target %s did not resume: status %d", target.Name, response.StatusCode)
	case failed && s.repeatsError(r, a):
		return outcome.Lost(outcome.Unknown, outcome.TargetLost, "target %s answered with status %d", target.Name, response.StatusCode)
	}
	return nil
}

// logAnswer writes one line about an answered request.
func (s *Server) logAnswer(r *request, target *object.Target, status int, sentAt time.Time, f wire.Finish) {
	now := time.Now()
	s.latency(r, "request_time").Record(now.Sub(r.arrived))
	s.latency(r, "queue_delay").Record(sentAt.Sub(r.arrived))
	if f.FirstTokenMS > 0 {
		s.latency(r, "first_token").Record(time.Duration(f.FirstTokenMS) * time.Millisecond)
		s.latency(r, "between_tokens").Record(time.Duration(f.DecodeUS) * time.Microsecond)
	}
	if !s.routine.Allow(now) {
		return
	}
	r.log.WithFields(logrus.Fields{
		"route": r.route.Name, "tier": r.tier(), "class": r.route.Tier, "target": target.Name, "status": status, "attempts": r.attempts,
		"waited-ms": sentAt.Sub(r.arrived).Milliseconds(), "first-ms": f.FirstTokenMS, "total-ms": now.Sub(r.arrived).Milliseconds(),
		"prompt-tokens": r.demand.PromptTokens, "output-tokens": r.demand.OutputTokens,
		"config-revision": r.snapshot.Revision, "target-revision": r.snapshot.TargetRevision,
	}).Info("Request answered.")
}

func (s *Server) latency(r *request, name string) tally.Timer {
	return s.common.Metrics.Tagged(map[string]string{"tier": string(r.tier()), "pool": string(r.pool)}).Timer(name)
}

// repeatsError reports whether an error that the target answered is worth another attempt.
func (s *Server) repeatsError(r *request, a *answer) bool {
	mayRunAgain := r.route.Repeatable() || r.route.Resumable
	return mayRunAgain && !a.started && len(r.tried)+1 < r.route.MaxAttempts && time.Until(r.deadline) > minLeft && s.repeats.left(r.pool, time.Now())
}

// connectionHeaders concern one connection only and are not passed on.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// forwardedHeader returns the headers of a message without those of its connection.
func forwardedHeader(h http.Header) http.Header {
	forwarded := h.Clone()
	for _, name := range h.Values("Connection") {
		forwarded.Del(name)
	}
	for _, name := range connectionHeaders {
		forwarded.Del(name)
	}
	return forwarded
}
