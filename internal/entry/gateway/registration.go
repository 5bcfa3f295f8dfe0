package gateway

import (
	"fmt"
	"time"

	"redwinglock/internal/peer/wire"
	"redwinglock/internal/state/object"
)

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
		left := answerWithin(objective, time.Since(r.arrived))
		w.BeginMS = left.Milliseconds()
		w.ObjectiveMS = sendWithin(left).Milliseconds()
		w.MaxWaitMS = maxWait(r, objective).Milliseconds()
		w.MayReturn = time.Until(r.deadline) > returnObjectives*objective
		w.Fingerprint = r.fingerprint()
		w.CallerLeftMS = r.callerLeft().Milliseconds()
	}
	if goesOn && r.route.EventGap > 0 {
		// The answer is in time if its next event comes within the gap.
		w.ObjectiveMS = time.Duration(r.route.EventGap).Milliseconds()
		w.BeginMS = w.ObjectiveMS
		w.MayReturn = false
		w.Fingerprint = 0
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
)

// answerWithin returns how soon the answer to a request that has waited should begin to be in
// time.
func answerWithin(objective, waited time.Duration) time.Duration {
	return max(objective-waited, time.Millisecond)
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
