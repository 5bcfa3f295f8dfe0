package shard

import (
	"time"

	"redwinglock/internal/state/outcome"
)

// step grants what can be granted, gives up what has waited too long and preempts.
func (s *Shard) step(now time.Time) []Decision {
	if !now.Before(s.warmUntil) {
		s.reopen(now)
		s.stepRollout(now)
		s.grantAll(now)
	}
	s.expire(now)
	s.preempt(now)
	decisions := s.decisions
	s.decisions = nil
	return decisions
}

func (s *Shard) grantAll(now time.Time) {
	s.followDemand(now)
	for s.waiting > 0 && !s.full() {
		q := s.next(now)
		if q == nil {
			return
		}
		t := s.place(now, q)
		if t == nil && s.onlyAvoidedReady(q) {
			s.refuse(now, q, outcome.NoTarget) // Only targets are free that it must avoid.
			continue
		}
		if t == nil {
			return
		}
		if s.tooLate(now, q) && !s.lowerRunning(q.tier) {
			s.refuse(now, q, outcome.DeadlineUnreachable)
			continue
		}
		s.dequeue(q)
		q.tier.floor = q.account.virtual
		q.account.charge(q.cost)
		q.tier.fixAccount(q.account)
		s.countQuota(now, q)
		s.countGrant(q)
		s.demandOf(now, rank{class: q.tier.classPriority}).grants.add(now)
		if s.move != nil && s.move.trial != nil {
			s.move.trial.Grant(q.tier.class, s.move.sideOf(t))
		}
		s.startRunning(now, q, t)
		s.prefixes.add(t, q.Prefixes)
		s.decisions = append(s.decisions, Grant{q.ID, t.name, q.tier.name, now.Sub(q.queuedAt)})
	}
}

// onlyAvoidedReady reports whether a target is free that the request must avoid.
func (s *Shard) onlyAvoidedReady(q *request) bool {
	for _, name := range q.Avoid {
		if t := s.targets[name]; t != nil && t.readyIndex != notQueued {
			return true
		}
	}
	return false
}

// next returns the waiting request that ranks first among those that may use a free slot,
// or nil.
func (s *Shard) next(now time.Time) *request {
	for _, tier := range s.tiers {
		if tier.waiting > 0 && !s.reserved(now, tier) {
			return tier.first()
		}
	}
	return nil
}

// expire refuses waiting requests that are out of time. A request stays while
// lower-tier work is still running, because its slot is about to be freed. If no target
// is open, no slot will be, and all are refused at once.
func (s *Shard) expire(now time.Time) {
	if s.waiting > 0 && !s.anyOpen() {
		for s.timers.len() > 0 {
			s.refuse(now, s.timers.first(), outcome.NoTarget)
		}
	}
	reason, limit := outcome.QueueTimeout, now
	if reopening, failed := s.allUnreachable(); failed && reopening.After(now) {
		// No target is tried again before that time, so waiting until then is of no use.
		reason, limit = outcome.NoTarget, reopening
	}
	var held []*request
	for s.timers.len() > 0 && !limit.Before(s.timers.first().dueAt) {
		q := s.timers.first()
		if q.dueAt.Before(q.giveUpAt) {
			s.demote(q)
			if s.backlogged(now, q) {
				s.refuse(now, q, outcome.QueueFull)
			}
			continue
		}
		if s.lowerRunning(q.tier) {
			s.timers.remove(q)
			held = append(held, q)
			continue
		}
		s.refuse(now, q, reason)
	}
	for _, q := range held {
		q.giveUpAt = now.Add(holdTime)
		q.dueAt = q.giveUpAt
		q.preemptor = false
		s.timers.push(q)
	}
}

// holdTime is the interval at which a held request is looked at again.
const holdTime = 20 * time.Millisecond

// refuse ends a waiting request.
func (s *Shard) refuse(now time.Time, q *request, reason outcome.Reason) {
	retryAfter := s.retryAfter(now, q)
	s.dequeue(q)
	s.refundQuota(now, q)
	s.forget(q)
	s.countRefusal(q, reason)
	s.noteRefused(now, q)
	s.decisions = append(s.decisions, Refuse{
		ID: q.ID, Tier: q.tier.name, Class: q.tier.class, Reason: reason, RetryAfter: retryAfter,
		Waited: now.Sub(q.queuedAt), Late: q.tier.late, MayReturn: q.MayReturn,
	})
}
