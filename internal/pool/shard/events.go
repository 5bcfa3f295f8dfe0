package shard

import (
	"time"

	"redwinglock/internal/peer/wire"
	"redwinglock/internal/state/outcome"
)

// Register adds a request, or learns again of one that another arbiter knew.
func (s *Shard) Register(now time.Time, r wire.Register) []Decision {
	if known := s.requests[r.ID]; known != nil {
		s.registerAgain(known, r)
		return s.step(now)
	}
	if r.Moved {
		s.warm(now)
	}
	q := s.newRequest(now, r)
	if r.Phase == wire.Running {
		s.adopt(now, q)
		return s.step(now)
	}
	s.admit(now, q)
	return s.step(now)
}

// registerAgain handles a second registration. A front that registers a granted
// request as waiting has lost the grant or could not use it.
func (s *Shard) registerAgain(known *request, r wire.Register) {
	if known.target == nil || r.Phase == wire.Running {
		return
	}
	s.stopRunning(known)
	s.enqueue(known)
}

// warm delays grants when the first request moves here from another arbiter, until the
// fronts have registered what they know.
func (s *Shard) warm(now time.Time) {
	if len(s.requests) == 0 && !s.discovered {
		s.warmUntil = now.Add(WarmUp)
	}
}

// admit queues a new request, or refuses it or one that ranks below it.
func (s *Shard) admit(now time.Time, q *request) {
	s.requests[q.ID] = q
	if state, wait := s.takeQuota(now, q); state != nil {
		s.forget(q)
		s.countRefusal(q, outcome.AccountLimit)
		s.noteRefused(now, q)
		s.decisions = append(s.decisions, Refuse{
			ID: q.ID, Tier: q.tier.name, Class: q.tier.class, Reason: outcome.AccountLimit,
			RetryAfter: s.returnAfter(now, q, max(wait, minRetryAfter)), MayReturn: q.MayReturn, Quota: state,
		})
		return
	}
	s.enqueue(q)
	s.noteArrival(now, q)
	if !s.anyOpen() {
		s.refuse(now, q, outcome.NoTarget)
		return
	}
	if s.missesDeadline(now, q) && !s.lowerRunning(q.tier) {
		s.refuse(now, q, outcome.DeadlineUnreachable)
		return
	}
	if s.waiting > s.queueLimit {
		s.shedOne(now)
	}
}

// shedOne refuses the waiting request that ranks last. While a lower tier still runs,
// nothing is refused: preemption makes room instead.
func (s *Shard) shedOne(now time.Time) {
	for i := len(s.tiers) - 1; i >= 0; i-- {
		tier := s.tiers[i]
		if tier.waiting == 0 {
			continue
		}
		if s.lowerRunning(tier) {
			return
		}
		s.refuse(now, tier.lastOfLongest(), outcome.QueueFull)
		return
	}
}

// Finish ends a granted request and frees its slot.
func (s *Shard) Finish(now time.Time, f wire.Finish) []Decision {
	q := s.requests[f.ID]
	if q == nil {
		return nil
	}
	if q.target == nil {
		// The front has ended a request that counts as waiting here; it must not be granted.
		return s.Withdraw(now, f.ID)
	}
	t := q.target
	s.noteVersion(q, t, f)
	s.stopRunning(q)
	s.forget(q)
	switch {
	case f.Unreachable:
		s.fail(now, t)
	case f.Rejected:
		s.rejected(now, t)
	case f.Failed:
		s.failedAnswer(now, t)
	}
	if f.Dispatched {
		s.settle(now, q, t, f)
	}
	s.fixReady(t)
	return s.step(now)
}

// settle learns from a request that ran: speed of the target, size of the request.
func (s *Shard) settle(now time.Time, q *request, t *target, f wire.Finish) {
	actual := int64(f.PromptTokens + f.OutputTokens)
	if actual > 0 {
		q.account.charge(actual - q.cost)
	}
	s.rate.add(now, max(actual, 1))
	s.noteEnd(now, q)
	if f.Completed {
		t.observe(now, f)
		s.speeds.learn(t, f)
		s.response.add(time.Duration(f.FirstTokenMS) * time.Millisecond)
		s.compareTargets(now)
	}
}

// Withdraw removes a waiting request.
func (s *Shard) Withdraw(now time.Time, id wire.RequestID) []Decision {
	q := s.requests[id]
	if q == nil {
		return nil
	}
	if q.target != nil {
		s.stopRunning(q)
	} else {
		s.dequeue(q)
		s.refundQuota(now, q)
	}
	s.forget(q)
	return s.step(now)
}

func (s *Shard) forget(q *request) {
	delete(s.requests, q.ID)
	q.tier.release(q.account)
}
