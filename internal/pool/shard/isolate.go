package shard

import (
	"slices"
	"time"

	"redwinglock/internal/peer/wire"
	"redwinglock/internal/pool/quarantine"
	"redwinglock/internal/state/outcome"
)

// heldRetryAfter is the retry hint of a request with a held prefix. Its next attempt has no better chance.
const heldRetryAfter = 30 * time.Second

// isolate removes a waiting request from its queue until no other request with the same suspect prefix
// is running.
func (s *Shard) isolate(q *request) {
	s.dequeue(q)
	q.isolated = true
	s.isolated = append(s.isolated, q)
}

// waitsForSuspects reports whether a free target is closed to a request only because another request with a suspect
// prefix runs there.
func (s *Shard) waitsForSuspects(q *request) bool {
	return q.suspect && slices.ContainsFunc(s.ready.all(), func(t *target) bool {
		return t.suspects > 0 && !slices.Contains(q.Avoid, t.name)
	})
}

// releaseIsolated puts the isolated requests that may run now back into their queues, and refuses those
// whose prefix is held now.
func (s *Shard) releaseIsolated(now time.Time) {
	if len(s.isolated) == 0 {
		return
	}
	for _, q := range slices.Clone(s.isolated) {
		switch {
		case s.quarantine.IsHeld(now, q.Prefixes):
			s.refuse(now, q, outcome.PromptHeld)
		case s.quarantine.MayGrant(now, q.Prefixes):
			s.dequeue(q)
			s.enqueue(q)
		}
	}
}

// expireIsolated refuses the isolated requests that have waited too long.
func (s *Shard) expireIsolated(now time.Time) {
	for _, q := range slices.Clone(s.isolated) {
		if !now.Before(q.expiresAt) {
			s.refuse(now, q, outcome.QueueTimeout)
		}
	}
}

// refuseHeld refuses a new request with a prefix that crashes targets, and reports whether it did.
func (s *Shard) refuseHeld(now time.Time, q *request) bool {
	if !s.quarantine.IsHeld(now, q.Prefixes) {
		return false
	}
	s.removeRequest(q)
	s.countRefusal(q, outcome.PromptHeld)
	s.decisions = append(s.decisions, Refuse{
		ID: q.ID, Tier: q.tier.name, Class: q.tier.class, Reason: outcome.PromptHeld, RetryAfter: heldRetryAfter, MayRetry: q.MayRetry,
	})
	return true
}

// recordAttempt passes the end of a request at its target to the quarantine.
func (s *Shard) recordAttempt(now time.Time, q *request, t *target, f wire.Finish) {
	if f.Unreachable {
		s.quarantine.Withdrawn(q.ID, q.Prefixes)
		s.quarantine.TargetEnded(now, t.name)
		return
	}
	if !f.Dispatched {
		s.quarantine.Withdrawn(q.ID, q.Prefixes)
		return
	}
	s.quarantine.Ended(now, quarantine.Attempt{
		ID: q.ID, Prefixes: q.Prefixes, Target: t.name, GrantedAt: q.grantedAt,
		End: endOf(f), Begun: f.HasBegun(), LeftAtTarget: t.inFlight,
	})
}

// endOf returns how a dispatched request has ended at its target.
func endOf(f wire.Finish) quarantine.End {
	switch {
	case f.Completed:
		return quarantine.Completed
	case f.Failed && f.Broken:
		return quarantine.Broken
	case f.Failed && f.Begun:
		return quarantine.Failed
	}
	return quarantine.Unknown
}

// LearnPrefix applies what another host knows about a prefix.
func (s *Shard) LearnPrefix(now time.Time, n wire.PrefixNotice) []Decision {
	s.quarantine.Learn(now, n)
	return s.step(now)
}
