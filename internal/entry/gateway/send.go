package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"redwinglock/internal/fleet/passthrough"
	"redwinglock/internal/peer/http1"
	"redwinglock/internal/peer/wire"
	"redwinglock/internal/state/object"
	"redwinglock/internal/state/outcome"
)

// errCallerDisconnected is returned if the answer cannot be forwarded because the caller has
// closed the connection.
var errCallerDisconnected = errors.New("caller has gone")

var (
	// errNotRun is returned if the target refused the request without running it.
	errNotRun = errors.New("target has not run the request")
	// errAddressMoved is returned if the address now belongs to another target, which has not run
	// the request.
	errAddressMoved = errors.New("another target has the address")
)

// send sends the request to one target and forwards the answer. After any error other than
// errNotRun, errAddressMoved and passthrough.ErrNotSent, the request may have run.
func (s *Server) send(ctx context.Context, caller *http.Request, r *request, target *object.Target, a *answer) (wire.Finish, error) {
	timeLeft := time.Until(r.deadline)
	if timeLeft < minTimeLeft {
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
		Body:       r.content(),
		Idempotent: r.route.Retryable() && len(r.content()) == 0,
	}
	dispatch := Dispatch{Target: target.Name, TimeLeft: timeLeft, LastEventID: a.events.lastID}
	if r.account != nil {
		dispatch.Account = r.account.Name
	}
	s.dialect.WriteDispatch(call.Header, dispatch)
	s.allowReuse(&call, r)
	s.logResumption(r, target, a)
	sentAt := time.Now()
	response, err := s.targets.Do(sendCtx, call)
	if errors.Is(err, passthrough.ErrNotSent) {
		return wire.Finish{}, err
	}
	if errors.Is(err, http1.ErrInvalidHead) {
		s.common.Metrics.Counter("invalid_answers").Inc(1)
		return wire.Finish{}, outcome.NotCompleted(outcome.Unknown, outcome.TargetInvalidResponse, "target %s: %v", target.Name, err)
	}
	if err != nil {
		s.recordReuseFailure(r, target, err)
		return wire.Finish{Broken: true}, outcome.NotCompleted(outcome.Unknown, outcome.TargetLost, "target %s: %v", target.Name, err)
	}
	defer response.Body.Close()
	failed := response.StatusCode >= http.StatusInternalServerError && response.StatusCode != http.StatusGatewayTimeout
	reply := s.dialect.ReadReply(response.StatusCode, response.Header)
	// On a kept connection, a copy of an earlier answer may arrive first. Refusals of requests that cannot be
	// read have no id.
	isOnNewConnection := !call.Idempotent && !passthrough.IsReused(response)
	isOwn := reply.ID == r.info.ID || reply.ID == "" && (reply.NotRun || reply.Misdirected) && isOnNewConnection
	if isOwn {
		s.recordNotice(r, target, reply, sentAt)
	}
	if !isOwn {
		return wire.Finish{}, outcome.NotCompleted(outcome.Unknown, outcome.TargetInvalidResponse, "target %s answered another request", target.Name)
	}
	if err := s.checkReply(r, a, target, response, reply, failed); err != nil {
		return wire.Finish{}, err
	}
	stats, err := a.copy(response)
	finish := wire.Finish{
		Dispatched:     true,
		Failed:         failed,
		Completed:      err == nil && response.StatusCode < http.StatusMultipleChoices,
		Begun:          err == nil,
		PromptTokens:   r.info.PromptTokens,
		ConnectionKept: err == nil && !reply.Leaving && passthrough.Keep(response),
	}
	if stats.events == 0 {
		finish.TotalUS = time.Since(sentAt).Microseconds()
	}
	if stats.events > 0 {
		eventTokens := r.eventTokens()
		finish.FirstTokenMS = stats.firstAt.Sub(sentAt).Milliseconds()
		finish.OutputTokens = stats.events * eventTokens
		finish.DecodeUS = stats.tokenInterval(eventTokens).Microseconds()
	}
	if errors.Is(err, errCallerDisconnected) {
		return finish, err
	}
	if err != nil {
		finish.Broken = true
		if ctx.Err() == nil { // Otherwise this host ended the attempt.
			s.recordBroken(r, target, response, a, err)
		}
		return finish, outcome.NotCompleted(outcome.Incomplete, outcome.TargetLost, "target %s: %v", target.Name, err)
	}
	s.logAnswer(r, target, response, a, sentAt, finish)
	return finish, nil
}

