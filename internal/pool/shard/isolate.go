package shard

import (
	"slices"
	"time"

	"redwinglock/internal/peer/wire"
	"redwinglock/internal/pool/quarantine"
	"redwinglock/internal/state/outcome"
)

// heldRetryAfter is the retry hint of a request with a held cause. Its next attempt has no better chance.
const heldRetryAfter = 30 * time.Second

// isolate removes a waiting request from its queue until no other request with the same suspect cause is running, or until
// a target of its version is free.
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
		cause, isHeld := s.quarantine.HeldCause(now, q.causes)
		switch {
		case isHeld:
			s.refuse(now, q, heldReason(cause))
		case q.bound && s.openVersions[q.version] == 0:
			s.refuse(now, q, outcome.StreamVersionGone)
		case s.waitsForVersion(q):
		case s.quarantine.MayGrant(now, q.causes):
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

// heldReason returns the reason of the refusal of a request with a held cause.
func heldReason(cause wire.Cause) outcome.Reason {
	if cause.Kind == wire.RequestCause {
		return outcome.RequestHeld
	}
	return outcome.PromptHeld
}

// refuseHeld refuses a new request with a cause that crashes targets, and reports whether it did.
func (s *Shard) refuseHeld(now time.Time, q *request) bool {
	cause, isHeld := s.quarantine.HeldCause(now, q.causes)
	if !isHeld {
		return false
	}
	s.refuseUnqueued(q, heldReason(cause), heldRetryAfter)
	return true
}

// recordAttempt passes the end of a request at its target to the quarantine.
func (s *Shard) recordAttempt(now time.Time, q *request, t *target, f wire.Finish) {
	if f.Unreachable {
		s.quarantine.Unsent(now, q.ID, q.causes)
		s.quarantine.TargetEnded(now, t.name)
		return
	}
	if !f.Dispatched {
		s.quarantine.Withdrawn(q.ID, q.causes)
		return
	}
	s.quarantine.Ended(now, quarantine.Attempt{
		ID: q.ID, Causes: q.causes, Prompt: q.prompt(), Target: t.name, GrantedAt: q.grantedAt,
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

// LearnPrefix applies what another host knows about a cause.
func (s *Shard) LearnPrefix(now time.Time, n wire.PrefixNotice) []Decision {
	s.quarantine.Learn(now, n)
	return s.step(now)
}
