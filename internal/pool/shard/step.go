package shard

import (
	"time"

	"redwinglock/internal/state/outcome"
)

// step grants requests, refuses those that have expired and preempts running ones. It returns
// the decisions since the last step.
func (s *Shard) step(now time.Time) []Decision {
	s.quarantine.Expire(now)
	if !now.Before(s.warmUpUntil) {
		s.releaseIsolated(now)
		s.retryDeferred(now)
		s.reopenTargets(now)
		s.advanceRollout(now)
		s.grantAll(now)
	}
	s.expire(now)
	s.expireIsolated(now)
	s.preempt(now)
	for _, n := range s.quarantine.TakeNotices() {
		s.decisions = append(s.decisions, Announce{n})
	}
	for _, c := range s.quarantine.TakeCrashes() {
		s.decisions = append(s.decisions, ReportCrash{c})
	}
	decisions := s.decisions
	s.decisions = nil
	return decisions
}

func (s *Shard) grantAll(now time.Time) {
	s.updateDemands(now)
	for s.waiting > 0 && !s.slotShareUsedUp() {
		q := s.nextRequest(now)
		if q == nil {
			return
		}
		if !s.quarantine.MayGrant(now, q.causes) {
			s.isolate(q)
			continue
		}
		q.suspect = s.quarantine.IsSuspect(q.causes)
		t := s.place(now, q)
		if t == nil {
			s.countHeldBack(q)
		}
		if t == nil && (s.waitsForSuspects(q) || s.waitsForVersion(q)) {
			s.isolate(q) // Other requests may use the free slots.
			continue
		}
		if t == nil && s.avoidedReady(q) {
			s.refuse(now, q, outcome.NoTarget) // The request must avoid all free targets.
			continue
		}
		if t == nil {
			return
		}
		if s.startsAfterDeadline(now, q) && !s.lowerRunning(q.tier) {
			s.refuse(now, q, outcome.DeadlineUnreachable)
			continue
		}
		s.dequeue(q)
		q.tier.virtualFloor = q.account.virtualTokens
		q.account.charge(q.estimatedTokens)
		q.tier.reorderAccount(q.account)
		othersUsed := s.recordQuotaUse(now, q)
		s.countGrant(q)
		s.demandOf(now, q.tier.rank()).grantRate.record(now)
		if s.rollout != nil && s.rollout.trial != nil {
			s.rollout.trial.Grant(q.tier.class, s.rollout.sideOf(t))
		}
		s.countDiverted(q)
		s.useConnection(now, q, t)
		s.takeRate(now, t)
		watch := s.quarantine.Granted(now, q.ID, q.causes, t.name)
		s.countCached(q, t)
		s.recordOrigin(now, q, t)
		s.startRunning(now, q, t)
		s.prefixes.add(t, q.Prefixes)
		s.decisions = append(s.decisions, Grant{q.ID, t.name, q.tier.name, now.Sub(q.queuedAt), t.rateLimit > 0, othersUsed, watch, q.resumption()})
	}
}

// avoidedReady reports whether one of the targets that the request must avoid has a free
// slot.
func (s *Shard) avoidedReady(q *request) bool {
	for _, name := range q.Avoid {
		if t := s.targets[name]; t != nil && t.readyIndex != notInHeap {
			return true
		}
	}
	return false
}

// nextRequest returns the highest-ranking waiting request that may use a free slot, or nil.
func (s *Shard) nextRequest(now time.Time) *request {
	for _, tier := range s.tiers {
		if tier.waiting > 0 && !s.slotsReservedFrom(now, tier) {
			return tier.first()
		}
	}
	return nil
}

// expire demotes requests that pass their latency objective and refuses those that have expired.
// An expired request keeps waiting while lower-tier requests are running, because preemption
// frees a slot for it. If no target is open, no slot will be freed, so all waiting requests are
// refused immediately.
func (s *Shard) expire(now time.Time) {
	if s.waiting > 0 && !s.anyOpen() {
		for s.timers.len() > 0 {
			s.refuse(now, s.timers.first(), outcome.NoTarget)
		}
	}
	reason, limit := outcome.QueueTimeout, now
	if availableAt, unavailable := s.allUnavailable(); unavailable && availableAt.After(now) {
		// No target is available before that time, so requests that expire earlier are refused now.
		reason, limit = s.unavailableReason(), availableAt
	}
	var postponed []*request
	for s.timers.len() > 0 && !limit.Before(s.timers.first().dueAt) {
		q := s.timers.first()
		if q.dueAt.Before(q.expiresAt) {
			s.demote(q)
			if s.backlogTooLong(now, q) {
				s.refuse(now, q, outcome.QueueFull)
			}
			continue
		}
		if s.lowerRunning(q.tier) {
			s.timers.remove(q)
			postponed = append(postponed, q)
			continue
		}
		s.refuse(now, q, reason)
	}
	for _, q := range postponed {
		q.expiresAt = now.Add(recheckInterval)
		q.dueAt = q.expiresAt
		q.hasPreempted = false
		s.timers.push(q)
	}
}

// recheckInterval is the time until an expired request that keeps waiting is checked again.
const recheckInterval = 20 * time.Millisecond

// refuse ends a waiting request with a reason and a suggested retry delay.
func (s *Shard) refuse(now time.Time, q *request, reason outcome.Reason) {
	retryAfter := s.retryAfter(now, q)
	if reason == outcome.PromptHeld || reason == outcome.RequestHeld {
		retryAfter = heldRetryAfter
	}
	s.dequeue(q)
	s.refundQuota(q)
	s.removeRequest(q)
	s.countRefusal(q, reason)
	s.recordRefusal(now, q)
	s.decisions = append(s.decisions, Refuse{
		ID: q.ID, Tier: q.tier.name, Class: q.tier.class, Reason: reason, RetryAfter: retryAfter,
		Waited: now.Sub(q.queuedAt), Late: q.tier.late, MayRetry: q.MayRetry,
	})
}