// recordBroken counts and logs an answer that a target has broken off.
func (s *Server) recordBroken(r *request, target *object.Target, response *http.Response, a *answer, err error) {
	end := framingOf(response)
	s.common.Metrics.Tagged(map[string]string{"framing": string(end)}).Counter("answers_broken_off").Inc(1)
	r.log.WithError(err).WithFields(logrus.Fields{
		"target": target.Name, "status": response.StatusCode, "framing": end, "events": a.events.count, "bytes-after-last-event": len(a.events.partial),
	}).Info("Answer broken off by its target.")
}

// checkReply returns an error if a response must not be forwarded to the caller. failed is set if
// the status reports an error of the target itself.
func (s *Server) checkReply(r *request, a *answer, target *object.Target, response *http.Response, reply Reply, failed bool) error {
	switch {
	case reply.Misdirected:
		r.log.WithField("target", target.Name).Info("Another target has the address.")
		return errAddressMoved
	case reply.NotRun:
		r.log.WithFields(logrus.Fields{"target": target.Name, "status": response.StatusCode}).Info("Target refused.")
		return errNotRun
	case reply.SaysNotRun && !r.mayRunAgain():
		return outcome.NotCompleted(outcome.Unknown, outcome.TargetInvalidResponse, "target %s answered with status %d, which would promise that it has not run the request", target.Name, response.StatusCode)
	case response.StatusCode < http.StatusMultipleChoices && !reply.Sealed:
		return outcome.NotCompleted(outcome.Unknown, outcome.TargetInvalidResponse, "target %s did not seal its answer", target.Name)
	case a.started && response.StatusCode != http.StatusOK:
		return outcome.NotCompleted(outcome.Incomplete, outcome.TargetLost, "target %s did not resume: status %d", target.Name, response.StatusCode)
	case failed && s.retriesErrorStatus(r, a):
		return outcome.NotCompleted(outcome.Unknown, outcome.TargetLost, "target %s answered with status %d", target.Name, response.StatusCode)
	}
	return nil
}

// logAnswer records the latencies of an answered request and logs it.
func (s *Server) logAnswer(r *request, target *object.Target, response *http.Response, a *answer, sentAt time.Time, f wire.Finish) {
	now := time.Now()
	s.latency(r, "request_time").Record(now.Sub(r.arrived))
	s.latency(r, "queue_delay").Record(sentAt.Sub(r.arrived))
	if f.FirstTokenMS > 0 {
		s.latency(r, "first_token").Record(time.Duration(f.FirstTokenMS) * time.Millisecond)
		s.latency(r, "between_tokens").Record(time.Duration(f.DecodeUS) * time.Microsecond)
	}
	if !s.answeredLogs.Allow(now) {
		return
	}
	r.log.WithFields(s.stop.logFields(r)).WithFields(logrus.Fields{
		"route": r.route.Name, "tier": r.tier(), "class": r.route.Tier, "target": target.Name, "version": target.Generation, "status": response.StatusCode, "attempts": r.attempts, "rate-counted": r.rateCounted,
		"framing": framingOf(response), "events": a.events.count, "bytes-after-last-event": len(a.events.partial),
		"connection-reused": passthrough.IsReused(response), "connection-kept": f.ConnectionKept,
		"waited-ms": sentAt.Sub(r.arrived).Milliseconds(), "first-ms": f.FirstTokenMS, "total-ms": now.Sub(r.arrived).Milliseconds(),
		"prompt-tokens": r.info.PromptTokens, "output-tokens": r.info.OutputTokens,
		"config-revision": r.snapshot.Revision, "target-revision": r.snapshot.TargetRevision,
	}).Info("Request answered.")
}

func (s *Server) latency(r *request, name string) tally.Timer {
	return s.common.Metrics.Tagged(map[string]string{"tier": string(r.tier()), "pool": string(r.pool)}).Timer(name)
}

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// forwardedHeader returns the headers of a message without the hop-by-hop headers.
func forwardedHeader(h http.Header) http.Header {
	forwarded := h.Clone()
	for _, name := range h.Values("Connection") {
		forwarded.Del(name)
	}
	for _, name := range hopByHopHeaders {
		forwarded.Del(name)
	}
	return forwarded
}
