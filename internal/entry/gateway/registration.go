package gateway

import (
	"fmt"
	"time"

	"redwinglock/internal/peer/wire"
	"redwinglock/internal/state/object"
)

// registrationID returns the id of the next registration. The first registration has the id of
// the request, so that the logs of front and arbiter can be correlated.
func (r *request) registrationID() wire.RequestID {
	r.attempts++
	if r.attempts == 1 {
		return r.id
	}
	return wire.RequestID(fmt.Sprintf("%s.%d", r.id, r.attempts))
}

// registration returns the registration of a request with the arbiter. resumed is set if the
// caller has already received the beginning of the stream.
func (s *Server) registration(r *request, resumed bool) wire.Register {
	w := wire.Register{
		ID:           r.registrationID(),
		Pool:         r.pool,
		Tier:         r.tier(),
		Class:        r.route.Tier,
		PromptTokens: max(r.info.PromptTokens, 1),
		OutputTokens: r.info.OutputTokens,
		Prefixes:     r.info.Prefixes,
		Fingerprint:  r.fingerprint(),
		DeadlineMS:   max(time.Until(r.deadline).Milliseconds(), 1),
		Avoid:        r.tried,
		Zone:         s.common.Settings.Zone,
	}
	r.registerStream(&w)
	if g := s.common.Settings.Gateway; g != nil && g.KeptPrompts {
		w.PrefixTokens = r.info.PrefixTokens
	}
	if r.info.ExpectedOutput > 0 {
		w.OutputTokens = min(r.info.ExpectedOutput, r.info.OutputTokens)
	}
	if r.route.Objective > 0 {
		objective := time.Duration(r.route.Objective)
		left := remainingObjective(objective, time.Since(r.arrived))
		w.AnswerWithinMS = left.Milliseconds()
		w.DispatchWithinMS = sendLimit(left).Milliseconds()
		w.MaxWaitMS = maxWait(r, objective).Milliseconds()
		w.MayRetry = time.Until(r.deadline) > minRetryObjectives*objective
		w.CallerWaitMS = r.callerTimeLeft().Milliseconds()
	}
	if resumed && r.route.EventGap > 0 {
		// A resumed stream meets its objective if its next event arrives within the gap.
		w.DispatchWithinMS = time.Duration(r.route.EventGap).Milliseconds()
		w.AnswerWithinMS = w.DispatchWithinMS
		w.MayRetry = false
		w.CallerWaitMS = 0 // The caller cannot retry it in the sense of a refusal.
	}
	if r.account != nil {
		w.Account = r.account.Name
		if r.account.Quota != nil && len(r.tried) == 0 {
			w.QuotaCost = r.account.Quota.Cost(r.info.Tokens())
		}
	}
	return w
}

const (
	// maxQueuePercent is the percentage of the objective that may pass before a request is sent.
	// The rest is the time in which the target should begin its answer.
	maxQueuePercent = 70
)

// remainingObjective returns the time within which the answer to a request that has already waited
// should begin to meet its latency objective.
func remainingObjective(objective, waited time.Duration) time.Duration {
	return max(objective-waited, time.Millisecond)
}

// sendLimit returns the time within which a request should be sent if its answer should begin
// within the time left.
func sendLimit(left time.Duration) time.Duration {
	return max(left*maxQueuePercent/100, time.Millisecond)
}

// maxWait returns the maximum time that a request waits for a target. Callers abandon a stream if
// its first event does not arrive within two seconds or four times the objective, whichever is
// longer. The wait ends one objective earlier, so that the target has time to begin its answer.
func maxWait(r *request, objective time.Duration) time.Duration {
	wait := time.Until(r.deadline) / 2
	if r.route.Execution == object.Stream {
		wait = min(wait, max(minStreamWait, 4*objective)-objective)
	}
	return max(wait, minTimeLeft)
}

// minRetryObjectives is the minimum time, as a multiple of the objective, that a caller must have
// left so that it can retry after a refusal.
const minRetryObjectives = 5

// minStreamWait is the minimum time that callers wait for the first event of a stream.
const minStreamWait = 2 * time.Second
