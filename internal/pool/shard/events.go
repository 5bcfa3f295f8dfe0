package shard

import (
	"time"

	"redwinglock/internal/peer/wire"
	"redwinglock/internal/state/outcome"
)

// Register adds a new request, or one that another arbiter scheduled before.
func (s *Shard) Register(now time.Time, r wire.Register) []Decision {
	if existing := s.requests[r.ID]; existing != nil {
		s.reregister(existing, r)
		return s.step(now)
	}
	if r.Moved {
		s.startWarmUp(now)
	}
	q := s.newRequest(now, r)
	if r.Phase == wire.Running {
		s.restoreRunning(now, q)
		return s.step(now)
	}
	s.admit(now, q)
	return s.step(now)
}

// reregister handles a repeated registration. If a front registers a granted request as waiting,
// it lost the grant or could not use it, so the request is queued again.
func (s *Shard) reregister(existing *request, r wire.Register) {
	if existing.target == nil || r.Phase == wire.Running {
		return
	}
	existing.target.forgetNewParts(existing)
	s.stopRunning(existing)
	s.quarantine.Withdrawn(existing.ID, existing.causes)
	s.enqueue(existing)
}

// startWarmUp delays grants when the first request moves here from another arbiter, so that the
// fronts can register their requests first.
func (s *Shard) startWarmUp(now time.Time) {
	if len(s.requests) == 0 && !s.discovered {
		s.warmUpUntil = now.Add(WarmUp)
	}
}

// admit checks whether a new request may run at all and within its quota, and queues it.
func (s *Shard) admit(now time.Time, q *request) {
	s.requests[q.ID] = q
	if q.Attempt <= 1 && !q.Moved && len(q.Avoid) == 0 {
		s.quarantine.Arrived(q.causes) // Others have been counted before.
	}
	if s.refuseHeld(now, q) || !s.bindVersion(now, q) {
		return
	}
	s.beginShareGrowth(now)
	if state, wait := s.chargeQuota(now, q); state != nil {
		if !s.deferForShare(now, q) {
			s.refuseOverQuota(now, q, state, wait)
		}
		return
	}
	s.enqueueNew(now, q)
}

// enqueueNew queues a request that its quota allows. It refuses the request, or one that ranks lower, if
// there is no capacity.
func (s *Shard) enqueueNew(now time.Time, q *request) {
	s.enqueue(q)
	s.recordWaitLimit(now, q)
	if !s.anyOpen() {
		s.refuse(now, q, outcome.NoTarget)
		return
	}
	if s.missesDeadline(now, q) && !s.lowerRunning(q.tier) {
		s.refuse(now, q, outcome.DeadlineUnreachable)
		return
	}
	if s.rateMissesDeadline(now, q) && !s.lowerRunning(q.tier) {
		s.refuse(now, q, outcome.TargetsRateLimited)
		return
	}
	if s.waiting > s.queueLimit {
		s.shedOne(now)
	}
}

// shedOne refuses the waiting request with the lowest rank. It refuses nothing while a lower
// tier is running, because preemption frees a slot.
func (s *Shard) shedOne(now time.Time) {
	for i := len(s.tiers) - 1; i >= 0; i-- {
		tier := s.tiers[i]
		if tier.waiting == 0 {
			continue
		}
		if s.lowerRunning(tier) {
			return
		}
		s.refuse(now, tier.newestOfLongestQueue(), outcome.QueueFull)
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
		// The front ended a request that is waiting here, so it must not be granted.
		return s.Withdraw(now, f.ID)
	}
	t := q.target
	if !f.Broken || !s.quarantine.IsSuspect(q.causes) {
		s.recordTrialAnswer(q, t, f) // A crash by a request is no verdict on a version.
	}
	s.stopRunning(q)
	s.removeRequest(q)
	s.recordAttempt(now, q, t, f)
	s.recordConnection(now, q, t, f)
	t.recordRead(q, f)
	switch {
	case f.Unreachable:
		s.startBackoff(now, t)
	case f.Rejected:
		s.pauseAfterRejection(now, t)
	case f.Failed:
		s.recordFailure(now, t)
	}
	if f.Dispatched {
		s.recordResult(now, q, t, f)
	}
	s.updateReady(t)
	return s.step(now)
}

// recordResult updates the account, the pool and the target with the result of a dispatched
// request.
func (s *Shard) recordResult(now time.Time, q *request, t *target, f wire.Finish) {
	actual := int64(f.PromptTokens + f.OutputTokens)
	if actual > 0 {
		q.account.charge(actual - q.estimatedTokens)
	}
	s.drainRate.add(now, max(actual, 1))
	s.recordSlotHoldTime(now, q)
	if f.Completed {
		t.recordCompletion(now, f)
		f.PromptTokens = max(f.PromptTokens-q.cachedTokens, 0)
		s.speeds.record(t, f)
		s.responseTime.add(time.Duration(f.FirstTokenMS) * time.Millisecond)
		s.detectStragglers(now)
	}
}

// Withdraw removes a waiting request.
func (s *Shard) Withdraw(now time.Time, id wire.RequestID) []Decision {
	q := s.requests[id]
	if q == nil {
		return nil
	}
	if q.target != nil {
		q.target.forgetNewParts(q)
		s.stopRunning(q)
		s.quarantine.Withdrawn(q.ID, q.causes)
	} else {
		s.dequeue(q)
		s.refundQuota(q)
	}
	s.removeRequest(q)
	return s.step(now)
}

func (s *Shard) removeRequest(q *request) {
	delete(s.requests, q.ID)
	q.tier.releaseAccount(q.account)
}
